// Package backend is the owner VM's record of the backend servers that it owns.
// The owner is the only sender to a server, so the server's concurrency slots,
// connection limit and cold-start ramp are exact here.
//
// A request enters a server with Servers.Enter. It is admitted to a free slot,
// waits in a queue that is fair between teams by weight, or is rejected as not
// run. Each admitted request leaves with Servers.Leave, which records the
// sample for the service home and grants the slot to the next waiter. Nothing
// polls: a waiter gets its decision over a channel with room for it.
//
// Decisions take the current time as an argument. A record is guarded by the
// lock of its shard; no lock is held while a request runs.
package backend

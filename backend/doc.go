// Package backend holds an owner VM's records of the backend servers that it owns,
// and decides which requests may run at them.
//
// All requests to a server go through its owner. The owner can therefore enforce
// the server's concurrency slots, connection limit and slow-start ramp exactly.
//
// Servers.RequestSlot requests a concurrency slot for a request. The request is
// admitted if a slot is free, waits in a queue that shares the slots between teams
// by weight, or is rejected as not executed. Servers.ReleaseSlot ends an admitted
// request: it records the sample for the service home and grants the slot to the
// next waiter. Waiters do not poll: each receives its decision over a buffered
// channel.
//
// Functions that decide take the current time as an argument. The record of a
// server is guarded by the lock of its shard. No lock is held while a request runs.
package backend

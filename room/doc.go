// Package room decides what becomes of a request when its service is short of room: it
// goes to a server, waits at this VM, or is rejected with the time at which its caller
// should return.
//
// Room is what a service can take, summed over its servers from the statistics that all
// VMs share. Shortage is the share of requests that must be turned away; it follows the
// expected time in servers' queues and the answers with which they shed requests. AdmitShares
// divides it among ranks, the least urgent first, and Demand among teams, those beyond
// their share first. Gate keeps a service's recent arrivals and the requests that wait.
//
// All VMs decide from nearly the same sums, so none has to ask another one. Functions take
// the time and random numbers as arguments. The state of a service is guarded by the lock
// of its shard, and a request that waits holds no lock.
package room

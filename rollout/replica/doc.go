// Package replica holds one VM's replica of the roll-outs of a deployment: the orders and
// their stored states, what all VMs sent and got back, what they announced, and the
// decision that follows (package rollout). For a request it says which versions may get it.
//
// A service's part is a migration, under the lock of its shard. Nothing here does I/O.
package replica

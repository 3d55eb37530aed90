// Package callrate keeps the calls of one VM to the platform's store within its share of
// the rate that the store grants all VMs together, whatever makes the VM call.
//
// The share follows from the limits and the number of VMs. It halves when the store rejects
// a call because of the rate, and grows again with time. Each kind of call has a token
// bucket under a lock of its own; a call that finds no token waits for one.
package callrate

// Package notice keeps what backend servers state about themselves in their
// responses.
//
// A server's registration in the store says the same of leaving, but a VM that has
// lost the store does not see it change. A notice reaches each VM that sends to the
// server, with the next response. A pause concerns the VM that was asked for it, a
// limit all VMs together.
//
// Notices belong to one incarnation of a server: a restarted server is not bound by
// what its predecessor stated. A VM passes on to the others what servers stated to
// it, in the counters of package tally.
package notice

// Package vm describes the entry VMs: their identity, the member list that the
// fleet agreed on through the platform's table, and which VM holds which role.
//
// A role is a function of the member list alone (rendezvous hashing), so no
// message is needed to agree on it. Whether a VM may act in its role also
// depends on its session lease, which package membership keeps.
package vm

// Package vm describes the entry VMs: their identity, the member list and the
// roles that VMs hold. The VMs agree on the member list through a table of the
// platform.
//
// The holder of a role is computed from the member list alone by rendezvous
// hashing, so VMs with the same list agree on it without messages. To act in its
// role a VM also needs a valid session lease, which package membership manages.
package vm

package vm

import "almondstile/shard"

// Holders finds the holders of roles of one kind and remembers them as long as
// the member list stays the same. At 420 VMs a search takes microseconds, and
// each request needs the owners of all servers of its service. The zero value is
// ready to use.
type Holders struct {
	known shard.Map[string, knownHolder]
}

type knownHolder struct {
	listVersion uint64
	role        Role
	vm          VM
}

// Find returns the same as list.Holder(role).
func (h *Holders) Find(list MemberList, role Role) (VM, bool) {
	if known, ok := h.known.Load(role.Name); ok && known.listVersion == list.Version && known.role == role {
		return known.vm, true
	}
	holder, ok := list.Holder(role)
	if ok {
		h.known.Store(role.Name, knownHolder{listVersion: list.Version, role: role, vm: holder})
	}
	return holder, ok
}

package vm

import "almondstile/shard"

// Holders finds the holders of roles of one kind and caches them until the
// version of the member list changes. Without the cache a search among 420 VMs
// takes microseconds, and each request needs the owners of all servers of its
// service. The zero value is ready to use.
type Holders struct {
	cache shard.Map[string, cachedHolder]
}

// cachedHolder is the holder of a role by the member list of one version.
type cachedHolder struct {
	listVersion uint64
	role        Role
	vm          VM
}

// Find returns the same as list.Holder(role). The cache has one entry for each
// name of a role, so roles of several kinds with the same name would replace each
// other's entries.
func (h *Holders) Find(list MemberList, role Role) (VM, bool) {
	if cached, ok := h.cache.Load(role.Name); ok && cached.listVersion == list.Version && cached.role == role {
		return cached.vm, true
	}
	holder, ok := list.Holder(role)
	if ok {
		h.cache.Store(role.Name, cachedHolder{listVersion: list.Version, role: role, vm: holder})
	}
	return holder, ok
}

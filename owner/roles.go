package owner

import (
	"sync"
	"time"

	"almondstile/contract"
)

// ownedServers remembers what the last Sync applied.
type ownedServers struct {
	mu            sync.Mutex // serializes Sync
	listVersion   uint64
	configVersion uint64
	applied       bool
	owned         map[contract.ServerID]string // address
}

// Sync applies the current configuration and member list to the records of the
// servers that this VM owns. The daemon calls it after each change of either
// and at intervals; without a change it does nothing.
func (o *Owner) Sync(now time.Time) {
	r := &o.roles
	r.mu.Lock()
	defer r.mu.Unlock()
	index, list := o.parts.Source.Index(), o.parts.Members.List()
	if r.applied && r.listVersion == list.Version && r.configVersion == index.Version() {
		return
	}
	owned := make(map[contract.ServerID]string)
	services := index.Configuration().Services
	for i := range services {
		for j := range services[i].Servers {
			server := &services[i].Servers[j]
			holder, ok := list.Holder(server.OwnerRole())
			if !ok || holder.ID != o.parts.Members.Self().ID {
				continue
			}
			if _, had := r.owned[server.ID]; !had {
				o.parts.Observer.OwnerRoleTakenOver()
			}
			owned[server.ID] = server.Address
			o.parts.Servers.Configure(now, services[i].ID, *server, index.AcceptsNewRequests(server))
		}
	}
	for id, address := range r.owned {
		newAddress, ok := owned[id]
		if !ok {
			o.parts.Servers.EndOwnership(id)
		}
		if newAddress != address {
			o.links.Forget(id)
		}
	}
	r.owned, r.applied = owned, true
	r.listVersion, r.configVersion = list.Version, index.Version()
}

package owner

import (
	"sync"
	"time"

	"almondstile/contract"
)

// syncState holds the versions and the owned servers that the last Sync applied.
type syncState struct {
	mu            sync.Mutex // serializes Sync
	listVersion   uint64
	configVersion uint64
	completed     bool
	addresses     map[contract.ServerID]string // addresses of the owned servers
}

// Sync applies the current configuration and member list: it starts and ends the
// ownership of servers and updates the configuration of those that this VM owns.
// The daemon calls it after each change of either and at intervals. Without a
// change since the last call it does nothing.
func (o *Owner) Sync(now time.Time) {
	last := &o.lastSync
	last.mu.Lock()
	defer last.mu.Unlock()
	index, list := o.deps.Source.Index(), o.deps.Members.List()
	if last.completed && last.listVersion == list.Version && last.configVersion == index.Version() {
		return
	}
	addresses := make(map[contract.ServerID]string)
	services := index.Configuration().Services
	for i := range services {
		for j := range services[i].Servers {
			server := &services[i].Servers[j]
			holder, ok := list.Holder(server.OwnerRole())
			if !ok || holder.ID != o.deps.Members.Self().ID {
				continue
			}
			if _, alreadyOwned := last.addresses[server.ID]; !alreadyOwned {
				o.deps.Observer.OwnerRoleTakenOver()
			}
			addresses[server.ID] = server.Address
			o.deps.Servers.Configure(now, services[i].ID, *server, index.AcceptsNewRequests(server))
		}
	}
	for id, address := range last.addresses {
		newAddress, ok := addresses[id]
		if !ok {
			o.deps.Servers.EndOwnership(id)
		}
		if newAddress != address {
			o.links.Delete(id)
		}
	}
	last.addresses, last.completed = addresses, true
	last.listVersion, last.configVersion = list.Version, index.Version()
}

package fleet

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"almondstile/vm"
	"almondstile/zone"
)

// relayOrders holds the known VMs of each zone in relay order: the first live ones are
// the zone's relays. VMs with at least half of the highest Strength of the zone come
// first. Rendezvous hashing orders the VMs within each of these two classes. Readers
// take no lock. The zero value is ready to use.
type relayOrders struct {
	// mu serializes update. It is taken while the shard of a member is locked, and no
	// other lock is taken under it.
	mu      sync.Mutex
	current atomic.Pointer[map[zone.ID]zoneOrder] // the map is not changed after it is stored
}

// zoneOrder holds the VMs of a zone by rendezvous hash and in relay order.
type zoneOrder struct {
	byScore []scoredVM
	relays  []vm.VM
}

// scoredVM is a VM with its rendezvous hash for the relay role of its zone.
type scoredVM struct {
	vm    vm.VM
	score uint64
}

// zone returns the VMs of a zone in relay order. The caller must not change them.
func (o *relayOrders) zone(z zone.ID) []vm.VM { return o.load()[z].relays }

// zones returns the zones of all known VMs, in no order.
func (o *relayOrders) zones() []zone.ID {
	return slices.Collect(maps.Keys(o.load()))
}

// load returns the orders of all zones.
func (o *relayOrders) load() map[zone.ID]zoneOrder {
	if current := o.current.Load(); current != nil {
		return *current
	}
	return nil
}

// update replaces a VM's old description by a new one. old has no ID if the VM was not
// known before. It costs one copy of the order of the VM's zone: at the start of a
// large fleet each VM learns of all others one by one.
func (o *relayOrders) update(old, v vm.VM) {
	o.mu.Lock()
	defer o.mu.Unlock()
	next := maps.Clone(o.load())
	if next == nil {
		next = make(map[zone.ID]zoneOrder)
	}
	if old.ID != "" {
		next[old.Zone] = next[old.Zone].without(old.ID)
		if len(next[old.Zone].byScore) == 0 {
			delete(next, old.Zone)
		}
	}
	next[v.Zone] = next[v.Zone].with(v)
	o.current.Store(&next)
}

// without returns a copy of the order without a VM.
func (z zoneOrder) without(id vm.ID) zoneOrder {
	return newZoneOrder(slices.DeleteFunc(slices.Clone(z.byScore), func(s scoredVM) bool { return s.vm.ID == id }))
}

// with returns a copy of the order with a VM that it did not contain.
func (z zoneOrder) with(v vm.VM) zoneOrder {
	added := scoredVM{v, vm.Role{Kind: relayRole, Name: string(v.Zone)}.Score(v.ID)}
	place, _ := slices.BinarySearchFunc(z.byScore, added, compareScores)
	return newZoneOrder(slices.Insert(slices.Clone(z.byScore), place, added))
}

// compareScores orders the VMs of a zone by rendezvous hash, the highest first.
func compareScores(a, b scoredVM) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.vm.ID, b.vm.ID))
}

// newZoneOrder returns the order of VMs that are ordered by rendezvous hash.
func newZoneOrder(byScore []scoredVM) zoneOrder {
	strongest := 0
	for _, s := range byScore {
		strongest = max(strongest, s.vm.Strength)
	}
	relays := make([]vm.VM, 0, len(byScore))
	for _, strong := range []bool{true, false} {
		for _, s := range byScore {
			if (2*s.vm.Strength >= strongest) == strong {
				relays = append(relays, s.vm)
			}
		}
	}
	return zoneOrder{byScore: byScore, relays: relays}
}

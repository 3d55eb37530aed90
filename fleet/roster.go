package fleet

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"almondstile/shard"
	"almondstile/vm"
	"almondstile/zone"
)

const (
	// RelaysPerZone is the number of VMs of a zone that pass messages on. With
	// two, the loss of one is no gap.
	RelaysPerZone = 2
	// relaySilence is the time without a message after which a relay is
	// replaced. Relays send at least each 200 ms.
	relaySilence = 500 * time.Millisecond
	// takeoverStep is what each place in the order adds to the wait before a VM
	// relays, mostSteps bounds it.
	takeoverStep = 60 * time.Millisecond
	mostSteps    = 10
	// relayRole ranks the VMs of a zone.
	relayRole vm.RoleKind = "relay"
)

// member is what is known of another VM.
type member struct {
	vm vm.VM
	// heardAsRelay is when it last sent a message as a relay of its zone.
	heardAsRelay time.Time
	// heard is when it last sent a message to this VM, learned when this VM first
	// knew of it.
	heard, learned time.Time
	// started is when its process started.
	started time.Time
}

// Roster is one VM's knowledge of the fleet.
type Roster struct {
	self    vm.VM
	started time.Time
	// mu guards wantedSince, the time from which fewer relays were heard than
	// there should be, and relayingSince; both are zero when it is not so.
	mu                         sync.Mutex
	wantedSince, relayingSince time.Time
	// changes counts the changes of members; zoneOrders was made at one of them.
	changes    atomic.Uint64
	zoneOrders atomic.Pointer[zoneOrders]
	members    shard.Map[vm.ID, *member]
	// zones holds the last report of each zone, direct or by a relay of this VM's
	// zone; direct holds what came here itself, which this VM may pass on.
	zones, direct shard.Map[zone.ID, zoneReport]
	// confirmed holds when each zone was last known to hear this VM.
	confirmed shard.Map[zone.ID, time.Time]
	coverage  coverage
}

// NewRoster returns a roster that knows only this VM, whose process starts now.
func NewRoster(now time.Time, self vm.VM) *Roster {
	return &Roster{self: self, started: now}
}

// Self returns this VM.
func (r *Roster) Self() vm.VM { return r.self }

// Learn adds a VM that this VM was told of, or updates its address. It reports
// whether anything was new.
func (r *Roster) Learn(now time.Time, v vm.VM) (changed bool) {
	if v.ID == r.self.ID || v.ID == "" || v.ControlAddress == "" {
		return false
	}
	r.members.Do(v.ID, func() *member { return &member{learned: now} }, func(m *member) {
		if m.vm.ControlAddress == v.ControlAddress && m.vm.Zone == v.Zone {
			return
		}
		if !m.heard.IsZero() && v.Incarnation == "" {
			return // hearsay does not replace what the VM itself said
		}
		m.vm, changed = v, true
	})
	if changed {
		r.changes.Add(1)
	}
	return changed
}

// Heard notes a message that came from the VM itself, whose process runs for the
// uptime. gap tells of the VM's silence, if it is of this VM's zone and did not
// start anew.
func (r *Roster) RecordMessage(now time.Time, v vm.VM, relay bool, uptime time.Duration) (restarted bool, gap Gap) {
	if v.ID == r.self.ID {
		return false, Gap{}
	}
	changed := false
	r.members.Do(v.ID, func() *member { return &member{learned: now} }, func(m *member) {
		restarted = m.vm.Incarnation != v.Incarnation
		if !restarted && v.Zone == r.self.Zone {
			gap = gapOf(m.heard, now, memberSilence)
		}
		changed = m.vm != v
		m.vm, m.heard, m.started = v, now, now.Add(-uptime)
		if relay {
			m.heardAsRelay = now
		}
	})
	if changed {
		r.changes.Add(1)
	}
	r.heardZone(now, v.Zone, now)
	note(&r.direct, v.Zone, func(known *zoneReport) { known.at = now })
	return restarted, gap
}

// All returns all known VMs but this one.
func (r *Roster) Others() []vm.VM {
	var out []vm.VM
	r.members.Range(func(_ vm.ID, m *member) bool {
		out = append(out, m.vm)
		return true
	})
	return out
}

// OthersInZone returns the known VMs of a zone but this one.
func (r *Roster) OthersInZone(z zone.ID) []vm.VM {
	var out []vm.VM
	for _, v := range r.rank(z) {
		if v.ID != r.self.ID {
			out = append(out, v)
		}
	}
	return out
}

// Relays returns the VMs that relay for the zone, best first, at most
// RelaysPerZone; this VM may be among them.
func (r *Roster) Relays(now time.Time, z zone.ID) []vm.VM {
	var out []vm.VM
	for _, v := range r.rank(z) {
		if len(out) == RelaysPerZone {
			break
		}
		if v.ID == r.self.ID || r.relayHeard(now, v.ID) {
			out = append(out, v)
		}
	}
	return out
}

// Rank returns this VM's place among the VMs of its zone that could relay, not
// counting those that are not heard as relays: 0 for the first relay.
func (r *Roster) Rank(now time.Time) int {
	rank := 0
	for _, v := range r.rank(r.self.Zone) {
		if v.ID == r.self.ID {
			break
		}
		if r.relayHeard(now, v.ID) {
			rank++
		}
	}
	return rank
}

// IsRelay reports whether this VM relays for its zone: fewer than RelaysPerZone
// VMs of a better rank do. VMs far down the order wait longer before they take
// the place of a relay that fell silent, so that not all of them do.
func (r *Roster) IsRelay(now time.Time) bool {
	relays := r.takesPart(now)
	r.setRelaying(now, relays)
	return relays
}

func (r *Roster) takesPart(now time.Time) bool {
	if r.Rank(now) >= RelaysPerZone {
		r.setWanted(time.Time{})
		return false
	}
	since := r.setWanted(now)
	place := slices.IndexFunc(r.rank(r.self.Zone), func(v vm.VM) bool { return v.ID == r.self.ID })
	wait := time.Duration(min(max(place-RelaysPerZone+1, 0), mostSteps)) * takeoverStep
	return now.Sub(since) >= wait
}

// setWanted notes since when another relay is wanted; the zero time says that
// none is. It returns the time noted.
func (r *Roster) setWanted(now time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.IsZero() || r.wantedSince.IsZero() {
		r.wantedSince = now
	}
	return r.wantedSince
}

// setRelaying notes since when this VM relays.
func (r *Roster) setRelaying(now time.Time, relays bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !relays:
		r.relayingSince = time.Time{}
	case r.relayingSince.IsZero():
		r.relayingSince = now
	}
}

// Contact returns the VM of another zone to which this VM, a relay, sends its
// messages: each relay of this zone has another relay there, so that a change
// arrives on two ways and bytes between zones are few. If no relay is heard, it
// is any VM of the zone.
func (r *Roster) RemoteContact(now time.Time, z zone.ID) []vm.VM {
	if relays := r.Relays(now, z); len(relays) > 0 {
		return relays[r.Rank(now)%len(relays):][:1]
	}
	all := r.OthersInZone(z)
	if len(all) == 0 {
		return nil
	}
	return []vm.VM{all[rand.IntN(len(all))]}
}

// Zones returns the zones of all known VMs, this VM's zone first.
func (r *Roster) Zones() []zone.ID {
	out := []zone.ID{r.self.Zone}
	for z := range r.orders() {
		if z != r.self.Zone {
			out = append(out, z)
		}
	}
	return out
}

// Size returns the number of known VMs, this one included.
func (r *Roster) Size() int { return r.members.Len() + 1 }

func (r *Roster) relayHeard(now time.Time, id vm.ID) bool {
	heard := false
	r.members.DoExisting(id, func(m *member) {
		heard = !m.heardAsRelay.IsZero() && now.Sub(m.heardAsRelay) < relaySilence
	})
	return heard
}

// rank returns the VMs of a zone in the order in which they relay.
func (r *Roster) rank(z zone.ID) []vm.VM { return r.orders()[z] }

// zoneOrders holds the VMs of each zone in the order in which they relay, after
// a number of changes.
type zoneOrders struct {
	changes uint64
	zones   map[zone.ID][]vm.VM
}

// orders returns the order of each zone, made anew if a VM has changed.
func (r *Roster) orders() map[zone.ID][]vm.VM {
	changes := r.changes.Load()
	if known := r.zoneOrders.Load(); known != nil && known.changes == changes {
		return known.zones
	}
	zones := map[zone.ID][]vm.VM{r.self.Zone: {r.self}}
	for _, v := range r.Others() {
		zones[v.Zone] = append(zones[v.Zone], v)
	}
	for z, vms := range zones {
		zones[z] = order(z, vms)
	}
	r.zoneOrders.Store(&zoneOrders{changes, zones})
	return zones
}

// order sorts the VMs of a zone: strong ones first, which have at least half of
// the strength of the strongest, then by rendezvous hashing.
func order(z zone.ID, vms []vm.VM) []vm.VM {
	strongest := 0
	for _, v := range vms {
		strongest = max(strongest, v.Strength)
	}
	ranked := vm.MemberList{VMs: vms}.Rank(vm.Role{Kind: relayRole, Name: string(z)})
	slices.SortStableFunc(ranked, func(a, b vm.VM) int {
		return cmp.Compare(weakness(a, strongest), weakness(b, strongest))
	})
	return ranked
}

func weakness(v vm.VM, strongest int) int {
	if 2*v.Strength >= strongest {
		return 0
	}
	return 1
}

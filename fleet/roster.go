package fleet

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"almondstile/shard"
	"almondstile/vm"
	"almondstile/zone"
)

const (
	// RelaysPerZone is the number of VMs of a zone that forward messages. With two
	// relays, the loss of one leaves no gap in messages.
	RelaysPerZone = 2
	// relayTimeout is the time without a message after which a relay is replaced.
	// Relays send at least every 200 ms.
	relayTimeout = 500 * time.Millisecond
	// takeoverStep is the wait before a VM becomes a relay, per place in the relay
	// order behind the first RelaysPerZone VMs. maxTakeoverSteps bounds the number
	// of steps.
	takeoverStep     = 60 * time.Millisecond
	maxTakeoverSteps = 10
	// relayRole is the role whose rank gives the relay order of a zone's VMs.
	relayRole vm.RoleKind = "relay"
)

// member holds what this VM knows of another VM.
type member struct {
	vm vm.VM
	// lastRelayMessage is the time of its last message as a relay of its zone.
	lastRelayMessage time.Time
	// lastMessage is the time of its last message to this VM. learnedAt is the time
	// at which this VM first learned of it.
	lastMessage, learnedAt time.Time
	// started is the time at which its process started.
	started time.Time
	// silence is the last period in which relays of this VM's zone reported it as silent.
	silence silence
}

// Roster holds one VM's view of the fleet. It is safe for concurrent use.
type Roster struct {
	self    vm.VM
	started time.Time
	// mu guards relayMissingSince and relayingSince. relayMissingSince is the time
	// since which fewer than RelaysPerZone live relays have preceded this VM in the
	// relay order. relayingSince is the time since which this VM has been a relay.
	// Each is the zero time while its condition does not hold.
	mu                               sync.Mutex
	relayMissingSince, relayingSince time.Time
	relayOrders                      relayOrders
	members                          shard.Map[vm.ID, *member]
	// zoneReports holds the latest report of each zone, received from the zone or
	// from a relay of this VM's zone. directReports holds only what this VM received
	// from the zone itself, which it may forward as a relay.
	zoneReports, directReports shard.Map[zone.ID, zoneReport]
	// lastReceiptBy holds for each zone the time at which its VMs last received a
	// message of this VM, or of its zone, according to their reports.
	lastReceiptBy shard.Map[zone.ID, time.Time]
	// silentZones holds for each zone the last period in which no message of it arrived.
	silentZones     shard.Map[zone.ID, silence]
	connectionTimer connectionTimer
}

// NewRoster returns a roster that contains only this VM, whose process starts now.
func NewRoster(now time.Time, self vm.VM) *Roster {
	r := &Roster{self: self, started: now}
	r.relayOrders.update(vm.VM{}, self)
	return r
}

// Self returns this VM.
func (r *Roster) Self() vm.VM { return r.self }

// Learn adds a VM that was reported by another VM or by the member list, or updates
// its address and zone. It reports whether anything changed. Without an incarnation,
// v does not change a VM that has sent a message to this one. Learn ignores this VM
// and VMs without an ID or a control address.
func (r *Roster) Learn(now time.Time, v vm.VM) (changed bool) {
	if v.ID == r.self.ID || v.ID == "" || v.ControlAddress == "" {
		return false
	}
	r.members.Do(v.ID, func() *member { return &member{learnedAt: now} }, func(m *member) {
		if m.vm.ControlAddress == v.ControlAddress && m.vm.Zone == v.Zone {
			return
		}
		if !m.lastMessage.IsZero() && v.Incarnation == "" {
			return // the VM's own messages take precedence over reports by others
		}
		r.relayOrders.update(m.vm, v)
		m.vm, changed = v, true
	})
	return changed
}

// RecordMessage records a message that was received from the VM itself. uptime is
// the time for which its process has run, and relay whether it relays for its zone.
// restarted is true for the first message of a new incarnation. gap is the silence
// that the message ended, if the VM is in this VM's zone and has not restarted.
func (r *Roster) RecordMessage(now time.Time, v vm.VM, relay bool, uptime time.Duration) (restarted bool, gap Gap) {
	if v.ID == r.self.ID {
		return false, Gap{}
	}
	var last time.Time // its previous message
	var reported silence
	r.members.Do(v.ID, func() *member { return &member{learnedAt: now} }, func(m *member) {
		restarted, last, reported = m.vm.Incarnation != v.Incarnation, m.lastMessage, m.silence
		if m.vm != v {
			r.relayOrders.update(m.vm, v)
		}
		m.vm, m.lastMessage, m.started = v, now, now.Add(-uptime)
		if relay {
			m.lastRelayMessage = now
		}
	})
	if !restarted && v.Zone == r.self.Zone {
		gap = r.gapOf(now, last, reported)
	}
	r.recordZoneMessage(now, v.Zone, now)
	updateReport(&r.directReports, v.Zone, func(report *zoneReport) { report.lastMessage = now })
	return restarted, gap
}

// Others returns all known VMs except this one.
func (r *Roster) Others() []vm.VM {
	var out []vm.VM
	r.members.Range(func(_ vm.ID, m *member) bool {
		out = append(out, m.vm)
		return true
	})
	return out
}

// OthersInZone returns the known VMs of a zone except this one, in relay order.
func (r *Roster) OthersInZone(z zone.ID) []vm.VM {
	var out []vm.VM
	for _, v := range r.relayOrders.zone(z) {
		if v.ID != r.self.ID {
			out = append(out, v)
		}
	}
	return out
}

// Relays returns the live relays of the zone in relay order, at most RelaysPerZone.
// For its own zone, this VM counts as one of them, whether it relays or not.
func (r *Roster) Relays(now time.Time, z zone.ID) []vm.VM {
	var out []vm.VM
	for _, v := range r.relayOrders.zone(z) {
		if len(out) == RelaysPerZone {
			break
		}
		if v.ID == r.self.ID || r.isLiveRelay(now, v.ID) {
			out = append(out, v)
		}
	}
	return out
}

// Rank returns the number of live relays of this VM's zone that precede it in the
// relay order: 0 for the first relay. It is at most RelaysPerZone, which all VMs have
// that don't relay.
func (r *Roster) Rank(now time.Time) int {
	rank := 0
	for _, v := range r.relayOrders.zone(r.self.Zone) {
		if v.ID == r.self.ID || rank == RelaysPerZone {
			break
		}
		if r.isLiveRelay(now, v.ID) {
			rank++
		}
	}
	return rank
}

// IsRelay reports whether this VM relays for its zone. It does if fewer than
// RelaysPerZone live relays precede it in the relay order. VMs further down the
// order wait longer before they replace a silent relay, so that not all of them
// become relays at once.
func (r *Roster) IsRelay(now time.Time) bool {
	relays := r.shouldRelay(now)
	r.setRelaying(now, relays)
	return relays
}

// shouldRelay decides whether this VM relays, and records since when a relay has
// been missing.
func (r *Roster) shouldRelay(now time.Time) bool {
	if r.Rank(now) >= RelaysPerZone {
		r.setRelayMissing(time.Time{})
		return false
	}
	since := r.setRelayMissing(now)
	place := slices.IndexFunc(r.relayOrders.zone(r.self.Zone), func(v vm.VM) bool { return v.ID == r.self.ID })
	wait := time.Duration(min(max(place-RelaysPerZone+1, 0), maxTakeoverSteps)) * takeoverStep
	return now.Sub(since) >= wait
}

// setRelayMissing records that a relay is missing at the time now, or that none is
// if now is the zero time. It returns the time since which one has been missing.
func (r *Roster) setRelayMissing(now time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.IsZero() || r.relayMissingSince.IsZero() {
		r.relayMissingSince = now
	}
	return r.relayMissingSince
}

// setRelaying records whether this VM relays, and since when.
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

// RemoteContact returns the VM of another zone to which this VM, a relay, sends its
// messages, as a slice of at most one VM. Each relay of this zone gets a different
// relay there, so that a change arrives on two paths with little traffic between
// zones. If the zone has no live relay, the result is a random VM of the zone.
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

// Zones returns the zones of all known VMs, starting with this VM's zone.
func (r *Roster) Zones() []zone.ID {
	out := []zone.ID{r.self.Zone}
	for _, z := range r.relayOrders.zones() {
		if z != r.self.Zone {
			out = append(out, z)
		}
	}
	return out
}

// Size returns the number of known VMs, this one included.
func (r *Roster) Size() int { return r.members.Len() + 1 }

// isLiveRelay reports whether the VM has sent a message as a relay within
// relayTimeout.
func (r *Roster) isLiveRelay(now time.Time, id vm.ID) bool {
	live := false
	r.members.DoExisting(id, func(m *member) {
		live = !m.lastRelayMessage.IsZero() && now.Sub(m.lastRelayMessage) < relayTimeout
	})
	return live
}

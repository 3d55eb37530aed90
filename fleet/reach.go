package fleet

import (
	"slices"
	"time"

	"almondstile/shard"
	"almondstile/vm"
	"almondstile/zone"

	"github.com/cespare/xxhash/v2"
)

const (
	// zoneSilence is the time since a zone was last heard, by this VM or by a
	// relay of its zone, after which it counts as unreachable. It is little more
	// than two heartbeats, so that the loss of one message changes nothing.
	zoneSilence = 550 * time.Millisecond
	// memberSilence is the time without a message of a VM after which the relays
	// of its zone call it silent: three heartbeats.
	memberSilence = 700 * time.Millisecond
	// memberAbsence is the time without a message after which a VM no longer
	// counts as one of its zone. Until then VMs that are gone cannot be told from
	// VMs that are cut off, and keep their part of the teams' rates.
	memberAbsence = 5 * time.Minute
	// settleTime is the uptime from which a VM counts with the census of relays.
	// Before it, the VMs of a fleet that starts were not all heard by their relays
	// yet, and a zone that is heard counts as whole.
	settleTime = 1 * time.Second
	// censusMemory is how long a relay's count of its zone holds against a lower
	// one: more than a heartbeat, so that a relay that has just begun and was not
	// heard by all VMs yet does not hide what the other one counts.
	censusMemory = 300 * time.Millisecond
	// MaxSilentVMs bounds the list of silent VMs in a message: two fifths of the 60
	// VMs that a zone has at the size of two years.
	MaxSilentVMs = 24
)

// Mark identifies a VM in lists of silent ones.
type VMHash uint64

// VMHashOf returns the mark of a VM.
func VMHashOf(id vm.ID) VMHash { return VMHash(xxhash.Sum64String(string(id))) }

// Census is a relay's count of its zone.
type MemberCount struct {
	// Present VMs were heard a moment ago, of Size that the zone has. They include
	// the relay.
	Live, Total int
}

// zoneReport is the last that a VM heard of a zone.
type zoneReport struct {
	at       time.Time
	census   MemberCount
	censusAt time.Time
	// alone says, of this VM's zone, that its relays do not hear this VM.
	alone bool
}

// ZoneStatus says how long ago a VM last heard a zone, and the zone's census.
type ZoneStatus struct {
	Zone    zone.ID
	Age     time.Duration
	Members MemberCount
}

// Connected notes the zones that a relay of this VM's zone hears.
func (r *Roster) RecordLocalRelayReport(now time.Time, zones []ZoneStatus) {
	for _, z := range zones {
		if z.Zone != r.self.Zone {
			note(&r.zones, z.Zone, func(known *zoneReport) { known.count(now, z.Members) })
			r.heardZone(now, z.Zone, now.Add(-z.Age))
		}
	}
}

// Gap is a time in which VMs did not hear each other.
type Gap struct {
	// Over says that it has just ended; the zero Gap says nothing.
	Ended bool
	// Since is when it began, or somewhat earlier.
	Since time.Time
}

// gapOf returns the gap between two messages, if it is longer than the silence.
func gapOf(last, next time.Time, silence time.Duration) Gap {
	if last.IsZero() || next.Sub(last) <= silence {
		return Gap{}
	}
	return Gap{Ended: true, Since: last.Add(-silence)}
}

// RecordRemoteRelayReport notes which zones a relay of another zone hears. The gap tells
// that it hears this VM's zone again.
func (r *Roster) RecordRemoteRelayReport(now time.Time, z zone.ID, zones []ZoneStatus) Gap {
	i := slices.IndexFunc(zones, func(h ZoneStatus) bool { return h.Zone == r.self.Zone })
	if i < 0 {
		return Gap{}
	}
	return r.confirm(z, now.Add(-zones[i].Age), zoneSilence)
}

// count takes over a census unless it is lower than one that still holds.
func (w *zoneReport) count(now time.Time, c MemberCount) {
	if c.Total > 0 && (c.Live >= w.census.Live || now.Sub(w.censusAt) > censusMemory) {
		w.census, w.censusAt = c, now
	}
}

// Counted notes the census of a zone by one of its relays, and which VMs the
// relay heard before and no longer hears. The gap tells that the relays of this
// VM's zone hear this VM again.
func (r *Roster) RecordMemberCount(now time.Time, z zone.ID, c MemberCount, silent []VMHash) Gap {
	alone := z == r.self.Zone && slices.Contains(silent, VMHashOf(r.self.ID))
	note(&r.zones, z, func(known *zoneReport) {
		known.count(now, c)
		known.alone = alone
	})
	note(&r.direct, z, func(known *zoneReport) { known.count(now, c) })
	if alone || z != r.self.Zone {
		return Gap{}
	}
	return r.confirm(z, now, memberSilence)
}

// confirm notes that VMs of the zone heard this VM at the time.
func (r *Roster) confirm(z zone.ID, at time.Time, silence time.Duration) (gap Gap) {
	r.confirmed.Update(z, func(last time.Time, _ bool) (time.Time, bool) {
		if !at.After(last) {
			return last, true
		}
		gap = gapOf(last, at, silence)
		return at, true
	})
	return gap
}

func note(reports *shard.Map[zone.ID, zoneReport], z zone.ID, change func(known *zoneReport)) {
	reports.Update(z, func(known zoneReport, _ bool) (zoneReport, bool) {
		change(&known)
		return known, true
	})
}

// ReachableZones returns the zones whose messages arrive at this VM itself.
func (r *Roster) ReachableZones(now time.Time) []ZoneStatus {
	var out []ZoneStatus
	r.direct.Range(func(z zone.ID, known zoneReport) bool {
		if age := now.Sub(known.at); age < zoneSilence {
			out = append(out, ZoneStatus{z, age, known.census})
		}
		return true
	})
	return out
}

// Count returns the census of this VM's zone as this VM, a relay, has it, and the
// VMs that it heard since it began to relay and does not hear any more, at most
// MaxSilentVMs.
func (r *Roster) CountMembers(now time.Time) (c MemberCount, silent []VMHash) {
	r.mu.Lock()
	since := r.relayingSince
	r.mu.Unlock()
	c = MemberCount{Live: 1, Total: 1}
	r.members.Range(func(id vm.ID, m *member) bool {
		if m.vm.Zone != r.self.Zone {
			return true
		}
		known := m.learned
		if m.heard.After(known) {
			known = m.heard
		}
		if now.Sub(known) < memberAbsence {
			c.Total++
		}
		switch {
		case now.Sub(m.heard) < memberSilence:
			c.Live++
		case !since.IsZero() && m.heard.After(since) && len(silent) < MaxSilentVMs:
			silent = append(silent, VMHashOf(id))
		}
		return true
	})
	return c, silent
}

// Reach returns the part of the fleet whose admissions this VM hears of and that
// hears of its own: the VMs that the relays of the zones count, as long as the
// zones are heard. A VM that its relays do not hear counts alone. Groups of VMs
// that are cut off from each other have parts that add up to 1 at most, also if
// each has VMs of all zones.
func (r *Roster) ConnectedShare(now time.Time) float64 {
	total, reached := 0.0, 0.0
	for z, vms := range r.orders() {
		size, present := r.reached(now, z, len(vms))
		total += size
		reached += present
	}
	return reached / total
}

// reached returns the size of a zone of which this VM knows some VMs, and how many
// are in reach, this VM included.
func (r *Roster) reached(now time.Time, z zone.ID, known int) (size, present float64) {
	own, _ := r.zones.Load(r.self.Zone)
	w, _ := r.zones.Load(z)
	size = float64(max(known, w.census.Total))
	if w.census.Total > 0 {
		size = float64(w.census.Total)
	}
	switch {
	case own.alone || !r.zoneHeard(now, z):
	case now.Sub(r.started) < settleTime:
		present = size
	default:
		present = min(float64(w.census.Live), size)
	}
	if z == r.self.Zone {
		present = max(present, 1)
	}
	return size, present
}

func (r *Roster) zoneHeard(now time.Time, z zone.ID) bool {
	known, ok := r.zones.Load(z)
	return ok && !known.at.IsZero() && now.Sub(known.at) < zoneSilence
}

package fleet

import (
	"slices"
	"time"

	"almondstile/vm"
	"almondstile/zone"
)

// takeoverMemory is how long before this VM began to relay the reports of the relays before
// it still count. It exceeds the time in which a silent relay is replaced.
const takeoverMemory = 1500 * time.Millisecond

// Gap is a period in which messages between VMs did not arrive. The zero Gap
// means that there was none.
type Gap struct {
	// Ended is true if the gap has just ended.
	Ended bool
	// Since is the start of the gap, or a time shortly before it.
	Since time.Time
}

// gapBetween returns the gap between two messages, or the zero Gap if they are at
// most the timeout apart. The zero time for last means no earlier message.
func gapBetween(last, next time.Time, timeout time.Duration) Gap {
	if last.IsZero() || next.Sub(last) <= timeout {
		return Gap{}
	}
	return Gap{Ended: true, Since: last.Add(-timeout)}
}

// silence is a period in which a VM is known not to be received, by the relays of its zone or,
// for the VMs of a whole zone, by this VM's zone.
type silence struct{ first, last time.Time }

// extend returns the silence with one more report. Reports that are far apart are of different
// silences.
func (s silence) extend(now time.Time) silence {
	if s.last.IsZero() || now.Sub(s.last) > takeoverMemory {
		s.first = now
	}
	s.last = now
	return s
}

// relayedSince returns the time since which this VM has relayed, or the zero time if it does
// not relay.
func (r *Roster) relayedSince() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.relayingSince
}

// recordSilent records that a relay of this VM's zone reports VMs as silent.
func (r *Roster) recordSilent(now time.Time, silent []VMHash) {
	if len(silent) == 0 {
		return
	}
	r.members.Range(func(id vm.ID, m *member) bool {
		if m.vm.Zone == r.self.Zone && slices.Contains(silent, VMHashOf(id)) {
			m.silence = m.silence.extend(now)
		}
		return true
	})
}

// gapOf returns the gap that a message of a VM of this VM's zone ends. VMs send to relays only,
// so that the time in which this VM did not relay shows nothing. For the time before it, the
// reports of the other relays count. last is the time of the previous message, and reported the
// period in which relays reported the VM as silent.
func (r *Roster) gapOf(now, last time.Time, reported silence) Gap {
	since := r.relayedSince()
	if since.IsZero() {
		return Gap{}
	}
	if last.After(since) {
		return gapBetween(last, now, memberTimeout)
	}
	if reported.last.IsZero() || reported.last.Before(since.Add(-takeoverMemory)) {
		return Gap{}
	}
	return Gap{Ended: true, Since: reported.first.Add(-2 * memberTimeout)}
}

// gapTo returns the gap that ends when another zone receives messages of this VM's zone again.
// Only relays send to other zones, so that the time in which this VM did not relay shows
// nothing, unless no messages of that zone arrived either. last is the time at which that zone
// received one before.
func (r *Roster) gapTo(z zone.ID, now, last time.Time) Gap {
	since := r.relayedSince()
	if since.IsZero() {
		return Gap{}
	}
	if last.After(since) {
		return gapBetween(last, now, zoneTimeout)
	}
	cut, ok := r.silentZones.Load(z)
	if !ok || cut.last.Before(since.Add(-takeoverMemory)) {
		return Gap{}
	}
	r.silentZones.Delete(z)
	return Gap{Ended: true, Since: cut.first.Add(-zoneTimeout)}
}

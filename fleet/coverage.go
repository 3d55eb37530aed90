package fleet

import (
	"sync"
	"time"

	"almondstile/vm"
	"almondstile/zone"
)

// startSpread is by how much the starts of VMs differ that were all down.
const startSpread = 1 * time.Second

// Coverage is time for which a VM heard, or missed, what the fleet admitted.
type ConnectionTime struct {
	// Covered passes while the VM hears the fleet: of each zone's part of the
	// fleet it counts the time up to the zone's last message.
	Connected time.Duration
	// Missed counts the times in which others were cut off from this VM, of each
	// zone's part, when they are over.
	Disconnected time.Duration
}

// coverage counts the time for which this VM hears the fleet.
type coverage struct {
	mu    sync.Mutex
	total ConnectionTime
	// zones holds the time up to which each zone was counted, own is the same of
	// this VM itself.
	own   time.Time
	zones map[zone.ID]time.Time
}

// Coverage returns for how long this VM heard the fleet. What a team may send in
// the time since a zone's last message is not taken for granted, because
// the zone may be using it up.
func (r *Roster) ConnectionTime(now time.Time) ConnectionTime {
	c := &r.coverage
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.own.IsZero() {
		c.own = r.started
	}
	if now.After(c.own) {
		c.total.Connected += time.Duration(float64(now.Sub(c.own)) / r.size(now))
		c.own = now
	}
	return c.total
}

// heardZone notes that the zone was heard at the time and counts the time before.
func (r *Roster) heardZone(now time.Time, z zone.ID, at time.Time) {
	note(&r.zones, z, func(known *zoneReport) {
		if at.After(known.at) {
			known.at = at
		}
	})
	size, reached := r.reached(now, z, len(r.rank(z)))
	if z == r.self.Zone {
		size, reached = size-1, reached-1
	}
	c := &r.coverage
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.zones == nil {
		c.zones = make(map[zone.ID]time.Time)
	}
	from, seen := c.zones[z]
	if !seen {
		from = r.started
	}
	if at.After(from) {
		c.add(at.Sub(from), size, reached, r.size(now))
		c.zones[z] = at
	}
}

// size returns the number of VMs of the fleet as the relays count them.
func (r *Roster) size(now time.Time) float64 {
	total := 0.0
	for z, vms := range r.orders() {
		size, _ := r.reached(now, z, len(vms))
		total += size
	}
	return total
}

// add counts the time between two messages of VMs of which some are in reach. A gap
// longer than zoneSilence was a cut, in which they had their part for themselves.
func (c *coverage) add(d time.Duration, vms, reached, total float64) {
	if d > zoneSilence {
		reached = 0
	}
	c.total.Connected += time.Duration(float64(d) * reached / total)
	c.total.Disconnected += time.Duration(float64(d) * (vms - reached) / total)
}

// New reports whether this VM and all VMs that it hears have just started, so
// that no VM was at work a moment before. It says no while no other VM was heard.
func (r *Roster) AllStartedRecently(now time.Time) bool {
	heard, old := 0, 0
	r.members.Range(func(_ vm.ID, m *member) bool {
		if now.Sub(m.heard) < memberSilence {
			heard++
			if r.started.Sub(m.started) > startSpread {
				old++
			}
		}
		return true
	})
	return heard > 0 && old == 0
}

package fleet

import (
	"sync"
	"time"

	"almondstile/vm"
	"almondstile/zone"
)

// startSpread is the largest difference between the start times of VMs that
// start together after all of them were down.
const startSpread = 1 * time.Second

// ConnectionTime sums the time for which a VM received, or did not receive, the
// admission counts of the fleet. Each zone contributes in proportion to its share
// of the fleet's VMs, so one second of full connection adds one second.
type ConnectionTime struct {
	// Connected is the time of connection. The share of each zone is counted up
	// to the zone's last message.
	Connected time.Duration
	// Disconnected is the time for which VMs were cut off from this VM. The share
	// of a zone is added when its messages arrive again.
	Disconnected time.Duration
}

// connectionTimer accumulates the ConnectionTime of this VM.
type connectionTimer struct {
	mu    sync.Mutex
	total ConnectionTime
	// selfCountedUntil is the time up to which total includes this VM's own share.
	// zoneCountedUntil is the same for the share of the other VMs of each zone.
	selfCountedUntil time.Time
	zoneCountedUntil map[zone.ID]time.Time
}

// ConnectionTime returns how long this VM has been connected with the fleet. It
// leaves out a zone's share of the time since the zone's last message: the zone
// may be admitting requests in that time that use up a team's rate.
func (r *Roster) ConnectionTime(now time.Time) ConnectionTime {
	c := &r.connectionTimer
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.selfCountedUntil.IsZero() {
		c.selfCountedUntil = r.started
	}
	if now.After(c.selfCountedUntil) {
		c.total.Connected += time.Duration(float64(now.Sub(c.selfCountedUntil)) / r.fleetSize(now))
		c.selfCountedUntil = now
	}
	return c.total
}

// recordZoneMessage records that a message of a VM of zone z was received at the
// time at, by this VM or by a relay of this VM's zone. It adds the zone's connection
// time up to then, without this VM's own share, which the method ConnectionTime adds.
func (r *Roster) recordZoneMessage(now time.Time, z zone.ID, at time.Time) {
	updateReport(&r.zoneReports, z, func(report *zoneReport) {
		if at.After(report.lastMessage) {
			report.lastMessage = at
		}
	})
	total, connected := r.zoneMembers(now, z, len(r.relayOrders.zone(z)))
	if z == r.self.Zone {
		total, connected = total-1, connected-1
	}
	c := &r.connectionTimer
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.zoneCountedUntil == nil {
		c.zoneCountedUntil = make(map[zone.ID]time.Time)
	}
	from, counted := c.zoneCountedUntil[z]
	if !counted {
		from = r.started
	}
	if counted && at.Sub(from) > zoneTimeout {
		r.silentZones.Store(z, silence{first: from, last: at})
	}
	if at.After(from) {
		c.add(at.Sub(from), total, connected, r.fleetSize(now))
		c.zoneCountedUntil[z] = at
	}
}

// fleetSize returns the number of VMs of the fleet according to the relays'
// member counts.
func (r *Roster) fleetSize(now time.Time) float64 {
	total := 0.0
	for z, order := range r.relayOrders.load() {
		members, _ := r.zoneMembers(now, z, len(order.relays))
		total += members
	}
	return total
}

// add counts the time d between two messages of a zone that has the given number
// of members, some of them connected with this VM. A gap longer than zoneTimeout
// was a network partition: the zone's VMs used their share of the rates without
// this VM learning of it, so all of them count as disconnected.
func (c *connectionTimer) add(d time.Duration, members, connected, fleetSize float64) {
	if d > zoneTimeout {
		connected = 0
	}
	c.total.Connected += time.Duration(float64(d) * connected / fleetSize)
	c.total.Disconnected += time.Duration(float64(d) * (members - connected) / fleetSize)
}

// AllStartedRecently reports whether no live VM started more than startSpread
// before this one, so that the fleet admitted no requests before its start. It
// returns false until a message of another VM has been received.
func (r *Roster) AllStartedRecently(now time.Time) bool {
	live, older := r.countLive(now)
	return live > 0 && older == 0
}

// OlderVMsLive reports whether this VM receives messages from a VM that started more
// than startSpread before it.
func (r *Roster) OlderVMsLive(now time.Time) bool {
	_, older := r.countLive(now)
	return older > 0
}

// countLive returns the number of other VMs that this VM receives messages from, and
// how many of them started more than startSpread before it.
func (r *Roster) countLive(now time.Time) (live, older int) {
	r.members.Range(func(_ vm.ID, m *member) bool {
		if now.Sub(m.lastMessage) < memberTimeout {
			live++
			if r.started.Sub(m.started) > startSpread {
				older++
			}
		}
		return true
	})
	return live, older
}

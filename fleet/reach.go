package fleet

import (
	"slices"
	"sync"
	"time"

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
	// memberAbsence is the time without a message after which a VM counts as
	// gone, not as cut off. It is twice the longest usual window of a quota: a VM
	// that is cut off longer adds its own share only.
	memberAbsence = 10 * time.Second
	// mostSilent is the largest part of a zone that is left out as silent. VMs
	// that were killed cannot be told from VMs that are cut off, and the teams'
	// rates must not go with them.
	mostSilent = 0.4
	// maxSilent bounds the list of silent VMs in a message: mostSilent of the 60
	// VMs that a zone has at the size of two years.
	maxSilent = 24
)

// Mark identifies a VM in lists of silent ones.
type Mark uint64

// MarkOf returns the mark of a VM.
func MarkOf(id vm.ID) Mark { return Mark(xxhash.Sum64String(string(id))) }

// word is the last that a VM heard of a zone.
type word struct {
	at time.Time
	// silent is the number of VMs that the zone's relays do not hear. Of this
	// VM's zone, alone says that this VM is one of them.
	silent int
	alone  bool
}

// HeardZone says how long ago a VM last heard a zone, and how many VMs there the
// zone's relays do not hear.
type HeardZone struct {
	Zone   zone.ID
	Age    time.Duration
	Silent int
}

// coverage counts the time for which this VM has the word of the fleet.
type coverage struct {
	mu    sync.Mutex
	total time.Duration
	// started is the time of the first count, own the time up to which this VM
	// counted itself, zones up to which it counted others.
	started, own time.Time
	zones        map[zone.ID]time.Time
}

// Connected notes the zones that a relay of this VM's zone hears.
func (r *Roster) Connected(now time.Time, zones []HeardZone) {
	for _, z := range zones {
		if z.Zone != r.self.Zone {
			r.noteZone(z.Zone, func(known *word) {
				known.silent = z.Silent
				if at := now.Add(-z.Age); at.After(known.at) {
					known.at = at
				}
			})
		}
	}
}

// HeardSilent notes the VMs of a zone that one of its relays does not hear.
func (r *Roster) HeardSilent(z zone.ID, silent []Mark) {
	r.noteZone(z, func(known *word) {
		known.silent = len(silent)
		known.alone = z == r.self.Zone && slices.Contains(silent, MarkOf(r.self.ID))
	})
}

func (r *Roster) noteZone(z zone.ID, change func(known *word)) {
	r.zones.Update(z, func(known word, _ bool) (word, bool) {
		change(&known)
		return known, true
	})
}

// HeardZones returns the zones whose messages arrive at this VM itself.
func (r *Roster) HeardZones(now time.Time) []HeardZone {
	var out []HeardZone
	r.direct.Range(func(z zone.ID, at time.Time) bool {
		if age := now.Sub(at); age < zoneSilence {
			known, _ := r.zones.Load(z)
			out = append(out, HeardZone{z, age, known.silent})
		}
		return true
	})
	return out
}

// Silent returns the VMs of this VM's zone that it, a relay, heard and does not
// hear any more, at most maxSilent. VMs that fell silent before it began to relay
// are not known.
func (r *Roster) Silent(now time.Time) []Mark {
	r.mu.Lock()
	since := r.relayingSince
	r.mu.Unlock()
	var out []Mark
	if since.IsZero() {
		return out
	}
	r.members.Range(func(id vm.ID, m *member) bool {
		age := now.Sub(m.heard)
		if m.vm.Zone == r.self.Zone && m.heard.After(since) && age >= memberSilence && age < memberAbsence && len(out) < maxSilent {
			out = append(out, MarkOf(id))
		}
		return true
	})
	return out
}

// Share returns the part of the fleet that this VM is connected with: all VMs
// of the zones that it hears, or only itself if it hears no other.
func (r *Roster) Share(now time.Time) float64 {
	total, connected := 0, 0
	for z, vms := range r.orders() {
		total += len(vms)
		switch {
		case r.zoneHeard(now, z):
			connected += len(vms)
		case z == r.self.Zone:
			connected++
		}
	}
	return float64(connected) / float64(total)
}

// Reach returns the part of the fleet whose admissions this VM hears of and that
// hears of its own. It is Share without the VMs that their relays call silent;
// a VM that is called silent itself counts alone. Groups of VMs that are cut off
// from each other have parts that add up to 1 at most, as long as no more than
// mostSilent of a zone is cut off alone.
func (r *Roster) Reach(now time.Time) float64 {
	total, connected := 0, 0.0
	for z, vms := range r.orders() {
		total += len(vms)
		connected += r.reached(now, z, len(vms))
	}
	return connected / float64(total)
}

// reached returns how many of the zone's VMs, size in all, are in reach.
func (r *Roster) reached(now time.Time, z zone.ID, size int) float64 {
	own, _ := r.zones.Load(r.self.Zone)
	if !own.alone && r.zoneHeard(now, z) {
		known, _ := r.zones.Load(z)
		return float64(size) - min(float64(known.silent), mostSilent*float64(size))
	}
	if z == r.self.Zone {
		return 1
	}
	return 0
}

// Covered returns a time that passes while this VM has the word of the fleet. Of
// each zone's part of the fleet it counts the time up to the zone's last word.
// So what a team may send in the time since is not taken for granted while
// another zone may be using it up. The time of a cut is not made up for, beyond
// zoneSilence.
func (r *Roster) Covered(now time.Time) time.Duration {
	orders := r.orders()
	total := 0
	for _, vms := range orders {
		total += len(vms)
	}
	c := &r.coverage
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.zones == nil {
		c.started, c.own, c.zones = now, now, make(map[zone.ID]time.Time)
	}
	part := func(from, to time.Time, vms float64) {
		if from.IsZero() {
			from = c.started
		}
		c.total += time.Duration(float64(min(to.Sub(from), zoneSilence)) * vms / float64(total))
	}
	if now.After(c.own) {
		part(c.own, now, 1)
		c.own = now
	}
	for z, vms := range orders {
		known, _ := r.zones.Load(z)
		others := r.reached(now, z, len(vms))
		if z == r.self.Zone {
			others--
		}
		if known.at.After(c.zones[z]) && known.at.After(c.started) {
			part(c.zones[z], known.at, others)
			c.zones[z] = known.at
		}
	}
	return c.total
}

func (r *Roster) zoneHeard(now time.Time, z zone.ID) bool {
	known, ok := r.zones.Load(z)
	return ok && !known.at.IsZero() && now.Sub(known.at) < zoneSilence
}

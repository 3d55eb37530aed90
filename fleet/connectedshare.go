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
	// zoneTimeout is the time after which a zone counts as unreachable if neither
	// this VM nor a relay of this VM's zone receives a message of it. It is a little
	// more than two heartbeats, so that the loss of one message changes nothing.
	zoneTimeout = 550 * time.Millisecond
	// memberTimeout is the time without a message of a VM after which the relays
	// of its zone report it as silent. It is a little more than three heartbeats.
	memberTimeout = 700 * time.Millisecond
	// memberExpiry is the time without a message after which a VM no longer counts
	// as a member of its zone. Until then, a VM that has stopped cannot be told from
	// one that is cut off, so it keeps its share of the teams' rates.
	memberExpiry = 5 * time.Minute
	// countWarmup is the uptime from which a VM uses the live counts of the relays.
	// Before it, relays of a starting fleet have not yet received messages from all
	// VMs, and all members of a reachable zone count as connected.
	countWarmup = 1 * time.Second
	// memberCountHold is how long a relay's member count is kept when another relay
	// reports a lower one. It is longer than a heartbeat: a new relay that has not
	// yet exchanged messages with all VMs must not replace the other relay's count.
	memberCountHold = 300 * time.Millisecond
	// MaxSilentVMs bounds the list of silent VMs in a message. It is two fifths of
	// the 60 VMs that a zone is planned to have in two years.
	MaxSilentVMs = 24
)

// VMHash is a hash of a VM's ID and identifies the VM in lists of silent VMs.
type VMHash uint64

// VMHashOf returns the hash of a VM's ID.
func VMHashOf(id vm.ID) VMHash { return VMHash(xxhash.Sum64String(string(id))) }

// MemberCount is a relay's count of the VMs of its zone, the relay included.
type MemberCount struct {
	// Live is the number of VMs whose last message is younger than memberTimeout,
	// and Total the number of members of the zone.
	Live, Total int
}

// zoneReport is the latest information that a VM received about a zone.
type zoneReport struct {
	lastMessage time.Time
	members     MemberCount
	countedAt   time.Time
	// selfSilent is used for this VM's own zone and means that its relays report
	// this VM as silent.
	selfSilent bool
}

// ZoneStatus is the time since a VM last received a message of a zone, and the
// zone's member count.
type ZoneStatus struct {
	Zone    zone.ID
	Age     time.Duration
	Members MemberCount
}

// RecordLocalRelayReport records the zones from which a relay of this VM's zone
// receives messages, and their member counts. It ignores this VM's own zone.
func (r *Roster) RecordLocalRelayReport(now time.Time, zones []ZoneStatus) {
	for _, z := range zones {
		if z.Zone != r.self.Zone {
			updateReport(&r.zoneReports, z.Zone, func(report *zoneReport) { report.applyMemberCount(now, z.Members) })
			r.recordZoneMessage(now, z.Zone, now.Add(-z.Age))
		}
	}
}

// RecordRemoteRelayReport records the zones from which a relay of another zone z
// receives messages. It returns the gap that the report ends if the relay receives
// messages of this VM's zone again, else the zero Gap.
func (r *Roster) RecordRemoteRelayReport(now time.Time, z zone.ID, zones []ZoneStatus) Gap {
	i := slices.IndexFunc(zones, func(status ZoneStatus) bool { return status.Zone == r.self.Zone })
	if i < 0 {
		return Gap{}
	}
	at := now.Add(-zones[i].Age)
	last, newer := r.recordReceiptBy(z, at)
	if !newer {
		return Gap{}
	}
	return r.gapTo(z, at, last)
}

// applyMemberCount replaces the member count unless the new one has fewer live VMs
// and the old one is at most memberCountHold old. A zero Total means no count.
func (r *zoneReport) applyMemberCount(now time.Time, c MemberCount) {
	if c.Total > 0 && (c.Live >= r.members.Live || now.Sub(r.countedAt) > memberCountHold) {
		r.members, r.countedAt = c, now
	}
}

// RecordMemberCount records the member count of a zone by one of its relays, and
// the VMs that the relay reports as silent. It returns the gap that the report ends
// if z is this VM's zone and its relays receive messages of this VM again, else the
// zero Gap.
func (r *Roster) RecordMemberCount(now time.Time, z zone.ID, c MemberCount, silent []VMHash) Gap {
	selfSilent := z == r.self.Zone && slices.Contains(silent, VMHashOf(r.self.ID))
	updateReport(&r.zoneReports, z, func(report *zoneReport) {
		report.applyMemberCount(now, c)
		report.selfSilent = selfSilent
	})
	updateReport(&r.directReports, z, func(report *zoneReport) { report.applyMemberCount(now, c) })
	if z != r.self.Zone {
		return Gap{}
	}
	r.recordSilent(now, silent)
	if selfSilent {
		return Gap{}
	}
	last, _ := r.recordReceiptBy(z, now)
	return gapBetween(last, now, memberTimeout)
}

// recordReceiptBy records that VMs of zone z received a message of this VM, or of
// its zone, at the given time. It returns the time of the one before, and whether the new
// one is later.
func (r *Roster) recordReceiptBy(z zone.ID, at time.Time) (last time.Time, newer bool) {
	r.lastReceiptBy.Update(z, func(before time.Time, _ bool) (time.Time, bool) {
		last, newer = before, at.After(before)
		if !newer {
			return before, true
		}
		return at, true
	})
	return last, newer
}

// updateReport changes the report of a zone under the lock of its shard.
func updateReport(reports *shard.Map[zone.ID, zoneReport], z zone.ID, change func(report *zoneReport)) {
	reports.Update(z, func(report zoneReport, _ bool) (zoneReport, bool) {
		change(&report)
		return report, true
	})
}

// ReachableZones returns the zones from which this VM itself has received a
// message within zoneTimeout.
func (r *Roster) ReachableZones(now time.Time) []ZoneStatus {
	var out []ZoneStatus
	r.directReports.Range(func(z zone.ID, report zoneReport) bool {
		if age := now.Sub(report.lastMessage); age < zoneTimeout {
			out = append(out, ZoneStatus{z, age, report.members})
		}
		return true
	})
	return out
}

// CountMembers returns the member count of this VM's zone as seen by this VM, a
// relay, and the silent VMs, at most MaxSilentVMs. A VM is silent if this VM has
// received its messages since it began to relay, but none within memberTimeout.
func (r *Roster) CountMembers(now time.Time) (c MemberCount, silent []VMHash) {
	relayingSince := r.relayedSince()
	c = MemberCount{Live: 1, Total: 1}
	r.members.Range(func(id vm.ID, m *member) bool {
		if m.vm.Zone != r.self.Zone {
			return true
		}
		lastKnown := m.learnedAt
		if m.lastMessage.After(lastKnown) {
			lastKnown = m.lastMessage
		}
		if now.Sub(lastKnown) < memberExpiry {
			c.Total++
		}
		switch {
		case now.Sub(m.lastMessage) < memberTimeout:
			c.Live++
		case !relayingSince.IsZero() && m.lastMessage.After(relayingSince) && len(silent) < MaxSilentVMs:
			silent = append(silent, VMHashOf(id))
		}
		return true
	})
	return c, silent
}

// ConnectedShare returns the share of the fleet, from 0 to 1, that exchanges
// admission counts with this VM in both directions. It consists of the VMs that
// the relays count as live in the zones that are reachable. A VM that the relays of
// its zone report as silent counts itself only. The shares of groups of VMs that
// are cut off from each other add up to at most 1, also if each group has VMs of
// all zones.
func (r *Roster) ConnectedShare(now time.Time) float64 {
	total, connected := r.connectedMembers(now)
	return connected / total
}

// ConnectedVMs returns the number of VMs that ConnectedShare counts as connected.
func (r *Roster) ConnectedVMs(now time.Time) int {
	_, connected := r.connectedMembers(now)
	return int(connected)
}

// connectedMembers returns the number of VMs of the fleet and how many of them, this VM
// included, are connected with this VM.
func (r *Roster) connectedMembers(now time.Time) (total, connected float64) {
	for z, order := range r.relayOrders.load() {
		members, reachable := r.zoneMembers(now, z, len(order.relays))
		total += members
		connected += reachable
	}
	return total, connected
}

// zoneMembers returns the number of members of a zone and how many of them, this VM
// included, are connected with this VM. knownVMs is the number of the zone's VMs
// that this VM knows and is used while no relay has reported a member count.
func (r *Roster) zoneMembers(now time.Time, z zone.ID, knownVMs int) (total, connected float64) {
	ownZoneReport, _ := r.zoneReports.Load(r.self.Zone)
	report, _ := r.zoneReports.Load(z)
	total = float64(max(knownVMs, report.members.Total))
	if report.members.Total > 0 {
		total = float64(report.members.Total)
	}
	switch {
	case ownZoneReport.selfSilent || !r.isReachable(now, z):
	case now.Sub(r.started) < countWarmup:
		connected = total
	default:
		connected = min(float64(report.members.Live), total)
	}
	if z == r.self.Zone {
		connected = max(connected, 1)
	}
	return total, connected
}

// isReachable reports whether a message of the zone was received within
// zoneTimeout, by this VM or by a relay of this VM's zone.
func (r *Roster) isReachable(now time.Time, z zone.ID) bool {
	report, ok := r.zoneReports.Load(z)
	return ok && !report.lastMessage.IsZero() && now.Sub(report.lastMessage) < zoneTimeout
}

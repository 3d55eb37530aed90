package gossip

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"time"

	"almondstile/boottime"
	"almondstile/catalog"
	"almondstile/tally"
	"almondstile/vm"
)

// send sends changes and heartbeats at their intervals, and urgent changes at
// once.
func (n *Node) send(ctx context.Context) {
	ticker := time.NewTicker(sendInterval)
	defer ticker.Stop()
	var lastUrgent time.Time
	var due <-chan time.Time // when urgent news are sent, nil if there are none
	for tick := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-n.parts.UrgentSignal:
			if due == nil {
				due = time.After(n.urgentWait(time.Since(lastUrgent)))
			}
		case <-due:
			due, lastUrgent = nil, time.Now()
			n.sendNews(lastUrgent, tally.UrgentOnly)
		case now := <-ticker.C:
			tick++
			n.noteReach(now)
			if n.parts.Roster.Rank(now) == 0 || !n.isRelay(now) || tick%standbyIntervals == 0 {
				n.sendNews(now, tally.AllChanged)
			}
		}
	}
}

// urgentWait returns how long urgent news wait, given the time since the last.
func (n *Node) urgentWait(since time.Duration) time.Duration {
	gap, now := urgentGap, time.Now()
	least := time.Duration(0)
	if n.isRelay(now) {
		gap += urgentGapEach * time.Duration(len(n.parts.Roster.OthersInZone(n.parts.Roster.Self().Zone)))
		if n.parts.Roster.Rank(now) > 0 {
			least = standbyDelay
		}
	}
	return max(gap-since, least)
}

// noteReach logs that this VM hears more or fewer of the others than before.
func (n *Node) noteReach(now time.Time) {
	reach := n.parts.Roster.ConnectedShare(now)
	if math.Abs(reach-n.lastReach) < reachStep {
		return
	}
	n.lastReach = reach
	n.parts.Log.WithField("reach", reach).WithField("fleet", n.parts.Roster.Size()).
		Info("The part of the fleet that this VM hears changed.")
}

// isRelay reports whether this VM relays, and logs changes of that.
func (n *Node) isRelay(now time.Time) bool {
	relay := n.parts.Roster.IsRelay(now)
	if relay != n.wasRelay {
		n.wasRelay = relay
		n.parts.Log.WithField("relay", relay).WithField("rank", n.parts.Roster.Rank(now)).
			WithField("fleet", n.parts.Roster.Size()).Info("This VM's part as a relay changed.")
	}
	return relay
}

// sendNews sends a relay's news to the VMs of its zone and to the other zones,
// and another VM's to the relays.
func (n *Node) sendNews(now time.Time, scope tally.Scope) {
	roster, ledger, self := n.parts.Roster, n.parts.Ledger, n.parts.Roster.Self()
	zoneBeat := now.Sub(n.lastZone) >= heartbeatInterval
	if !n.isRelay(now) {
		if n.sendRecords(now, ledger.DequeueOwn(scope), roster.Relays(now, self.Zone), zoneBeat) {
			n.lastZone = now
		}
		return
	}
	if n.sendRecords(now, ledger.DequeueForZone(scope), roster.OthersInZone(self.Zone), zoneBeat) {
		n.lastZone = now
	}
	remoteBeat := now.Sub(n.lastRemote) >= heartbeatInterval
	records := ledger.DequeueForOtherZones(scope)
	for _, z := range roster.Zones()[1:] {
		if n.sendRecords(now, records, roster.RemoteContact(now, z), remoteBeat) {
			n.lastRemote = now
		}
	}
}

func (n *Node) sendRecords(now time.Time, records []tally.Record, to []vm.VM, heartbeat bool) bool {
	if len(to) == 0 || len(records) == 0 && !heartbeat {
		return false
	}
	for first := true; first || len(records) > 0; first = false {
		count := fitting(records)
		n.sendMessage(n.message(now, records[:count]), to)
		records = records[count:]
	}
	return true
}

func (n *Node) message(now time.Time, records []tally.Record) message {
	roster := n.parts.Roster
	m := message{Sender: toMember(roster.Self()), Relay: roster.IsRelay(now), Groups: toGroups(records),
		UptimeMillis: millis(now.Sub(n.started))}
	if store, known := n.parts.Catalog.StoreClock.At(boottime.Now()); known {
		m.StoreMillis = millis(store)
	}
	for _, t := range catalog.Tables {
		version, asOf := n.parts.Catalog.VersionAsOf(t)
		m.Tables = append(m.Tables, tableMark{Version: version, AsOfMillis: millis(asOf)})
	}
	if m.Relay {
		census, silent := roster.CountMembers(now)
		roster.RecordMemberCount(now, roster.Self().Zone, census, silent)
		m.Live, m.Total, m.Silent = census.Live, census.Total, silent
		m.Zones = toZones(roster.ReachableZones(now))
		if rand.Float64() < introductions {
			m.Members = someMembers(roster.Others(), maxMembers)
		}
	}
	return m
}

// someMembers picks VMs at random, so that over time all are introduced.
func someMembers(all []vm.VM, most int) []member {
	var out []member
	for _, i := range rand.Perm(len(all)) {
		if len(out) == most {
			break
		}
		if all[i].Incarnation != "" {
			out = append(out, toMember(all[i]))
		}
	}
	return out
}

func (n *Node) sendMessage(m message, to []vm.VM) {
	b, err := encode(m)
	if err != nil {
		n.parts.Log.WithError(err).Error("A message cannot be encoded.")
		return
	}
	for _, v := range to {
		n.sendTo(b, v.ControlAddress)
	}
}

func (n *Node) sendTo(b []byte, address string) {
	to, err := net.ResolveUDPAddr("udp4", address)
	if err == nil {
		_, err = n.packets.WriteTo(b, to)
	}
	if err != nil {
		// The next heartbeat replaces a lost datagram.
		n.parts.Log.WithError(err).WithField("to", address).Debug("A datagram was not sent.")
	}
}

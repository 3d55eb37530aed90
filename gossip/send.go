package gossip

import (
	"context"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"almondstile/boottime"
	"almondstile/tally"
	"almondstile/vm"
)

// send sends changes and heartbeats at their intervals, and urgent changes after
// urgentDelay, until the context is canceled. New rows of a table's copy are announced
// at once: by the VM that read them in the store, and by a relay that pulled them.
func (n *Node) send(ctx context.Context) {
	ticker := time.NewTicker(sendInterval)
	defer ticker.Stop()
	var lastUrgent time.Time
	var due <-chan time.Time // fires when urgent changes are to be sent; nil if there are none
	for tick := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-n.deps.UrgentSignal:
			if due == nil {
				due = time.After(n.urgentDelay(time.Since(lastUrgent)))
			}
		case <-n.deps.Catalog.StoreChanges():
			n.deps.Guard.Task("send", func() { n.announceCopies(time.Now()) })
		case <-n.pulled:
			n.deps.Guard.Task("send", func() { n.announcePulledCopies(time.Now()) })
		case <-due:
			due, lastUrgent = nil, time.Now()
			n.deps.Guard.Task("send", func() { n.sendChanges(lastUrgent, tally.UrgentOnly) })
		case now := <-ticker.C:
			tick++
			n.deps.Guard.Task("send", func() { n.sendRegularly(now, tick) })
		}
	}
}

// sendRegularly sends all changes at a tick. A relay that is not its zone's first does
// so only at every standbyIntervals-th one.
func (n *Node) sendRegularly(now time.Time, tick int) {
	n.logConnectedShare(now)
	if n.deps.Roster.Rank(now) == 0 || !n.isRelay(now) || tick%standbyIntervals == 0 {
		n.sendChanges(now, tally.AllChanged)
	}
}

// announcePulledCopies announces new rows that this VM pulled, if it is a relay.
func (n *Node) announcePulledCopies(now time.Time) {
	if n.isRelay(now) {
		n.announceCopies(now)
	}
}

// announceCopies sends a message without waiting for the next heartbeat, so that the
// receivers learn the versions of this VM's table copies.
func (n *Node) announceCopies(now time.Time) {
	n.lastZoneSend, n.lastRemoteSend = time.Time{}, time.Time{}
	n.sendChanges(now, tally.UrgentOnly)
}

// urgentDelay returns the time until urgent changes may be sent, given the time since
// the last urgent send.
func (n *Node) urgentDelay(sinceLast time.Duration) time.Duration {
	interval, now := minUrgentInterval, time.Now()
	minDelay := time.Duration(0)
	if n.isRelay(now) {
		interval += urgentIntervalPerVM * time.Duration(len(n.deps.Roster.OthersInZone(n.deps.Roster.Self().Zone)))
		if n.deps.Roster.Rank(now) > 0 {
			minDelay = standbyDelay
		}
	}
	return max(interval-sinceLast, minDelay)
}

// logConnectedShare logs the connected share if it differs by at least shareLogStep
// from the one that was logged last.
func (n *Node) logConnectedShare(now time.Time) {
	share := n.deps.Roster.ConnectedShare(now)
	if math.Abs(share-n.loggedShare) < shareLogStep {
		return
	}
	n.loggedShare = share
	n.deps.Log.WithField("reach", share).WithField("fleet", n.deps.Roster.Size()).
		Info("The share of the fleet that this VM is connected with changed.")
}

// isRelay reports whether this VM relays for its zone, and logs when that changes.
func (n *Node) isRelay(now time.Time) bool {
	relay := n.deps.Roster.IsRelay(now)
	if relay != n.wasRelay {
		n.wasRelay = relay
		sent := n.traffic.totals().since(n.sentBefore)
		n.sentBefore = n.traffic.totals()
		n.deps.Log.WithField("relay", relay).WithField("rank", n.deps.Roster.Rank(now)).WithField("fleet", n.deps.Roster.Size()).
			WithField("sent_records_bytes", sent.records).WithField("sent_resent_bytes", sent.resent).WithField("sent_copies_bytes", sent.copies).
			Info("This VM started or stopped relaying for its zone.")
	}
	return relay
}

// sendChanges sends the changed records of the scope, or a heartbeat if one is due.
// A relay sends them to the VMs of its zone and to the other zones. A VM that is not
// a relay sends only its own records, to the relays of its zone.
func (n *Node) sendChanges(now time.Time, scope tally.Scope) {
	roster, ledger, self := n.deps.Roster, n.deps.Ledger, n.deps.Roster.Self()
	zoneHeartbeatDue := now.Sub(n.lastZoneSend) >= heartbeatInterval
	if !n.isRelay(now) {
		relays := slices.DeleteFunc(roster.Relays(now, self.Zone), func(v vm.VM) bool { return v.ID == self.ID })
		if len(relays) == 0 {
			return // the changes wait until a relay is known
		}
		if scope == tally.AllChanged && now.Sub(n.lastRepeat) >= repeatInterval {
			scope, n.lastRepeat = tally.WithRepeats, now
		}
		records := ledger.DequeueOwn(scope, n.pace.allowedRecords(now, len(relays)))
		if n.sendRecords(now, records, relays, zoneHeartbeatDue) {
			n.lastZoneSend = now
		}
		return
	}
	inZone, otherZones := roster.OthersInZone(self.Zone), roster.Zones()[1:] // the first is this VM's zone
	if n.sendRecords(now, ledger.DequeueForZone(scope, n.pace.allowedRecords(now, len(inZone))), inZone, zoneHeartbeatDue) {
		n.lastZoneSend = now
	}
	remoteHeartbeatDue := now.Sub(n.lastRemoteSend) >= heartbeatInterval
	records := ledger.DequeueForOtherZones(scope, n.pace.allowedRecords(now, len(otherZones)))
	for _, z := range otherZones {
		if n.sendRecords(now, records, roster.RemoteContact(now, z), remoteHeartbeatDue) {
			n.lastRemoteSend = now
		}
	}
}

// sendRecords sends records to the VMs, in as many datagrams as they need. Without
// records it sends one datagram if a heartbeat is due. It reports whether it sent any
// datagram.
func (n *Node) sendRecords(now time.Time, records []tally.Record, to []vm.VM, heartbeatDue bool) bool {
	if len(to) == 0 || len(records) == 0 && !heartbeatDue {
		return false
	}
	for first := true; first || len(records) > 0; first = false {
		m := n.buildMessage(now)
		rest, err := m.addRecords(records)
		if err != nil {
			n.deps.Log.WithError(err).Error("Cannot encode a gossip message.")
			return false
		}
		n.sendMessage(m, to, causeOf(records[:len(records)-len(rest)]))
		records = rest
	}
	return true
}

// buildMessage returns a message with this VM's current state, without records. At a
// relay it also records the member count of this VM's zone in the roster.
func (n *Node) buildMessage(now time.Time) message {
	roster := n.deps.Roster
	m := message{Sender: toMember(roster.Self()), Relay: roster.IsRelay(now),
		UptimeMillis: toMillis(now.Sub(n.started))}
	if storeTime, known := n.deps.Catalog.StoreClock.At(boottime.Now()); known {
		m.StoreMillis, m.StoreHops = toMillis(storeTime), n.deps.Catalog.StoreClock.Hops(boottime.Now())
	}
	for _, t := range n.deps.Catalog.Tables() {
		m.Tables = append(m.Tables, toTableVersion(n.deps.Catalog.PositionAsOf(t)))
	}
	if m.Relay {
		count, silent := roster.CountMembers(now)
		roster.RecordMemberCount(now, roster.Self().Zone, count, silent)
		m.Live, m.Total, m.Silent = count.Live, count.Total, silent
		m.Zones = toZones(roster.ReachableZones(now))
		if rand.Float64() < introductionShare {
			m.Members = randomMembers(roster.Others(), maxIntroducedVMs)
		}
	}
	return m
}

// randomMembers returns up to limit VMs, picked at random so that over time all are
// introduced. It leaves out VMs whose incarnation is unknown.
func randomMembers(all []vm.VM, limit int) []member {
	var out []member
	for _, i := range rand.Perm(len(all)) {
		if len(out) == limit {
			break
		}
		if all[i].Incarnation != "" {
			out = append(out, toMember(all[i]))
		}
	}
	return out
}

// sendMessage sends a message to the VMs.
func (n *Node) sendMessage(m message, to []vm.VM, cause Cause) {
	b, err := encode(m)
	if err != nil {
		n.deps.Log.WithError(err).Error("Cannot encode a gossip message.")
		return
	}
	for _, v := range to {
		n.sendTo(b, v.ControlAddress)
	}
	n.traffic.sent(cause, len(b)*len(to))
	if cause != CauseHeartbeat {
		n.pace.sent(len(b) * len(to))
	}
}

func (n *Node) sendTo(b []byte, address string) {
	to, err := netip.ParseAddrPort(address)
	if err == nil {
		_, err = n.conn.WriteToUDPAddrPort(b, to)
	}
	if err != nil {
		// The loss is tolerated: the next heartbeat repeats the sender's state, and each
		// change is sent twice by its origin and forwarded by two relays (see tally).
		n.deps.Log.WithError(err).WithField("to", address).Debug("Sending a datagram failed.")
	}
}

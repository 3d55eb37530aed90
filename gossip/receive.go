package gossip

import (
	"context"
	"net"
	"time"

	"almondstile/boottime"
	"almondstile/fleet"
	"almondstile/history"
	"almondstile/tally"
	"almondstile/vm"
	"almondstile/wait"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

// receive handles datagrams until the context is canceled.
func (n *Node) receive(ctx context.Context, wg *conc.WaitGroup) {
	buf := make([]byte, 2*maxDatagramBytes)
	for ctx.Err() == nil {
		size, _, err := n.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if ctx.Err() == nil && !errors.Is(err, net.ErrClosed) {
				n.deps.Log.WithError(err).Debug("Receiving a datagram failed.")
			}
			wait.For(ctx, receiveErrorPause)
			continue
		}
		n.deps.Guard.Handle("datagram", "", func() { n.handleDatagram(ctx, wg, buf[:size]) })
	}
}

// handleDatagram decodes and handles one datagram.
func (n *Node) handleDatagram(ctx context.Context, wg *conc.WaitGroup, datagram []byte) {
	var m message
	if err := decode(datagram, &m); err != nil {
		n.logUnreadable(err)
		return
	}
	n.handleMessage(ctx, wg, m)
}

// logUnreadable logs that a datagram was ignored: it was damaged on the way, or it is from a
// VM of another release.
func (n *Node) logUnreadable(err error) {
	if withheld, due := n.unreadable.Due(time.Now()); due {
		n.deps.Log.WithError(err).WithField("withheld", withheld).Warn("A datagram cannot be read and is ignored.")
	}
}

// handleMessage applies a message of another VM to the roster, the ledger and the
// catalog. It pulls the sender's table copies if they are newer.
func (n *Node) handleMessage(ctx context.Context, wg *conc.WaitGroup, m message) {
	records, err := m.Records.records()
	if err != nil {
		n.logUnreadable(err)
		return
	}
	now, bootTime := time.Now(), boottime.Now()
	roster, self := n.deps.Roster, n.deps.Roster.Self()
	sender := m.Sender.vm()
	if sender.ID == self.ID {
		return
	}
	restarted, gap := roster.RecordMessage(now, sender, m.Relay, fromMillis(m.UptimeMillis))
	if restarted {
		n.deps.Log.WithField("vm", sender.ID).WithField("zone", sender.Zone).
			WithField("incarnation", sender.Incarnation).Info("Received the first message of a VM since its start.")
	}
	n.deps.Ledger.RecordActivity(now, tally.OriginOf(sender.ID, sender.Incarnation))
	for _, introduced := range m.Members {
		roster.Learn(now, introduced.vm())
	}
	inZone := sender.Zone == self.Zone
	selfIsRelay := roster.IsRelay(now)
	n.resendAfterGap(gap, selfIsRelay, tally.OwnZone, func(tally.Origin) bool { return true })
	if m.Relay {
		n.handleRelayReport(now, sender, m, selfIsRelay)
	}
	// A relay forwards records of other zones to its zone, and records of its zone's
	// VMs to both. Records from another relay of the zone need no forwarding: that
	// relay sends them to the zone and to the other zones itself.
	n.deps.Ledger.Merge(now, records, tally.Forwarding{
		Zone: selfIsRelay && !(inZone && m.Relay), OtherZones: selfIsRelay && inZone && !m.Relay, DeliveredInZone: inZone && m.Relay,
	})
	n.pullIfNewer(ctx, wg, sender, m, bootTime)
}

// handleRelayReport records from which zones and VMs the sender, a relay, receives
// messages. If the report shows that a gap has ended, it schedules the records that
// changed during the gap to be resent. selfIsRelay is true if this VM is a relay.
func (n *Node) handleRelayReport(now time.Time, sender vm.VM, m message, selfIsRelay bool) {
	roster, zones := n.deps.Roster, fromZones(m.Zones)
	gap := roster.RecordMemberCount(now, sender.Zone, fleet.MemberCount{Live: m.Live, Total: m.Total}, m.Silent)
	if sender.Zone == roster.Self().Zone {
		roster.RecordLocalRelayReport(now, zones)
		n.resendAfterGap(gap, true, tally.OwnZone, func(o tally.Origin) bool { return o == n.origin })
		return
	}
	gap = roster.RecordRemoteRelayReport(now, sender.Zone, zones)
	if !gap.Ended {
		return
	}
	zoneOrigins := map[tally.Origin]bool{n.origin: true}
	for _, v := range roster.OthersInZone(roster.Self().Zone) {
		zoneOrigins[tally.OriginOf(v.ID, v.Incarnation)] = true
	}
	n.resendAfterGap(gap, selfIsRelay, tally.OtherZones, func(o tally.Origin) bool { return zoneOrigins[o] })
}

// resendAfterGap schedules the records that changed since the start of the gap to be
// resent, if the gap has ended and this VM is responsible for resending them.
// includes reports whether the records of an origin are resent.
func (n *Node) resendAfterGap(gap fleet.Gap, responsible bool, to tally.Receivers, includes func(tally.Origin) bool) {
	if gap.Ended && responsible {
		n.deps.Log.WithField("since_ms", time.Since(gap.Since).Milliseconds()).WithField("to", to).
			Info("Messages arrive again after a gap. Counts that changed since its start are resent.")
		n.deps.Ledger.Resend(gap.Since, to, includes)
	}
}

// pullIfNewer records the store time and the table positions of a message, and pulls
// the sender's table copies in the background if one of them is newer than this VM's.
// From a VM that has run for longer it also pulls what this VM does not know because it
// has just started.
func (n *Node) pullIfNewer(ctx context.Context, wg *conc.WaitGroup, sender vm.VM, m message, bootTime time.Duration) {
	if m.StoreMillis > 0 && n.sharesClock(m) {
		n.deps.Catalog.StoreClock.ObservePeer(bootTime, fromMillis(m.StoreMillis), m.StoreHops)
	}
	uptime := fromMillis(m.UptimeMillis)
	behind := n.isBehind(m)
	justStarted := n.deps.Attempts.NeedsWindowsOf(time.Now(), uptime)
	if !behind && !justStarted || !n.pullPace.allows(time.Now(), sender.ID) {
		return
	}
	select {
	case n.pullSlots <- struct{}{}:
	default:
		return // maxConcurrentPulls are in flight; the next heartbeat tries again
	}
	wg.Go(func() {
		defer func() { <-n.pullSlots }()
		n.deps.Guard.Handle("pull", string(sender.ID), func() {
			err := n.pull(ctx, sender.ControlAddress, justStarted)
			n.traffic.pulled(err == nil)
			if err != nil {
				n.deps.Log.WithError(err).WithField("vm", sender.ID).Warn("Pulling newer table copies from a VM failed.")
			}
		})
		fruitful := !n.isBehind(m) && !(justStarted && n.deps.Attempts.NeedsWindowsOf(time.Now(), uptime))
		n.pullPace.record(time.Now(), sender.ID, fruitful)
	})
}

// sharesClock reports whether the store's time in a message is of the era of this VM's
// estimate. The store's clock may have changed between two eras.
func (n *Node) sharesClock(m message) bool {
	era := history.Era{}
	for _, peer := range m.Tables {
		era = later(era, peer.position().Era)
	}
	clockEra, known := n.deps.Catalog.StoreClock.Era()
	return !known || era == clockEra
}

// isBehind records the positions of the sender's table copies and reports whether one of
// them is newer than this VM's.
func (n *Node) isBehind(m message) (behind bool) {
	tables := n.deps.Catalog.Tables()
	for i, peer := range m.Tables[:min(len(m.Tables), len(tables))] {
		behind = n.deps.Catalog.RecordPeerPosition(tables[i], peer.position(), fromMillis(peer.AsOfMillis)) || behind
	}
	return behind
}

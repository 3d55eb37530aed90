package gossip

import (
	"context"
	"net"
	"time"

	"almondstile/boottime"
	"almondstile/catalog"
	"almondstile/fleet"
	"almondstile/tally"
	"almondstile/vm"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

// receive handles datagrams until the context is canceled.
func (n *Node) receive(ctx context.Context, wg *conc.WaitGroup) {
	buf := make([]byte, 2*maxDatagramBytes)
	for ctx.Err() == nil {
		size, _, err := n.conn.ReadFrom(buf)
		if err != nil {
			if ctx.Err() == nil && !errors.Is(err, net.ErrClosed) {
				n.deps.Log.WithError(err).Debug("Receiving a datagram failed.")
			}
			continue
		}
		var m message
		if err := decode(buf[:size], &m); err != nil {
			n.deps.Log.WithError(err).Debug("Ignored a datagram that cannot be decoded.")
			continue
		}
		n.handleMessage(ctx, wg, m)
	}
}

// handleMessage applies a message of another VM: to the roster, the ledger and the
// catalog. It pulls the sender's table copies if they are newer.
func (n *Node) handleMessage(ctx context.Context, wg *conc.WaitGroup, m message) {
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
	relay := roster.IsRelay(now)
	n.resendAfterGap(gap, relay, tally.OwnZone, func(tally.Origin) bool { return true })
	if m.Relay {
		n.handleRelayReport(now, sender, m, relay)
	}
	n.deps.Ledger.Merge(now, fromGroups(m.Groups), tally.Forwarding{
		Zone: relay && !(inZone && m.Relay), OtherZones: relay && inZone && !m.Relay, DeliveredInZone: inZone && m.Relay,
	})
	n.pullIfNewer(ctx, wg, sender, m, bootTime)
}

// handleRelayReport records from which zones and VMs a relay receives messages. If
// the report ends a gap, it resends the records that did not arrive.
func (n *Node) handleRelayReport(now time.Time, sender vm.VM, m message, relay bool) {
	roster, zones := n.deps.Roster, fromZones(m.Zones)
	gap := roster.RecordMemberCount(now, sender.Zone, fleet.MemberCount{Live: m.Live, Total: m.Total}, m.Silent)
	if sender.Zone == roster.Self().Zone {
		roster.RecordLocalRelayReport(now, zones)
		n.resendAfterGap(gap, true, tally.OwnZone, func(o tally.Origin) bool { return o == n.origin })
		return
	}
	zoneOrigins := map[tally.Origin]bool{n.origin: true}
	for _, v := range roster.OthersInZone(roster.Self().Zone) {
		zoneOrigins[tally.OriginOf(v.ID, v.Incarnation)] = true
	}
	n.resendAfterGap(roster.RecordRemoteRelayReport(now, sender.Zone, zones), relay, tally.OtherZones, func(o tally.Origin) bool { return zoneOrigins[o] })
}

// resendAfterGap schedules the records that changed since the start of an ended gap
// for sending again. includes selects their origins. responsible is false if other
// VMs resend them.
func (n *Node) resendAfterGap(gap fleet.Gap, responsible bool, to tally.Receivers, includes func(tally.Origin) bool) {
	if gap.Ended && responsible {
		n.deps.Log.WithField("since_ms", time.Since(gap.Since).Milliseconds()).WithField("to", to).
			Info("Messages arrive again after a gap. Counts that changed since its start are resent.")
		n.deps.Ledger.Resend(gap.Since, to, includes)
	}
}

// pullIfNewer records the store time and the table versions of a message, and pulls
// the sender's table copies in the background if one of them is newer than this VM's.
func (n *Node) pullIfNewer(ctx context.Context, wg *conc.WaitGroup, sender vm.VM, m message, bootTime time.Duration) {
	if m.StoreMillis > 0 {
		n.deps.Catalog.StoreClock.Observe(bootTime, fromMillis(m.StoreMillis))
	}
	behind := false
	for i, peer := range m.Tables {
		if i < len(catalog.Tables) && n.deps.Catalog.RecordPeerVersion(catalog.Tables[i], peer.Version, fromMillis(peer.AsOfMillis)) {
			behind = true
		}
	}
	if !behind {
		return
	}
	select {
	case n.pullSlots <- struct{}{}:
	default:
		return // maxConcurrentPulls are in flight; the next heartbeat tries again
	}
	wg.Go(func() {
		defer func() { <-n.pullSlots }()
		if err := n.pull(ctx, sender.ControlAddress); err != nil {
			n.deps.Log.WithError(err).WithField("vm", sender.ID).Warn("Pulling newer table copies from a VM failed.")
		}
	})
}

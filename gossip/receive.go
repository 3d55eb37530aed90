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

// receive takes in datagrams until the socket is closed.
func (n *Node) receive(ctx context.Context, wg *conc.WaitGroup) {
	buf := make([]byte, 2*maxDatagramBytes)
	for ctx.Err() == nil {
		size, _, err := n.packets.ReadFrom(buf)
		if err != nil {
			if ctx.Err() == nil && !errors.Is(err, net.ErrClosed) {
				n.parts.Log.WithError(err).Debug("A datagram was not received.")
			}
			continue
		}
		var m message
		if err := decode(buf[:size], &m); err != nil {
			n.parts.Log.WithError(err).Debug("A datagram is ignored.")
			continue
		}
		n.take(ctx, wg, m)
	}
}

func (n *Node) take(ctx context.Context, wg *conc.WaitGroup, m message) {
	now, local := time.Now(), boottime.Now()
	roster, self := n.parts.Roster, n.parts.Roster.Self()
	sender := m.Sender.vm()
	if sender.ID == self.ID {
		return
	}
	restarted, gap := roster.RecordMessage(now, sender, m.Relay, fromMillis(m.UptimeMillis))
	if restarted {
		n.parts.Log.WithField("vm", sender.ID).WithField("zone", sender.Zone).
			WithField("incarnation", sender.Incarnation).Info("A VM is heard for the first time since its start.")
	}
	n.parts.Ledger.RecordActivity(now, tally.OriginOf(sender.ID, sender.Incarnation))
	for _, known := range m.Members {
		roster.Learn(now, known.vm())
	}
	inZone := sender.Zone == self.Zone
	relay := roster.IsRelay(now)
	n.resend(gap, relay, tally.OwnZone, func(tally.Origin) bool { return true })
	if m.Relay {
		n.takeReach(now, sender, m, relay)
	}
	n.parts.Ledger.Merge(now, fromGroups(m.Groups), tally.Forwarding{
		Zone: relay && !(inZone && m.Relay), OtherZones: relay && inZone && !m.Relay, DeliveredInZone: inZone && m.Relay,
	})
	n.compare(ctx, wg, sender, m, local)
}

// takeReach takes in who hears whom according to a relay, and sends again what
// VMs missed that hear this one again.
func (n *Node) takeReach(now time.Time, sender vm.VM, m message, relay bool) {
	roster, zones := n.parts.Roster, fromZones(m.Zones)
	gap := roster.RecordMemberCount(now, sender.Zone, fleet.MemberCount{Live: m.Live, Total: m.Total}, m.Silent)
	if sender.Zone == roster.Self().Zone {
		roster.RecordLocalRelayReport(now, zones)
		n.resend(gap, true, tally.OwnZone, func(o tally.Origin) bool { return o == n.origin })
		return
	}
	own := map[tally.Origin]bool{n.origin: true}
	for _, v := range roster.OthersInZone(roster.Self().Zone) {
		own[tally.OriginOf(v.ID, v.Incarnation)] = true
	}
	n.resend(roster.RecordRemoteRelayReport(now, sender.Zone, zones), relay, tally.OtherZones, func(o tally.Origin) bool { return own[o] })
}

// resend sends the origins' counts since the gap once more.
func (n *Node) resend(gap fleet.Gap, wanted bool, to tally.Receivers, of func(tally.Origin) bool) {
	if gap.Ended && wanted {
		n.parts.Log.WithField("since_ms", time.Since(gap.Since).Milliseconds()).WithField("to", to).
			Info("VMs are heard again; what they missed is sent once more.")
		n.parts.Ledger.Resend(gap.Since, to, of)
	}
}

// compare takes the age of the sender's copies and pulls them if they are newer.
func (n *Node) compare(ctx context.Context, wg *conc.WaitGroup, sender vm.VM, m message, local time.Duration) {
	if m.StoreMillis > 0 {
		n.parts.Catalog.StoreClock.Observe(local, fromMillis(m.StoreMillis))
	}
	behind := false
	for i, mark := range m.Tables {
		if i < len(catalog.Tables) && n.parts.Catalog.RecordPeerVersion(catalog.Tables[i], mark.Version, fromMillis(mark.AsOfMillis)) {
			behind = true
		}
	}
	if !behind {
		return
	}
	select {
	case n.slots <- struct{}{}:
	default:
		return // two pulls are under way; the next heartbeat asks again
	}
	wg.Go(func() {
		defer func() { <-n.slots }()
		if err := n.pull(ctx, sender.ControlAddress); err != nil {
			n.parts.Log.WithError(err).WithField("vm", sender.ID).Warn("A VM's newer copies cannot be pulled.")
		}
	})
}

package gossip

import (
	"context"
	"net"
	"time"

	"almondstile/boottime"
	"almondstile/catalog"
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
	if roster.Heard(now, sender, m.Relay) {
		n.parts.Log.WithField("vm", sender.ID).WithField("zone", sender.Zone).
			WithField("incarnation", sender.Incarnation).Info("A VM is heard for the first time since its start.")
	}
	n.parts.Ledger.Heard(now, tally.OriginOf(sender.ID, sender.Incarnation))
	for _, known := range m.Members {
		roster.Learn(known.vm())
	}
	inZone := sender.Zone == self.Zone
	if m.Relay {
		roster.HeardSilent(sender.Zone, m.Silent)
	}
	if inZone && m.Relay {
		roster.Connected(now, fromZones(m.Zones))
	}
	relay := roster.IsRelay(now)
	n.parts.Ledger.Merge(now, fromGroups(m.Groups), tally.Onward{
		Zone: relay && !(inZone && m.Relay), OtherZones: relay && inZone && !m.Relay, Told: inZone && m.Relay,
	})
	n.compare(ctx, wg, sender, m, local)
}

// compare takes the age of the sender's copies and pulls them if they are newer.
func (n *Node) compare(ctx context.Context, wg *conc.WaitGroup, sender vm.VM, m message, local time.Duration) {
	if m.StoreMillis > 0 {
		n.parts.Catalog.Clock.Observe(local, fromMillis(m.StoreMillis))
	}
	behind := false
	for i, mark := range m.Tables {
		if i < len(catalog.Tables) && n.parts.Catalog.Confirm(catalog.Tables[i], mark.Version, fromMillis(mark.AsOfMillis)) {
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

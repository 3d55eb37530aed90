package gossip

import (
	"context"
	"math/rand/v2"
	"time"
)

// introduce asks other VMs for their knowledge while no relay is heard.
func (n *Node) introduce(ctx context.Context) {
	ticker := time.NewTicker(introductionInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			n.introduceOnce(ctx, now)
		}
	}
}

func (n *Node) introduceOnce(ctx context.Context, now time.Time) {
	self := n.parts.Roster.Self()
	for _, relay := range n.parts.Roster.Relays(now, self.Zone) {
		if relay.ID != self.ID {
			return
		}
	}
	addresses := append([]string(nil), *n.seeds.Load()...)
	for _, v := range n.parts.Roster.Others() {
		addresses = append(addresses, v.ControlAddress)
	}
	if len(addresses) == 0 {
		return
	}
	address := addresses[rand.IntN(len(addresses))]
	if b, err := encode(n.message(now, nil)); err == nil && address != self.ControlAddress {
		n.sendTo(b, address)
	}
	if len(n.parts.Roster.Others()) == 0 && address != self.ControlAddress {
		if err := n.pull(ctx, address); err != nil {
			n.parts.Log.WithError(err).WithField("seed", address).Info("A seed does not answer.")
		}
	}
}

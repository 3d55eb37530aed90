package gossip

import (
	"context"
	"math/rand/v2"
	"time"
)

// bootstrap contacts another VM every bootstrapInterval, as long as no other relay of
// this VM's zone is live.
func (n *Node) bootstrap(ctx context.Context) {
	ticker := time.NewTicker(bootstrapInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			n.deps.Guard.Task("bootstrap", func() { n.bootstrapOnce(ctx, now) })
		}
	}
}

// bootstrapOnce sends a message to a random seed or known VM. If no other VM is
// known, it also pulls the table copies and the known VMs from that address. It does
// nothing while another VM is a live relay of the zone.
func (n *Node) bootstrapOnce(ctx context.Context, now time.Time) {
	self := n.deps.Roster.Self()
	for _, relay := range n.deps.Roster.Relays(now, self.Zone) {
		if relay.ID != self.ID {
			return
		}
	}
	addresses := append([]string(nil), *n.seeds.Load()...)
	for _, v := range n.deps.Roster.Others() {
		addresses = append(addresses, v.ControlAddress)
	}
	if len(addresses) == 0 {
		return
	}
	address := addresses[rand.IntN(len(addresses))]
	if b, err := encode(n.buildMessage(now)); err == nil && address != self.ControlAddress {
		n.sendTo(b, address)
	}
	if len(n.deps.Roster.Others()) == 0 && address != self.ControlAddress {
		if err := n.pull(ctx, address, false); err != nil {
			n.deps.Log.WithError(err).WithField("seed", address).Info("Pulling table copies from a seed failed.")
		}
	}
}

package hosted

import (
	"context"
	"math/rand/v2"
	"time"

	"almondstile/history"
	"almondstile/wait"
)

const (
	// announceTimeout bounds one attempt to announce this VM or to read the list of
	// VMs. announceRetryInterval is the mean pause before the next one, which is spread,
	// because the store is away for all VMs at once.
	announceTimeout       = 1 * time.Second
	announceRetryInterval = 700 * time.Millisecond
	// eraCheckInterval is the time between two checks whether the store went back.
	eraCheckInterval = 500 * time.Millisecond
	// announceSpread is the time over which the VMs spread their announcements after the
	// store went back, which all of them learn at the same moment.
	announceSpread = 2 * time.Second
)

// keepAnnounced announces this VM in the store and reads the other VMs from it, and does so
// again each time that the store went back to an older copy, which may lack this VM's row.
// It closes vmsKnown when the other VMs are read for the first time.
func (v *Process) keepAnnounced(ctx context.Context, vmsKnown chan<- struct{}) {
	era := history.Era{Stated: v.announce(ctx, func() { close(vmsKnown) })}
	for wait.For(ctx, eraCheckInterval) {
		latest := v.catalog.Era()
		if latest.Compare(era) <= 0 {
			continue
		}
		wait.For(ctx, rand.N(announceSpread))
		v.announce(ctx, func() {})
		era = latest
	}
}

// announce announces this VM in the store and reads the other VMs from it, and tries
// again until both have succeeded. It calls vmsRead when the other VMs are read. It returns
// the number that the store then gave its era.
func (v *Process) announce(ctx context.Context, vmsRead func()) (era uint64) {
	read, announced := false, false
	for ctx.Err() == nil && !(read && announced) {
		if !read {
			v.guard.Task("announce", func() { era, read = v.loadVMs(ctx, &announced) })
			if read {
				vmsRead()
			}
		}
		if !announced {
			v.guard.Task("announce", func() { announced = v.announceOnce(ctx) })
		}
		if !(read && announced) {
			wait.For(ctx, announceRetryInterval/2+rand.N(announceRetryInterval))
		}
	}
	return era
}

// loadVMs adds the VMs of the store to the roster. It returns the number that the store gives
// its era, and whether the VMs could be read. It sets *announced if this VM is among them
// with its current address.
func (v *Process) loadVMs(ctx context.Context, announced *bool) (era uint64, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	vms, era, err := v.store.VMs(ctx)
	if err != nil {
		v.log.Part("vm").WithError(err).Warn("The other VMs cannot be read from the store.")
		return 0, false
	}
	for _, other := range vms {
		if other.ID == v.settings.Self.ID && other.ControlAddress == v.settings.Self.ControlAddress {
			*announced = true
		}
		v.roster.Learn(time.Now(), other)
	}
	return era, true
}

// announceOnce makes one attempt to announce this VM and reports whether it
// succeeded.
func (v *Process) announceOnce(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	if err := v.store.Announce(ctx, v.settings.Self); err != nil {
		v.log.Part("vm").WithError(err).Warn("This VM cannot be announced in the store.")
		return false
	}
	return true
}

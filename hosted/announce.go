package hosted

import (
	"context"
	"math/rand/v2"
	"time"

	"almondstile/catalog"
	"almondstile/history"
	"almondstile/wait"
)

const (
	// announceTimeout bounds one attempt to announce this VM or to read the list of
	// VMs. announceRetryInterval is the pause before the next one.
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
	v.announce(ctx, func() { close(vmsKnown) })
	var announcedIn history.Era
	known := false
	for wait.For(ctx, eraCheckInterval) {
		era := v.catalog.Era()
		switch {
		case !v.catalog.Loaded(catalog.OperatorTable):
		case !known:
			announcedIn, known = era, true
		case era != announcedIn:
			wait.For(ctx, rand.N(announceSpread))
			v.announce(ctx, func() {})
			announcedIn = era
		}
	}
}

// announce announces this VM in the store and reads the other VMs from it, and tries
// again until both have succeeded. It calls vmsRead when the other VMs are read.
func (v *Process) announce(ctx context.Context, vmsRead func()) {
	read, announced := false, false
	for ctx.Err() == nil && !(read && announced) {
		if !read {
			v.guard.Task("announce", func() { read = v.loadVMs(ctx, &announced) })
			if read {
				vmsRead()
			}
		}
		if !announced {
			v.guard.Task("announce", func() { announced = v.announceOnce(ctx) })
		}
		if !(read && announced) {
			wait.For(ctx, announceRetryInterval)
		}
	}
}

// loadVMs adds the VMs of the store to the roster and reports whether it could read
// them. It sets *announced if this VM is among them with its current address.
func (v *Process) loadVMs(ctx context.Context, announced *bool) bool {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	vms, err := v.store.VMs(ctx)
	if err != nil {
		v.log.Part("vm").WithError(err).Warn("The other VMs cannot be read from the store.")
		return false
	}
	for _, other := range vms {
		if other.ID == v.settings.Self.ID && other.ControlAddress == v.settings.Self.ControlAddress {
			*announced = true
		}
		v.roster.Learn(time.Now(), other)
	}
	return true
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

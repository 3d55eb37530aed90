package daemon

import (
	"context"
	"time"

	"almondstile/store"
	"almondstile/vm"
	"almondstile/wait"
)

const (
	// vmListInterval is the time between two reads of the platform's VM list. The
	// list lags by more than 5 s, so shorter intervals gain nothing.
	vmListInterval = 5 * time.Second
	// vmListTimeout bounds one read of the list.
	vmListTimeout = 2 * time.Second
)

// departureDetector detects in the platform's VM list that the platform is about
// to remove this VM. The list lags, so after a restart it may still show an earlier
// process with the same VM ID as leaving. Therefore only a change from live to
// leaving counts.
type departureDetector struct {
	seenLive bool
}

// observe processes a newer list. It reports whether the list shows this VM as
// leaving after an earlier list showed it as live.
func (d *departureDetector) observe(list []store.ListedVM, self vm.ID) bool {
	for _, v := range list {
		if v.ID != string(self) {
			continue
		}
		if v.Leaving {
			return d.seenLive
		}
		d.seenLive = true
	}
	return false
}

// followVMList reads the platform's VM list at intervals and calls leave when the
// list announces the removal of this VM. The shutdown is then graceful even if no
// signal arrives in time.
func (d *Daemon) followVMList(ctx context.Context, list store.VMList, leave func()) {
	var detector departureDetector
	for wait.For(ctx, vmListInterval) {
		callCtx, cancel := context.WithTimeout(ctx, vmListTimeout)
		vms, err := list.List(callCtx)
		cancel()
		if err != nil {
			continue // the list is only a hint, and the next read may succeed
		}
		if detector.observe(vms, d.self.ID) {
			d.log.Part("daemon").Info("The platform's VM list shows this VM as leaving; shutting down.")
			leave()
			return
		}
	}
}

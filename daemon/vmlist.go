package daemon

import (
	"context"
	"time"

	"almondstile/store"
	"almondstile/vm"
	"almondstile/wait"
)

const (
	// vmListInterval is the time between two reads of the platform's VM list,
	// which lags by more than that anyway.
	vmListInterval = 5 * time.Second
	vmListTimeout  = 2 * time.Second
)

// announcement tells from the platform's VM list when this VM is to leave. The
// list lags, so it may still show the leaving process that had this VM's ID
// before; only a change from live to leaving counts.
type announcement struct {
	seenLive bool
}

// observe takes in a newer list and reports whether this VM is to leave.
func (a *announcement) observe(list []store.ListedVM, self vm.ID) bool {
	for _, v := range list {
		if v.ID != string(self) {
			continue
		}
		if v.Leaving {
			return a.seenLive
		}
		a.seenLive = true
	}
	return false
}

// followVMList calls leave when the platform announces that it takes this VM
// away, so that the stop is graceful even if no signal arrives in time.
func (d *Daemon) followVMList(ctx context.Context, list store.VMList, leave func()) {
	var a announcement
	for wait.For(ctx, vmListInterval) {
		callCtx, cancel := context.WithTimeout(ctx, vmListTimeout)
		listed, err := list.List(callCtx)
		cancel()
		if err != nil {
			continue // it is a hint only; the next reading may succeed
		}
		if a.observe(listed, d.self.ID) {
			d.log.Part("daemon").Info("The platform takes this VM away.")
			leave()
			return
		}
	}
}

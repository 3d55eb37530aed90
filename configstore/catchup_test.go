package configstore

import (
	"context"
	"testing"
	"time"

	"almondstile/link"
	"almondstile/logging"
	"almondstile/vm"

	"github.com/sourcegraph/conc"
)

// countingPeer answers each request for deltas at once, without a configuration.
type countingPeer struct{ calls chan struct{} }

func (p countingPeer) Call(context.Context, vm.VM, string, any, any) error {
	select {
	case p.calls <- struct{}{}:
	default:
	}
	return nil
}

var _ link.Caller = countingPeer{}

// Guards against a VM that requests the same missing versions again with each
// report of a newer version, although the peers answer without them.
func TestCatchUpWithoutProgressPauses(t *testing.T) {
	fleet := newFakeFleet("a")
	const maxCalls = 1000
	peer := countingPeer{make(chan struct{}, maxCalls)}
	f := NewFollower(fleet.store, fakeObjectStore{fleet.store}, peer, fleet, logging.Discard().Part("config"), Options{})
	runCtx, cancel := context.WithCancel(ctx)
	var wg conc.WaitGroup
	wg.Go(func() { f.catchUpLoop(runCtx) })
	start := time.Now()
	for range 300 { // reports of a fleet, one a millisecond
		f.RecordPeerVersion(fleet.vms[0], 9, time.Now())
		time.Sleep(time.Millisecond)
	}
	cancel()
	wg.Wait()
	if limit := int(time.Since(start)/catchUpPause) + 1; len(peer.calls) > limit {
		t.Errorf("%d requests in %v, want at most %d", len(peer.calls), time.Since(start), limit)
	}
}

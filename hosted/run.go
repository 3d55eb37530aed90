package hosted

import (
	"context"
	"time"

	"almondstile/catalog"
	"almondstile/wait"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

const (
	// sweepInterval is the time between two deletions of idle connections and
	// expired state.
	sweepInterval = 1 * time.Second
	// expiryInterval is the time between two deletions of expired registrations.
	expiryInterval = 200 * time.Millisecond
	// drainTimeShare is the part of the shutdown timeout during which the VM still
	// accepts requests while it reports not ready, so that the load balancer stops
	// sending to it. maxDrainTime is its upper bound: the balancer asks once a second and
	// stops after the second answer that is not 200.
	drainTimeShare = 0.45
	maxDrainTime   = 2700 * time.Millisecond
	// stopMarginShare is the part of the shutdown timeout that is left when requests in
	// flight are canceled, and maxStopMargin its upper bound. Operators tolerate
	// canceled requests in the last sixth only.
	stopMarginShare = 0.125
	maxStopMargin   = 500 * time.Millisecond
	// vmListTimeout bounds how long a VM waits for the store's list of VMs before it
	// starts to read the tables.
	vmListTimeout = 1 * time.Second
)

// errTaskFailed ends a process of which a task panicked too often.
var errTaskFailed = errors.New("hosted: a task of the process panicked too often")

// ReaderRank implements catalog.ReaderRole. The first relay of each zone reads the
// store and sends the changes to the other VMs of the zone.
func (v *Process) ReaderRank() int {
	now := time.Now()
	rank := v.roster.Rank(now)
	if rank == 0 && !v.roster.IsRelay(now) {
		return 1 // it may soon replace a relay that is silent
	}
	return rank
}

// ZoneSize implements catalog.ReaderRole.
func (v *Process) ZoneSize() int {
	return len(v.roster.OthersInZone(v.settings.Self.Zone)) + 1
}

// Run serves requests until stop ends and then shuts down gracefully: the VM reports
// not ready, goes on serving until the load balancer has noticed, and lets requests
// in flight finish.
func (v *Process) Run(stop context.Context) error {
	log := v.log.Part("vm")
	background, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { v.node.Run(background) })
	vmsKnown := make(chan struct{})
	wg.Go(func() { v.keepAnnounced(background, vmsKnown) })
	for _, t := range v.catalog.Tables() {
		reader := catalog.Reader{Catalog: v.catalog, Store: v.store, Role: v, Times: catalog.NewReadTimes(v.settings.MaxChangeDelay),
			Guard: v.guard, Log: v.log.Part("store")}
		if t == catalog.RolloutTable {
			reader.Wanted = func(catalog.Table) bool { return v.catalog.View().RolloutOpen() }
		}
		wg.Go(func() {
			// A VM that does not know the others takes itself for the first relay of
			// its zone. Without the wait, every VM of a starting fleet would read the
			// store.
			waitFor(background, vmsKnown, vmListTimeout)
			reader.Run(background, t)
		})
	}
	wg.Go(func() { v.sweep(background) })
	if v.rollouts != nil {
		wg.Go(func() { v.rollouts.run(background) })
	}
	v.serve(&wg, stop, "readiness", v.readyServer.serve)
	v.serve(&wg, stop, "metrics", v.metricsServer.serve)
	v.serve(&wg, stop, "callers", func() error { return v.front.Serve(v.callerListener) })
	log.WithField("vm", v.settings.Self.ID).WithField("zone", v.settings.Self.Zone).
		WithField("incarnation", v.settings.Self.Incarnation).WithField("callers", v.settings.CallersAddress).
		WithField("store", v.settings.StoreAddress).WithField("max_key_age_ms", v.settings.maxKeyAge().Milliseconds()).
		Info("Started.")
	var failure error
	select {
	case <-stop.Done():
	case <-v.guard.Failed():
		failure = errTaskFailed
	}
	log.Info("Stopping: not ready from now on.")
	v.shutdown()
	cancel()
	v.dispatcher.Close()
	v.upstream.CloseIdle(true)
	wg.Wait()
	log.Info("Stopped.")
	return failure
}

// serve runs a listener in the background and logs an error with which it ends before
// the shutdown.
func (v *Process) serve(wg *conc.WaitGroup, stop context.Context, name string, serve func() error) {
	wg.Go(func() {
		if err := serve(); err != nil && stop.Err() == nil {
			v.log.Part("vm").WithField("listener", name).WithError(err).Error("A listener ended.")
		}
	})
}

// shutdown stops the listeners and lets requests in flight finish within the
// shutdown timeout.
func (v *Process) shutdown() {
	grace := v.settings.ShutdownTimeout
	timeout := grace - min(time.Duration(stopMarginShare*float64(grace)), maxStopMargin)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	v.readyServer.stopping.Store(true)
	drainTime := min(time.Duration(drainTimeShare*float64(grace)), maxDrainTime)
	now := time.Now()
	v.dispatcher.BeginDrain(now.Add(drainTime), now.Add(timeout))
	v.front.Drain()
	wait.For(ctx, drainTime)
	err := v.front.Shutdown(ctx)
	if err != nil {
		v.log.Part("vm").WithError(err).Warn("Requests are cut at the stop limit.")
	}
	v.metricsServer.stop()
	v.readyServer.stop()
}

// waitFor returns when done is closed, the limit has passed or ctx ends.
func waitFor(ctx context.Context, done <-chan struct{}, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// sweep regularly deletes expired registrations, idle connections and expired state,
// and applies the rate limits of a new configuration. It returns when ctx ends.
func (v *Process) sweep(ctx context.Context) {
	sweepTicker, expiryTicker := time.NewTicker(sweepInterval), time.NewTicker(expiryInterval)
	defer sweepTicker.Stop()
	defer expiryTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-expiryTicker.C:
			v.guard.Task("expiry", func() {
				v.catalog.DeleteExpired()
				v.state.Configure(now, v.catalog.View().Index)
			})
		case now := <-sweepTicker.C:
			v.guard.Task("sweep", func() {
				v.upstream.CloseIdle(false)
				v.sweepMemory()
				v.ledger.Sweep(now)
				v.state.Sweep(now)
				v.dispatcher.ReportRoom(v.metrics.Gauge)
				v.dispatcher.ReportServices(v.metrics.Gauge)
			})
		}
	}
}

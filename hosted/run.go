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
	// sweepInterval is how often unused connections and old knowledge are freed.
	sweepInterval = 1 * time.Second
	// expireInterval is how often registrations that lapsed are looked at.
	expireInterval = 200 * time.Millisecond
	// drainShare is the part of the stop limit during which the VM still takes
	// callers, so that the balancer sees that it is not ready.
	drainShare = 0.45
	// stopMargin is left of the stop limit when the last request is cut.
	stopMargin = 500 * time.Millisecond
	// announceTimeout bounds one try to make this VM known, announcePause the
	// time to the next.
	announceTimeout = 1 * time.Second
	announcePause   = 700 * time.Millisecond
	// introductionLimit is how long a VM waits for the store's list of VMs before
	// it reads the tables.
	introductionLimit = 1 * time.Second
	// readAfterFirst is the age of a copy from which the relays that are not
	// the first read it themselves, readAfterEach what each further rank adds.
	readAfterFirst = 1800 * time.Millisecond
	readAfterEach  = 200 * time.Millisecond
	mostRanks      = 4
)

// ReadAfterAge implements catalog.Duty: the first relay of each zone reads the
// store for the zone, the others only when what they hear grows old.
func (v *Process) ReadAfterAge() time.Duration {
	now := time.Now()
	rank := v.roster.Rank(now)
	if rank == 0 && v.roster.IsRelay(now) {
		return 0
	}
	return readAfterFirst + time.Duration(min(max(rank, 1), mostRanks)-1)*readAfterEach
}

// Run serves until stop ends, then shuts down gracefully: it reports that it is
// not ready, serves on until the balancer has noticed, and lets running requests
// finish.
func (v *Process) Run(stop context.Context) error {
	log := v.log.Part("vm")
	background, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { v.node.Run(background) })
	introduced := make(chan struct{})
	wg.Go(func() { v.announce(background, introduced) })
	for _, t := range catalog.Tables {
		reader := catalog.Reader{Catalog: v.catalog, Store: v.store, ReadPolicy: v, Log: v.log.Part("store")}
		wg.Go(func() {
			// Without knowing the others, every VM of a fleet that starts would
			// take itself for the reader of its zone.
			waitFor(background, introduced, introductionLimit)
			reader.Run(background, t)
		})
	}
	wg.Go(func() { v.sweep(background) })
	v.serve(&wg, stop, "readiness", func() error { return v.ready.http.Serve(v.ready.listener) })
	v.serve(&wg, stop, "metrics", func() error { return v.scraped.http.Serve(v.scraped.listener) })
	v.serve(&wg, stop, "callers", func() error { return v.front.Serve(v.callers) })
	log.WithField("vm", v.settings.Self.ID).WithField("zone", v.settings.Self.Zone).
		WithField("incarnation", v.settings.Self.Incarnation).WithField("callers", v.settings.CallersAddress).
		WithField("store", v.settings.StoreAddress).WithField("max_key_age_ms", v.settings.maxKeyAge().Milliseconds()).
		Info("Started.")
	<-stop.Done()
	log.Info("Stopping: not ready from now on.")
	err := v.shutdown()
	cancel()
	v.dispatcher.Close()
	v.upstream.CloseIdle(true)
	wg.Wait()
	log.Info("Stopped.")
	return err
}

func (v *Process) serve(wg *conc.WaitGroup, stop context.Context, name string, serve func() error) {
	wg.Go(func() {
		if err := serve(); err != nil && stop.Err() == nil {
			v.log.Part("vm").WithField("listener", name).WithError(err).Error("A listener ended.")
		}
	})
}

// shutdown ends the VM's work within the stop limit.
func (v *Process) shutdown() error {
	limit := max(v.settings.ShutdownTimeout-stopMargin, v.settings.ShutdownTimeout/2)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	v.ready.stopping.Store(true)
	v.front.Drain()
	wait.For(ctx, time.Duration(drainShare*float64(v.settings.ShutdownTimeout)))
	err := v.front.Shutdown(ctx)
	if err != nil {
		v.log.Part("vm").WithError(err).Warn("Requests are cut at the stop limit.")
	}
	return errors.CombineErrors(v.scraped.http.Shutdown(), v.ready.http.Shutdown())
}

// waitFor returns when done is closed, the limit has passed or the context ends.
func waitFor(ctx context.Context, done <-chan struct{}, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// announce makes this VM known and learns the others, until both succeeded. It
// closes introduced when the others are known.
func (v *Process) announce(ctx context.Context, introduced chan<- struct{}) {
	known, announced := false, false
	for ctx.Err() == nil && !(known && announced) {
		if !known {
			if known = v.learnVMs(ctx, &announced); known {
				close(introduced)
			}
		}
		if !announced {
			announced = v.announceOnce(ctx)
		}
		if !(known && announced) {
			wait.For(ctx, announcePause)
		}
	}
}

func (v *Process) learnVMs(ctx context.Context, announced *bool) bool {
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

func (v *Process) announceOnce(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	if err := v.store.Announce(ctx, v.settings.Self); err != nil {
		v.log.Part("vm").WithError(err).Warn("This VM cannot be announced in the store.")
		return false
	}
	return true
}

// sweep frees what is no longer used.
func (v *Process) sweep(ctx context.Context) {
	sweep, expire := time.NewTicker(sweepInterval), time.NewTicker(expireInterval)
	defer sweep.Stop()
	defer expire.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-expire.C:
			v.catalog.DeleteExpired()
			v.knowledge.Configure(now, v.catalog.View().Index)
		case now := <-sweep.C:
			v.upstream.CloseIdle(false)
			v.ledger.Sweep(now)
			v.knowledge.Sweep(now)
		}
	}
}

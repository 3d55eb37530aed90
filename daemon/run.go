package daemon

import (
	"context"
	"time"

	"almondstile/vm"
	"almondstile/wait"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

// ErrShutdownLimit says that the graceful shutdown did not finish in its limit,
// so running requests were cut.
var ErrShutdownLimit = errors.New("daemon: the shutdown limit was reached")

const (
	// syncInterval bounds how long a missed event can delay a change. Leaving
	// servers and zones out must take effect within 3 s.
	syncInterval  = 250 * time.Millisecond
	sweepInterval = 5 * time.Second
	// handoverTimeout bounds handing buckets over to their next homes.
	handoverTimeout = 1 * time.Second
	// readyGrace is how long the VM serves on after it reports that it is not
	// ready, so that the balancer stops sending callers before connections end.
	// Balancers commonly ask once a second and act on the second answer.
	readyGrace = 3 * time.Second
)

// Run serves until stop ends, then shuts down gracefully: first not ready, then
// the callers' requests finish, then the VM's roles go to other VMs, and at
// last the other VMs' requests finish. It returns ErrShutdownLimit if that took
// longer than the settings allow.
func (d *Daemon) Run(stop context.Context) error {
	log := d.log.Part("daemon")
	stop, announced := context.WithCancel(stop)
	defer announced()
	background, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	d.serve(background, &wg)
	wg.Go(func() { d.followVMList(background, d.vmList, announced) })
	log.WithField("callers", d.CallersAddress()).WithField("operator", d.OperatorAddress()).Info("Started.")

	select {
	case <-stop.Done():
		log.Info("Shutting down.")
	case <-d.gone:
		log.WithError(d.goneErr).Error("Shutting down, because this VM cannot stay a member.")
	}
	d.stopping.Store(true)
	limit, cancelLimit := context.WithTimeout(context.Background(), d.settings.Shutdown.Limit())
	defer cancelLimit()
	err := d.shutdown(limit)
	d.claims.Close() // results of the last requests are still being recorded
	cancel()
	d.sockets.close()
	d.caller.Close()
	d.upstream.CloseIdle(true)
	d.forwardClient.CloseIdle(true)
	d.relays.CloseIdle(true)
	wg.Wait()
	if err != nil {
		return errors.Mark(err, ErrShutdownLimit)
	}
	log.Info("Stopped.")
	return d.goneErr
}

// serve starts all goroutines.
func (d *Daemon) serve(ctx context.Context, wg *conc.WaitGroup) {
	wg.Go(func() { d.control.Serve(ctx, d.sockets.control) })
	wg.Go(func() { d.follower.Run(ctx) })
	wg.Go(func() {
		defer close(d.gone)
		d.goneErr = d.fleet.Run(ctx)
	})
	wg.Go(func() { d.reporter.Run(ctx) })
	wg.Go(func() { d.tokens.Run(ctx) })
	wg.Go(func() { d.buckets.Run(ctx) })
	wg.Go(func() { d.claims.RunExpiry(ctx, claimSweeper{d.fleet}, d.claimSweepFailed) })
	wg.Go(func() { d.followChanges(ctx) })
	wg.Go(func() { d.sweep(ctx) })
	d.serveListener(ctx, wg, "forward", func() error { return d.forwardServer.Serve(d.sockets.forward) })
	d.serveListener(ctx, wg, "operator", func() error { return d.operators.Serve(d.sockets.operator) })
	d.serveListener(ctx, wg, "callers", func() error { return d.front.Serve(d.sockets.callers) })
}

func (d *Daemon) serveListener(ctx context.Context, wg *conc.WaitGroup, name string, serve func() error) {
	wg.Go(func() {
		if err := serve(); err != nil && ctx.Err() == nil && !d.stopping.Load() {
			d.log.Part(name).WithError(err).Error("The listener ended.")
		}
	})
}

// shutdown ends the VM's work in the order that loses no request.
func (d *Daemon) shutdown(ctx context.Context) error {
	d.front.Drain()
	wait.For(ctx, readyGrace)
	if err := d.front.Shutdown(ctx); err != nil {
		return err
	}
	d.handOver(ctx, d.listWithoutSelf())
	d.leave(ctx)
	if err := d.forwardServer.Shutdown(ctx); err != nil {
		return err
	}
	return d.operators.Shutdown(ctx)
}

// leaveTimeout bounds the departure from the member list. After that the session
// lease expires by itself and other VMs take over, some seconds later.
const leaveTimeout = 5 * time.Second

func (d *Daemon) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	d.fleet.Leave()
	select {
	case <-d.gone:
	case <-ctx.Done():
		d.log.Part("membership").Warn("Leaving the member list failed; the lease expires by itself.")
	}
}

// listWithoutSelf is the member list that leaving will produce.
func (d *Daemon) listWithoutSelf() vm.MemberList {
	list := d.fleet.List()
	next := vm.MemberList{Version: list.Version + 1}
	for _, v := range list.VMs {
		if v.ID != d.self.ID {
			next.VMs = append(next.VMs, v)
		}
	}
	return next
}

// handOver sends the buckets that have another home in the next list.
func (d *Daemon) handOver(ctx context.Context, next vm.MemberList) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	if err := d.buckets.SendHandover(ctx, next, d.self.ID); err != nil {
		d.log.Part("quota").WithError(err).Warn("Some buckets were not handed over; they start empty.")
	}
}

// followChanges brings new configurations and member lists into force.
func (d *Daemon) followChanges(ctx context.Context) {
	lists := d.fleet.Subscribe()
	configurations, unsubscribeConfigurations := d.follower.Subscribe()
	defer unsubscribeConfigurations()
	ticker := time.NewTicker(syncInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-configurations:
		case list := <-lists:
			d.handOver(ctx, list)
			d.buckets.Refresh(time.Now())
		case <-ticker.C:
		}
		now := time.Now()
		d.owner.Sync(now)
		d.gaugeReady(now)
	}
}

// sweep frees what is no longer used.
func (d *Daemon) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			d.upstream.CloseIdle(false)
			d.forwardClient.CloseIdle(false)
			d.relays.CloseIdle(false)
			d.forwardServer.DeleteExpired(now)
			d.metrics.Sweep(now)
			received, sent := d.traffic.Bytes()
			d.metrics.Gauge("control.received_bytes", received)
			d.metrics.Gauge("control.sent_bytes", sent)
		}
	}
}

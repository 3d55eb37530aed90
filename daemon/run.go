package daemon

import (
	"context"
	"time"

	"almondstile/inbound"
	"almondstile/vm"
	"almondstile/wait"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

// ErrShutdownLimit marks the error of a graceful shutdown that did not finish
// within its time limit. Requests that were in flight at the limit were aborted.
var ErrShutdownLimit = errors.New("daemon: the shutdown limit was reached")

const (
	// syncInterval is the time between two calls of owner.Sync without an event. It
	// bounds the delay of a change whose event was missed: servers that leave and
	// zones that are out must take effect within 3 s.
	syncInterval = 250 * time.Millisecond
	// sweepInterval is the time between two removals of idle connections and expired
	// records.
	sweepInterval = 5 * time.Second
	// handoverTimeout bounds the handover of token buckets to their next homes.
	handoverTimeout = 1 * time.Second
	// notReadyDelay is the time from the moment at which /ready reports not ready to
	// the closing of connections. The VM still serves requests during it, so that
	// the load balancer stops sending callers first. Balancers commonly check once a
	// second and react to the second failed check.
	notReadyDelay = 3 * time.Second
)

// Run serves until the context stop ends, the platform announces the removal of
// this VM, or the VM loses its membership. It then shuts down gracefully in four
// steps: the VM reports that it is not ready; callers' requests finish; the VM's
// roles pass to other VMs; requests from other VMs finish. It returns an error
// marked ErrShutdownLimit if that takes longer than the settings allow, and the
// error of the membership if the VM could not stay a member.
func (d *Daemon) Run(stop context.Context) error {
	log := d.log.Part("daemon")
	stop, requestStop := context.WithCancel(stop)
	defer requestStop()
	background, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	d.serve(background, &wg)
	wg.Go(func() { d.followVMList(background, d.vmList, requestStop) })
	log.WithField("callers", d.CallersAddress()).WithField("operator", d.OperatorAddress()).Info("Started.")

	select {
	case <-stop.Done():
		log.Info("Shutting down.")
	case <-d.membershipEnded:
		log.WithError(d.membershipErr).Error("Shutting down, because this VM cannot stay a member.")
	}
	d.stopping.Store(true)
	shutdownCtx, cancelShutdown := context.WithTimeout(context.Background(), d.settings.Shutdown.Limit())
	defer cancelShutdown()
	err := d.shutdown(shutdownCtx)
	d.claims.Close() // waits until the results of the last requests are recorded
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
	return d.membershipErr
}

// serve starts the goroutines of all components except followVMList. They run
// until ctx ends or their listener is closed.
func (d *Daemon) serve(ctx context.Context, wg *conc.WaitGroup) {
	// The listener tries again after a shortage of descriptors.
	control := inbound.NewListener(d.sockets.control, d.log.Part("control"))
	wg.Go(func() { d.control.Serve(ctx, control) })
	wg.Go(func() { d.follower.Run(ctx) })
	wg.Go(func() {
		defer close(d.membershipEnded)
		d.membershipErr = d.fleet.Run(ctx)
	})
	wg.Go(func() { d.reporter.Run(ctx) })
	wg.Go(func() { d.tokens.Run(ctx) })
	wg.Go(func() { d.buckets.Run(ctx) })
	wg.Go(func() { d.claims.RunExpiry(ctx, claimExpiryRole{d.fleet}, d.claimSweepFailed) })
	wg.Go(func() { d.followChanges(ctx) })
	wg.Go(func() { d.sweep(ctx) })
	d.serveListener(ctx, wg, "forward", func() error { return d.forwardServer.Serve(d.sockets.forward) })
	d.serveListener(ctx, wg, "operator", func() error { return d.operators.Serve(d.sockets.operator) })
	d.serveListener(ctx, wg, "callers", func() error { return d.front.Serve(d.sockets.callers) })
}

// serveListener runs serve in a goroutine and logs an error that ends it before
// the shutdown.
func (d *Daemon) serveListener(ctx context.Context, wg *conc.WaitGroup, name string, serve func() error) {
	wg.Go(func() {
		if err := serve(); err != nil && ctx.Err() == nil && !d.stopping.Load() {
			d.log.Part(name).WithError(err).Error("The listener ended.")
		}
	})
}

// shutdown stops the components that handle requests, in the order that loses no
// request. It returns an error if requests are still in flight when ctx ends.
func (d *Daemon) shutdown(ctx context.Context) error {
	now := time.Now()
	d.dispatcher.BeginDrain(now.Add(notReadyDelay), now.Add(d.settings.Shutdown.Limit()))
	d.front.Drain()
	wait.For(ctx, notReadyDelay)
	if err := d.front.Shutdown(ctx); err != nil {
		return err
	}
	d.handOver(ctx, d.memberListWithoutSelf())
	d.leave(ctx)
	if err := d.forwardServer.Shutdown(ctx); err != nil {
		return err
	}
	return d.operators.Shutdown(ctx)
}

// leaveTimeout bounds the departure from the member list. If it does not succeed in
// that time, the session lease expires some seconds later and other VMs take over
// the roles of this VM.
const leaveTimeout = 5 * time.Second

// leave removes this VM from the member list and waits until that is done.
func (d *Daemon) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	d.fleet.Leave()
	select {
	case <-d.membershipEnded:
	case <-ctx.Done():
		d.log.Part("membership").Warn("Leaving the member list failed; the lease expires by itself.")
	}
}

// memberListWithoutSelf returns the member list that is expected after this VM has
// left: the next version, without this VM.
func (d *Daemon) memberListWithoutSelf() vm.MemberList {
	list := d.fleet.List()
	next := vm.MemberList{Version: list.Version + 1}
	for _, v := range list.VMs {
		if v.ID != d.self.ID {
			next.VMs = append(next.VMs, v)
		}
	}
	return next
}

// handOver sends the token buckets that have another home in the next member list
// to that home.
func (d *Daemon) handOver(ctx context.Context, next vm.MemberList) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	if err := d.buckets.SendHandover(ctx, next, d.self.ID); err != nil {
		d.log.Part("quota").WithError(err).Warn("Some buckets were not handed over; they start empty.")
	}
}

// followChanges applies new configurations and member lists to the token buckets
// and the owned servers, and updates the gauge "ready", until ctx ends.
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
		d.updateReadyGauge(now)
	}
}

// sweep closes idle connections, deletes expired records and metrics, and sets the
// gauges of control traffic, at intervals until ctx ends.
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
			d.sweepMemory()
			received, sent := d.traffic.Bytes()
			d.metrics.Gauge("control.received_bytes", received)
			d.metrics.Gauge("control.sent_bytes", sent)
		}
	}
}

// sweepMemory returns unused memory to the system and sets the gauges of the budget.
func (d *Daemon) sweepMemory() {
	d.budget.ReturnUnused()
	d.budget.SetGauges(d.metrics)
}

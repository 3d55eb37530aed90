package hosted

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"almondstile/boottime"
	"almondstile/catalog"
	"almondstile/contract"
	"almondstile/fleet"
	"almondstile/guard"
	"almondstile/logging"
	"almondstile/rollout"
	"almondstile/rollout/replica"
	"almondstile/tally"
	"almondstile/telemetry"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

// RolloutStore keeps the states of roll-outs.
type RolloutStore interface {
	// WriteRollout writes a state, provided that the stored one has the version
	// state.Row.Version. Its error is rollout.ErrStateChanged if it has another one.
	WriteRollout(ctx context.Context, state rollout.State) error
	// ReadRollout returns the stored state of a service's roll-out, without a status if
	// there is none, at a position in the era that the store states.
	ReadRollout(ctx context.Context, service contract.ServiceID) (rollout.State, error)
}

const (
	// rolloutInterval is the time between two decisions about a roll-out.
	rolloutInterval = 100 * time.Millisecond
	// rolloutSyncInterval is the time after which the replica gets the same view again.
	rolloutSyncInterval = time.Second
	// rolloutCallTimeout bounds one call to the store.
	rolloutCallTimeout = 700 * time.Millisecond
	// minRolloutLogInterval bounds the lines about the roll-out of one service.
	minRolloutLogInterval = time.Second
	// rolloutShareLogStep is the least change of the share that is logged.
	rolloutShareLogStep = 0.25
)

// Any VM may write a state. So that usually one does, each leaves it to others for a
// while: the first relay of the first zone writes at once, those of the other zones later
// by rolloutZoneDelay for each, the second relays later by rolloutSecondDelay, and the
// other VMs spread over rolloutDelayPerVM for each VM of the fleet from rolloutOtherDelay
// on.
const (
	rolloutZoneDelay   = 150 * time.Millisecond
	rolloutSecondDelay = 600 * time.Millisecond
	rolloutOtherDelay  = 1200 * time.Millisecond
	rolloutDelayPerVM  = 20 * time.Millisecond
)

// rolloutKeeper decides about the roll-outs on one VM and writes their states.
type rolloutKeeper struct {
	rollouts  *replica.Rollouts
	servers   func(now time.Time, order rollout.Order) replica.Servers
	catalog   *catalog.Catalog
	roster    *fleet.Roster
	ledger    *tally.Ledger
	store     RolloutStore
	startedAt time.Time
	guard     *guard.Guard
	metrics   *telemetry.Metrics
	log       logging.Logger

	// The goroutine of run uses the fields from here on.

	synced   *catalog.View // the view that the replica has
	syncedAt time.Time
	logged   map[contract.ServiceID]loggedDecision
	// open holds the services with an open roll-out.
	open   map[contract.ServiceID]bool
	writes conc.WaitGroup
}

// loggedDecision is what was last logged of a roll-out.
type loggedDecision struct {
	at       time.Time
	decision rollout.Decision
	verdict  rollout.Verdict
}

// run decides at intervals until the context ends.
func (k *rolloutKeeper) run(ctx context.Context) {
	ticker := time.NewTicker(rolloutInterval)
	defer ticker.Stop()
	defer k.writes.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			k.guard.Task("rollouts", func() { k.step(ctx, now) })
		}
	}
}

// step takes over what the store says, decides about each open roll-out and starts the
// writes that are due.
func (k *rolloutKeeper) step(ctx context.Context, now time.Time) {
	k.sync(now)
	k.rollouts.Refresh(now)
	clear(k.open)
	for _, order := range k.rollouts.Orders() {
		k.open[order.Service] = true
		step, ok := k.rollouts.Decide(now, order, k.fleet(now), k.servers(now, order))
		if !ok {
			continue
		}
		for _, a := range step.Announcements {
			k.ledger.AddCounts(now, a.Subject, a.Counts)
		}
		k.report(now, step)
	}
	for _, a := range k.rollouts.LostFinals(now) {
		k.ledger.AddCounts(now, a.Subject, a.Counts)
	}
	k.reportEnded()
	for _, state := range k.rollouts.Due(now, k.writeDelay(now)) {
		k.writes.Go(func() { k.write(ctx, state) })
	}
}

// sync takes over the catalog's view if it is a new one. It repeats that at intervals,
// because the copies of the tables become newer also without a change.
func (k *rolloutKeeper) sync(now time.Time) {
	view := k.catalog.View()
	if view == k.synced && now.Sub(k.syncedAt) < rolloutSyncInterval {
		return
	}
	storeNow, known := k.catalog.StoreClock.At(boottime.Now())
	if !known {
		return // nothing was read yet
	}
	orders, _ := k.catalog.PositionAsOf(catalog.OperatorTable)
	k.rollouts.Sync(now, replica.Copies{
		StoreNow: storeNow, StatesKnown: k.catalog.Loaded(catalog.RolloutTable), Orders: orders, StatesEra: view.StatesEra,
		Services: serviceStates(view),
	})
	k.synced, k.syncedAt = view, now
}

// serviceStates returns what a view says of each service that it names.
func serviceStates(view *catalog.View) []replica.ServiceState {
	byService := make(map[contract.ServiceID]*replica.ServiceState)
	state := func(id contract.ServiceID) *replica.ServiceState {
		s := byService[id]
		if s == nil {
			s = &replica.ServiceState{Service: id, Servers: make(map[rollout.Version]int)}
			byService[id] = s
		}
		return s
	}
	for id, registrations := range view.ByService {
		s := state(id)
		for _, r := range registrations {
			s.Servers[r.Version]++
		}
	}
	for id, order := range view.Rollouts {
		s := state(id)
		s.Order, s.OrderedAt = order, view.OrderedAt[id]
	}
	for id, stored := range view.RolloutStates {
		state(id).Stored = stored
	}
	out := make([]replica.ServiceState, 0, len(byService))
	for _, s := range byService {
		out = append(out, *s)
	}
	return out
}

// fleet returns what this VM knows of the fleet.
func (k *rolloutKeeper) fleet(now time.Time) replica.Fleet {
	return replica.Fleet{
		StartedAt: k.startedAt, ConnectedShare: k.roster.ConnectedShare(now), ConnectedVMs: k.roster.ConnectedVMs(now),
	}
}

// writeDelay returns how long this VM leaves the write of a state to others.
func (k *rolloutKeeper) writeDelay(now time.Time) time.Duration {
	self := k.roster.Self()
	zones := k.roster.Zones()
	slices.Sort(zones)
	byZone := time.Duration(slices.Index(zones, self.Zone)) * rolloutZoneDelay
	switch k.roster.Rank(now) {
	case 0:
		return byZone
	case 1:
		return rolloutSecondDelay + byZone
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(self.ID)) // never fails
	spread := rolloutDelayPerVM * time.Duration(k.roster.Size())
	return rolloutOtherDelay + time.Duration(h.Sum32())%spread
}

// write makes one attempt to write a state. If the outcome is not known, it reads what the
// store has.
func (k *rolloutKeeper) write(ctx context.Context, state rollout.State) {
	var stored *rollout.State
	succeeded := false
	defer func() { k.rollouts.RecordWrite(time.Now(), state, succeeded, stored, rand.Float64()) }()
	k.guard.Handle("rollout_write", string(state.Service), func() {
		succeeded, stored = k.writeOnce(ctx, state)
	})
}

// writeOnce implements write. It reports whether the state was written, and otherwise
// returns the state that the store has, if it is known.
func (k *rolloutKeeper) writeOnce(ctx context.Context, state rollout.State) (succeeded bool, stored *rollout.State) {
	log := k.log.WithField("service", state.Service).WithField("target", state.Target).WithField("status", state.Status).
		WithField("order", state.OrderVersion)
	ctx, cancel := context.WithTimeout(ctx, 2*rolloutCallTimeout)
	defer cancel()
	err := k.writeState(ctx, state)
	if err == nil {
		k.metrics.Count("rollout_written." + string(state.Status))
		log.Info("The status of a roll-out is written.")
		return true, nil
	}
	k.metrics.Count("rollout_write_failed")
	log.WithError(err).Warn("The status of a roll-out could not be written.")
	if ctx.Err() != nil {
		return false, nil
	}
	eraBefore := k.catalog.Era()
	current, err := k.store.ReadRollout(ctx, state.Service)
	if err != nil {
		log.WithError(err).Warn("The status of a roll-out could not be read back.")
		return false, nil
	}
	if current.Row.Era.Stated == eraBefore.Stated {
		current.Row.Era = eraBefore // with what VMs found; the answer is not from before that
	}
	log.WithField("stored_status", current.Status).WithField("stored_order", current.OrderVersion).
		WithField("era", current.Row.Era.String()).WithField("row_version", current.Row.Version).Info("The status of a roll-out was read back.")
	return false, &current
}

// writeState calls the store's WriteRollout with a timeout.
func (k *rolloutKeeper) writeState(ctx context.Context, state rollout.State) error {
	ctx, cancel := context.WithTimeout(ctx, rolloutCallTimeout)
	defer cancel()
	return errors.Wrap(k.store.WriteRollout(ctx, state), "writing the state of a roll-out")
}

// report sets the gauges of a roll-out, and logs a decision that differs from the last one
// that was logged.
func (k *rolloutKeeper) report(now time.Time, step replica.Step) {
	d, f, service := step.Decision, step.Decision.Figures, step.Order.Service
	prefix := "rollout." + string(service) + "."
	k.metrics.Gauge(prefix+"share_permille", int64(1000*d.TargetShare))
	k.metrics.Gauge(prefix+"verdict", int64(step.Verdict))
	k.metrics.Gauge(prefix+"sent", int64(f.Sent))
	k.metrics.Gauge(prefix+"sent_to_target", int64(f.SentToTarget))
	k.metrics.Gauge(prefix+"target_responses", int64(f.Responses))
	k.metrics.Gauge(prefix+"target_failures", int64(f.Failures))
	k.metrics.Gauge(prefix+"old_under_way", int64(step.UnderWay))

	last := k.logged[service]
	moved := d.TargetShare-last.decision.TargetShare >= rolloutShareLogStep || last.decision.TargetShare-d.TargetShare >= rolloutShareLogStep
	news := step.Verdict != last.verdict
	if !news && (d.Reason == last.decision.Reason && !moved || now.Sub(last.at) < minRolloutLogInterval) {
		return
	}
	k.logged[service] = loggedDecision{now, d, step.Verdict}
	if news {
		k.metrics.Count("rollout_verdict." + step.Verdict.String())
	}
	k.log.WithField("service", service).WithField("target", step.Order.Target).WithField("order", step.Order.Row.Version).
		WithField("elapsed_ms", f.Elapsed.Milliseconds()).WithField("verdict", step.Verdict.String()).WithField("reason", d.Reason).
		WithField("share", d.TargetShare).WithField("sent", f.Sent).WithField("sent_to_target", f.SentToTarget).
		WithField("responses", f.Responses).WithField("failures", f.Failures).WithField("slow", f.Slow).
		WithField("old_responses", f.OldResponses).WithField("old_failures", f.OldFailures).
		WithField("evidence", f.Evidence).WithField("evidence_all", f.EvidenceAll).WithField("suspects", f.Suspects).
		WithField("old_under_way", step.UnderWay).Info("The decision about a roll-out.")
}

// reportEnded logs the end of roll-outs that were open before.
func (k *rolloutKeeper) reportEnded() {
	for service, last := range k.logged {
		if k.open[service] {
			continue
		}
		delete(k.logged, service)
		stored := k.rollouts.Stored(service)
		k.metrics.Gauge("rollout."+string(service)+".share_permille", 0)
		k.log.WithField("service", service).WithField("stored_status", stored.Status).WithField("target", stored.Target).
			WithField("order", stored.OrderVersion).WithField("verdict", last.verdict.String()).
			WithField("reason", last.decision.Reason).Info("A roll-out has ended.")
	}
}

package configstore

import (
	"context"
	"time"

	"almondstile/contract"
	"almondstile/logging"
	"almondstile/store"
	"almondstile/wait"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

const (
	// planLifetime is the time after its creation in which a plan can be confirmed
	// and looked up.
	planLifetime = 24 * time.Hour
	// maxAttempts limits the attempts to execute one transaction. An attempt is
	// repeated after a conflict with another write or after a lost response.
	maxAttempts = 5
	// retryPause is the time between two attempts.
	retryPause = 50 * time.Millisecond
	// snapshotEvery is the number of versions between two snapshots.
	snapshotEvery = 20
	// callTimeout limits one call to the platform.
	callTimeout = 2 * time.Second
)

// Planner turns intents into plans, stores the plans and confirms them. All plans
// are kept in the table and none in memory, so any VM can confirm the plan that
// another VM made.
type Planner struct {
	loader
	follower   *Follower
	retryPause time.Duration
	now        func() time.Time
}

// NewPlanner returns a planner. The planner starts from the configuration that is
// in force at the follower, so that it reads only newer versions from the store.
func NewPlanner(table store.Table, objects store.ObjectStore, follower *Follower, log logging.Logger) *Planner {
	return &Planner{
		loader:     loader{table: table, objects: objects, timeout: callTimeout, log: log},
		follower:   follower,
		retryPause: retryPause,
		now:        time.Now,
	}
}

// headConfiguration returns the head and the configuration at its version. It reads
// the versions in force here and at peers first. The head only moves forward, so the
// head that is read afterwards cannot be older. If it is, the table has lost
// versions that are still in force, and the error is errVersionsLost.
func (p *Planner) headConfiguration(ctx context.Context) (head, *contract.Configuration, error) {
	inForce := p.follower.Index().Configuration()
	reported := p.follower.newestReportedVersion(p.now())
	h, err := p.head(ctx)
	if err != nil {
		return head{}, nil, err
	}
	if newest := max(inForce.Version, reported); newest > h.Version {
		return h, nil, versionsLost(newest, h.Version)
	}
	c, _, err := p.configurationAt(ctx, inForce, h)
	return h, c, err
}

// Plan computes the effect of an intent on the newest version, stores the result as
// an open plan and returns it. If the store has lost versions that no VM can write
// back, the plan changes the configuration in force and settles them. Its errors are those of contract.NewPlan, and
// ErrUnavailable, ErrInconsistent or ErrIntentTooLarge.
func (p *Planner) Plan(ctx context.Context, intent contract.Intent) (contract.Plan, error) {
	h, base, err := p.planBase(ctx)
	if err != nil {
		return contract.Plan{}, err
	}
	id, err := uuid.NewRandom()
	if err != nil {
		return contract.Plan{}, errors.Wrap(err, "creating a plan ID")
	}
	plan, err := contract.NewPlan(id.String(), base, intent, p.now().UTC())
	if err != nil {
		return contract.Plan{}, err
	}
	settles := base.Version > h.Version
	if settles {
		warnOfSettlement(&plan, h)
	}
	stored, err := openPlan(plan, base, h)
	if err != nil {
		return contract.Plan{}, err
	}
	if settles {
		if err := p.settleWith(ctx, &stored, base, h); err != nil {
			return contract.Plan{}, err
		}
	}
	write, err := putJSON(planKey(plan.ID), stored, store.Condition{Kind: store.Absent})
	if err != nil {
		return contract.Plan{}, err
	}
	if len(write.Value) > maxPlanRowBytes {
		return contract.Plan{}, errors.Wrapf(ErrIntentTooLarge, "plan row of %d bytes, at most %d bytes are allowed", len(write.Value), maxPlanRowBytes)
	}
	return plan, p.storePlan(ctx, write)
}

// openPlan returns the row of a new plan on the configuration base of the head.
func openPlan(plan contract.Plan, base *contract.Configuration, h head) (StoredPlan, error) {
	result, err := contract.Apply(base, plan.Intent)
	if err != nil {
		return StoredPlan{}, err
	}
	stored := StoredPlan{Plan: plan, State: PlanOpen, BaseDigest: h.Digest}
	stored.ResultDigest, err = contract.Digest(result)
	return stored, err
}

// storePlan writes the row of a new plan and repeats the write after an error. The
// plan's ID is new, so a row that exists already was written by an earlier attempt.
func (p *Planner) storePlan(ctx context.Context, write store.Write) error {
	var err error
	for attempt := range maxAttempts {
		if attempt > 0 && !wait.For(ctx, p.retryPause) {
			break
		}
		err = p.transact(ctx, write)
		if err == nil || errors.Is(err, store.ErrConditionFailed) {
			return nil
		}
	}
	return markUnavailable(err, "storing the plan")
}

// Get returns a stored plan. The error is ErrUnknownPlan if the plan does not exist
// or has expired.
func (p *Planner) Get(ctx context.Context, id string) (StoredPlan, error) {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	item, err := p.table.Get(ctx, planKey(id))
	if errors.Is(err, store.ErrNotFound) {
		return StoredPlan{}, ErrUnknownPlan
	}
	if err != nil {
		return StoredPlan{}, markUnavailable(err, "reading the plan")
	}
	stored := StoredPlan{rowVersion: item.Version}
	if err := decodeRow(item, &stored); err != nil {
		return StoredPlan{}, err
	}
	if p.now().Sub(stored.Created) > planLifetime {
		return StoredPlan{}, ErrUnknownPlan
	}
	return stored, nil
}

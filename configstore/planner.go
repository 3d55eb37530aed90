package configstore

import (
	"context"
	"time"

	"almondstile/contract"
	"almondstile/logging"
	"almondstile/store"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

const (
	// planLifetime is the time in which a plan can be confirmed and looked up.
	planLifetime = 24 * time.Hour
	// maxAttempts bounds the repetitions of one transaction. Each repetition
	// follows a conflict with another operator or a lost response.
	maxAttempts = 5
	// retryPause is the time between two attempts.
	retryPause = 50 * time.Millisecond
	// snapshotEvery is the number of versions between two snapshots.
	snapshotEvery = 20
	// callTimeout bounds one call to the platform.
	callTimeout = 2 * time.Second
)

// Planner turns intents into plans and confirms them. It holds no state of its
// own: all of it is in the table, so any VM can confirm any VM's plan.
type Planner struct {
	loader
	follower   *Follower
	retryPause time.Duration
	now        func() time.Time
}

// NewPlanner returns a planner that starts from the configuration that the
// follower holds, so that it reads only what is newer.
func NewPlanner(table store.Table, objects store.ObjectStore, follower *Follower, log logging.Logger) *Planner {
	return &Planner{
		loader:     loader{table: table, objects: objects, timeout: callTimeout, log: log},
		follower:   follower,
		retryPause: retryPause,
		now:        time.Now,
	}
}

// current returns the head and the configuration at its version. The follower
// is read first: what it holds then cannot be above the head read after it.
func (p *Planner) current(ctx context.Context) (head, *contract.Configuration, error) {
	held := p.follower.Index().Configuration()
	h, err := p.head(ctx)
	if err != nil {
		return head{}, nil, err
	}
	c, _, err := p.bring(ctx, held, h)
	if err != nil {
		return head{}, nil, err
	}
	if c.Version != h.Version {
		return head{}, nil, errors.Wrapf(ErrInconsistent, "version %d in force is above the head %d", c.Version, h.Version)
	}
	return h, c, nil
}

// Plan computes the effect of an intent on the newest version and stores it.
// Errors are those of contract.NewPlan and this package.
func (p *Planner) Plan(ctx context.Context, intent contract.Intent) (contract.Plan, error) {
	_, base, err := p.current(ctx)
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
	write, err := putJSON(planKey(plan.ID), StoredPlan{Plan: plan, State: PlanOpen}, store.Condition{Kind: store.Absent})
	if err != nil {
		return contract.Plan{}, err
	}
	if len(write.Value) > maxPlanRowBytes {
		return contract.Plan{}, errors.Wrapf(ErrIntentTooLarge, "%d bytes of %d", len(write.Value), maxPlanRowBytes)
	}
	return plan, p.storePlan(ctx, write)
}

// storePlan repeats the write after a lost response. The plan's ID is new, so a
// row that already exists is this one.
func (p *Planner) storePlan(ctx context.Context, write store.Write) error {
	var err error
	for attempt := range maxAttempts {
		if attempt > 0 && !p.pause(ctx) {
			break
		}
		err = p.transact(ctx, write)
		if err == nil || errors.Is(err, store.ErrConditionFailed) {
			return nil
		}
	}
	return unavailable(err, "storing the plan")
}

// Get returns a stored plan, or ErrUnknownPlan.
func (p *Planner) Get(ctx context.Context, id string) (StoredPlan, error) {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	item, err := p.table.Get(ctx, planKey(id))
	if errors.Is(err, store.ErrNotFound) {
		return StoredPlan{}, ErrUnknownPlan
	}
	if err != nil {
		return StoredPlan{}, unavailable(err, "reading the plan")
	}
	stored := StoredPlan{row: item.Version}
	if err := decodeRow(item, &stored); err != nil {
		return StoredPlan{}, err
	}
	if p.now().Sub(stored.Created) > planLifetime {
		return StoredPlan{}, ErrUnknownPlan
	}
	return stored, nil
}

func (p *Planner) transact(ctx context.Context, writes ...store.Write) error {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	return p.table.Transact(ctx, writes)
}

// pause waits between two attempts and reports whether the context still runs.
func (p *Planner) pause(ctx context.Context) bool {
	timer := time.NewTimer(p.retryPause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

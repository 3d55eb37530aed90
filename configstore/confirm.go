package configstore

import (
	"context"

	"almondstile/contract"
	"almondstile/store"

	"github.com/cockroachdb/errors"
)

// OutcomeKind is the result of a confirm.
type OutcomeKind string

// The results of a confirm.
const (
	// Accepted means that the plan took effect, now or by an earlier confirm.
	Accepted OutcomeKind = "accepted"
	// BaseChanged means that the plan can no longer take effect, because another
	// one was accepted on its base. It must be planned again.
	BaseChanged OutcomeKind = "base-changed"
	// UnknownPlan means that there is no such plan, or that it has expired.
	UnknownPlan OutcomeKind = "unknown-plan"
	// OutcomeUnknown means that the plan may have taken effect. Confirm must be
	// repeated, which never applies the plan twice.
	OutcomeUnknown OutcomeKind = "outcome-unknown"
)

// Outcome is the result of a confirm.
type Outcome struct {
	Kind OutcomeKind `json:"outcome"`
	// Version is the plan's version if accepted.
	Version uint64 `json:"version,omitempty"`
	// Current is the version in force that the plan is not based on.
	CurrentVersion uint64 `json:"current,omitempty"`
}

// Confirm accepts a plan. It may be repeated, also after an error. An error
// that is ErrUnavailable says that nothing changed.
func (p *Planner) Confirm(ctx context.Context, planID string) (Outcome, error) {
	outcome, err := p.confirm(ctx, planID)
	if outcome.Kind == Accepted {
		p.follower.PollNow()
		p.snapshotIfDue(ctx)
	}
	return outcome, err
}

// confirm repeats attempts until one is decided. Once a response was lost, a
// store that cannot be read means an unknown outcome, not an unavailable store.
func (p *Planner) confirm(ctx context.Context, planID string) (Outcome, error) {
	mayHaveRun := false
	var lastErr error
	for attempt := range maxAttempts {
		if attempt > 0 && !p.pause(ctx) {
			break
		}
		outcome, err := p.tryConfirm(ctx, planID)
		switch {
		case err == nil:
			return outcome, nil
		case errors.Is(err, store.ErrConditionFailed):
			// Another write came first; what it was is read in the next attempt.
		case errors.Is(err, store.ErrUnknownOutcome):
			mayHaveRun = true
		case !mayHaveRun:
			return Outcome{}, err
		}
		lastErr = err
	}
	if mayHaveRun {
		return Outcome{Kind: OutcomeUnknown}, nil
	}
	return Outcome{}, unavailable(lastErr, "confirming the plan")
}

// tryConfirm reads the plan and the head and runs the transaction once.
func (p *Planner) tryConfirm(ctx context.Context, planID string) (Outcome, error) {
	stored, err := p.Get(ctx, planID)
	if errors.Is(err, ErrUnknownPlan) {
		return Outcome{Kind: UnknownPlan}, nil
	}
	if err != nil {
		return Outcome{}, err
	}
	if stored.State == PlanAccepted {
		return Outcome{Kind: Accepted, Version: stored.Version}, nil
	}
	h, err := p.head(ctx)
	if err != nil {
		return Outcome{}, err
	}
	if h.Version != stored.BaseVersion {
		return p.afterBaseChanged(ctx, planID, h)
	}
	writes, err := confirmWrites(stored, h)
	if err != nil {
		return Outcome{}, err
	}
	err = p.transact(ctx, writes...)
	switch {
	case err == nil:
		return Outcome{Kind: Accepted, Version: stored.BaseVersion + 1}, nil
	case errors.Is(err, store.ErrConditionFailed):
		return Outcome{}, err
	case errors.Is(err, store.ErrNotDone):
		return Outcome{}, unavailable(err, "confirming the plan")
	}
	// Any other error, such as an expired deadline, promises nothing.
	return Outcome{}, errors.Mark(err, store.ErrUnknownOutcome)
}

// afterBaseChanged reads the plan again, because this plan may be the one that
// moved the head after the plan was read. A plan that is open after the head
// has moved stays open for good: a late write of it fails on the head's version.
func (p *Planner) afterBaseChanged(ctx context.Context, planID string, h head) (Outcome, error) {
	stored, err := p.Get(ctx, planID)
	if err != nil {
		return Outcome{}, err
	}
	if stored.State == PlanAccepted {
		return Outcome{Kind: Accepted, Version: stored.Version}, nil
	}
	return Outcome{Kind: BaseChanged, CurrentVersion: h.Version}, nil
}

// confirmWrites is the transaction that accepts a plan.
func confirmWrites(stored StoredPlan, h head) ([]store.Write, error) {
	next := stored.BaseVersion + 1
	planRow := store.Condition{Kind: store.VersionIs, Version: stored.row}
	accepted := stored
	accepted.State, accepted.Version = PlanAccepted, next
	newHead := head{Version: next, Snapshots: h.Snapshots}
	delta := contract.Delta{Version: next, Intent: stored.Intent}

	plan, err := putJSON(planKey(stored.ID), accepted, planRow)
	if err != nil {
		return nil, err
	}
	headWrite, err := putJSON(headKey, newHead, h.unchanged())
	if err != nil {
		return nil, err
	}
	deltaWrite, err := putJSON(deltaKey(next), delta, store.Condition{Kind: store.Absent})
	return []store.Write{plan, headWrite, deltaWrite}, err
}

package configstore

import (
	"context"

	"almondstile/contract"
	"almondstile/store"
	"almondstile/wait"

	"github.com/cockroachdb/errors"
)

// OutcomeKind classifies the result of Planner.Confirm.
type OutcomeKind string

// Results of Planner.Confirm.
const (
	// Accepted means that the plan took effect, with this or an earlier confirm.
	Accepted OutcomeKind = "accepted"
	// BaseChanged means that the plan can no longer take effect, because another
	// plan on the same base was accepted, or because the store has lost the base. The
	// operator must plan the change again.
	BaseChanged OutcomeKind = "base-changed"
	// UnknownPlan means that the plan does not exist or has expired.
	UnknownPlan OutcomeKind = "unknown-plan"
	// OutcomeUnknown means that the plan may have taken effect. The operator must
	// repeat the confirm, which never applies the plan twice.
	OutcomeUnknown OutcomeKind = "outcome-unknown"
)

// Outcome is the result of Planner.Confirm.
type Outcome struct {
	Kind OutcomeKind `json:"outcome"`
	// Version is the version that the plan created. Only set if Kind is Accepted.
	Version uint64 `json:"version,omitempty"`
	// CurrentVersion is the version of the head. Only set if Kind is BaseChanged.
	CurrentVersion uint64 `json:"current,omitempty"`
}

// Confirm makes a stored plan take effect. Callers may repeat it, also after an
// error. If the error is ErrUnavailable, this call has changed nothing. After a plan
// is accepted, Confirm also writes a snapshot if one is due.
func (p *Planner) Confirm(ctx context.Context, planID string) (Outcome, error) {
	outcome, err := p.confirm(ctx, planID)
	if outcome.Kind == Accepted {
		p.follower.PollNow()
		p.snapshotIfDue(ctx)
	}
	return outcome, err
}

// confirm calls tryConfirm, up to maxAttempts times, until it returns an outcome.
// Once the response to a transaction was lost, the transaction may have taken
// effect. If the store cannot be read after that, the result is OutcomeUnknown
// and not ErrUnavailable.
func (p *Planner) confirm(ctx context.Context, planID string) (Outcome, error) {
	mayHaveExecuted := false
	var lastErr error
	for attempt := range maxAttempts {
		if attempt > 0 && !wait.For(ctx, p.retryPause) {
			break
		}
		outcome, err := p.tryConfirm(ctx, planID)
		switch {
		case err == nil:
			return outcome, nil
		case errors.Is(err, store.ErrConditionFailed):
			// Another write changed one of the rows first. The next attempt reads them again.
		case errors.Is(err, store.ErrUnknownOutcome):
			mayHaveExecuted = true
		case !mayHaveExecuted:
			return Outcome{}, err
		}
		lastErr = err
	}
	if mayHaveExecuted {
		return Outcome{Kind: OutcomeUnknown}, nil
	}
	return Outcome{}, markUnavailable(lastErr, "confirming the plan")
}

// tryConfirm reads the plan and the head and executes the transaction once. It
// returns an error that is store.ErrConditionFailed if another write changed a row
// in between, or store.ErrUnknownOutcome if the transaction may have taken effect.
// After any other error nothing was changed.
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
	// Read before the head, which only moves forward unless the store loses versions.
	inForce := p.newestInForce(stored)
	h, err := p.head(ctx)
	if err != nil {
		return Outcome{}, err
	}
	if !stored.follows(h) {
		return p.resolveBaseChanged(ctx, planID, h)
	}
	if inForce > stored.BaseVersion {
		return Outcome{}, versionsLost(inForce, stored.BaseVersion)
	}
	writes, err := confirmWrites(stored, h)
	if err != nil {
		return Outcome{}, err
	}
	err = p.transact(ctx, writes...)
	switch {
	case err == nil:
		if stored.Settles != nil {
			p.log.WithField("version", stored.BaseVersion+1).WithField("replaced", h.Version).
				Warn("A new version settles the versions of the configuration that the store had lost.")
		}
		return Outcome{Kind: Accepted, Version: stored.BaseVersion + 1}, nil
	case errors.Is(err, store.ErrConditionFailed):
		return Outcome{}, err
	case errors.Is(err, store.ErrNotDone):
		return Outcome{}, markUnavailable(err, "confirming the plan")
	}
	// After any other error, such as an exceeded deadline, the transaction may
	// have taken effect.
	return Outcome{}, errors.Mark(err, store.ErrUnknownOutcome)
}

// resolveBaseChanged returns the outcome if the head is not at the plan's base
// version. It reads the plan again, because an earlier confirm of this plan may
// have moved the head after the plan was read. If the plan is still open, it can
// never be accepted: a delayed transaction fails on the condition on the head row.
func (p *Planner) resolveBaseChanged(ctx context.Context, planID string, h head) (Outcome, error) {
	stored, err := p.Get(ctx, planID)
	if err != nil {
		return Outcome{}, err
	}
	if stored.State == PlanAccepted {
		return Outcome{Kind: Accepted, Version: stored.Version}, nil
	}
	return Outcome{Kind: BaseChanged, CurrentVersion: h.Version}, nil
}

// confirmWrites returns the writes of the transaction that accepts a plan: the
// accepted plan, the new head and the new version's delta.
func confirmWrites(stored StoredPlan, h head) ([]store.Write, error) {
	next := stored.BaseVersion + 1
	planUnchanged := store.Condition{Kind: store.VersionIs, Version: stored.rowVersion}
	accepted := stored
	accepted.State, accepted.Version = PlanAccepted, next
	newHead := head{Version: next, Snapshots: h.Snapshots, Digest: stored.ResultDigest, Settled: h.Settled}
	if s := stored.Settles; s != nil {
		// Older snapshots lead to no newer version without the lost deltas.
		newHead.Snapshots = []uint64{stored.BaseVersion}
		newHead.Settled = &settlement{Version: stored.BaseVersion, Object: s.Object}
	}
	delta := contract.Delta{Version: next, Intent: stored.Intent, Digest: stored.ResultDigest}

	planWrite, err := putJSON(planKey(stored.ID), accepted, planUnchanged)
	if err != nil {
		return nil, err
	}
	writes, err := versionWrites(h, newHead, delta)
	return append([]store.Write{planWrite}, writes...), err
}

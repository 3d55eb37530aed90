package claim

import (
	"context"
	"time"

	"almondstile/request"
	"almondstile/store"
	"almondstile/vm"
	"almondstile/wait"

	"github.com/cockroachdb/errors"
)

const (
	// maxBeginAttempts bounds the writes of one Begin. More than one is needed
	// when a write's outcome is unknown or a released row is claimed.
	maxBeginAttempts = 4
	// maxFinishAttempts bounds the writes of one Finish.
	maxFinishAttempts = 4
	// firstRetryPause is the pause before the second attempt; it doubles.
	firstRetryPause = 50 * time.Millisecond
	// abandonTimeout bounds the release of a claim that may have been written
	// for a request that was rejected.
	abandonTimeout = 10 * time.Second
)

// Errors of this package. Test with errors.Is.
var (
	// ErrMissingKey says that the request has no idempotency key.
	ErrNoIdempotencyKey = errors.New("claim: the request has no idempotency key")
	// ErrNotRecorded says that the result of a request was not recorded. Later
	// requests with the key are told that the outcome is unknown.
	ErrNotRecorded = errors.New("claim: the result was not recorded")
)

// Claims writes the claims of one VM's requests.
type Claims struct {
	table   store.Table
	clock   func() time.Time
	batcher *batcher
}

// New returns the claims of the VM self. The clock is time.Now outside of tests.
func New(self vm.VM, table store.Table, clock func() time.Time) *Claims {
	name := string(self.ID) + "-" + self.Incarnation
	return &Claims{table: table, clock: clock, batcher: &batcher{table: table, clock: clock, name: name}}
}

// Needed reports whether the request must be claimed before it is dispatched.
func Needed(r *request.Request) bool {
	return !r.Idempotent && r.IdempotencyKey != ""
}

// Ticket is the permission to dispatch a claimed request. It must be finished
// once the result is known.
type Claim struct {
	claims  *Claims
	key     string
	row     row
	version uint64
}

// Begin claims the request's key. It returns either a ticket, or the result
// that the caller gets instead of a dispatch, or an error for a request that
// has no key.
func (c *Claims) Begin(ctx context.Context, r *request.Request) (*Claim, *request.Result, error) {
	if r.IdempotencyKey == "" {
		return nil, nil, ErrNoIdempotencyKey
	}
	now := c.clock()
	t := &Claim{claims: c, key: rowKey(r.Team, r.IdempotencyKey), row: row{
		Owner:           r.ID,
		Fingerprint:     fingerprint(r),
		State:           stateOpen,
		CreatedMillis:   now.UnixMilli(),
		OpenUntilMillis: r.Deadline.UnixMilli(),
	}}
	result := t.acquire(ctx)
	if result != nil {
		return nil, result, nil
	}
	return t, nil, nil
}

// acquire writes the claim. It returns nil if this request holds the claim.
func (t *Claim) acquire(ctx context.Context) *request.Result {
	condition := store.Condition{Kind: store.Absent}
	uncertain := false // a write of this request may still take effect
	for range maxBeginAttempts {
		err := t.put(ctx, t.row, condition, true)
		if err == nil {
			t.version = condition.Version + 1
			return nil
		}
		if errors.Is(err, store.ErrUnknownOutcome) {
			uncertain = true
		} else if !errors.Is(err, store.ErrConditionFailed) {
			return t.reject(ctx, uncertain)
		}
		found, version, err := t.claims.read(ctx, t.key)
		switch {
		case errors.Is(err, store.ErrNotFound):
			condition = store.Condition{Kind: store.Absent}
		case err != nil:
			return t.reject(ctx, uncertain)
		case found.State == stateReleased:
			condition = store.Condition{Kind: store.VersionIs, Version: version}
		case found.Owner == t.row.Owner:
			t.version = version
			return nil
		default:
			result := found.answer(t.claims.clock(), t.row.Fingerprint)
			return &result
		}
	}
	return t.reject(ctx, uncertain)
}

// reject returns the result of a request that did not get its claim. Nothing
// was dispatched, so it certainly did not run.
func (t *Claim) reject(ctx context.Context, uncertain bool) *request.Result {
	if uncertain {
		t.claims.batcher.work.Go(t.abandon)
	}
	result := request.Rejected(request.ReasonStoreUnavailable)
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		result.Reason = request.ReasonDeadline
	case ctx.Err() != nil:
		result.Reason = request.ReasonCanceled
	}
	return &result
}

// abandon releases the claim of a rejected request if it was written after
// all. If that fails, the key stays claimed and its outcome reads as unknown.
func (t *Claim) abandon() {
	ctx, cancel := context.WithTimeout(context.Background(), abandonTimeout)
	defer cancel()
	pause := firstRetryPause
	for range maxFinishAttempts {
		wait.For(ctx, pause)
		pause *= 2
		found, version, err := t.claims.read(ctx, t.key)
		if err != nil {
			continue // not written yet, or the store is away
		}
		if found.Owner != t.row.Owner || found.State != stateOpen {
			return
		}
		found.State = stateReleased
		condition := store.Condition{Kind: store.VersionIs, Version: version}
		if t.put(ctx, found, condition, false) == nil {
			return
		}
	}
}

// Finish records what became of the request: the response, that the outcome is
// unknown, or that it certainly did not run, which releases the claim. The
// context should outlive the caller's request. On an error the claim stays as
// it is, and later requests with the key hear that the outcome is unknown.
func (t *Claim) Finish(ctx context.Context, result request.Result) error {
	final := t.row
	switch result.Outcome {
	case request.Answered:
		final.State, final.Response = stateDone, recordResponse(result)
	case request.NotRun:
		final.State = stateReleased
	default:
		final.State = stateUnknown
	}
	return errors.Mark(errors.Wrapf(t.record(ctx, final), "finishing request %s", t.row.Owner), ErrNotRecorded)
}

// record writes the final row, repeatedly if the store does not answer.
func (t *Claim) record(ctx context.Context, final row) (err error) {
	condition := store.Condition{Kind: store.VersionIs, Version: t.version}
	uncertain := false
	pause := firstRetryPause
	for range maxFinishAttempts {
		err = t.put(ctx, final, condition, false)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, store.ErrConditionFailed) && uncertain:
			// Only this ticket changes an open row: an earlier write counted.
			return nil
		case errors.Is(err, store.ErrConditionFailed) || ctx.Err() != nil:
			return err
		case errors.Is(err, store.ErrUnknownOutcome):
			uncertain = true
		}
		wait.For(ctx, pause)
		pause *= 2
	}
	return err
}

func (t *Claim) put(ctx context.Context, r row, condition store.Condition, logged bool) error {
	return t.claims.batcher.write(ctx, store.Write{
		Kind: store.Put, Key: t.key, Value: r.encode(), Condition: condition,
	}, logged)
}

func (c *Claims) read(ctx context.Context, key string) (row, uint64, error) {
	item, err := c.table.Get(ctx, key)
	if err != nil {
		return row{}, 0, errors.Wrap(err, "reading a claim")
	}
	r, err := decodeRow(item.Value)
	return r, item.Version, err
}

// Close waits for the writes in flight, each of which is bounded by a timeout.
// Begin and Finish must not be called afterwards.
func (c *Claims) Close() { c.batcher.work.Wait() }

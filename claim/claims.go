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
	// maxBeginAttempts is the largest number of writes of one Begin. Begin needs
	// more than one if the outcome of a write is unknown or the row exists in
	// the state released.
	maxBeginAttempts = 4
	// maxFinishAttempts is the largest number of writes of one Finish, and of
	// attempts to release a claim after a rejected request.
	maxFinishAttempts = 4
	// firstRetryPause is the pause before the first retry of such a write. It
	// doubles with each further retry.
	firstRetryPause = 50 * time.Millisecond
	// releaseTimeout is the time limit for releasing a claim that may have been
	// written for a rejected request.
	releaseTimeout = 10 * time.Second
)

// Errors of this package. Test with errors.Is.
var (
	// ErrNoIdempotencyKey is returned for a request without idempotency key.
	ErrNoIdempotencyKey = errors.New("claim: the request has no idempotency key")
	// ErrNotRecorded marks the error of a Finish that could not record the
	// request's result. After the request's deadline, later requests with the
	// key get the outcome unknown.
	ErrNotRecorded = errors.New("claim: the result was not recorded")
)

// Claims creates and finishes the claims of the requests that this VM accepts.
// It is safe for concurrent use.
type Claims struct {
	table   store.Table
	clock   func() time.Time
	batcher *batcher
}

// New returns the Claims of the VM self. Rows are stored in table. The clock is
// time.Now outside tests.
func New(self vm.VM, table store.Table, clock func() time.Time) *Claims {
	processName := string(self.ID) + "-" + self.Incarnation
	return &Claims{table: table, clock: clock, batcher: &batcher{table: table, clock: clock, processName: processName}}
}

// Needed reports whether the request must be claimed before it is dispatched: it
// is not idempotent and carries an idempotency key.
func Needed(r *request.Request) bool {
	return !r.Idempotent && r.IdempotencyKey != ""
}

// Claim is the exclusive right to dispatch the request with an idempotency key.
// Its holder must call Finish once the request's result is known.
type Claim struct {
	claims  *Claims
	key     string
	row     row
	version uint64 // the table's version of the claim row
}

// Begin claims the request's idempotency key. It returns exactly one of three
// values: the claim, with which the request may be dispatched; the result that
// the caller gets instead of a dispatch; or ErrNoIdempotencyKey.
func (c *Claims) Begin(ctx context.Context, r *request.Request) (*Claim, *request.Result, error) {
	if r.IdempotencyKey == "" {
		return nil, nil, ErrNoIdempotencyKey
	}
	now := c.clock()
	cl := &Claim{claims: c, key: rowKey(r.Team, r.IdempotencyKey), row: row{
		Owner:           r.ID,
		Fingerprint:     fingerprint(r),
		State:           stateOpen,
		CreatedMillis:   now.UnixMilli(),
		OpenUntilMillis: r.Deadline.UnixMilli(),
	}}
	result := cl.acquire(ctx)
	if result != nil {
		return nil, result, nil
	}
	return cl, nil, nil
}

// acquire writes the claim row. It returns nil if this request holds the claim
// afterwards, and otherwise the result for the caller.
func (cl *Claim) acquire(ctx context.Context) *request.Result {
	condition := store.Condition{Kind: store.Absent}
	uncertain := false // the outcome of an earlier write is unknown
	for range maxBeginAttempts {
		err := cl.put(ctx, cl.row, condition, true)
		if err == nil {
			cl.version = condition.Version + 1
			return nil
		}
		if errors.Is(err, store.ErrUnknownOutcome) {
			uncertain = true
		} else if !errors.Is(err, store.ErrConditionFailed) {
			return cl.reject(ctx, uncertain)
		}
		found, version, err := cl.claims.read(ctx, cl.key)
		switch {
		case errors.Is(err, store.ErrNotFound):
			condition = store.Condition{Kind: store.Absent}
		case err != nil:
			return cl.reject(ctx, uncertain)
		case found.State == stateReleased:
			condition = store.Condition{Kind: store.VersionIs, Version: version}
		case found.Owner == cl.row.Owner:
			cl.version = version
			return nil
		default:
			result := found.resultForRepeat(cl.claims.clock(), cl.row.Fingerprint)
			return &result
		}
	}
	return cl.reject(ctx, uncertain)
}

// reject returns the result of a request that did not get its claim, or for which
// that is unknown. The request was not dispatched, so it was certainly not
// executed. If uncertain is set, a write of the claim may have taken effect, and
// reject starts a background release of the claim.
func (cl *Claim) reject(ctx context.Context, uncertain bool) *request.Result {
	if uncertain {
		cl.claims.batcher.background.Go(cl.releaseIfWritten)
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

// releaseIfWritten releases the claim of a rejected request if a write of unknown
// outcome did create it. If the release fails, the key stays claimed and later
// requests with it get the outcome unknown.
func (cl *Claim) releaseIfWritten() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	pause := firstRetryPause
	for range maxFinishAttempts {
		wait.For(ctx, pause)
		pause *= 2
		found, version, err := cl.claims.read(ctx, cl.key)
		if err != nil {
			continue // the claim was not written yet, or the store is unavailable
		}
		if found.Owner != cl.row.Owner || found.State != stateOpen {
			return
		}
		found.State = stateReleased
		condition := store.Condition{Kind: store.VersionIs, Version: version}
		if cl.put(ctx, found, condition, false) == nil {
			return
		}
	}
}

// Finish records the result of the request. A response is stored for replay; a
// request that was certainly not executed releases the claim; any other result is
// stored as an unknown outcome. The context should outlive the caller's request.
// Errors are marked with ErrNotRecorded: the claim stays open, and once the
// request's deadline has passed, later requests with the key get the outcome
// unknown.
func (cl *Claim) Finish(ctx context.Context, result request.Result) error {
	final := cl.row
	switch result.Outcome {
	case request.Answered:
		final.State, final.Response = stateDone, recordResponse(result)
	case request.NotRun:
		final.State = stateReleased
	default:
		final.State = stateUnknown
	}
	return errors.Mark(errors.Wrapf(cl.record(ctx, final), "recording the result of request %s", cl.row.Owner), ErrNotRecorded)
}

// record writes the final row and retries writes that failed or whose outcome is
// unknown.
func (cl *Claim) record(ctx context.Context, final row) (err error) {
	condition := store.Condition{Kind: store.VersionIs, Version: cl.version}
	uncertain := false
	pause := firstRetryPause
	for range maxFinishAttempts {
		err = cl.put(ctx, final, condition, false)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, store.ErrConditionFailed) && uncertain:
			// Only this claim writes to its open row, so the earlier write of
			// unknown outcome must have taken effect.
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

// put writes the claim's row through the batcher. With inClaimLog set, the row is
// also listed in the claim log.
func (cl *Claim) put(ctx context.Context, r row, condition store.Condition, inClaimLog bool) error {
	return cl.claims.batcher.write(ctx, store.Write{
		Kind: store.Put, Key: cl.key, Value: r.encode(), Condition: condition,
	}, inClaimLog)
}

// read returns the claim row stored under key and its version in the table.
func (c *Claims) read(ctx context.Context, key string) (row, uint64, error) {
	item, err := c.table.Get(ctx, key)
	if err != nil {
		return row{}, 0, errors.Wrap(err, "reading a claim row")
	}
	r, err := decodeRow(item.Value)
	return r, item.Version, err
}

// Close waits for the writes in flight. Each of them has a time limit. Begin and
// Finish must not be called after Close.
func (c *Claims) Close() { c.batcher.background.Wait() }

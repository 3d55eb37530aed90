package quota

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"almondstile/contract"
	"almondstile/link"
	"almondstile/shard"
	"almondstile/vm"
	"almondstile/wait"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

const (
	// callTimeout is the timeout of one call to another VM.
	callTimeout = 500 * time.Millisecond
	// maxShortWait is the maximum time for which a request waits for the next
	// token. Because network delays differ between VMs, a request within the
	// rate can reach the home slightly too early; the wait covers that.
	maxShortWait = 25 * time.Millisecond
	// maxMoveWait is the maximum time for which a request waits for the role
	// of an unreachable home to move, and moveRetryInterval is the time
	// between two attempts. After a crash the role takes longer to move.
	maxMoveWait       = 1500 * time.Millisecond
	moveRetryInterval = 100 * time.Millisecond
	// sweepInterval is the time between two searches for idle tokens.
	sweepInterval = 50 * time.Millisecond
	// evictAfter is the idle time after which a bucket's state is deleted.
	evictAfter = 10 * time.Second
)

// MemberLists provides the newest member list that this VM has received.
type MemberLists interface {
	List() vm.MemberList
}

// Grant is the permission to admit one request now.
type Grant struct {
	// Local is true if the token was already held on this VM.
	Local bool
	// Waited is the time that Take needed to get the token.
	Waited time.Duration
}

// TokenClient gets tokens for the requests that enter at this VM. It borrows
// them from the buckets' homes and keeps unused ones in an Allowance for each
// bucket. It is safe for concurrent use.
type TokenClient struct {
	members MemberLists
	caller  link.Caller
	clock   func() time.Time
	// requestIDPrefix makes the request IDs of this process unique among all
	// VMs and their restarts.
	requestIDPrefix string
	// preferredIndex, modulo a team's number of buckets, is the bucket that
	// this VM tries first. It spreads the VMs over the buckets.
	preferredIndex int
	sequence       atomic.Uint64
	entryBuckets   shard.Map[BucketID, *entryBucket]
	outboxes       shard.Map[vm.ID, *outbox]
	calls          conc.WaitGroup
}

// entryBucket is the state of one bucket at this entry VM.
type entryBucket struct {
	allowance    Allowance
	waiting      int       // requests that wait for a token of the bucket
	takeInFlight *takeCall // the take call in progress, if any
}

// takeCall is one take call in progress. err is set before done is closed.
type takeCall struct {
	done   chan struct{}
	err    error
	id     string
	sentAt time.Time
	needed int
	wanted int
}

// NewTokenClient returns a TokenClient for the VM self, which holds no tokens
// yet. The clock is time.Now outside of tests.
func NewTokenClient(self vm.VM, members MemberLists, caller link.Caller, clock func() time.Time) *TokenClient {
	return &TokenClient{
		members:         members,
		caller:          caller,
		clock:           clock,
		requestIDPrefix: string(self.ID) + "/" + self.Incarnation + "/",
		// The shift keeps the value positive where an int has 32 bits.
		preferredIndex: int(xxhash.Sum64String(string(self.ID)) >> 40),
	}
}

// attempt is the result of one attempt to get a token from the allowance: the
// token was granted, refused for retryAfter, or depends on pendingCall.
type attempt struct {
	granted     bool
	refused     bool
	retryAfter  time.Duration
	pendingCall *takeCall
	newCall     *takeCall  // a new call that the caller must start
	report      LoanReport // if granted
}

// Take gets a token for one request of the team. It returns a *RejectedError
// if the team is over its rate, ErrHomeUnreachable, ErrUnknownTeam or the
// context's error. It must not be called after the context of Run has ended.
//
// Each VM has a preferred bucket of the team and prefetches tokens mainly
// from it. It tries the others if that bucket is empty or its home is
// unreachable. If no home is reachable, Take retries for up to maxMoveWait,
// because the role of a home that shut down moves within about a second.
func (t *TokenClient) Take(ctx context.Context, team *contract.Team) (Grant, error) {
	start := t.clock()
	buckets := BucketIDs(team)
	for {
		grant, err := t.tryBuckets(ctx, buckets, start)
		retry := errors.Is(err, ErrHomeUnreachable) && t.clock().Sub(start) < maxMoveWait
		if !retry || !wait.For(ctx, moveRetryInterval) {
			return grant, err
		}
	}
}

// tryBuckets tries each bucket of a team once, the preferred one first. Only
// the attempt at the last bucket waits for the next token.
func (t *TokenClient) tryBuckets(ctx context.Context, buckets []BucketID, start time.Time) (Grant, error) {
	last := len(buckets) - 1
	var rejected error
	for i := range buckets {
		maxWait := time.Duration(0)
		if i == last {
			maxWait = maxShortWait
		}
		local, err := t.takeFrom(ctx, buckets[(t.preferredIndex+i)%len(buckets)], maxWait)
		if err == nil {
			return Grant{Local: local, Waited: t.clock().Sub(start)}, nil
		}
		if ctx.Err() != nil {
			return Grant{}, err
		}
		rejected = earlierRetry(rejected, err)
	}
	return Grant{}, rejected
}

// earlierRetry returns the RejectedError with the shorter RetryAfter, since
// it says when the next token is due. Other errors are returned
// only if neither is a RejectedError.
func earlierRetry(a, b error) error {
	var firstRejected, secondRejected *RejectedError
	if !errors.As(b, &secondRejected) {
		if a == nil {
			return b
		}
		return a
	}
	if errors.As(a, &firstRejected) && firstRejected.RetryAfter <= secondRejected.RetryAfter {
		return a
	}
	return b
}

// takeFrom gets a token from one bucket and waits at most maxWait for the
// next one. local is true if the token was already held on this VM.
func (t *TokenClient) takeFrom(ctx context.Context, bucketID BucketID, maxWait time.Duration) (local bool, err error) {
	start := t.clock()
	var a attempt
	t.entryBuckets.Do(bucketID, newEntryBucket, func(e *entryBucket) {
		e.allowance.Observe(start)
		e.waiting++
		a = t.tryAllowance(e, bucketID, start)
	})
	t.startCalls(bucketID, a)
	if a.granted {
		return true, nil
	}
	return false, t.waitForToken(ctx, bucketID, start.Add(maxWait), a)
}

// waitForToken repeats the attempt until the request gets a token or fails.
// Between two attempts it waits for the call in progress, for the time at
// which the next token is due, or for the context.
func (t *TokenClient) waitForToken(ctx context.Context, bucketID BucketID, until time.Time, a attempt) error {
	for !a.granted {
		var err error
		if a.refused {
			err = t.waitUntilDue(ctx, bucketID, until, a.retryAfter)
		} else {
			err = a.pendingCall.await(ctx)
		}
		if err != nil {
			t.entryBuckets.DoExisting(bucketID, func(e *entryBucket) { e.waiting-- })
			return err
		}
		now := t.clock()
		t.entryBuckets.Do(bucketID, newEntryBucket, func(e *entryBucket) { a = t.tryAllowance(e, bucketID, now) })
		t.startCalls(bucketID, a)
	}
	return nil
}

// tryAllowance makes one attempt to get a token. It runs under the bucket's
// lock, so it only prepares a call that the caller must start.
func (t *TokenClient) tryAllowance(e *entryBucket, bucketID BucketID, now time.Time) (a attempt) {
	if a.report, a.granted = e.allowance.Use(now, bucketID); a.granted {
		e.waiting--
		if e.takeInFlight == nil && e.allowance.ShouldPrefetch(now) {
			a.newCall = t.newTakeCall(e, now)
		}
		return a
	}
	if a.retryAfter, a.refused = e.allowance.RecentRefusal(now); a.refused {
		return a
	}
	if e.takeInFlight == nil {
		a.newCall = t.newTakeCall(e, now)
	}
	a.pendingCall = e.takeInFlight
	return a
}

func (t *TokenClient) newTakeCall(e *entryBucket, now time.Time) *takeCall {
	f := &takeCall{
		done:   make(chan struct{}),
		id:     t.requestIDPrefix + strconv.FormatUint(t.sequence.Add(1), 36),
		sentAt: now,
	}
	f.needed, f.wanted = e.allowance.NextTakeSize(now, e.waiting)
	e.takeInFlight = f
	return f
}

// startCalls sends the report and starts the call that an attempt requires.
// It runs outside of the bucket's lock.
func (t *TokenClient) startCalls(bucketID BucketID, a attempt) {
	if a.granted {
		t.sendReports([]LoanReport{a.report})
	}
	if a.newCall != nil {
		t.calls.Go(func() { t.runTake(bucketID, a.newCall) })
	}
}

// waitUntilDue waits for the next token, which is due in dueIn. It returns a
// RejectedError at once if that is after until.
func (t *TokenClient) waitUntilDue(ctx context.Context, bucketID BucketID, until time.Time, dueIn time.Duration) error {
	dueIn = max(dueIn, 0)
	if t.clock().Add(dueIn).After(until) {
		return &RejectedError{Bucket: bucketID, RetryAfter: dueIn}
	}
	timer := time.NewTimer(dueIn)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "waiting for a token")
	}
}

func (f *takeCall) await(ctx context.Context) error {
	select {
	case <-f.done:
		return f.err
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "waiting for a token")
	}
}

// runTake makes the take call and records its result.
func (t *TokenClient) runTake(bucketID BucketID, f *takeCall) {
	reply, err := t.takeFromHome(TakeRequest{RequestID: f.id, Bucket: bucketID, Needed: f.needed, Wanted: f.wanted})
	now := t.clock()
	t.entryBuckets.Do(bucketID, newEntryBucket, func(e *entryBucket) {
		e.takeInFlight = nil
		if err == nil {
			e.recordReply(now, f, reply)
		}
	})
	if err != nil {
		// The home may have granted a loan in a reply that was lost.
		t.sendReports([]LoanReport{{Bucket: bucketID, LoanID: f.id}})
	}
	f.err = err
	close(f.done)
}

func (e *entryBucket) recordReply(now time.Time, f *takeCall, reply TakeReply) {
	e.allowance.Add(f.id, f.sentAt, reply.Granted, reply.validFor())
	if reply.Granted < f.wanted {
		e.allowance.DelayPrefetch(now)
	}
	if reply.Granted < f.needed {
		e.allowance.RecordRefusal(now, reply.retryAfter())
	}
}

// takeFromHome sends the take to the bucket's home. If the call fails or the
// VM is no longer the home, it sends the take once more, to the home in the
// member list of that moment. Both calls have the same request ID, so one
// home grants only one loan.
func (t *TokenClient) takeFromHome(r TakeRequest) (TakeReply, error) {
	var cause error
	for range 2 {
		list := t.members.List()
		home, ok := list.Holder(HomeRole(r.Bucket))
		if !ok {
			cause = errors.New("the member list has no VMs")
			continue
		}
		r.ListVersion = list.Version
		reply, err := t.sendTake(home, r)
		switch {
		case err != nil:
			cause = err
		case reply.Status == StatusNotHome:
			cause = errors.Newf("VM %s is not the home", home.ID)
		case reply.Status == StatusUnknownTeam:
			return reply, ErrUnknownTeam
		default:
			return reply, nil
		}
	}
	return TakeReply{}, errors.Mark(errors.Wrapf(cause, "taking tokens from bucket %s", r.Bucket), ErrHomeUnreachable)
}

func (t *TokenClient) sendTake(home vm.VM, r TakeRequest) (reply TakeReply, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	err = t.caller.Call(ctx, home, MethodTake, r, &reply)
	return reply, err
}

func newEntryBucket() *entryBucket { return &entryBucket{} }

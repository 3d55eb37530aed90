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
	// callTimeout bounds one call to a home.
	callTimeout = 500 * time.Millisecond
	// maxShortWait is the longest time for which a request waits for a token
	// that is due soon. It covers the differences of travel time between VMs,
	// by which a request inside the rate can reach the home too early.
	maxShortWait = 25 * time.Millisecond
	// maxMoveWait bounds the wait for a home that is moving, and movePause is the
	// time between two tries. After a crash the role moves later than that.
	maxMoveWait = 1500 * time.Millisecond
	movePause   = 100 * time.Millisecond
	// sweepInterval is the time between two searches for idle tokens.
	sweepInterval = 50 * time.Millisecond
	// evictAfter is the idle time after which a team's state is dropped.
	evictAfter = 10 * time.Second
)

// MemberLists gives the newest member list that this VM knows.
type MemberLists interface {
	List() vm.MemberList
}

// Grant is the permission to admit one request now.
type Grant struct {
	// Local says that the token was held on this VM already.
	Local bool
	// Waited is the time spent on getting the token.
	Waited time.Duration
}

// Tokens is the entry side of all teams: it holds their allowances and takes
// tokens from their homes.
type TokenClient struct {
	members MemberLists
	caller  link.Caller
	clock   func() time.Time
	// prefix makes the request IDs of this process unique in the fleet.
	prefix string
	// preference spreads the VMs over the buckets of each team.
	preference int
	sequence   atomic.Uint64
	teams      shard.Map[BucketID, *allotment]
	returns    shard.Map[vm.ID, *outbox]
	calls      conc.WaitGroup
}

// allotment is one team's state at this entry VM.
type allotment struct {
	allowance Allowance
	waiting   int     // callers of Take that have no answer yet
	flight    *flight // the take in progress, if any
}

// flight is one take in progress. err is set before done is closed.
type flight struct {
	done   chan struct{}
	err    error
	id     string
	sent   time.Time
	needed int
	wanted int
}

// NewTokenClient returns the entry side of all teams on the VM self.
func NewTokenClient(self vm.VM, members MemberLists, caller link.Caller, clock func() time.Time) *TokenClient {
	return &TokenClient{
		members: members,
		caller:  caller,
		clock:   clock,
		prefix:  string(self.ID) + "/" + self.Incarnation + "/",
		// Shifted so that it stays positive where an int has 32 bits.
		preference: int(xxhash.Sum64String(string(self.ID)) >> 40),
	}
}

// attempt is what one look at a team's state came to: granted, refused for
// retryAfter, or waiting for the flight.
type attempt struct {
	granted    bool
	refused    bool
	retryAfter time.Duration
	wait       *flight
	launch     *flight    // a new flight that the caller must start
	report     LoanReport // if granted
}

// Take admits one request of the team. It returns a *RejectedError if the team
// is over its rate, ErrHomeUnreachable, ErrUnknownTeam or the context's error.
// It must not be called after the context of Run has ended.
//
// Each VM has a preferred bucket of the team, which it borrows ahead from, and
// tries the others when that one is empty or its home cannot be reached. If no
// home can be reached, the request waits a moment, because the role of a home
// that shut down moves within about a second.
func (t *TokenClient) Take(ctx context.Context, team *contract.Team) (Grant, error) {
	start := t.clock()
	buckets := BucketIDs(team)
	for {
		grant, err := t.tryAll(ctx, buckets, start)
		again := errors.Is(err, ErrHomeUnreachable) && t.clock().Sub(start) < maxMoveWait
		if !again || !wait.For(ctx, movePause) {
			return grant, err
		}
	}
}

// tryAll tries each of a team's buckets once.
func (t *TokenClient) tryAll(ctx context.Context, buckets []BucketID, start time.Time) (Grant, error) {
	last := len(buckets) - 1
	var rejected error
	for i := range buckets {
		wait := time.Duration(0)
		if i == last {
			wait = maxShortWait
		}
		local, err := t.take(ctx, buckets[(t.preference+i)%len(buckets)], wait)
		if err == nil {
			return Grant{Local: local, Waited: t.clock().Sub(start)}, nil
		}
		if ctx.Err() != nil {
			return Grant{}, err
		}
		rejected = sooner(rejected, err)
	}
	return Grant{}, rejected
}

// sooner returns the error that promises the earlier next token. A bucket whose
// home cannot be reached promises none.
func sooner(a, b error) error {
	var first, second *RejectedError
	if !errors.As(b, &second) {
		if a == nil {
			return b
		}
		return a
	}
	if errors.As(a, &first) && first.RetryAfter <= second.RetryAfter {
		return a
	}
	return b
}

// take admits one request from a bucket; local says that the token was held on
// this VM.
func (t *TokenClient) take(ctx context.Context, team BucketID, maxWait time.Duration) (local bool, err error) {
	start := t.clock()
	var a attempt
	t.teams.Do(team, newAllotment, func(e *allotment) {
		e.allowance.Observe(start)
		e.waiting++
		a = t.attempt(e, team, start)
	})
	t.follow(team, a)
	if a.granted {
		return true, nil
	}
	return false, t.wait(ctx, team, start.Add(maxWait), a)
}

// wait follows up on the first attempt until the request has its answer. Each
// round waits for the end of a call, for a timer or for the context.
func (t *TokenClient) wait(ctx context.Context, team BucketID, until time.Time, a attempt) error {
	for !a.granted {
		var err error
		if a.refused {
			err = t.sleep(ctx, team, until, a.retryAfter)
		} else {
			err = a.wait.await(ctx)
		}
		if err != nil {
			t.teams.DoExisting(team, func(e *allotment) { e.waiting-- })
			return err
		}
		now := t.clock()
		t.teams.Do(team, newAllotment, func(e *allotment) { a = t.attempt(e, team, now) })
		t.follow(team, a)
	}
	return nil
}

// attempt runs under the team's lock.
func (t *TokenClient) attempt(e *allotment, team BucketID, now time.Time) (a attempt) {
	if a.report, a.granted = e.allowance.Use(now, team); a.granted {
		e.waiting--
		if e.flight == nil && e.allowance.ShouldPrefetch(now) {
			a.launch = t.newFlight(e, now)
		}
		return a
	}
	if a.retryAfter, a.refused = e.allowance.RecentRefusal(now); a.refused {
		return a
	}
	if e.flight == nil {
		a.launch = t.newFlight(e, now)
	}
	a.wait = e.flight
	return a
}

func (t *TokenClient) newFlight(e *allotment, now time.Time) *flight {
	f := &flight{
		done: make(chan struct{}),
		id:   t.prefix + strconv.FormatUint(t.sequence.Add(1), 36),
		sent: now,
	}
	f.needed, f.wanted = e.allowance.NextTakeSize(now, e.waiting)
	e.flight = f
	return f
}

// follow starts what an attempt asked for, outside of the lock.
func (t *TokenClient) follow(team BucketID, a attempt) {
	if a.granted {
		t.giveBack([]LoanReport{a.report})
	}
	if a.launch != nil {
		t.calls.Go(func() { t.fly(team, a.launch) })
	}
}

// sleep waits until a token is due, if that is before until.
func (t *TokenClient) sleep(ctx context.Context, team BucketID, until time.Time, due time.Duration) error {
	due = max(due, 0)
	if t.clock().Add(due).After(until) {
		return &RejectedError{Bucket: team, RetryAfter: due}
	}
	timer := time.NewTimer(due)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "waiting for a token")
	}
}

func (f *flight) await(ctx context.Context) error {
	select {
	case <-f.done:
		return f.err
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "waiting for a token")
	}
}

// fly makes the call of one flight and books its result.
func (t *TokenClient) fly(team BucketID, f *flight) {
	reply, err := t.ask(TakeRequest{RequestID: f.id, Bucket: team, Needed: f.needed, Wanted: f.wanted})
	now := t.clock()
	t.teams.Do(team, newAllotment, func(e *allotment) {
		e.flight = nil
		if err == nil {
			e.book(now, f, reply)
		}
	})
	if err != nil {
		// The home may have lent tokens in a reply that was lost.
		t.giveBack([]LoanReport{{Bucket: team, LoanID: f.id}})
	}
	f.err = err
	close(f.done)
}

func (e *allotment) book(now time.Time, f *flight, reply TakeReply) {
	e.allowance.Add(f.id, f.sent, reply.Granted, reply.validFor())
	if reply.Granted < f.wanted {
		e.allowance.DelayPrefetch(now)
	}
	if reply.Granted < f.needed {
		e.allowance.RecordRefusal(now, reply.retryAfter())
	}
}

// ask calls the team's home and, if that fails or the home has moved, the
// holder in the then current member list once more. Both calls have the same
// request ID, so the same home lends only once.
func (t *TokenClient) ask(r TakeRequest) (TakeReply, error) {
	var cause error
	for range 2 {
		list := t.members.List()
		home, ok := list.Holder(HomeRole(r.Bucket))
		if !ok {
			cause = errors.New("the member list is empty")
			continue
		}
		r.ListVersion = list.Version
		reply, err := t.call(home, r)
		switch {
		case err != nil:
			cause = err
		case reply.Status == StatusNotHome:
			cause = errors.Newf("%s is not the home", home.ID)
		case reply.Status == StatusUnknownTeam:
			return reply, ErrUnknownTeam
		default:
			return reply, nil
		}
	}
	return TakeReply{}, errors.Mark(errors.Wrapf(cause, "taking tokens of team %s", r.Bucket), ErrHomeUnreachable)
}

func (t *TokenClient) call(home vm.VM, r TakeRequest) (reply TakeReply, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	err = t.caller.Call(ctx, home, MethodTake, r, &reply)
	return reply, err
}

func newAllotment() *allotment { return &allotment{} }

package quota

import (
	"context"
	"time"

	"almondstile/contract"
	"almondstile/link"
	"almondstile/shard"
	"almondstile/vm"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

// Members tells which roles this VM holds.
type Members interface {
	// List returns the newest member list that this VM knows.
	List() vm.MemberList
	// MayAct reports whether this VM may act in the role at the time, and
	// since when it has held the role without a break.
	MayAct(now time.Time, role vm.Role) (since time.Time, ok bool)
}

// Contracts gives the configuration in force.
type Contracts interface {
	Index() *contract.Index
}

// Mux registers handlers of control messages.
type Mux interface {
	Handle(method string, handler link.Handler)
}

// Homes keeps the buckets of the teams whose home this VM is.
type Homes struct {
	members   Members
	contracts Contracts
	caller    link.Caller
	clock     func() time.Time
	calls     conc.WaitGroup // recalls in flight
	teams     shard.Map[BucketID, *home]
}

// home is one team's state at its home VM. It outlives the role, because its
// versions tell a late handover from a current one.
type home struct {
	bucket *Bucket
	since  time.Time // the start of the role that the bucket belongs to
	// actVersion is the newest member list version under which this VM acted.
	actVersion uint64
	// lentVersion is the newest version under which a bucket of this VM lent
	// tokens; a handover for it or an older version is out of date.
	lentVersion uint64
	// givenVersion is the version for which the bucket was handed over, at
	// givenAt. Under older versions this VM must not lend again.
	givenVersion uint64
	givenAt      time.Time
	pending      *pendingHandover
}

// pendingHandover waits until this VM acts as the team's home.
type pendingHandover struct {
	Handover
	receivedAt time.Time
}

// NewHomes returns the home side of all teams. The clock is time.Now outside
// of tests.
func NewHomes(members Members, contracts Contracts, caller link.Caller, clock func() time.Time) *Homes {
	return &Homes{members: members, contracts: contracts, caller: caller, clock: clock}
}

// Register makes the homes answer control messages.
func (h *Homes) Register(mux Mux) {
	mux.Handle(MethodTake, link.Handle(func(_ context.Context, from vm.ID, r TakeRequest) (TakeReply, error) {
		if r.RequestID == "" {
			return TakeReply{}, errors.New("quota: the take has no request ID")
		}
		return h.Take(h.clock(), from, r), nil
	}))
	mux.Handle(MethodReturn, link.Handle(func(_ context.Context, _ vm.ID, r ReturnRequest) (ReturnReply, error) {
		h.Return(h.clock(), r)
		return ReturnReply{}, nil
	}))
	mux.Handle(MethodHandover, link.Handle(func(_ context.Context, _ vm.ID, r HandoverRequest) (HandoverReply, error) {
		h.ReceiveHandover(h.clock(), r)
		return HandoverReply{}, nil
	}))
}

// role is this VM's standing as a team's home, read before the team's lock.
type role struct {
	since time.Time
	// before and after are the list versions around the check of the role.
	before, after uint64
}

func (h *Homes) role(now time.Time, team BucketID) (role, bool) {
	before := h.members.List().Version
	since, ok := h.members.MayAct(now, HomeRole(team))
	return role{since: since, before: before, after: h.members.List().Version}, ok
}

// Take lends tokens. The clock reading is the caller's from before the role is
// checked: a loan is valid from when its holder sent the take, so a pause at
// any later point only shortens the loan.
func (h *Homes) Take(now time.Time, from vm.ID, r TakeRequest) TakeReply {
	held, ok := h.role(now, r.Bucket)
	if !ok {
		return TakeReply{Status: StatusNotHome}
	}
	terms, ok := h.terms(r.Bucket)
	if !ok {
		return TakeReply{Status: StatusUnknownTeam}
	}
	reply, idle := h.lend(now, held, terms, from, r)
	h.recall(r.Bucket, idle)
	return reply
}

// lend also returns the holders whose idle tokens the request is short of.
func (h *Homes) lend(now time.Time, held role, terms RateLimit, from vm.ID, r TakeRequest) (reply TakeReply, idle []vm.ID) {
	reply.Status = StatusNotHome
	h.teams.Do(r.Bucket, newHome, func(e *home) {
		if !e.enter(now, held, terms) {
			return
		}
		reply = e.bucket.Take(now, r.RequestID, from, r.Needed, r.Wanted)
		if reply.Granted > 0 {
			e.lentVersion = max(e.lentVersion, held.after)
		}
		if reply.Granted < r.Needed {
			idle = e.bucket.Recall(now)
			if e.bucket.Recalling(now) {
				reply.RetryAfterMillis = min(reply.RetryAfterMillis, recallTime.Milliseconds())
			}
		}
	})
	return reply, idle
}

// Return books reports about loans. A return for a role that this VM does not hold is
// ignored: the tokens count as used.
func (h *Homes) Return(now time.Time, r ReturnRequest) {
	for _, returned := range r.Reports {
		held, ok := h.role(now, returned.Bucket)
		terms, known := h.terms(returned.Bucket)
		if !ok || !known {
			continue
		}
		h.teams.Do(returned.Bucket, newHome, func(e *home) {
			if e.enter(now, held, terms) {
				e.bucket.Return(now, returned.LoanID, returned.Used, returned.Left)
			}
		})
	}
}

func (h *Homes) terms(team BucketID) (RateLimit, bool) {
	return termsOf(h.contracts.Index(), team)
}

func newHome() *home { return &home{} }

// enter makes the bucket current for the role and the terms. It returns false
// if this VM has handed the team over or the role is older than the bucket's,
// which happens when the goroutine was paused after the role was checked.
func (e *home) enter(now time.Time, held role, terms RateLimit) bool {
	if held.before < e.givenVersion || held.since.Before(e.since) {
		return false
	}
	if e.bucket == nil || held.since.After(e.since) {
		e.since = held.since
		e.bucket = NewBucket(terms, e.emptyAt())
	}
	e.actVersion = max(e.actVersion, held.before)
	e.adopt(held, terms)
	e.bucket.SetRateLimit(now, terms)
	return true
}

// emptyAt returns the time at which all loans of earlier homes have expired.
func (e *home) emptyAt() time.Time {
	start := e.since
	if e.givenAt.After(start) {
		start = e.givenAt
	}
	return start.Add(reclaimAfter)
}

// adopt starts the bucket from the previous home's handover, provided that this
// VM took over directly from the giver and has lent nothing since.
func (e *home) adopt(held role, terms RateLimit) {
	p := e.pending
	if p == nil || held.after < p.ListVersion {
		return
	}
	e.pending = nil
	current := held.before == p.ListVersion && held.after == p.ListVersion
	if current && e.lentVersion < p.ListVersion {
		e.bucket = importBucket(terms, p.receivedAt, p.Handover)
		e.lentVersion = p.ListVersion
	}
}

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

// Members provides the member list and the roles of this VM.
type Members interface {
	// List returns the newest member list that this VM has received.
	List() vm.MemberList
	// MayAct reports whether this VM may act in the role at the given time,
	// and since when it has held the role without interruption.
	MayAct(now time.Time, role vm.Role) (since time.Time, ok bool)
}

// Contracts provides the configuration in force.
type Contracts interface {
	Index() *contract.Index
}

// Mux registers the handlers of control messages by method name.
type Mux interface {
	Handle(method string, handler link.Handler)
}

// Homes keeps the token buckets whose home is this VM, and handles the
// requests of entry VMs for them. It is safe for concurrent use.
type Homes struct {
	members     Members
	contracts   Contracts
	caller      link.Caller
	clock       func() time.Time
	calls       conc.WaitGroup // recall messages in flight
	bucketHomes shard.Map[BucketID, *bucketHome]
}

// bucketHome is the state of one bucket at its home VM. It is kept after the
// role has moved to another VM, because its versions show whether a late
// handover is out of date.
type bucketHome struct {
	bucket    *Bucket
	roleSince time.Time // start of the role under which the bucket was created
	// lastActedVersion is the newest member list version under which this VM
	// acted as the home.
	lastActedVersion uint64
	// lastLentVersion is the newest member list version under which this VM
	// lent tokens of the bucket. A handover for this or an older version is
	// out of date.
	lastLentVersion uint64
	// handedOverVersion is the member list version for which this VM handed
	// the bucket over, and handedOverAt is the time of that. Under older
	// versions this VM must not lend again.
	handedOverVersion uint64
	handedOverAt      time.Time
	pending           *pendingHandover
}

// pendingHandover is a received handover. It is applied when this VM acts as
// the bucket's home.
type pendingHandover struct {
	Handover
	receivedAt time.Time
}

// NewHomes returns Homes without buckets. The clock is time.Now outside of
// tests.
func NewHomes(members Members, contracts Contracts, caller link.Caller, clock func() time.Time) *Homes {
	return &Homes{members: members, contracts: contracts, caller: caller, clock: clock}
}

// Register registers the handlers for take, return and handover messages.
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

// homeRole is the result of a check of this VM's role as a bucket's home. The
// check is made before the bucket's lock is taken.
type homeRole struct {
	since time.Time
	// versionBefore and versionAfter are the member list versions read before
	// and after the check.
	versionBefore, versionAfter uint64
}

func (h *Homes) heldRole(now time.Time, bucketID BucketID) (homeRole, bool) {
	before := h.members.List().Version
	since, ok := h.members.MayAct(now, HomeRole(bucketID))
	return homeRole{since: since, versionBefore: before, versionAfter: h.members.List().Version}, ok
}

// Take lends tokens to the VM from. The caller must read now before it calls
// Take, so that the reading is older than the check of the role. A pause at
// any later point only shortens the loan, because a loan's validity counts
// from when its holder sent the take.
func (h *Homes) Take(now time.Time, from vm.ID, r TakeRequest) TakeReply {
	held, ok := h.heldRole(now, r.Bucket)
	if !ok {
		return TakeReply{Status: StatusNotHome}
	}
	limit, ok := h.rateLimit(r.Bucket)
	if !ok {
		return TakeReply{Status: StatusUnknownTeam}
	}
	reply, recallFrom := h.lend(now, held, limit, from, r)
	h.sendRecalls(r.Bucket, recallFrom)
	return reply
}

// lend also returns the holders of loans to recall, if the request got too
// few tokens.
func (h *Homes) lend(now time.Time, held homeRole, limit RateLimit, from vm.ID, r TakeRequest) (reply TakeReply, recallFrom []vm.ID) {
	reply.Status = StatusNotHome
	h.bucketHomes.Do(r.Bucket, newBucketHome, func(e *bucketHome) {
		if !e.prepareBucket(now, held, limit) {
			return
		}
		reply = e.bucket.Take(now, r.RequestID, from, r.Needed, r.Wanted)
		if reply.Granted > 0 {
			e.lastLentVersion = max(e.lastLentVersion, held.versionAfter)
		}
		if reply.Granted < r.Needed {
			recallFrom = e.bucket.StartRecall(now)
			if e.bucket.RecallPending(now) {
				reply.RetryAfterMillis = min(reply.RetryAfterMillis, recallDuration.Milliseconds())
			}
		}
	})
	return reply, recallFrom
}

// Return applies reports about loans. Reports for buckets whose home is not
// this VM are ignored; their tokens count as used.
func (h *Homes) Return(now time.Time, r ReturnRequest) {
	for _, report := range r.Reports {
		held, ok := h.heldRole(now, report.Bucket)
		limit, known := h.rateLimit(report.Bucket)
		if !ok || !known {
			continue
		}
		h.bucketHomes.Do(report.Bucket, newBucketHome, func(e *bucketHome) {
			if e.prepareBucket(now, held, limit) {
				e.bucket.Return(now, report.LoanID, report.Used, report.Left)
			}
		})
	}
}

func (h *Homes) rateLimit(bucketID BucketID) (RateLimit, bool) {
	return rateLimitOf(h.contracts.Index(), bucketID)
}

func newBucketHome() *bucketHome { return &bucketHome{} }

// prepareBucket creates or updates the bucket for the role and the rate
// limit. It returns false if this VM has handed the bucket over or if the
// role is older than the bucket's. The latter happens when the goroutine was
// paused after the check of the role.
func (e *bucketHome) prepareBucket(now time.Time, held homeRole, limit RateLimit) bool {
	if held.versionBefore < e.handedOverVersion || held.since.Before(e.roleSince) {
		return false
	}
	if e.bucket == nil || held.since.After(e.roleSince) {
		e.roleSince = held.since
		e.bucket = NewBucket(limit, e.earlierLoansExpireAt())
	}
	e.lastActedVersion = max(e.lastActedVersion, held.versionBefore)
	e.applyHandover(held, limit)
	e.bucket.SetRateLimit(now, limit)
	return true
}

// earlierLoansExpireAt returns the time at which all loans of earlier homes
// have expired. A new bucket is empty until then.
func (e *bucketHome) earlierLoansExpireAt() time.Time {
	start := e.roleSince
	if e.handedOverAt.After(start) {
		start = e.handedOverAt
	}
	return start.Add(reclaimAfter)
}

// applyHandover replaces the bucket by the state in the pending handover. It
// does so only if this VM took over directly from the sender and has lent no
// tokens of the bucket since.
func (e *bucketHome) applyHandover(held homeRole, limit RateLimit) {
	p := e.pending
	if p == nil || held.versionAfter < p.ListVersion {
		return
	}
	e.pending = nil
	upToDate := held.versionBefore == p.ListVersion && held.versionAfter == p.ListVersion
	if upToDate && e.lastLentVersion < p.ListVersion {
		e.bucket = importBucket(limit, p.receivedAt, p.Handover)
		e.lastLentVersion = p.ListVersion
	}
}

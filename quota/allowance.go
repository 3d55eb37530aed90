package quota

import (
	"math"
	"time"
)

const (
	// demandMemory is the time constant of the demand estimate. It is long
	// enough that the burst of a small team does not look like lasting demand.
	demandMemory = time.Second
	// targetHold is the time for which the held tokens should last.
	targetHold = 100 * time.Millisecond
	// minHoldDemand is the demand from which at least one token is held. It is
	// probably used before idleReturn.
	minHoldDemand = 4.0
	// idleReturn is the age at which an unfinished loan goes back. Until then,
	// the home recalls it if it is short of tokens.
	idleReturn = 500 * time.Millisecond
	// prefetchPause is the time without taking ahead after the home had less
	// than was wanted or recalled what was held.
	prefetchPause = 200 * time.Millisecond
	// maxRefusalMemory bounds the time for which a refusal is answered without
	// asking the home, because returns may free tokens before they are due.
	maxRefusalMemory = 100 * time.Millisecond
	// minRefusalMemory bounds the calls that a team over its rate causes.
	minRefusalMemory = 5 * time.Millisecond
)

// heldLoan is a loan at its holder.
type heldLoan struct {
	id         string
	sent       time.Time
	validUntil time.Time
	used       int
	left       int
}

// Allowance holds a team's tokens on loan at an entry VM. Its times are
// readings of this VM's monotonic clock.
type Allowance struct {
	demandPerSecond float64
	demandAt        time.Time
	loans           []heldLoan // oldest first, each with tokens left
	refusedUntil    time.Time
	retryAt         time.Time
	noPrefetchUntil time.Time
}

// Observe counts one request in the demand estimate.
func (a *Allowance) Observe(now time.Time) {
	a.demandPerSecond = a.demand(now) + 1/demandMemory.Seconds()
	a.demandAt = now
}

func (a *Allowance) demand(now time.Time) float64 {
	if a.demandPerSecond == 0 {
		return 0
	}
	return a.demandPerSecond * math.Exp(-now.Sub(a.demandAt).Seconds()/demandMemory.Seconds())
}

// Use uses one held token and returns the report of it, which must be sent to
// the home at once: until then, the bucket cannot refill to its burst.
func (a *Allowance) Use(now time.Time, team BucketID) (report LoanReport, ok bool) {
	a.dropExpired(now)
	if len(a.loans) == 0 {
		return LoanReport{}, false
	}
	l := &a.loans[0]
	l.left--
	l.used++
	report = LoanReport{Bucket: team, LoanID: l.id, Used: l.used, Left: l.left}
	if l.left == 0 {
		a.dropFirst()
	}
	return report, true
}

// Want returns the size of the next take for the requests that wait now: what
// they need, and what will be needed in the next 100 ms beyond the held tokens.
func (a *Allowance) NextTakeSize(now time.Time, waiting int) (needed, wanted int) {
	return waiting, waiting + max(a.target(now)-a.held(), 0)
}

// Low reports whether tokens should be taken ahead of need: at most half of the
// target is held, and no recent take fell short.
func (a *Allowance) ShouldPrefetch(now time.Time) bool {
	target := a.target(now)
	return target >= 1 && 2*a.held() <= target && !now.Before(a.noPrefetchUntil)
}

// target returns the number of tokens to hold.
func (a *Allowance) target(now time.Time) int {
	demand := a.demand(now)
	if demand < minHoldDemand {
		return 0
	}
	return max(int(demand*targetHold.Seconds()), 1)
}

// Add adds a granted loan. Its validity counts from when the take was sent,
// which is before the home granted it.
func (a *Allowance) Add(id string, sent time.Time, tokens int, validFor time.Duration) {
	if tokens > 0 {
		a.loans = append(a.loans, heldLoan{
			id:         id,
			sent:       sent,
			validUntil: sent.Add(min(validFor, LoanValidity)),
			left:       tokens,
		})
	}
}

// DelayPrefetch remembers that the home had less than was wanted.
func (a *Allowance) DelayPrefetch(now time.Time) {
	a.noPrefetchUntil = now.Add(prefetchPause)
}

// Refuse remembers that the home has no token for the given time.
func (a *Allowance) RecordRefusal(now time.Time, retryAfter time.Duration) {
	retryAfter = max(retryAfter, minRefusalMemory)
	a.retryAt = now.Add(retryAfter)
	a.refusedUntil = now.Add(min(retryAfter, maxRefusalMemory))
}

// Refused reports whether a recent refusal still holds, and the time until the
// next token is due.
func (a *Allowance) RecentRefusal(now time.Time) (retryAfter time.Duration, refused bool) {
	return a.retryAt.Sub(now), now.Before(a.refusedUntil)
}

// CloseIdle appends the returns of the loans that were not used up in time.
func (a *Allowance) CloseIdle(now time.Time, team BucketID, closed []LoanReport) []LoanReport {
	return a.close(now, team, closed, idleReturn)
}

// CloseAll returns the returns of all loans.
func (a *Allowance) CloseAll(now time.Time, team BucketID) []LoanReport {
	return a.close(now, team, nil, 0)
}

func (a *Allowance) close(now time.Time, team BucketID, closed []LoanReport, age time.Duration) []LoanReport {
	a.dropExpired(now)
	for len(a.loans) > 0 && now.Sub(a.loans[0].sent) >= age {
		closed = append(closed, LoanReport{Bucket: team, LoanID: a.loans[0].id, Used: a.loans[0].used})
		a.dropFirst()
	}
	return closed
}

// Idle reports whether nothing is held and nothing was asked for the time.
func (a *Allowance) Idle(now time.Time, after time.Duration) bool {
	return len(a.loans) == 0 && now.Sub(a.demandAt) >= after
}

func (a *Allowance) held() int {
	sum := 0
	for i := range a.loans {
		sum += a.loans[i].left
	}
	return sum
}

func (a *Allowance) dropExpired(now time.Time) {
	for len(a.loans) > 0 && !now.Before(a.loans[0].validUntil) {
		a.dropFirst()
	}
}

func (a *Allowance) dropFirst() {
	a.loans[0] = heldLoan{}
	a.loans = a.loans[1:]
	if len(a.loans) == 0 {
		a.loans = nil
	}
}

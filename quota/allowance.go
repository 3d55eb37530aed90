package quota

import (
	"math"
	"time"
)

const (
	// demandTimeConstant is the decay time of the demand estimate. A shorter
	// one would take the burst of a small team for lasting demand.
	demandTimeConstant = time.Second
	// targetHoldTime is the time for which the prefetched tokens should last.
	targetHoldTime = 100 * time.Millisecond
	// minPrefetchDemandPerSecond is the demand, in requests per second, from
	// which tokens are prefetched. At this demand one token is probably used
	// before maxLoanHoldTime.
	minPrefetchDemandPerSecond = 4.0
	// maxLoanHoldTime is the age at which the entry VM returns the unused
	// tokens of a loan. The home can recall them earlier when it is short of
	// tokens.
	maxLoanHoldTime = 500 * time.Millisecond
	// prefetchPause is the time without prefetching after the home granted
	// fewer tokens than wanted or recalled the loans.
	prefetchPause = 200 * time.Millisecond
	// maxRefusalCacheTime limits how long requests are refused locally after
	// a refusal by the home. Returned loans may make tokens available earlier
	// than the refill would.
	maxRefusalCacheTime = 100 * time.Millisecond
	// minRefusalCacheTime limits the rate of calls to the home for a team
	// that exceeds its rate limit.
	minRefusalCacheTime = 5 * time.Millisecond
)

// heldLoan is the entry VM's record of a loan.
type heldLoan struct {
	id           string
	takeSentAt   time.Time
	validUntil   time.Time
	usedTokens   int
	unusedTokens int
}

// Allowance holds the tokens that an entry VM has borrowed from one bucket
// and estimates the demand for them. All times are readings of this VM's
// monotonic clock. The caller synchronizes access.
type Allowance struct {
	demandPerSecond float64
	demandUpdatedAt time.Time
	loans           []heldLoan // oldest first; each has unused tokens
	refusedUntil    time.Time
	retryAt         time.Time
	noPrefetchUntil time.Time
}

// Observe adds one request to the demand estimate.
func (a *Allowance) Observe(now time.Time) {
	a.demandPerSecond = a.demand(now) + 1/demandTimeConstant.Seconds()
	a.demandUpdatedAt = now
}

func (a *Allowance) demand(now time.Time) float64 {
	if a.demandPerSecond == 0 {
		return 0
	}
	return a.demandPerSecond * math.Exp(-now.Sub(a.demandUpdatedAt).Seconds()/demandTimeConstant.Seconds())
}

// Use consumes one held token and returns the loan report for it. ok is false
// if no token is held. The caller must send the report to the home at once,
// because the token counts as on loan until then and limits the refill of the
// bucket.
func (a *Allowance) Use(now time.Time, bucketID BucketID) (report LoanReport, ok bool) {
	a.dropExpired(now)
	if len(a.loans) == 0 {
		return LoanReport{}, false
	}
	l := &a.loans[0]
	l.unusedTokens--
	l.usedTokens++
	report = LoanReport{Bucket: bucketID, LoanID: l.id, Used: l.usedTokens, Left: l.unusedTokens}
	if l.unusedTokens == 0 {
		a.dropOldest()
	}
	return report, true
}

// NextTakeSize returns the size of the next take request. needed is the
// number of waiting requests. wanted is needed plus the tokens that are
// missing to cover the demand of the next 100 ms.
func (a *Allowance) NextTakeSize(now time.Time, waiting int) (needed, wanted int) {
	return waiting, waiting + max(a.targetTokens(now)-a.unusedTokens(), 0)
}

// ShouldPrefetch reports whether to request tokens before a request needs
// them. It does if at most half of the target is held and prefetching is not
// paused.
func (a *Allowance) ShouldPrefetch(now time.Time) bool {
	target := a.targetTokens(now)
	return target >= 1 && 2*a.unusedTokens() <= target && !now.Before(a.noPrefetchUntil)
}

// targetTokens returns the number of tokens to hold, 0 if the demand is too
// low for prefetching.
func (a *Allowance) targetTokens(now time.Time) int {
	demand := a.demand(now)
	if demand < minPrefetchDemandPerSecond {
		return 0
	}
	return max(int(demand*targetHoldTime.Seconds()), 1)
}

// Add adds the tokens of a granted loan. The loan expires validFor, at most
// LoanValidity, after takeSentAt. The take was sent before the home granted
// the loan, so the loan expires here before the home reclaims it.
func (a *Allowance) Add(id string, takeSentAt time.Time, tokens int, validFor time.Duration) {
	if tokens > 0 {
		a.loans = append(a.loans, heldLoan{
			id:           id,
			takeSentAt:   takeSentAt,
			validUntil:   takeSentAt.Add(min(validFor, LoanValidity)),
			unusedTokens: tokens,
		})
	}
}

// DelayPrefetch stops prefetching for prefetchPause. It is called when the
// home grants fewer tokens than wanted or recalls the loans.
func (a *Allowance) DelayPrefetch(now time.Time) {
	a.noPrefetchUntil = now.Add(prefetchPause)
}

// RecordRefusal records that the home expects its next token after
// retryAfter.
func (a *Allowance) RecordRefusal(now time.Time, retryAfter time.Duration) {
	retryAfter = max(retryAfter, minRefusalCacheTime)
	a.retryAt = now.Add(retryAfter)
	a.refusedUntil = now.Add(min(retryAfter, maxRefusalCacheTime))
}

// RecentRefusal reports whether a recent refusal still applies, so that no
// call to the home is made. retryAfter is the time until the next token is
// due.
func (a *Allowance) RecentRefusal(now time.Time) (retryAfter time.Duration, refused bool) {
	return a.retryAt.Sub(now), now.Before(a.refusedUntil)
}

// CloseIdle closes the loans that are at least maxLoanHoldTime old and
// appends their final reports to reports.
func (a *Allowance) CloseIdle(now time.Time, bucketID BucketID, reports []LoanReport) []LoanReport {
	return a.closeLoans(now, bucketID, reports, maxLoanHoldTime)
}

// CloseAll closes all loans and returns their final reports.
func (a *Allowance) CloseAll(now time.Time, bucketID BucketID) []LoanReport {
	return a.closeLoans(now, bucketID, nil, 0)
}

func (a *Allowance) closeLoans(now time.Time, bucketID BucketID, reports []LoanReport, minAge time.Duration) []LoanReport {
	a.dropExpired(now)
	for len(a.loans) > 0 && now.Sub(a.loans[0].takeSentAt) >= minAge {
		reports = append(reports, LoanReport{Bucket: bucketID, LoanID: a.loans[0].id, Used: a.loans[0].usedTokens})
		a.dropOldest()
	}
	return reports
}

// Idle reports whether no token is held and no request has arrived for at
// least minIdleTime.
func (a *Allowance) Idle(now time.Time, minIdleTime time.Duration) bool {
	return len(a.loans) == 0 && now.Sub(a.demandUpdatedAt) >= minIdleTime
}

func (a *Allowance) unusedTokens() int {
	sum := 0
	for i := range a.loans {
		sum += a.loans[i].unusedTokens
	}
	return sum
}

func (a *Allowance) dropExpired(now time.Time) {
	for len(a.loans) > 0 && !now.Before(a.loans[0].validUntil) {
		a.dropOldest()
	}
}

func (a *Allowance) dropOldest() {
	a.loans[0] = heldLoan{}
	a.loans = a.loans[1:]
	if len(a.loans) == 0 {
		a.loans = nil
	}
}

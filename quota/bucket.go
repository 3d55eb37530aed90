package quota

import (
	"math"
	"slices"
	"time"

	"almondstile/vm"
)

const (
	// maxLoansWithoutMap is the number of loans up to which findLoan scans
	// the list. Most teams have fewer loans, and a map would double the size
	// of their state.
	maxLoansWithoutMap = 16
	// prefetchDivisor limits the tokens that one take may prefetch to 1/16 of
	// the level. Tokens of small bursts are therefore never prefetched.
	prefetchDivisor = 16
	// minRecallAge is the age from which a loan is recalled. Younger loans
	// are mostly used up, and their reports are on the way.
	minRecallAge = 4 * time.Millisecond
	// minRecallInterval is the minimum time between two recalls for one
	// bucket.
	minRecallInterval = 8 * time.Millisecond
	// recallDuration is the expected time from a recall to the arrival of the
	// returned tokens. A request that got too few tokens retries after this
	// time.
	recallDuration = 5 * time.Millisecond
)

// roundDownFactor keeps the rounding errors of many small refills from adding
// up to a token beyond the rate.
const roundDownFactor = 1 - 1.0/(1<<51)

// RateLimit is the rate and burst of a team or of one of its buckets.
type RateLimit struct {
	RatePerSecond float64
	Burst         int
}

// loan is the home's record of a take. It is kept until it expires, even when
// it is closed, so that a repeated take request gets the same reply.
type loan struct {
	id         string
	holder     vm.ID // empty if the loan came with a handover
	reply      TakeReply
	openTokens int // tokens that the holder may still use
	expiresAt  time.Time
}

// Bucket is a token bucket at its home VM. The level plus the tokens on loan
// never exceeds the burst. The caller synchronizes access.
type Bucket struct {
	rateLimit     RateLimit
	level         float64
	refilledUntil time.Time // time up to which the level is refilled; it may lie in the future
	tokensOnLoan  int
	loans         []*loan // in order of expiry
	// loansByID indexes the loans. It is nil while they are few enough for a
	// scan.
	loansByID map[string]*loan
	// recalledAt is the time of the last recall.
	recalledAt time.Time
}

// NewBucket returns a bucket that is empty until emptyAt, which may lie in
// the future. Its refill starts then.
func NewBucket(limit RateLimit, emptyAt time.Time) *Bucket {
	return &Bucket{rateLimit: limit, refilledUntil: emptyAt}
}

// SetRateLimit changes the rate limit. The change took effect at an unknown
// time between the last refill and now, so the lower rate and the lower burst
// apply to that period.
func (b *Bucket) SetRateLimit(now time.Time, limit RateLimit) {
	if limit == b.rateLimit {
		return
	}
	b.rateLimit = RateLimit{
		RatePerSecond: math.Min(limit.RatePerSecond, b.rateLimit.RatePerSecond),
		Burst:         min(limit.Burst, b.rateLimit.Burst),
	}
	b.refill(now)
	b.rateLimit = limit
}

// Take lends tokens to the holder. It grants the needed tokens as far as the
// level allows. Of the tokens wanted beyond that it grants at most 1/16 of
// the remaining level. The id names the loan; a repeated take with the same
// id gets the first reply again.
func (b *Bucket) Take(now time.Time, id string, holder vm.ID, needed, wanted int) TakeReply {
	b.refill(now)
	if l := b.findLoan(id); l != nil {
		return l.reply
	}
	needed = max(needed, 0)
	granted := min(needed, int(b.level))
	granted += max(min(wanted-needed, int((b.level-float64(granted))/prefetchDivisor)), 0)
	reply := TakeReply{Status: StatusRefused}
	if granted > 0 {
		reply = TakeReply{Status: StatusGranted, Granted: granted, ValidForMillis: LoanValidity.Milliseconds()}
	}
	b.level -= float64(granted)
	b.tokensOnLoan += granted
	if granted < needed {
		reply.RetryAfterMillis = ceilMillis(b.timeToNextToken(now))
	}
	b.insertLoan(loan{id: id, holder: holder, reply: reply, openTokens: granted, expiresAt: now.Add(reclaimAfter)})
	return reply
}

// Return applies a report about a loan. Used tokens no longer count as on
// loan. If left is 0, the loan is closed and its unused tokens go back to the
// level.
//
// A report about an unknown loan is recorded as a closed loan, so that a take
// that arrives after its own return lends nothing. An expired loan returns no
// tokens.
func (b *Bucket) Return(now time.Time, id string, used, left int) {
	b.refill(now)
	l := b.findLoan(id)
	if l == nil {
		b.insertLoan(loan{id: id, reply: TakeReply{Status: StatusRefused}, expiresAt: now.Add(reclaimAfter)})
		return
	}
	open := min(l.openTokens, max(left, 0))
	if open == 0 {
		b.level += float64(min(l.openTokens, max(l.reply.Granted-max(used, 0), 0)))
	}
	b.tokensOnLoan -= l.openTokens - open
	l.openTokens = open
	b.capLevel()
}

// StartRecall returns the holders that should be asked to return their unused
// tokens, because a request got too few. It returns those of open loans that
// are at least minRecallAge old, and nil within minRecallInterval of the last
// recall.
func (b *Bucket) StartRecall(now time.Time) (holders []vm.ID) {
	if now.Sub(b.recalledAt) < minRecallInterval {
		return nil
	}
	for _, l := range b.loans {
		idle := l.openTokens > 0 && now.Add(reclaimAfter-minRecallAge).After(l.expiresAt)
		if idle && l.holder != "" && !slices.Contains(holders, l.holder) {
			holders = append(holders, l.holder)
		}
	}
	if len(holders) > 0 {
		b.recalledAt = now
	}
	return holders
}

// RecallPending reports whether returns caused by the last recall are still
// expected.
func (b *Bucket) RecallPending(now time.Time) bool { return now.Sub(b.recalledAt) < recallDuration }

// timeToNextToken returns the estimated time until a request can get one
// token. If the tokens on loan fill the burst, a loan must be closed first.
// That usually takes a few milliseconds, so the estimate is then the time to
// refill one token.
func (b *Bucket) timeToNextToken(now time.Time) time.Duration {
	if b.rateLimit.RatePerSecond <= 0 {
		return time.Hour
	}
	missing := 1 - b.level
	if b.rateLimit.Burst-b.tokensOnLoan < 1 {
		missing = 1
	}
	seconds := math.Min(missing/b.rateLimit.RatePerSecond, time.Hour.Seconds())
	return max(time.Duration(seconds*float64(time.Second)), 0) + max(b.refilledUntil.Sub(now), 0)
}

// refill raises the level to its value at now and deletes expired loans. It
// changes nothing if now is older than the last refill.
func (b *Bucket) refill(now time.Time) {
	for len(b.loans) > 0 && !b.loans[0].expiresAt.After(now) {
		b.advance(b.loans[0].expiresAt)
		b.tokensOnLoan -= b.loans[0].openTokens
		delete(b.loansByID, b.loans[0].id)
		b.loans[0] = nil
		b.loans = b.loans[1:]
	}
	if len(b.loans) == 0 {
		b.loans, b.loansByID = nil, nil
	}
	b.advance(now)
}

func (b *Bucket) advance(to time.Time) {
	if !to.After(b.refilledUntil) {
		return
	}
	b.level = (b.level + b.rateLimit.RatePerSecond*to.Sub(b.refilledUntil).Seconds()) * roundDownFactor
	b.refilledUntil = to
	b.capLevel()
}

func (b *Bucket) capLevel() {
	b.level = math.Max(0, math.Min(b.level, float64(b.rateLimit.Burst-b.tokensOnLoan)))
}

func (b *Bucket) findLoan(id string) *loan {
	if b.loansByID != nil {
		return b.loansByID[id]
	}
	for _, l := range b.loans {
		if l.id == id {
			return l
		}
	}
	return nil
}

// insertLoan adds the loan in order of expiry. Concurrent takes may arrive
// with clock readings slightly out of order.
func (b *Bucket) insertLoan(l loan) {
	i := len(b.loans)
	for i > 0 && b.loans[i-1].expiresAt.After(l.expiresAt) {
		i--
	}
	b.loans = slices.Insert(b.loans, i, &l)
	if b.loansByID != nil {
		b.loansByID[l.id] = &l
	} else if len(b.loans) > maxLoansWithoutMap {
		b.loansByID = make(map[string]*loan, 2*len(b.loans))
		for _, known := range b.loans {
			b.loansByID[known.id] = known
		}
	}
}

func ceilMillis(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

// exportState returns the level and the open loans for a handover.
func (b *Bucket) exportState(now time.Time) (level float64, loans []HandoverLoan) {
	b.refill(now)
	for _, l := range b.loans {
		if l.openTokens > 0 {
			loans = append(loans, HandoverLoan{
				ID: l.id, Granted: l.reply.Granted, Open: l.openTokens, RemainingMillis: ceilMillis(l.expiresAt.Sub(now)),
			})
		}
	}
	return b.level, loans
}

// importBucket creates a bucket from a handover that was received at
// receivedAt. The remaining times were measured on the sender's clock, so 10%
// is added for clock drift.
func importBucket(limit RateLimit, receivedAt time.Time, h Handover) *Bucket {
	startsIn := time.Duration(max(h.StartsInMillis, 0)) * time.Millisecond
	b := &Bucket{rateLimit: limit, level: h.Level, refilledUntil: receivedAt.Add(startsIn + startsIn/10)}
	for _, l := range h.Loans {
		remaining := time.Duration(l.RemainingMillis) * time.Millisecond
		b.tokensOnLoan += l.Open
		b.insertLoan(loan{
			id:         l.ID,
			reply:      TakeReply{Status: StatusGranted, Granted: l.Granted, ValidForMillis: LoanValidity.Milliseconds()},
			openTokens: l.Open,
			expiresAt:  receivedAt.Add(remaining + remaining/10),
		})
	}
	b.capLevel()
	return b
}

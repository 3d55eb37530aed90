package quota

import (
	"math"
	"slices"
	"time"

	"almondstile/vm"
)

const (
	// maxScannedLoans is the number of records that are searched without a map.
	// Most teams have fewer, and a map would double the size of their state.
	maxScannedLoans = 16
	// prefetchShare is the part of the level that one take may hold ahead of
	// need. Small bursts are never lent ahead.
	prefetchShare = 16
	// recallAge is the age from which an open loan is worth recalling. Younger
	// ones are mostly used up, with their return under way.
	recallAge = 4 * time.Millisecond
	// recallPause is the time between two recalls of a team's loans.
	recallPause = 8 * time.Millisecond
	// recallTime is what a recall and the returns that it causes take. A
	// request that is short of tokens asks again after this time.
	recallTime = 5 * time.Millisecond
)

// roundDown keeps the rounding errors of many small refills from adding up to
// a token that the rate does not allow.
const roundDown = 1 - 1.0/(1<<51)

// Terms are the rate and burst of a contract.
type RateLimit struct {
	RatePerSecond float64
	Burst         int
}

// loan is the record of a take. It stays until its expiry even when closed, so
// that a repeated take gets the same reply.
type loan struct {
	id      string
	holder  vm.ID // empty if it came with a handover
	reply   TakeReply
	open    int // tokens that the holder may still use
	expires time.Time
}

// Bucket is a team's token bucket at its home VM. At any time, level plus
// tokens on loan is at most the burst.
type Bucket struct {
	terms  RateLimit
	level  float64
	at     time.Time // the time up to which the level was refilled
	onLoan int
	loans  []*loan // in order of expiry
	// byID finds the loans by their IDs while there are many of them.
	byID map[string]*loan
	// recalledAt is the time of the last recall.
	recalledAt time.Time
}

// NewBucket returns a bucket that was empty at the given time.
func NewBucket(terms RateLimit, emptyAt time.Time) *Bucket {
	return &Bucket{terms: terms, at: emptyAt}
}

// SetRateLimits changes the terms. The time of the change is only known to lie
// between the last use of the bucket and now, so the lower rate and burst count
// for that time.
func (b *Bucket) SetRateLimit(now time.Time, terms RateLimit) {
	if terms == b.terms {
		return
	}
	b.terms = RateLimit{
		RatePerSecond: math.Min(terms.RatePerSecond, b.terms.RatePerSecond),
		Burst:         min(terms.Burst, b.terms.Burst),
	}
	b.refill(now)
	b.terms = terms
}

// Take lends tokens: what is needed now as far as the level reaches, and what
// is wanted beyond that only out of a small share of the level.
func (b *Bucket) Take(now time.Time, id string, holder vm.ID, needed, wanted int) TakeReply {
	b.refill(now)
	if l := b.find(id); l != nil {
		return l.reply
	}
	needed = max(needed, 0)
	granted := min(needed, int(b.level))
	granted += max(min(wanted-needed, int((b.level-float64(granted))/prefetchShare)), 0)
	reply := TakeReply{Status: StatusRefused}
	if granted > 0 {
		reply = TakeReply{Status: StatusGranted, Granted: granted, ValidForMillis: LoanValidity.Milliseconds()}
	}
	b.level -= float64(granted)
	b.onLoan += granted
	if granted < needed {
		reply.RetryAfterMillis = ceilMillis(b.nextToken(now))
	}
	b.record(loan{id: id, holder: holder, reply: reply, open: granted, expires: now.Add(reclaimAfter)})
	return reply
}

// Return books a report about a loan: what was used no longer counts as on
// loan, and a closed loan gives back what was not used. A return of an unknown
// loan is remembered, so that a take that arrives after its return lends
// nothing. A loan that has expired credits nothing.
func (b *Bucket) Return(now time.Time, id string, used, left int) {
	b.refill(now)
	l := b.find(id)
	if l == nil {
		b.record(loan{id: id, reply: TakeReply{Status: StatusRefused}, expires: now.Add(reclaimAfter)})
		return
	}
	open := min(l.open, max(left, 0))
	if open == 0 {
		b.level += float64(min(l.open, max(l.reply.Granted-max(used, 0), 0)))
	}
	b.onLoan -= l.open - open
	l.open = open
	b.limit()
}

// Recall returns the holders of loans that probably lie idle. They are asked to
// return them because a request found too few tokens.
func (b *Bucket) Recall(now time.Time) (holders []vm.ID) {
	if now.Sub(b.recalledAt) < recallPause {
		return nil
	}
	for _, l := range b.loans {
		idle := l.open > 0 && now.Add(reclaimAfter-recallAge).After(l.expires)
		if idle && l.holder != "" && !slices.Contains(holders, l.holder) {
			holders = append(holders, l.holder)
		}
	}
	if len(holders) > 0 {
		b.recalledAt = now
	}
	return holders
}

// Recalling reports whether the returns of a recall are still expected.
func (b *Bucket) Recalling(now time.Time) bool { return now.Sub(b.recalledAt) < recallTime }

// nextToken returns the time until one token is due by refill. If loans leave
// no room for it, one of them must be closed first, which usually takes a few
// milliseconds; the time to refill a token from then on is a fair estimate.
func (b *Bucket) nextToken(now time.Time) time.Duration {
	if b.terms.RatePerSecond <= 0 {
		return time.Hour
	}
	missing := 1 - b.level
	if b.terms.Burst-b.onLoan < 1 {
		missing = 1
	}
	seconds := math.Min(missing/b.terms.RatePerSecond, time.Hour.Seconds())
	return max(time.Duration(seconds*float64(time.Second)), 0) + max(b.at.Sub(now), 0)
}

// refill brings the level up to now and drops the records that have expired.
// A clock reading older than the last one changes nothing.
func (b *Bucket) refill(now time.Time) {
	for len(b.loans) > 0 && !b.loans[0].expires.After(now) {
		b.advance(b.loans[0].expires)
		b.onLoan -= b.loans[0].open
		delete(b.byID, b.loans[0].id)
		b.loans[0] = nil
		b.loans = b.loans[1:]
	}
	if len(b.loans) == 0 {
		b.loans, b.byID = nil, nil
	}
	b.advance(now)
}

func (b *Bucket) advance(to time.Time) {
	if !to.After(b.at) {
		return
	}
	b.level = (b.level + b.terms.RatePerSecond*to.Sub(b.at).Seconds()) * roundDown
	b.at = to
	b.limit()
}

func (b *Bucket) limit() {
	b.level = math.Max(0, math.Min(b.level, float64(b.terms.Burst-b.onLoan)))
}

func (b *Bucket) find(id string) *loan {
	if b.byID != nil {
		return b.byID[id]
	}
	for _, l := range b.loans {
		if l.id == id {
			return l
		}
	}
	return nil
}

// record inserts the loan in order of expiry; concurrent takes may come with
// slightly older clock readings.
func (b *Bucket) record(l loan) {
	i := len(b.loans)
	for i > 0 && b.loans[i-1].expires.After(l.expires) {
		i--
	}
	b.loans = slices.Insert(b.loans, i, &l)
	if b.byID != nil {
		b.byID[l.id] = &l
	} else if len(b.loans) > maxScannedLoans {
		b.byID = make(map[string]*loan, 2*len(b.loans))
		for _, known := range b.loans {
			b.byID[known.id] = known
		}
	}
}

func ceilMillis(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

// export returns the state that the next home starts from.
func (b *Bucket) export(now time.Time) (level float64, loans []HandoverLoan) {
	b.refill(now)
	for _, l := range b.loans {
		if l.open > 0 {
			loans = append(loans, HandoverLoan{
				ID: l.id, Granted: l.reply.Granted, Open: l.open, RemainingMillis: ceilMillis(l.expires.Sub(now)),
			})
		}
	}
	return b.level, loans
}

// importBucket starts a bucket from a handover that was received at the given
// time. The remaining times were measured on the giver's clock, hence 10% more
// for drift.
func importBucket(terms RateLimit, at time.Time, h Handover) *Bucket {
	startsIn := time.Duration(max(h.StartsInMillis, 0)) * time.Millisecond
	b := &Bucket{terms: terms, level: h.Level, at: at.Add(startsIn + startsIn/10)}
	for _, l := range h.Loans {
		remaining := time.Duration(l.RemainingMillis) * time.Millisecond
		b.onLoan += l.Open
		b.record(loan{
			id:      l.ID,
			reply:   TakeReply{Status: StatusGranted, Granted: l.Granted, ValidForMillis: LoanValidity.Milliseconds()},
			open:    l.Open,
			expires: at.Add(remaining + remaining/10),
		})
	}
	b.limit()
	return b
}

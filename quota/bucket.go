package quota

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// prefetchShare is the part of the level that one take may hold ahead of need.
// Without it, a few VMs would hold a small burst while others are refused.
const prefetchShare = 16

// roundDown keeps the rounding errors of many small refills from adding up to
// a token that the rate does not allow.
const roundDown = 1 - 1.0/(1<<51)

// Terms are the rate and burst of a contract.
type Terms struct {
	RatePerSecond float64
	Burst         int
}

// loan is the record of a take. It stays until its expiry even when closed, so
// that a repeated take gets the same reply.
type loan struct {
	id      string
	hash    uint64 // of id; makes the search among thousands of records cheap
	reply   TakeReply
	open    int // tokens that the holder may still use
	expires time.Time
}

// Bucket is a team's token bucket at its home VM. At any time, level plus
// tokens on loan is at most the burst.
type Bucket struct {
	terms  Terms
	level  float64
	at     time.Time // the time up to which the level was refilled
	onLoan int
	loans  []loan // in order of expiry
}

// NewBucket returns a bucket that was empty at the given time.
func NewBucket(terms Terms, emptyAt time.Time) *Bucket {
	return &Bucket{terms: terms, at: emptyAt}
}

// SetTerms changes the terms. The time of the change is only known to lie
// between the last use of the bucket and now, so the lower rate and burst count
// for that time.
func (b *Bucket) SetTerms(now time.Time, terms Terms) {
	if terms == b.terms {
		return
	}
	b.terms = Terms{
		RatePerSecond: math.Min(terms.RatePerSecond, b.terms.RatePerSecond),
		Burst:         min(terms.Burst, b.terms.Burst),
	}
	b.refill(now)
	b.terms = terms
}

// Take lends tokens: what is needed now as far as the level reaches, and what
// is wanted beyond that only out of a small share of the level.
func (b *Bucket) Take(now time.Time, id string, needed, wanted int) TakeReply {
	b.refill(now)
	if l := b.find(id); l != nil {
		return l.reply
	}
	needed = max(needed, 0)
	granted := min(needed, int(b.level))
	if ahead := min(wanted-needed, int((b.level-float64(granted))/prefetchShare)); ahead > 0 {
		granted += ahead
	}
	reply := TakeReply{Status: StatusRefused}
	if granted > 0 {
		reply = TakeReply{Status: StatusGranted, Granted: granted, ValidForMillis: LoanValidity.Milliseconds()}
	}
	b.level -= float64(granted)
	b.onLoan += granted
	if granted < needed {
		reply.RetryAfterMillis = ceilMillis(b.nextToken(now))
	}
	b.record(loan{id: id, reply: reply, open: granted, expires: now.Add(reclaimAfter)})
	return reply
}

// Return closes a loan and takes back what was not used. A return of an
// unknown loan is remembered, so that a take that arrives after its return
// lends nothing. A loan that has expired credits nothing.
func (b *Bucket) Return(now time.Time, id string, used int) {
	b.refill(now)
	l := b.find(id)
	if l == nil {
		b.record(loan{id: id, reply: TakeReply{Status: StatusRefused}, expires: now.Add(reclaimAfter)})
		return
	}
	b.level += float64(max(l.open-max(used, 0), 0))
	b.onLoan -= l.open
	l.open = 0
	b.limit()
}

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

// starting reports whether loans of the previous home may still be in use.
func (b *Bucket) starting(now time.Time) bool { return b.at.After(now) }

// refill brings the level up to now and drops the records that have expired.
// A clock reading older than the last one changes nothing.
func (b *Bucket) refill(now time.Time) {
	for len(b.loans) > 0 && !b.loans[0].expires.After(now) {
		b.advance(b.loans[0].expires)
		b.onLoan -= b.loans[0].open
		b.loans[0] = loan{}
		b.loans = b.loans[1:]
	}
	if len(b.loans) == 0 {
		b.loans = nil
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
	hash := xxhash.Sum64String(id)
	for i := len(b.loans) - 1; i >= 0; i-- {
		if b.loans[i].hash == hash && b.loans[i].id == id {
			return &b.loans[i]
		}
	}
	return nil
}

// record inserts the loan in order of expiry; concurrent takes may come with
// slightly older clock readings.
func (b *Bucket) record(l loan) {
	l.hash = xxhash.Sum64String(l.id)
	i := len(b.loans)
	for i > 0 && b.loans[i-1].expires.After(l.expires) {
		i--
	}
	b.loans = append(b.loans, loan{})
	copy(b.loans[i+1:], b.loans[i:])
	b.loans[i] = l
}

func ceilMillis(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

// export returns the state that the next home starts from.
func (b *Bucket) export(now time.Time) (level float64, loans []HandoverLoan) {
	b.refill(now)
	for _, l := range b.loans {
		if l.open > 0 {
			loans = append(loans, HandoverLoan{ID: l.id, Tokens: l.open, RemainingMillis: ceilMillis(l.expires.Sub(now))})
		}
	}
	return b.level, loans
}

// importBucket starts a bucket from a handover that was received at the given
// time. The remaining times were measured on the giver's clock, hence 10% more
// for drift.
func importBucket(terms Terms, at time.Time, h Handover) *Bucket {
	b := &Bucket{terms: terms, level: h.Level, at: at}
	for _, l := range h.Loans {
		remaining := time.Duration(l.RemainingMillis) * time.Millisecond
		b.onLoan += l.Tokens
		b.record(loan{
			id:      l.ID,
			reply:   TakeReply{Status: StatusGranted, Granted: l.Tokens, ValidForMillis: LoanValidity.Milliseconds()},
			open:    l.Tokens,
			expires: at.Add(remaining + remaining/10),
		})
	}
	b.limit()
	return b
}

package quota

import (
	"time"

	"almondstile/contract"
	"almondstile/shard"
	"almondstile/tally"
)

// Decision says whether a request was admitted, and from what that follows.
type Decision struct {
	Admitted bool
	// Level is the number of tokens before the request; below 0 it is a debt.
	Level float64
	// RatePerSecond and Burst are this VM's part of the team's terms.
	RatePerSecond, Burst float64
	// RetryAfter is when a request that was not admitted can be.
	RetryAfter time.Duration
}

// scarceShare is the part of the burst below which tokens are scarce.
const scarceShare = 0.5

// Scarce reports whether the team's tokens run out, so that what other VMs do
// not know yet would let them admit more than the rate.
func (d Decision) Scarce() bool { return d.Level < scarceShare*d.Burst }

// Shared admits a team's requests at every VM by one bucket that all VMs keep
// alike: each takes out what it admits itself and what it hears that others
// admitted. What two VMs admit before they hear of each other puts the bucket
// into debt, which is paid before anything else is admitted. So the sum over all
// VMs exceeds rate × time + burst only by what is admitted within one message
// delay.
//
// Buckets start empty at the start of the process: what the process before it
// admitted is not known.
type Shared struct {
	started time.Time
	buckets shard.Map[tally.Subject, *sharedBucket]
}

type sharedBucket struct {
	level float64
	at    time.Time
	// rate and burst are the team's terms, 0 before they are known; share is the
	// part of them that this VM counted with last.
	rate, burst, share float64
}

// NewShared returns buckets that are empty at the time.
func NewShared(started time.Time) *Shared {
	return &Shared{started: started}
}

// SetTerms takes over the terms of the teams. Without them a bucket cannot be
// kept while others admit.
func (s *Shared) SetTerms(now time.Time, teams []contract.Team) {
	for i := range teams {
		s.buckets.Do(tally.SubjectOf(tally.Team, string(teams[i].ID)), s.empty, func(b *sharedBucket) {
			b.setTerms(now, &teams[i])
		})
	}
}

// Admit takes a token for a request of the team. share is the part of the fleet
// that hears of this VM's admissions; a VM that is cut off admits its share of
// the rate only.
func (s *Shared) Admit(now time.Time, team *contract.Team, share float64) (d Decision) {
	if team.RatePerSecond <= 0 {
		return Decision{Admitted: true}
	}
	s.buckets.Do(tally.SubjectOf(tally.Team, string(team.ID)), s.empty, func(b *sharedBucket) {
		b.setTerms(now, team)
		b.share = share
		b.refill(now)
		rate, burst := b.terms()
		d = Decision{Admitted: b.level >= 1, Level: b.level, RatePerSecond: rate, Burst: burst}
		if d.Admitted {
			b.level--
			return
		}
		d.RetryAfter = time.Duration((1 - b.level) / rate * float64(time.Second))
	})
	return d
}

// Spent takes out what another VM admitted. The bucket is refilled first: its
// level must have been at the burst at most when the tokens were taken.
func (s *Shared) Spent(now time.Time, subject tally.Subject, n uint32) {
	s.buckets.Do(subject, s.empty, func(b *sharedBucket) {
		b.refill(now)
		b.level -= float64(n)
	})
}

func (s *Shared) empty() *sharedBucket { return &sharedBucket{at: s.started, share: 1} }

func (b *sharedBucket) setTerms(now time.Time, team *contract.Team) {
	if b.rate == team.RatePerSecond && b.burst == float64(team.Burst) {
		return
	}
	b.refill(now)
	b.rate, b.burst = team.RatePerSecond, float64(team.Burst)
	b.refill(now)
}

// terms returns the part of the team's terms that this VM counts with.
func (b *sharedBucket) terms() (rate, burst float64) {
	return b.rate * b.share, max(b.burst*b.share, 1)
}

// refill adds what the rate yields since the last time, up to the burst.
func (b *sharedBucket) refill(now time.Time) {
	if b.rate <= 0 {
		return
	}
	rate, burst := b.terms()
	if elapsed := now.Sub(b.at).Seconds(); elapsed > 0 {
		b.level += elapsed * rate
		b.at = now
	}
	b.level = min(b.level, burst)
}

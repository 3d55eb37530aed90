package quota

import (
	"time"

	"almondstile/contract"
	"almondstile/shard"
	"almondstile/tally"
)

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
}

// NewShared returns buckets that are empty at the time.
func NewShared(started time.Time) *Shared {
	return &Shared{started: started}
}

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

// Admit takes a token for a request of the team. share is the part of the fleet
// that hears of this VM's admissions; a VM that is cut off admits its share of
// the rate only.
func (s *Shared) Admit(now time.Time, team *contract.Team, share float64) (d Decision) {
	if team.RatePerSecond <= 0 {
		return Decision{Admitted: true}
	}
	rate, burst := team.RatePerSecond*share, max(float64(team.Burst)*share, 1)
	s.buckets.Do(tally.SubjectOf(tally.Team, string(team.ID)), s.empty, func(b *sharedBucket) {
		b.refill(now, rate, burst)
		d = Decision{Admitted: b.level >= 1, Level: b.level, RatePerSecond: rate, Burst: burst}
		if d.Admitted {
			b.level--
			return
		}
		d.RetryAfter = time.Duration((1 - b.level) / rate * float64(time.Second))
	})
	return d
}

// Return puts back the token of a request that was not sent to any server.
func (s *Shared) Return(team contract.TeamID) {
	s.buckets.DoExisting(tally.SubjectOf(tally.Team, string(team)), func(b *sharedBucket) { b.level++ })
}

// Spent takes out what another VM admitted.
func (s *Shared) Spent(subject tally.Subject, n uint32) {
	s.buckets.Do(subject, s.empty, func(b *sharedBucket) { b.level -= float64(n) })
}

func (s *Shared) empty() *sharedBucket { return &sharedBucket{at: s.started} }

// refill adds what the rate yields since the last time, up to the burst.
func (b *sharedBucket) refill(now time.Time, rate, burst float64) {
	if elapsed := now.Sub(b.at).Seconds(); elapsed > 0 {
		b.level += elapsed * rate
		b.at = now
	}
	b.level = min(b.level, burst)
}

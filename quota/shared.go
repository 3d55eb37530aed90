package quota

import (
	"encoding/binary"
	"math"
	"time"

	"almondstile/contract"
	"almondstile/fleet"
	"almondstile/shard"
	"almondstile/tally"

	"github.com/cespare/xxhash/v2"
)

// Decision says whether a request was admitted, and from what that follows.
type Decision struct {
	Admitted bool
	// Level is the number of tokens before the request; below 0 it is a debt.
	Level float64
	// RatePerSecond and Burst are this VM's part of the team's terms.
	RatePerSecond, Burst float64
	// Share is the part of the fleet that this VM counted with.
	ConnectedShare float64
	// StartupThrottled says that there were tokens, but a VM that has just started keeps
	// to its even part.
	StartupThrottled bool
	// RetryAfter is when a request that was not admitted can be.
	RetryAfter time.Duration
}

// scarceShare is the part of the burst below which tokens are scarce.
const scarceShare = 0.5

// Scarce reports whether the team's tokens run out, so that what other VMs do
// not know yet would let them admit more than the rate.
func (d Decision) NearLimit() bool { return d.Level < scarceShare*d.Burst }

// Fleet tells with which part of the fleet this VM is connected.
type Fleet interface {
	// Reach returns the part of the fleet whose admissions this VM hears of and
	// that hears of its own.
	ConnectedShare(now time.Time) float64
	// Coverage returns for how long this VM heard the fleet, and for
	// how long it missed it.
	ConnectionTime(now time.Time) fleet.ConnectionTime
	// New reports whether this VM and all that it hears have just started.
	AllStartedRecently(now time.Time) bool
	// Size is the number of VMs of the fleet.
	Size() int
}

// Shared admits a team's requests at every VM by one bucket that all VMs keep
// alike: each takes out what it admits itself and what it hears that others
// admitted. What two VMs admit before they hear of each other puts the bucket
// into debt, which is paid before anything else is admitted. So the sum over all
// VMs exceeds rate × time + burst only by what is admitted within one message
// delay.
//
// The bucket is refilled for the time that the VM hears the fleet: a VM that hears
// nothing of the others gets only its own part of the rate, from the last message
// on and not only when a cut is noticed. When it is noticed, the VM keeps its part
// of the level. When it is over, what the others admitted meanwhile is taken out of
// their own part first.
//
// Buckets start empty at the start of the process: what the process before it
// admitted is not known. If all VMs start at the same time, none admitted anything
// while they were down, and the team has the tokens of at least downTime.
type SharedBuckets struct {
	fleet   Fleet
	started time.Time
	// coverage is the fleet's at the start.
	coverage fleet.ConnectionTime
	buckets  shard.Map[tally.Subject, *sharedBucket]
}

const (
	// shortCut is the time after which a VM that reaches the fleet again no longer
	// gets back the tokens that it left to the others. A relay that dies is
	// replaced within it, and what others spent is known as fast.
	shortCut = 1500 * time.Millisecond
	// downTime is what a process that ends takes at least until its successor
	// serves: it must be started, read its settings and hear of a configuration.
	downTime = 200 * time.Millisecond
	// startTime is the uptime in which a VM still learns that all are new.
	startTime = 1 * time.Second
	// paceTime is the uptime in which a VM keeps to startPace. Afterwards the VMs
	// know of each other.
	paceTime = 400 * time.Millisecond
	// startPace is the multiple of its even part of a team's rate at which a VM
	// admits at most in paceTime, and of downTime's tokens that it admits at
	// once. Callers that waited for a fleet without VMs arrive at all of them in
	// the same moment, before any has heard of another's admissions. It is far
	// above 1 because a VM's part is often less than one token, and callers do not
	// arrive evenly.
	startPace = 6
	// startRequests is added to downTime's tokens for this: where a VM's part is
	// less than a token, it would mostly be none.
	startRequests = 2
	// settleTime is the time after a cut in which the news of it arrive.
	settleTime = 5 * time.Second
)

type sharedBucket struct {
	level float64
	// coverage is the fleet's up to which the bucket was refilled.
	coverage fleet.ConnectionTime
	// rate and burst are the team's terms, 0 before they are known; share is the
	// part of the fleet that this VM counted with last.
	rate, burst, share float64
	// left are the tokens that were left to the others when the share fell, at
	// leftAt.
	left   float64
	leftAt time.Time
	// others are the tokens that VMs had for themselves while they were cut off
	// from this one, until the news of what they spent have arrived.
	others      float64
	othersUntil time.Time
	// downTimeShare is the share of which the tokens of downTime are in the level.
	downTimeShare float64
	// pace is the number of tokens of startPace, at pacedAt; it is drawn at the
	// first request.
	pace    float64
	pacedAt time.Time
}

// NewSharedBudgets returns buckets that are empty at the time.
func NewSharedBuckets(started time.Time, vms Fleet) *SharedBuckets {
	return &SharedBuckets{fleet: vms, started: started, coverage: vms.ConnectionTime(started)}
}

// SetRateLimits takes over the terms of the teams. Without them a bucket cannot be
// kept while others admit.
func (s *SharedBuckets) SetRateLimits(now time.Time, teams []contract.Team) {
	for i := range teams {
		s.do(now, tally.SubjectOf(tally.Team, string(teams[i].ID)), func(b *sharedBucket) {
			b.setTerms(&teams[i])
		})
	}
}

// Admit takes a token for a request of the team.
func (s *SharedBuckets) Admit(now time.Time, team *contract.Team) (d Decision) {
	if team.RatePerSecond <= 0 {
		return Decision{Admitted: true}
	}
	s.do(now, tally.SubjectOf(tally.Team, string(team.ID)), func(b *sharedBucket) {
		b.setTerms(team)
		rate, burst := b.terms()
		paced := now.Sub(s.started) >= paceTime || b.keepPace(now, float64(s.fleet.Size()), s.draw(team.ID))
		d = Decision{Admitted: b.level >= 1 && paced, Level: b.level, RatePerSecond: rate, Burst: burst, ConnectedShare: b.share,
			StartupThrottled: b.level >= 1 && !paced}
		if d.Admitted {
			b.level--
			b.pace--
			return
		}
		d.RetryAfter = max(time.Duration((1-b.level)/rate*float64(time.Second)), 0)
	})
	return d
}

// Spent takes out what another VM admitted. The bucket is refilled first: its
// level must have been at the burst at most when the tokens were taken. What was
// missed during a cut came out of the other VM's own part as far as that went.
func (s *SharedBuckets) RecordRemoteAdmissions(now time.Time, subject tally.Subject, n uint32, missed bool) {
	s.do(now, subject, func(b *sharedBucket) {
		spent := float64(n)
		if missed && now.Before(b.othersUntil) {
			own := min(spent, b.others)
			b.others -= own
			spent -= own
		}
		b.level -= spent
	})
}

// do calls fn with the bucket as it is now.
func (s *SharedBuckets) do(now time.Time, subject tally.Subject, fn func(*sharedBucket)) {
	share, coverage := s.fleet.ConnectedShare(now), s.fleet.ConnectionTime(now)
	allNew := now.Sub(s.started) < startTime && s.fleet.AllStartedRecently(now)
	s.buckets.Do(subject, s.empty, func(b *sharedBucket) {
		b.setShare(now, share)
		b.refill(now, coverage)
		if allNew {
			b.addDownTime()
		}
		fn(b)
	})
}

func (s *SharedBuckets) empty() *sharedBucket { return &sharedBucket{coverage: s.coverage, share: 1} }

func (b *sharedBucket) setTerms(team *contract.Team) {
	b.rate, b.burst = team.RatePerSecond, float64(team.Burst)
	b.limit()
}

// setShare leaves the others' part of the level to them when the share falls. If
// it rises again soon, what they spent of it is known, and the VM gets it back.
func (b *sharedBucket) setShare(now time.Time, share float64) {
	switch {
	case share < b.share && b.level > 0:
		if now.Sub(b.leftAt) > shortCut {
			b.left = 0
		}
		kept := b.level * share / b.share
		b.left, b.leftAt = b.left+b.level-kept, now
		b.level = kept
	case share > b.share:
		back := b.left * (share - b.share) / (1 - b.share)
		b.left -= back
		if now.Sub(b.leftAt) <= shortCut {
			b.level += back
		} else {
			b.leaveTo(now, back)
		}
	}
	b.share = share
}

// leaveTo notes tokens that others had for themselves.
func (b *sharedBucket) leaveTo(now time.Time, tokens float64) {
	if !now.Before(b.othersUntil) {
		b.others = 0
	}
	b.others += tokens
	b.othersUntil = now.Add(settleTime)
}

// terms returns the part of the team's terms that this VM counts with.
func (b *sharedBucket) terms() (rate, burst float64) {
	return b.rate * b.share, max(b.burst*b.share, 1)
}

// refill adds what the rate yields since the last time, up to the burst. The
// covered time contains the VM's share already.
func (b *sharedBucket) refill(now time.Time, c fleet.ConnectionTime) {
	if b.rate <= 0 {
		return
	}
	if covered := c.Connected - b.coverage.Connected; covered > 0 {
		b.level += covered.Seconds() * b.rate
		b.coverage.Connected = c.Connected
	}
	if missed := c.Disconnected - b.coverage.Disconnected; missed > 0 {
		b.leaveTo(now, missed.Seconds()*b.rate)
		b.coverage.Disconnected = c.Disconnected
	}
	b.limit()
}

// addDownTime adds the tokens that nobody used while all VMs were down, of the
// fleet's parts that this VM is connected with for the first time. What these
// spent of them meanwhile is taken out as always.
func (b *sharedBucket) addDownTime() {
	if b.rate <= 0 || b.share <= b.downTimeShare {
		return
	}
	b.level += downTime.Seconds() * b.rate * (b.share - b.downTimeShare)
	b.downTimeShare = b.share
	b.limit()
}

// draw returns a number from 0 to 1 that differs between processes and teams.
func (s *SharedBuckets) draw(team contract.TeamID) float64 {
	h := xxhash.New()
	_, _ = h.WriteString(string(team))
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(s.started.UnixNano())))
	return float64(h.Sum64()) / math.MaxUint64
}

// keepPace reports whether a VM of a fleet of the size, which has just started,
// may admit one more. A part of a token is one with that probability, for which
// draw is a random number from 0 to 1.
func (b *sharedBucket) keepPace(now time.Time, size, draw float64) bool {
	even := startPace * b.rate / size
	if b.pacedAt.IsZero() {
		whole, part := math.Modf(even*downTime.Seconds() + startPace*startRequests/size)
		b.pace = whole
		if draw < part {
			b.pace++
		}
	} else {
		b.pace += even * now.Sub(b.pacedAt).Seconds()
	}
	b.pacedAt = now
	return b.pace >= 1
}

func (b *sharedBucket) limit() {
	_, burst := b.terms()
	b.level = min(b.level, burst)
}

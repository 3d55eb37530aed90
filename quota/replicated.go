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

// Decision is the result of Admit, with the values that led to it.
type Decision struct {
	Admitted bool
	// Level is the number of tokens before the request. Below 0 it is a deficit.
	Level float64
	// RatePerSecond and Burst are this VM's share of the team's rate limit.
	RatePerSecond, Burst float64
	// ConnectedShare is the share of all VMs, from 0 to 1, that this VM was
	// connected with.
	ConnectedShare float64
	// StartupThrottled is true if a token was available but the startup
	// pacing of a recently started VM did not allow the request.
	StartupThrottled bool
	// RetryAfter is the time after which a rejected request can be admitted.
	RetryAfter time.Duration
}

// nearLimitShare is the share of the burst below which a level counts as near
// the limit.
const nearLimitShare = 0.5

// NearLimit reports whether the team is near its rate limit. The other VMs
// should then receive the admission quickly, because until they do they may
// together admit more than the rate.
func (d Decision) NearLimit() bool { return d.Level < nearLimitShare*d.Burst }

// Fleet provides the connection state of this VM to the other VMs.
type Fleet interface {
	// ConnectedShare returns the share of all VMs, from 0 to 1, that exchange
	// admission counts with this VM in both directions.
	ConnectedShare(now time.Time) float64
	// ConnectionTime returns for how long this VM was connected with the
	// others and for how long it was disconnected, weighted by share.
	ConnectionTime(now time.Time) fleet.ConnectionTime
	// AllStartedRecently reports whether this VM and all VMs that it receives
	// messages from have started recently.
	AllStartedRecently(now time.Time) bool
	// Size returns the number of VMs of the fleet.
	Size() int
}

// ReplicatedBuckets limits the rate of each team with one bucket that is
// replicated on every VM. Each VM removes a token for every request that it
// admits itself and for every admission that other VMs report. Admissions
// that two VMs make before they receive each other's reports put the bucket
// into deficit, and nothing more is admitted until the deficit is refilled. The sum
// over all VMs therefore exceeds rate × time + burst only by the admissions
// of one message delay.
//
// The bucket is refilled in proportion to the connection time. A VM that
// receives nothing from the others gets only its own share of the rate, and
// this counts from the last message, not from the detection of the network
// partition. On detection, the VM keeps its share of the level. After the
// partition, admissions that other VMs made meanwhile are taken out of their
// share first.
//
// Buckets start empty, because a new process does not know what its
// predecessor admitted. If all VMs start at the same time, no VM admitted
// anything while they were down, so the team gets the tokens of minDowntime.
type ReplicatedBuckets struct {
	fleet   Fleet
	started time.Time
	// initial is the fleet's connection time when the buckets were
	// created. New buckets are refilled from there.
	initial fleet.ConnectionTime
	buckets shard.Map[tally.Subject, *sharedBucket]
}

const (
	// maxRestorablePartition is the longest partition after which a VM gets
	// back the tokens that it ceded to the others. A failed relay is replaced
	// within this time, and the reports of the others' admissions arrive
	// within it.
	maxRestorablePartition = 1500 * time.Millisecond
	// minDowntime is the shortest time from the end of a process until its
	// successor serves requests. The successor must start, read its settings
	// and receive a configuration.
	minDowntime = 200 * time.Millisecond
	// restartDetectionTime is the uptime up to which a VM can detect that all
	// VMs have started recently.
	restartDetectionTime = 1 * time.Second
	// startupPacingTime is the uptime up to which startupPaceFactor limits a
	// VM. Afterwards the VMs have received each other's admissions.
	startupPacingTime = 400 * time.Millisecond
	// startupPaceFactor limits admissions during startupPacingTime. A VM
	// admits at most this multiple of its even share (1/number of VMs) of the
	// team's rate, and of the tokens of minDowntime at once. Callers that
	// waited while all VMs were down reach all VMs at the same moment, before
	// any VM has received another's admissions. The factor is far above 1
	// because an even share is often less than one token and callers are
	// spread unevenly.
	startupPaceFactor = 6
	// startupExtraTokens is added to the tokens of minDowntime during startup
	// pacing. Without it, a VM whose even share is less than one token would
	// mostly admit nothing.
	startupExtraTokens = 2
	// remoteTokensLifetime is the time after a partition within which the
	// reports of the admissions made during it arrive.
	remoteTokensLifetime = 5 * time.Second
)

// sharedBucket is this VM's replica of one team's bucket.
type sharedBucket struct {
	level float64
	// refilledTo is the fleet's connection time up to which the bucket was
	// refilled.
	refilledTo fleet.ConnectionTime
	// rate and burst are the team's rate limit, 0 until it is set. share is
	// the connected share at the last update.
	rate, burst, share float64
	// cededTokens are the tokens that this VM ceded to the others when its
	// connected share fell, most recently at cededAt.
	cededTokens float64
	cededAt     time.Time
	// remoteTokens are the tokens that other VMs could use while they were
	// disconnected from this one. They are kept until remoteTokensUntil, by
	// when the reports of the admissions have arrived.
	remoteTokens      float64
	remoteTokensUntil time.Time
	// downtimeShare is the share of all VMs for which the tokens of
	// minDowntime are already in the level.
	downtimeShare float64
	// startupTokens is the number of requests that startup pacing still
	// allows, as of startupTokensAt. The first request sets it.
	startupTokens   float64
	startupTokensAt time.Time
}

// NewReplicatedBuckets returns buckets that are empty at the time started.
func NewReplicatedBuckets(started time.Time, vms Fleet) *ReplicatedBuckets {
	return &ReplicatedBuckets{fleet: vms, started: started, initial: vms.ConnectionTime(started)}
}

// SetRateLimits sets the teams' rate limits. Until a team's rate limit is
// set, its bucket is not refilled, so the admissions of other VMs could not
// be accounted for.
func (s *ReplicatedBuckets) SetRateLimits(now time.Time, teams []contract.Team) {
	for i := range teams {
		s.withBucket(now, tally.SubjectOf(tally.Team, string(teams[i].ID)), func(b *sharedBucket) {
			b.setRateLimit(&teams[i])
		})
	}
}

// Admit decides whether a request of the team is admitted, and takes a token
// for it if so. A team with a rate of 0 or less has no limit.
func (s *ReplicatedBuckets) Admit(now time.Time, team *contract.Team) (d Decision) {
	if team.RatePerSecond <= 0 {
		return Decision{Admitted: true}
	}
	s.withBucket(now, tally.SubjectOf(tally.Team, string(team.ID)), func(b *sharedBucket) {
		b.setRateLimit(team)
		rate, burst := b.localRateLimit()
		allowedByPacing := now.Sub(s.started) >= startupPacingTime || b.allowedAtStartup(now, float64(s.fleet.Size()), s.hashFraction(team.ID))
		d = Decision{Admitted: b.level >= 1 && allowedByPacing, Level: b.level, RatePerSecond: rate, Burst: burst, ConnectedShare: b.share,
			StartupThrottled: b.level >= 1 && !allowedByPacing}
		if d.Admitted {
			b.level--
			b.startupTokens--
			return
		}
		d.RetryAfter = max(time.Duration((1-b.level)/rate*float64(time.Second)), 0)
	})
	return d
}

// RecordRemoteAdmissions removes the tokens of admissions that another VM
// reported. The bucket is refilled first, because its level was at most the
// burst when the other VM admitted the requests. Admissions that were
// undelivered during a partition are taken out of the remote tokens first and
// out of the level only beyond that.
func (s *ReplicatedBuckets) RecordRemoteAdmissions(now time.Time, subject tally.Subject, admissions uint64, undelivered bool) {
	s.withBucket(now, subject, func(b *sharedBucket) {
		tokens := float64(admissions)
		if undelivered && now.Before(b.remoteTokensUntil) {
			fromRemoteShare := min(tokens, b.remoteTokens)
			b.remoteTokens -= fromRemoteShare
			tokens -= fromRemoteShare
		}
		b.level -= tokens
	})
}

// withBucket calls fn with the subject's bucket, which is refilled up to now.
func (s *ReplicatedBuckets) withBucket(now time.Time, subject tally.Subject, fn func(*sharedBucket)) {
	share, connection := s.fleet.ConnectedShare(now), s.fleet.ConnectionTime(now)
	allStartedRecently := now.Sub(s.started) < restartDetectionTime && s.fleet.AllStartedRecently(now)
	s.buckets.Do(subject, s.empty, func(b *sharedBucket) {
		b.setShare(now, share)
		b.refill(now, connection)
		if allStartedRecently {
			b.addDowntimeTokens()
		}
		fn(b)
	})
}

func (s *ReplicatedBuckets) empty() *sharedBucket {
	return &sharedBucket{refilledTo: s.initial, share: 1}
}

func (b *sharedBucket) setRateLimit(team *contract.Team) {
	b.rate, b.burst = team.RatePerSecond, float64(team.Burst)
	b.capLevel()
}

// setShare updates the connected share. When it falls, the VM cedes the other
// VMs' share of the level to them. When it rises within
// maxRestorablePartition of the fall, the VM gets these tokens back, because
// the others' admissions are then known. When it rises later, they become
// remote tokens.
func (b *sharedBucket) setShare(now time.Time, share float64) {
	switch {
	case share < b.share && b.level > 0:
		if now.Sub(b.cededAt) > maxRestorablePartition {
			b.cededTokens = 0
		}
		kept := b.level * share / b.share
		b.cededTokens, b.cededAt = b.cededTokens+b.level-kept, now
		b.level = kept
	case share > b.share:
		restored := b.cededTokens * (share - b.share) / (1 - b.share)
		b.cededTokens -= restored
		if now.Sub(b.cededAt) <= maxRestorablePartition {
			b.level += restored
		} else {
			b.addRemoteTokens(now, restored)
		}
	}
	b.share = share
}

// addRemoteTokens records tokens that other VMs could use while they were
// disconnected. It drops older ones that have expired.
func (b *sharedBucket) addRemoteTokens(now time.Time, tokens float64) {
	if !now.Before(b.remoteTokensUntil) {
		b.remoteTokens = 0
	}
	b.remoteTokens += tokens
	b.remoteTokensUntil = now.Add(remoteTokensLifetime)
}

// localRateLimit returns this VM's share of the team's rate limit. The burst
// is at least one token.
func (b *sharedBucket) localRateLimit() (rate, burst float64) {
	return b.rate * b.share, max(b.burst*b.share, 1)
}

// refill adds the tokens of the connection time since the last refill, up to
// the burst. The connection time is already weighted by the connected share.
func (b *sharedBucket) refill(now time.Time, connection fleet.ConnectionTime) {
	if b.rate <= 0 {
		return
	}
	if connected := connection.Connected - b.refilledTo.Connected; connected > 0 {
		b.level += connected.Seconds() * b.rate
		b.refilledTo.Connected = connection.Connected
	}
	if disconnected := connection.Disconnected - b.refilledTo.Disconnected; disconnected > 0 {
		b.addRemoteTokens(now, disconnected.Seconds()*b.rate)
		b.refilledTo.Disconnected = connection.Disconnected
	}
	b.capLevel()
}

// addDowntimeTokens adds the tokens that no VM used while all VMs were down.
// It adds the share of VMs that this VM is connected with for the first time.
// Admissions that these have made since are removed when they are reported.
func (b *sharedBucket) addDowntimeTokens() {
	if b.rate <= 0 || b.share <= b.downtimeShare {
		return
	}
	b.level += minDowntime.Seconds() * b.rate * (b.share - b.downtimeShare)
	b.downtimeShare = b.share
	b.capLevel()
}

// hashFraction returns a pseudorandom number from 0 to 1 that differs between
// processes and teams.
func (s *ReplicatedBuckets) hashFraction(team contract.TeamID) float64 {
	h := xxhash.New()
	_, _ = h.WriteString(string(team))
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(s.started.UnixNano())))
	return float64(h.Sum64()) / math.MaxUint64
}

// allowedAtStartup reports whether startup pacing allows one more request on
// a VM of a fleet of the given size. The first call sets the number of
// startup tokens, rounded to a whole number at random: threshold is a
// pseudorandom number from 0 to 1, and a fraction of a token becomes a whole
// one if threshold is below it.
func (b *sharedBucket) allowedAtStartup(now time.Time, vms, threshold float64) bool {
	evenRate := startupPaceFactor * b.rate / vms
	if b.startupTokensAt.IsZero() {
		whole, fraction := math.Modf(evenRate*minDowntime.Seconds() + startupPaceFactor*startupExtraTokens/vms)
		b.startupTokens = whole
		if threshold < fraction {
			b.startupTokens++
		}
	} else {
		b.startupTokens += evenRate * now.Sub(b.startupTokensAt).Seconds()
	}
	b.startupTokensAt = now
	return b.startupTokens >= 1
}

func (b *sharedBucket) capLevel() {
	_, burst := b.localRateLimit()
	b.level = min(b.level, burst)
}

package notice

import (
	"time"

	"almondstile/tally"
)

const (
	// usedLimitShare is the part of a server's limit that the VMs use. The rest
	// covers requests that VMs send before they receive each other's counters.
	usedLimitShare = 0.9
	// minBurst and burstSeconds give the most requests that may be sent at once after
	// a pause: minBurst, plus what the limit allows in burstSeconds.
	minBurst     = 1.0
	burstSeconds = 0.5
)

// pacer is one VM's replica of the bucket of a server with a limit. The bucket fills
// at the rate of the limit, and each request that any VM sends takes one token, so
// that requests that were sent too early delay later ones.
type pacer struct {
	maxPerSecond float64 // 0 without a limit
	tokens       float64 // at updatedAt; negative after too many requests
	updatedAt    time.Time
}

// setLimit changes the limit. A bucket that gets its first limit starts empty,
// because the requests before it were not counted.
func (p *pacer) setLimit(now time.Time, maxPerSecond float64) {
	if p.maxPerSecond == 0 {
		*p = pacer{updatedAt: now}
	}
	p.maxPerSecond = maxPerSecond
}

// fill adds the tokens for the time since the last update. A VM that does not receive
// the counters of all others takes the share of the fleet whose counters it receives.
func (p *pacer) fill(now time.Time, connectedShare float64) {
	if elapsed := now.Sub(p.updatedAt); elapsed > 0 {
		p.tokens += usedLimitShare * p.maxPerSecond * connectedShare * elapsed.Seconds()
		p.tokens = min(p.tokens, minBurst+burstSeconds*p.maxPerSecond*connectedShare)
		p.updatedAt = now
	}
}

// Limited reports whether the incarnation states a limit.
func (b *Board) Limited(incarnation tally.Subject) bool {
	limited := false
	b.incarnations.DoExisting(incarnation, func(r *record) { limited = r.pacer.maxPerSecond > 0 })
	return limited
}

// Pace returns the number of requests that all VMs together may send now to an
// incarnation that states a limit. connectedShare is the part of the fleet (0 to 1)
// whose counters this VM receives.
func (b *Board) Pace(now time.Time, incarnation tally.Subject, connectedShare float64) (left float64) {
	b.incarnations.DoExisting(incarnation, func(r *record) {
		r.pacer.fill(now, connectedShare)
		left = r.pacer.tokens
	})
	return left
}

// RecordSend takes a token for a request that this VM sends to the incarnation. It
// reports whether the incarnation states a limit; the other VMs must learn of the
// request then.
func (b *Board) RecordSend(incarnation tally.Subject) (limited bool) {
	b.incarnations.DoExisting(incarnation, func(r *record) {
		if limited = r.pacer.maxPerSecond > 0; limited {
			r.pacer.tokens--
		}
	})
	return limited
}

// recordRemoteSends takes tokens for requests that another VM sent. Requests that are
// reported after a gap in messages took no tokens of this VM's share.
func (b *Board) recordRemoteSends(incarnation tally.Subject, sends uint64, resent bool) {
	if sends == 0 || resent {
		return
	}
	b.incarnations.DoExisting(incarnation, func(r *record) { r.pacer.tokens -= float64(sends) })
}

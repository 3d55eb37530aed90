package link

import (
	"time"

	"almondstile/shard"
	"almondstile/vm"
)

// Link is this VM's record of its link to one peer. The directions are recorded
// separately: a message from a peer does not prove that the peer is reachable.
type Link struct {
	// LastMessage is when this VM received the last message from the peer.
	LastMessage time.Time
	// LastReply is when this VM received the last reply from the peer.
	LastReply time.Time
	// Failures is the number of calls and forwarded requests that failed since
	// LastReply.
	Failures int
	// AvoidUntil is the end of the backoff after a failure. Until then messages to
	// the peer are not attempted.
	AvoidUntil time.Time
}

// After a failure a peer is avoided for a backoff that doubles with each further
// failure. Few requests are then lost to a failed link, and a restored link is
// used again within seconds.
const (
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 4 * time.Second
)

// Links holds the records of all peers. The zero value is ready to use.
type Links struct {
	records shard.Map[vm.ID, Link]
}

// RecordMessage records that a message from the peer was received.
func (l *Links) RecordMessage(peer vm.ID, now time.Time) {
	l.records.Update(peer, func(r Link, _ bool) (Link, bool) {
		r.LastMessage = now
		return r, true
	})
}

// RecordReply records a reply from the peer and ends the backoff.
func (l *Links) RecordReply(peer vm.ID, now time.Time) {
	l.records.Update(peer, func(r Link, _ bool) (Link, bool) {
		r.LastReply, r.Failures, r.AvoidUntil = now, 0, time.Time{}
		return r, true
	})
}

// RecordFailure records that the peer was unreachable or did not reply, and starts a
// backoff.
func (l *Links) RecordFailure(peer vm.ID, now time.Time) {
	l.records.Update(peer, func(r Link, _ bool) (Link, bool) {
		backoff := min(initialBackoff<<min(r.Failures, 8), maxBackoff)
		r.Failures++
		r.AvoidUntil = now.Add(backoff)
		return r, true
	})
}

// Usable reports whether messages may be sent to the peer, that is, whether no
// backoff is in progress.
func (l *Links) Usable(peer vm.ID, now time.Time) bool {
	r, ok := l.records.Load(peer)
	return !ok || !now.Before(r.AvoidUntil)
}

// Record returns a copy of the record of a peer, for status output, and whether
// there is one.
func (l *Links) Record(peer vm.ID) (Link, bool) { return l.records.Load(peer) }

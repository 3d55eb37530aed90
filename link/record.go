package link

import (
	"time"

	"almondstile/shard"
	"almondstile/vm"
)

// Link is this VM's record of its link to one peer. The two directions are
// separate: hearing from a peer does not prove that it can be reached.
type Link struct {
	// LastHeard is when the last message from the peer arrived.
	LastHeard time.Time
	// LastReached is when the peer last replied to this VM.
	LastReached time.Time
	// Failures counts the calls and forwards that failed since LastReached.
	Failures int
	// AvoidUntil is the end of the pause after a failure.
	AvoidUntil time.Time
}

// A peer that failed is avoided for a pause that doubles with each failure, so
// that a cut link costs few requests and a restored one is found within seconds.
const (
	firstPause = 250 * time.Millisecond
	maxPause   = 4 * time.Second
)

// Links holds the records of all peers. The zero value is ready to use.
type Links struct {
	records shard.Map[vm.ID, Link]
}

// Heard notes a message from the peer.
func (l *Links) Heard(peer vm.ID, now time.Time) {
	l.records.Update(peer, func(r Link, _ bool) (Link, bool) {
		r.LastHeard = now
		return r, true
	})
}

// Reached notes a reply from the peer.
func (l *Links) Reached(peer vm.ID, now time.Time) {
	l.records.Update(peer, func(r Link, _ bool) (Link, bool) {
		r.LastReached, r.Failures, r.AvoidUntil = now, 0, time.Time{}
		return r, true
	})
}

// Failed notes that the peer could not be reached or did not reply.
func (l *Links) Failed(peer vm.ID, now time.Time) {
	l.records.Update(peer, func(r Link, _ bool) (Link, bool) {
		pause := min(firstPause<<min(r.Failures, 8), maxPause)
		r.Failures++
		r.AvoidUntil = now.Add(pause)
		return r, true
	})
}

// Usable reports whether messages to the peer may be tried now.
func (l *Links) Usable(peer vm.ID, now time.Time) bool {
	r, ok := l.records.Load(peer)
	return !ok || !now.Before(r.AvoidUntil)
}

// Record returns the link to a peer for status output.
func (l *Links) Record(peer vm.ID) (Link, bool) { return l.records.Load(peer) }

package notice

import (
	"math"
	"strconv"
	"sync/atomic"
	"time"

	"almondstile/contract"
	"almondstile/shard"
	"almondstile/tally"
)

// Notice is what a server stated about itself in one response. The zero value states
// nothing.
type Notice struct {
	// Leaving says that the server finishes its requests and accepts no new ones.
	Leaving bool
	// MaxPerSecond is the rate in requests per second that the server takes from all
	// VMs together, or 0 if it states no limit.
	MaxPerSecond float64
	// PauseFor is how long the server wants no requests from this VM, 0 for no pause.
	PauseFor time.Duration
	// Malformed holds the value of a statement that cannot be read, for the log. A
	// malformed limit does not end an earlier one.
	Malformed string
}

// Change says what a notice changed in what is known of a server.
type Change struct {
	// StartsLeaving is set at the first notice that the incarnation leaves.
	StartsLeaving bool
	// LimitChanged is set if the incarnation states another limit than before, or
	// none any more.
	LimitChanged bool
	// StartsPause is set if the incarnation asks for a pause and none was going on.
	StartsPause bool
	// LimitUnstated is set if the response stated no limit while one was known.
	LimitUnstated bool
}

// endVotes is the number of responses in a row without a limit after which the limit
// has ended. A single one may have been sent before the limit was.
const endVotes = 2

// retention is how long the notices of an incarnation are kept after the last one.
// It is much longer than a server takes to leave.
const retention = 10 * time.Minute

// SubjectOf returns the subject of the counters about one incarnation of a server.
// startedAt distinguishes the incarnations, see catalog.Registration.
func SubjectOf(id contract.ServerID, startedAt int64) tally.Subject {
	return tally.SubjectOf(tally.Incarnation, string(id)+"/"+strconv.FormatInt(startedAt, 10))
}

// record holds the notices of one incarnation.
type record struct {
	updatedAt time.Time
	leaving   bool
	// pacer has the limit that was stated last. unstated counts the responses since
	// then that stated none, of all VMs.
	pacer    pacer
	unstated int
	// pausedUntil is the end of the pause that the incarnation asked this VM for.
	pausedUntil time.Time
}

// Board holds the notices of all servers. The zero value is ready to use. It is safe
// for concurrent use.
type Board struct {
	stated       atomic.Bool // a server has stated something
	incarnations shard.Map[tally.Subject, *record]
}

// Record records the notice of a response that this VM received.
func (b *Board) Record(now time.Time, incarnation tally.Subject, n Notice) (change Change) {
	update := func(r *record) { change = r.apply(now, n) }
	if n == (Notice{}) {
		b.incarnations.DoExisting(incarnation, update) // it may end a limit
	} else {
		b.stated.Store(true)
		b.incarnations.Do(incarnation, newRecord, update)
	}
	return change
}

// RecordRemote records what servers stated to another VM, see Counters, and the
// requests that it sent to servers with a limit. resent is true for counts that this
// VM gets after a gap in messages.
func (b *Board) RecordRemote(now time.Time, incarnation tally.Subject, counts tally.Counts, resent bool) Change {
	b.recordRemoteSends(incarnation, counts[tally.LimitedSends], resent)
	n := Notice{Leaving: counts[tally.Leaving] > 0}
	if stated := counts[tally.LimitStated]; stated > 0 {
		n.MaxPerSecond = float64(counts[tally.LimitCentiPerSecond]) / float64(stated) / centi
	}
	if n != (Notice{}) {
		return b.Record(now, incarnation, n)
	}
	var change Change
	for range min(counts[tally.LimitUnstated], endVotes) {
		if c := b.Record(now, incarnation, n); c.LimitChanged {
			change = c
		}
	}
	return change
}

// centi is the number of hundredths in a unit. Limits are counted in hundredths of a
// request per second.
const centi = 100

// Counters returns the counts by which the other VMs learn of a notice, which changed
// what this VM knows as change says.
func Counters(n Notice, change Change) tally.Counts {
	var c tally.Counts
	if change.StartsLeaving {
		c[tally.Leaving] = 1
	}
	switch {
	case n.MaxPerSecond > 0:
		c[tally.LimitStated], c[tally.LimitCentiPerSecond] = 1, uint64(math.Round(n.MaxPerSecond*centi))
	case change.LimitUnstated:
		c[tally.LimitUnstated] = 1
	}
	return c
}

// apply updates the record with a notice.
func (r *record) apply(now time.Time, n Notice) (change Change) {
	r.updatedAt = now
	change.StartsLeaving = n.Leaving && !r.leaving
	r.leaving = r.leaving || n.Leaving
	if n.PauseFor > 0 {
		change.StartsPause = !now.Before(r.pausedUntil)
		r.pausedUntil = now.Add(n.PauseFor)
	}
	switch {
	case n.MaxPerSecond > 0:
		change.LimitChanged = n.MaxPerSecond != r.pacer.maxPerSecond
		r.unstated = 0
		if change.LimitChanged {
			r.pacer.setLimit(now, n.MaxPerSecond)
		}
	// Another VM's report that a server leaves says nothing about its limit.
	case r.pacer.maxPerSecond > 0 && n.Malformed == "" && !n.Leaving:
		change.LimitUnstated = true
		r.unstated++
		if r.unstated == endVotes {
			change.LimitChanged = true
			r.pacer, r.unstated = pacer{}, 0
		}
	}
	return change
}

// Empty reports whether no server has stated anything since the start of the process.
// It is cheap, so that requests cost nothing more while there are no notices.
func (b *Board) Empty() bool { return !b.stated.Load() }

// Leaving reports whether the incarnation stated that it leaves. It never returns to
// service: a server that does has a new incarnation.
func (b *Board) Leaving(incarnation tally.Subject) bool {
	leaving := false
	b.incarnations.DoExisting(incarnation, func(r *record) { leaving = r.leaving })
	return leaving
}

// PauseLeft returns how long the incarnation still wants no requests from this VM, or
// 0 if it accepts them.
func (b *Board) PauseLeft(now time.Time, incarnation tally.Subject) (left time.Duration) {
	b.incarnations.DoExisting(incarnation, func(r *record) { left = max(0, r.pausedUntil.Sub(now)) })
	return left
}

// Sweep deletes the notices of incarnations that stated nothing for 10 minutes.
func (b *Board) Sweep(now time.Time) {
	b.incarnations.Range(func(_ tally.Subject, r *record) bool { return now.Sub(r.updatedAt) < retention })
}

func newRecord() *record { return &record{} }

package notice

import (
	"strconv"
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
}

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
}

// Board holds the notices of all servers. The zero value is ready to use. It is safe
// for concurrent use.
type Board struct {
	incarnations shard.Map[tally.Subject, *record]
}

// Record records the notice of a response that this VM received. It reports whether
// the incarnation stated for the first time that it leaves.
func (b *Board) Record(now time.Time, incarnation tally.Subject, n Notice) (startsLeaving bool) {
	if n == (Notice{}) {
		return false
	}
	b.incarnations.Do(incarnation, newRecord, func(r *record) {
		r.updatedAt = now
		startsLeaving = n.Leaving && !r.leaving
		r.leaving = r.leaving || n.Leaving
	})
	return startsLeaving
}

// RecordRemote records what servers stated to another VM. It reports whether it is
// the first notice that the incarnation leaves.
func (b *Board) RecordRemote(now time.Time, incarnation tally.Subject, counts tally.Counts) (startsLeaving bool) {
	return b.Record(now, incarnation, Notice{Leaving: counts[tally.Leaving] > 0})
}

// Leaving reports whether the incarnation stated that it leaves. It never returns to
// service: a server that does has a new incarnation.
func (b *Board) Leaving(incarnation tally.Subject) bool {
	leaving := false
	b.incarnations.DoExisting(incarnation, func(r *record) { leaving = r.leaving })
	return leaving
}

// Sweep deletes the notices of incarnations that stated nothing for 10 minutes.
func (b *Board) Sweep(now time.Time) {
	b.incarnations.Range(func(_ tally.Subject, r *record) bool { return now.Sub(r.updatedAt) < retention })
}

func newRecord() *record { return &record{} }

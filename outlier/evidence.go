package outlier

import (
	"math"
	"time"

	"almondstile/backend"
)

// Reported counts and latencies are kept in buckets by time of receipt.
const (
	bucketDuration = 250 * time.Millisecond
	bucketCount    = 40 // 10 s, the longest window of a comparison
)

// evidence holds the recent outcomes and latencies of one server.
type evidence struct {
	buckets [bucketCount]evidenceBucket
	// decaying holds outcome counts that decay exponentially, one for each half
	// life. A change of the health state does not reset them. Truncated responses
	// are rare, so estimating the others' share needs a longer period than the
	// buckets cover. An ejected server's truncated responses must also keep
	// counting while the same fault appears at the next server.
	decaying  [len(decayHalfLives)]tally
	decayedAt time.Time
}

// decayHalfLives are the half lives of the decaying counts. The long one covers
// enough requests to tell a share of 0.1% from none; the short one follows a fault
// of the whole service.
var decayHalfLives = [...]time.Duration{10 * time.Second, time.Minute}

type evidenceBucket struct {
	index     int64 // time since the Unix epoch in units of bucketDuration
	counts    backend.Counts
	latencies histogram
}

func bucketIndex(now time.Time) int64 { return now.UnixNano() / int64(bucketDuration) }

// add adds a report's counts and latencies to the bucket of the current time.
func (e *evidence) add(now time.Time, r *ServerReport) {
	index := bucketIndex(now)
	bucket := &e.buckets[index%bucketCount]
	if bucket.index != index {
		*bucket = evidenceBucket{index: index, latencies: histogram{}}
	}
	bucket.counts = bucket.counts.Plus(r.Counts)
	bucket.latencies.add(r.Latencies)
	e.decay(now, tallyOf(r.Counts))
}

// decay reduces the decaying counts by their age and adds new outcomes to them.
func (e *evidence) decay(now time.Time, n tally) {
	for i, halfLife := range decayHalfLives {
		keep := 0.0
		if !e.decayedAt.IsZero() {
			keep = math.Exp2(-now.Sub(e.decayedAt).Seconds() / halfLife.Seconds())
		}
		e.decaying[i].trials = e.decaying[i].trials*keep + n.trials
		e.decaying[i].truncated = e.decaying[i].truncated*keep + n.truncated
	}
	e.decayedAt = now
}

// reset discards the buckets and keeps the decaying counts.
func (e *evidence) reset() { e.buckets = [bucketCount]evidenceBucket{} }

// inWindow returns the outcomes and latencies received in the window that ends now.
func (e *evidence) inWindow(now time.Time, window time.Duration) (tally, histogram) {
	oldest := bucketIndex(now) - int64(window/bucketDuration) + 1
	var counts backend.Counts
	latencies := histogram{}
	for i := range e.buckets {
		if b := &e.buckets[i]; b.index >= oldest && b.latencies != nil {
			counts = counts.Plus(b.counts)
			latencies.merge(b.latencies)
		}
	}
	return tallyOf(counts), latencies
}

// tally counts the outcomes that show something about the server. It leaves out
// shed requests and crashes that were attributed to a request.
type tally struct {
	trials, failed, truncated float64
}

func tallyOf(c backend.Counts) tally {
	failed := c.ErrorStatus + c.Lost + c.ConnectFailed
	return tally{
		trials:    float64(c.OK + failed + c.Truncated),
		failed:    float64(failed),
		truncated: float64(c.Truncated),
	}
}

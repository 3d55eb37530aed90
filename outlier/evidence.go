package outlier

import (
	"math"
	"time"

	"almondstile/backend"
)

// Evidence is kept in buckets by time of receipt.
const (
	bucketTime  = 250 * time.Millisecond
	bucketCount = 40 // 10 s, the longest window that is judged
)

// evidence holds the recent windows of one server.
type evidence struct {
	buckets [bucketCount]evidenceBucket
	// fading outlasts a change of standing: truncations are rare, so the others'
	// share needs a longer memory, and an ejected server's truncations must keep
	// counting while the same fault shows at the next server.
	fading [len(fadingHalfLives)]tally
	faded  time.Time
}

// fadingHalfLives are the memories of the others' truncations. The long one spans
// enough requests to tell a share of 0.1% from none, the short one follows a
// fault of the whole service.
var fadingHalfLives = [...]time.Duration{10 * time.Second, time.Minute}

type evidenceBucket struct {
	slot      int64 // time in units of bucketTime
	counts    backend.Counts
	latencies histogram
}

func slotOf(now time.Time) int64 { return now.UnixNano() / int64(bucketTime) }

func (e *evidence) add(now time.Time, r *ServerReport) {
	slot := slotOf(now)
	b := &e.buckets[slot%bucketCount]
	if b.slot != slot {
		*b = evidenceBucket{slot: slot, latencies: histogram{}}
	}
	b.counts = b.counts.Plus(r.Counts)
	b.latencies.add(r.Latencies)
	e.fade(now, tallyOf(r.Counts))
}

// fade lets the memories decay and adds a window to them.
func (e *evidence) fade(now time.Time, n tally) {
	for i, halfLife := range fadingHalfLives {
		keep := 0.0
		if !e.faded.IsZero() {
			keep = math.Exp2(-now.Sub(e.faded).Seconds() / halfLife.Seconds())
		}
		e.fading[i].trials = e.fading[i].trials*keep + n.trials
		e.fading[i].truncated = e.fading[i].truncated*keep + n.truncated
	}
	e.faded = now
}

// reset forgets the windows but not the fading memories.
func (e *evidence) reset() { e.buckets = [bucketCount]evidenceBucket{} }

// over returns the counts and latencies of the last window.
func (e *evidence) over(now time.Time, window time.Duration) (tally, histogram) {
	oldest := slotOf(now) - int64(window/bucketTime) + 1
	var counts backend.Counts
	latencies := histogram{}
	for i := range e.buckets {
		if b := &e.buckets[i]; b.slot >= oldest && b.latencies != nil {
			counts = counts.Plus(b.counts)
			latencies.merge(b.latencies)
		}
	}
	return tallyOf(counts), latencies
}

// tally sums up outcomes that say something about the server. A crash that was
// attributed to a request and a shed request do not.
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

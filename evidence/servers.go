package evidence

import (
	"math"
	"time"

	"almondstile/contract"
	"almondstile/shard"
	"almondstile/tally"
)

const (
	// memory is the time constant with which latencies and refusals are
	// forgotten.
	memory = 3 * time.Second
	// runningMemory is the time constant with which requests of other VMs are
	// taken to have ended if nothing more is heard of them.
	runningMemory = 3 * time.Second
	// rateSlots divide the last second for counting what was sent in it.
	rateSlots   = 10
	rateSlotLen = time.Second / rateSlots
	// usualSlowness is the slowness in percent of a response at the usual pace;
	// one such response is added to what was seen.
	usualSlowness = 100.0
	// unknownIdle is the idle time of a server without a record.
	unknownIdle = time.Minute
)

// Result is what one exchange says about its server.
type Result int

// The results.
const (
	// Good is a whole response without a server's failure.
	Success Result = iota
	// Bad is a failure that the server is to blame for.
	Failure
	// Refused is a request that the server did not run because it was full.
	Refused
	// Neutral says nothing about the server.
	Neutral
)

// State is what is known of a server at one time.
type State struct {
	// Failing is the estimated share of requests that fail, from 0 to 1.
	FailureRate float64
	// Faulty is the probability that the server is in a faulty phase.
	FaultProbability float64
	// Running is the estimated number of requests at the server.
	InFlight float64
	// Refusals counts recent refusals, with the memory of results.
	RecentRefusals float64
	// Slowness is the mean time of recent responses, relative to what is usual
	// on their routes; 1 if there was none.
	RelativeLatency float64
	// SentLastSecond is the number of requests sent in the last second.
	SentLastSecond int
	// Idle is the time since a request was sent to the server, as far as known.
	IdleTime time.Duration
}

// Servers holds the record of each server.
type ServerStats struct {
	records shard.Map[tally.Subject, *record]
}

type record struct {
	at        time.Time
	health    health
	refused   float64
	slowness  float64 // decayed sum over good responses, in percent
	answered  float64 // decayed number of responses in slowness
	lastStart time.Time
	own       int
	others    float64
	started   [rateSlots]struct {
		number int64
		count  int
	}
}

// SubjectOf returns the subject under which a server is counted.
func ServerSubject(id contract.ServerID) tally.Subject {
	return tally.SubjectOf(tally.Server, string(id))
}

// Started counts a request of this VM.
func (s *ServerStats) RecordStart(now time.Time, subject tally.Subject) {
	s.records.Do(subject, newRecord, func(r *record) {
		r.own++
		r.send(now, 1)
	})
}

// Finished takes in the result of a request of this VM. slowness is its time in
// percent of what is usual on its route; it counts for good results.
func (s *ServerStats) RecordResult(now time.Time, subject tally.Subject, result Result, slowness uint32) {
	s.records.Do(subject, newRecord, func(r *record) {
		r.own--
		r.decay(now)
		switch result {
		case Success:
			r.answer(1, float64(slowness))
		case Failure:
			r.health.failed(1)
		case Refused:
			r.refused++
		}
	})
}

// Suspect takes in a sign of failure before the exchange has ended.
func (s *ServerStats) RecordSuspectedFailure(now time.Time, subject tally.Subject) {
	s.records.Do(subject, newRecord, func(r *record) {
		r.decay(now)
		r.health.failed(1)
	})
}

// Observe takes in the counts of another VM.
func (s *ServerStats) RecordRemoteCounts(now time.Time, subject tally.Subject, d tally.Counts) {
	s.records.Do(subject, newRecord, func(r *record) {
		r.decay(now)
		r.health.failed(int(d[tally.Failed]))
		r.refused += float64(d[tally.Refused])
		r.answer(float64(d[tally.Succeeded]), float64(d[tally.RelativeLatencyPercent]))
		r.send(now, int(d[tally.Started]))
		ended := d[tally.Succeeded] + d[tally.Failed] + d[tally.Refused]
		r.others = max(0, r.others+float64(d[tally.Started])-float64(ended))
	})
}

// State returns what is known of a server.
func (s *ServerStats) State(now time.Time, subject tally.Subject) State {
	out := State{FaultProbability: usualFaulty, FailureRate: health{usualFaulty}.failing(), RelativeLatency: 1, IdleTime: unknownIdle}
	s.records.DoExisting(subject, func(r *record) {
		r.decay(now)
		out = r.state(now)
	})
	return out
}

// Forget drops the record of a server that is gone or was started anew.
func (s *ServerStats) Forget(subject tally.Subject) { s.records.Delete(subject) }

func (r *record) state(now time.Time) State {
	st := State{
		FailureRate:      r.health.failing(),
		FaultProbability: r.health.faulty,
		InFlight:         float64(r.own) + r.others,
		RecentRefusals:   r.refused,
		SentLastSecond:   r.lastSecond(now),
		IdleTime:         now.Sub(r.lastStart),
		RelativeLatency:  (r.slowness + usualSlowness) / (r.answered + 1) / 100,
	}
	return st
}

func (r *record) answer(n, slowness float64) {
	r.health.succeeded(int(n))
	r.answered += n
	r.slowness += slowness
}

func (r *record) decay(now time.Time) {
	elapsed := now.Sub(r.at)
	if elapsed <= 0 {
		return
	}
	if !r.at.IsZero() {
		f := math.Exp(-elapsed.Seconds() / memory.Seconds())
		r.health.pass(elapsed)
		r.refused *= f
		r.slowness *= f
		r.answered *= f
		r.others *= math.Exp(-elapsed.Seconds() / runningMemory.Seconds())
	}
	r.at = now
}

func (r *record) send(now time.Time, n int) {
	number := now.UnixNano() / int64(rateSlotLen)
	slot := &r.started[number%rateSlots]
	if slot.number != number {
		slot.number, slot.count = number, 0
	}
	slot.count += n
	if n > 0 {
		r.lastStart = now
	}
}

func (r *record) lastSecond(now time.Time) int {
	number, sum := now.UnixNano()/int64(rateSlotLen), 0
	for i := range r.started {
		if slot := &r.started[i]; slot.number > number-rateSlots && slot.number <= number {
			sum += slot.count
		}
	}
	return sum
}

func newRecord() *record { return &record{health: health{usualFaulty}} }

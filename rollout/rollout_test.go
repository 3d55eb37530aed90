package rollout

import (
	"fmt"
	"math"
	"testing"
	"time"

	_ "almondstile/standin/seeded"

	"pgregory.net/rapid"
)

const (
	// maxFalseAlarms is the part of good versions that may fail to be completed in time. A
	// false alarm costs operators one roll-out that they have to order again.
	maxFalseAlarms = 0.02
	// maxMisses is the part of bad versions that may get more requests than the bounds
	// allow, or some too late after the 50th bad response. Versions that fail a tenth of few requests can't be told apart any better:
	// a service with 13 requests a second shows 5 failures of 50 until all have to move.
	maxMisses = 0.02
)

// drawPlay draws a roll-out.
func drawPlay(t *rapid.T) play {
	p := play{slower: 1, badRoute: -1}
	p.seed = rapid.Uint64().Draw(t, "seed")
	p.duration = time.Duration(rapid.IntRange(12, 30).Draw(t, "seconds")) * time.Second
	p.servers = rapid.SampledFrom([]int{3, 6, 12, 30, 75, 120, 200, 300}).Draw(t, "servers")
	p.rate = rapid.SampledFrom([]float64{0.5, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000}).Draw(t, "requests a second")
	p.latency = time.Duration(rapid.IntRange(50, 650).Draw(t, "milliseconds")) * time.Millisecond
	p.rate = min(p.rate, float64(p.servers*slotsPerServer)*maxUtilization/p.latency.Seconds())
	p.spread = rapid.Float64Range(0.1, 0.6).Draw(t, "spread")
	p.routes = rapid.IntRange(1, 3).Draw(t, "routes")
	p.baseRate = rapid.Float64Range(0, 0.01).Draw(t, "failing of all servers")
	p.trouble = trouble(rapid.IntRange(0, int(troubleCount)-1).Draw(t, "trouble"))
	p.troubleAt = time.Duration(rapid.IntRange(0, int(p.duration/tick)).Draw(t, "trouble's tick")) * tick
	switch rapid.IntRange(0, 2).Draw(t, "version") {
	case 1:
		p.failing = rapid.Float64Range(0.1, 1).Draw(t, "failing")
	case 2:
		p.slower = rapid.Float64Range(2, 6).Draw(t, "slower")
	}
	switch rapid.IntRange(0, 3).Draw(t, "occasion") {
	case 1:
		p.badFrom = time.Duration(rapid.Float64Range(0, 0.45).Draw(t, "later") * float64(p.duration))
	case 2:
		p.underLoad = true
	case 3:
		p.badRoute = 0
	}
	return p
}

// maxUtilization is the part of the slots that is in use, so that servers that remain when
// a fifth has died can carry the load.
const maxUtilization = 0.6

// overExposed reports whether the target got more requests between the order and its
// deadline than the bounds allow. After completion it gets all.
func (m *model) overExposed() bool {
	rest := 0.0
	if m.verdict == Complete {
		rest = m.play.rate * max(m.play.duration-m.now, 0).Seconds()
	}
	target := float64(m.sent[Target]) + rest
	return target > bounds.ExposedShare*(target+float64(m.sent[Old]))+bounds.ExposedSlack
}

// Guards against bad versions that get more requests than operators allow, good versions
// that are not completed in time, and old servers that stop with requests under way, for
// versions that fail or are slow at once, later, under load or on one route, with other
// troubles at the same time.
func TestRollOuts(t *testing.T) {
	good, bad, falseAlarms, misses := 0, 0, 0, 0
	var errors []string
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(drawPlay(t))
		m.run()
		switch {
		case m.verdict == NoVerdict:
			t.Fatalf("no status at the deadline: %v", m.play)
		case m.writtenAt > m.play.duration+time.Second:
			t.Fatalf("the status was written %v after the order: %v", m.writtenAt, m.play)
		case m.verdict == Complete && m.cutOff > 0:
			t.Fatalf("%d requests under way at old servers at completion: %v", m.cutOff, m.play)
		case m.sentAfterEnd > 0:
			t.Fatalf("%d requests to a version that was rolled back: %v", m.sentAfterEnd, m.play)
		}
		if !m.play.bad() {
			good++
			if m.verdict != Complete || m.writtenAt > m.play.duration {
				falseAlarms++
				errors = append(errors, fmt.Sprintf("a good version was not completed in time: %v (%+v) %v", m.reason, m.figures, m.play))
			}
			return
		}
		bad++
		if m.overExposed() || m.sentTooLate > 0 {
			misses++
			errors = append(errors, fmt.Sprintf("a bad version got too many requests: %v, %d too late, %v (%+v) %v", m.sent, m.sentTooLate, m.reason, m.figures, m.play))
		}
	})
	for _, e := range errors {
		t.Log(e)
	}
	t.Logf("%d good versions, %d not completed; %d bad versions, %d over the bounds", good, falseAlarms, bad, misses)
	if allowed := math.Ceil(maxFalseAlarms * float64(good)); float64(falseAlarms) > allowed {
		t.Errorf("%d of %d good versions were not completed in time, allowed are %g", falseAlarms, good, allowed)
	}
	if allowed := math.Ceil(maxMisses * float64(bad)); float64(misses) > allowed {
		t.Errorf("%d of %d bad versions got too many requests, allowed are %g", misses, bad, allowed)
	}
}

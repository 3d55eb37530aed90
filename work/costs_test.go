package work_test

import (
	"math"
	"testing"
	"time"

	"almondstile/contract"
	_ "almondstile/standin/seeded"
	"almondstile/tally"
	"almondstile/work"

	"pgregory.net/rapid"
)

var (
	shortKind = work.Kind{Route: "short", Service: serviceID, Method: "GET"}
	longKind  = work.Kind{Route: "long", Service: serviceID, Method: "GET"}
)

// record records n samples of the kind and of its service.
func record(c *work.Costs, now time.Time, kind work.Kind, n int, latency time.Duration) {
	for range n {
		c.Record(now, kind.Subject(), work.Sample(latency))
		c.Record(now, work.ServiceSubject(kind.Service), work.Sample(latency))
	}
}

// Guards against counting requests alike that cost 75 ms and 470 ms, and against a unit in
// which a typical mix of requests does not cost 1 each.
func TestKindsAreToldApart(t *testing.T) {
	t.Parallel()
	var c work.Costs
	record(&c, epoch, shortKind, 100, 75*time.Millisecond)
	record(&c, epoch, longKind, 100, 470*time.Millisecond)
	short, long := c.Estimate(epoch, shortKind), c.Estimate(epoch, longKind)
	if mix := (short.Relative + long.Relative) / 2; math.Abs(mix-1) > 0.05 {
		t.Errorf("the requests of an even mix cost %.2f each", mix)
	}
	if ratio := float64(long.Mean) / float64(short.Mean); ratio < 4.5 {
		t.Errorf("a long request is expected to cost %.1f times a short one", ratio)
	}
	if short.Urgency() <= long.Urgency() {
		t.Errorf("a wait weighs %.2f for a short request and %.2f for a long one", short.Urgency(), long.Urgency())
	}
	if !short.TurnedUneven || long.TurnedUneven {
		t.Error("not exactly the first estimate reports that the service turned uneven")
	}
}

// Guards against a few samples that mislead: a kind without samples costs the mean of its
// service, and one with a single long one not much more.
func TestFewSamplesDontMislead(t *testing.T) {
	t.Parallel()
	var c work.Costs
	if e := c.Estimate(epoch, longKind); e.Known() || e.Relative != 1 {
		t.Errorf("without samples: %+v", e)
	}
	record(&c, epoch, shortKind, 100, 100*time.Millisecond)
	unknown := work.Kind{Route: "unknown", Service: serviceID, Method: "GET"}
	if e := c.Estimate(epoch, unknown); e.Mean != e.ServiceMean || e.Relative != 1 {
		t.Errorf("a kind without samples: %+v", e)
	}
	record(&c, epoch, unknown, 1, 700*time.Millisecond)
	if e := c.Estimate(epoch, unknown); e.Relative > 2.1 {
		t.Errorf("after one sample of seven times the mean the kind counts as %.2f requests", e.Relative)
	}
}

// Guards against estimates that outlive what they were learned from, and against memory
// that grows with each kind that was ever seen.
func TestCostsAge(t *testing.T) {
	t.Parallel()
	var c work.Costs
	record(&c, epoch, longKind, 1000, 100*time.Millisecond)
	later := epoch.Add(2 * time.Minute)
	record(&c, later, longKind, 100, 300*time.Millisecond)
	if e := c.Estimate(later, longKind); e.Mean < 250*time.Millisecond {
		t.Errorf("two minutes after a change from 100 to 300 ms, a request is expected to take %s", e.Mean)
	}
	old := later.Add(2 * time.Minute)
	if e := c.Estimate(old, longKind); e.Mean < 250*time.Millisecond {
		t.Errorf("without further samples, a request is expected to take %s", e.Mean)
	}
	c.Sweep(later.Add(time.Hour))
	if e := c.Estimate(later.Add(time.Hour), longKind); e.Known() {
		t.Errorf("after an hour without samples: %+v", e)
	}
}

// Guards against estimates outside the samples, and against infinite or undefined ones
// after a message with absurd counts.
func TestEstimatesAreBounded(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		var c work.Costs
		now := epoch
		for range rapid.IntRange(0, 40).Draw(t, "samples") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20000).Draw(t, "pause_ms")) * time.Millisecond)
			kind := rapid.SampledFrom([]work.Kind{shortKind, longKind}).Draw(t, "kind")
			if rapid.IntRange(0, 9).Draw(t, "absurd") == 0 {
				c.Record(now, kind.Subject(), tally.Counts{tally.CostSamples: rapid.Uint64().Draw(t, "samples"), tally.CostMillis: rapid.Uint64().Draw(t, "millis"), tally.CostLogCentis: rapid.Uint64().Draw(t, "logs")})
				continue
			}
			record(&c, now, kind, 1, time.Duration(rapid.IntRange(0, 20000).Draw(t, "latency_ms"))*time.Millisecond)
		}
		for _, kind := range []work.Kind{shortKind, longKind} {
			e := c.Estimate(now, kind)
			if !(e.Relative > 0 && e.Relative <= 10) || e.Mean < 0 || e.Mean > 10*time.Minute || e.Typical < 0 || e.Typical > 11*time.Minute {
				t.Fatalf("%+v", e)
			}
			if u := e.Urgency(); !(u > 0 && u <= 2) {
				t.Fatalf("urgency %f", u)
			}
		}
	})
}

// Guards against reports that grow with the requests of the fleet.
func TestSamplesAreReportedInPart(t *testing.T) {
	t.Parallel()
	var c work.Costs
	if p := c.ReportProbability(longKind.Subject()); p != 1 {
		t.Errorf("the first sample is reported with probability %.2f", p)
	}
	record(&c, epoch, longKind, 10000, time.Second)
	if p := c.ReportProbability(longKind.Subject()); p > 0.03 {
		t.Errorf("at 10,000 samples in 30 s, one is reported with probability %.2f", p)
	}
}

// Guards against kinds that are confused: by method, by the order of magnitude of bodies,
// and by the service that a part of a split goes to.
func TestSubjectsOfKinds(t *testing.T) {
	t.Parallel()
	kinds := []work.Kind{
		{Route: "r", Service: "s", Method: "GET"}, {Route: "r", Service: "s", Method: "POST"}, {Route: "r", Service: contract.ServiceID("s2"), Method: "GET"},
		{Route: "r", Service: "s", Method: "POST", BodyBytes: 300}, {Route: "r", Service: "s", Method: "POST", BodyBytes: 300 << 10},
	}
	seen := make(map[tally.Subject]work.Kind)
	for _, k := range kinds {
		if other, ok := seen[k.Subject()]; ok {
			t.Errorf("%+v and %+v are the same kind", k, other)
		}
		seen[k.Subject()] = k
	}
	similar := work.Kind{Route: "r", Service: "s", Method: "POST", BodyBytes: 350}
	if _, ok := seen[similar.Subject()]; !ok {
		t.Error("bodies of 300 and 350 bytes make different kinds")
	}
}

// Guards against a wait at a server with a free slot, and against one that falls while the
// work grows.
func TestWaitGrowsWithWork(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(0, 8).Draw(t, "slots")
		left := rapid.Float64Range(0, 40).Draw(t, "work")
		wait := work.Wait(left, slots, time.Second)
		if left <= float64(slots-1) && wait != 0 {
			t.Fatalf("%d slots, work %.1f: a wait of %s", slots, left, wait)
		}
		if more := work.Wait(left+1, slots, time.Second); more < wait {
			t.Fatalf("%d slots: a wait of %s for work %.1f and of %s for one more", slots, wait, left, more)
		}
	})
}

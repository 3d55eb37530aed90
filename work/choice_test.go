package work_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"almondstile/contract"
	"almondstile/evidence"
	"almondstile/placement"
	"almondstile/tally"
	"almondstile/vm"
	"almondstile/work"
	"almondstile/zone"
)

// load is a kind of requests in a play.
type load struct {
	route     contract.RouteID
	perSecond float64
	mean      time.Duration
	// spread is the standard deviation of the logarithm of the cost. A share tail of the
	// requests costs tailFactor times as much as the others.
	spread, tail, tailFactor float64
}

// play is one service in virtual time. Its VMs choose servers by statistics that reach
// them after a delay; the requests wait at the servers, first come first served.
type play struct {
	seed           uint64
	vms            int
	servers, slots int
	loads          []load
	slowdowns      []float64 // factors of the costs by server, 1 beyond the end
	joins          int       // servers, the last ones, that join halfway
	byWork         bool      // whether the choice follows likely costs
	duration       time.Duration

	rng       *rand.Rand
	now       time.Duration
	reports   reports
	stats     evidence.ServerStats
	routes    evidence.RouteLatencies
	costs     work.Costs
	freeAt    [][]time.Duration // by server and slot
	subsets   []map[contract.ServerID]bool
	latencies map[contract.RouteID][]time.Duration
	sentAt    [][]time.Duration // by server
}

const (
	zones        = 4
	reportDelay  = 90 * time.Millisecond
	failureDelay = 20 * time.Millisecond
	zoneDelay    = 10 * time.Millisecond // there and back
	// suspectFactor is the multiple of the typical latency after which a request without
	// a response counts as a failure of its server.
	suspectFactor = 4
	warmUp        = 3 * time.Second
	serviceID     = contract.ServiceID("service-1")
)

// report is a change of the statistics that the VMs learn of.
type report struct {
	at    time.Duration
	apply func(now time.Time)
}

type reports []report

func (r reports) Len() int           { return len(r) }
func (r reports) Less(i, j int) bool { return r[i].at < r[j].at }
func (r reports) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }
func (r *reports) Push(x any)        { *r = append(*r, x.(report)) }
func (r *reports) Pop() any {
	old := *r
	last := old[len(old)-1]
	*r = old[:len(old)-1]
	return last
}

var epoch = time.Unix(100000, 0)

func serverID(i int) contract.ServerID { return contract.ServerID(strconv.Itoa(i)) }

func subjectOf(i int) tally.Subject { return evidence.ServerSubject(serverID(i)) }

func zoneOf(i int) zone.ID { return zone.ID(strconv.Itoa(i % zones)) }

// run plays the loads.
func (p *play) run() *play {
	p.rng = rand.New(rand.NewPCG(p.seed, 5))
	p.latencies = make(map[contract.RouteID][]time.Duration)
	p.freeAt, p.sentAt = make([][]time.Duration, p.servers), make([][]time.Duration, p.servers)
	for i := range p.freeAt {
		p.freeAt[i] = make([]time.Duration, p.slots)
	}
	perSecond := 0.0
	for _, l := range p.loads {
		perSecond += l.perSecond
	}
	p.chooseSubsets(perSecond)
	for p.now < p.duration {
		p.now += time.Duration(p.rng.ExpFloat64() / perSecond * float64(time.Second))
		for len(p.reports) > 0 && p.reports[0].at <= p.now {
			r := heap.Pop(&p.reports).(report)
			r.apply(epoch.Add(r.at))
		}
		p.request(p.pickLoad(perSecond))
	}
	return p
}

// chooseSubsets determines the servers that each VM prefers.
func (p *play) chooseSubsets(perSecond float64) {
	size := placement.SubsetSize(perSecond, p.servers, p.vms)
	for v := range p.vms {
		var own []contract.ServerID
		for s := range p.servers {
			if zoneOf(s) == zoneOf(v) {
				own = append(own, serverID(s))
			}
		}
		subset := make(map[contract.ServerID]bool)
		for i, preferred := range placement.Subset(vm.ID(strconv.Itoa(v)), own, size) {
			subset[own[i]] = preferred
		}
		p.subsets = append(p.subsets, subset)
	}
}

func (p *play) pickLoad(perSecond float64) load {
	position := p.rng.Float64() * perSecond
	for _, l := range p.loads {
		if position -= l.perSecond; position < 0 {
			return l
		}
	}
	return p.loads[len(p.loads)-1]
}

// request plays one request at a random VM.
func (p *play) request(l load) {
	v, now := p.rng.IntN(p.vms), epoch.Add(p.now)
	kind := work.Kind{Route: l.route, Service: serviceID, Method: "GET"}
	estimate := work.Estimate{Relative: 1}
	if p.byWork {
		estimate = p.costs.Estimate(now, kind)
	}
	servers := p.servers
	if p.now < p.duration/2 {
		servers -= p.joins
	}
	candidates, states := make([]placement.Candidate, servers), make([]evidence.State, servers)
	for i := range candidates {
		st := p.stats.State(now, subjectOf(i))
		states[i] = st
		candidates[i] = placement.Candidate{
			OwnZone: zoneOf(i) == zoneOf(v), InSubset: p.subsets[v][serverID(i)], Slots: p.slots,
			Work: st.InFlight, RelativeLatency: st.RelativeLatency, FailureRate: st.FailureRate, FaultProbability: st.FaultProbability,
			RecentSuccesses: st.RecentSuccesses, RecentFailures: st.RecentFailures, RecentRefusals: st.RecentRefusals, IdleTime: st.IdleTime,
		}
		if p.byWork {
			candidates[i].Work, candidates[i].RelativeLatency, candidates[i].Urgency = st.Work, st.Slowness, estimate.Urgency()
		}
	}
	s := placement.Pick(candidates, false, p.rng.Float64())
	p.send(l, kind, estimate, s, states[s], candidates[s].OwnZone)
}

// send plays the request at server s, whose state the VM knew as st.
func (p *play) send(l load, kind work.Kind, estimate work.Estimate, s int, st evidence.State, ownZone bool) {
	server, sent := subjectOf(s), p.now
	p.sentAt[s] = append(p.sentAt[s], sent)
	start := tally.Counts{tally.Started: 1}
	if estimate.Relative != 1 {
		start[tally.WorkTenths] = uint64(10*estimate.Relative + 0.5)
	}
	p.report(sent+reportDelay, func(now time.Time) { p.stats.RecordRemoteCounts(now, server, start) })
	slot := slices.Index(p.freeAt[s], slices.Min(p.freeAt[s]))
	end := max(sent, p.freeAt[s][slot]) + p.cost(l, s)
	p.freeAt[s][slot] = end
	if !ownZone {
		end += zoneDelay
	}
	latency := end - sent
	if sent > warmUp {
		p.latencies[l.route] = append(p.latencies[l.route], latency)
	}
	route := evidence.RouteSubject(l.route)
	if suspectAfter := suspectFactor * max(l.mean, p.routes.TypicalLatency(route)); latency > suspectAfter {
		p.report(sent+suspectAfter+failureDelay, func(now time.Time) { p.stats.RecordRemoteCounts(now, server, tally.Counts{tally.Failed: 1}) })
	}
	p.report(end+reportDelay, func(now time.Time) {
		percent := evidence.RelativeLatencyPercent(latency, p.routes.TypicalLatency(route))
		p.routes.RecordResponses(now, route, 1, uint64(latency.Milliseconds()))
		if p.byWork {
			percent = evidence.SlownessPercent(work.SlownessRatio(latency, estimate, work.Wait(st.Work, p.slots, estimate.ServiceMean), 0))
			if work.StartsAtOnce(st.InFlight, p.slots) {
				p.costs.Record(now, kind.Subject(), work.Sample(latency))
				p.costs.Record(now, work.ServiceSubject(serviceID), work.Sample(latency))
			}
		}
		p.stats.RecordRemoteCounts(now, server, tally.Counts{tally.Succeeded: 1, tally.RelativeLatencyPercent: percent})
	})
}

// cost returns the time for which a request occupies a slot of server s.
func (p *play) cost(l load, s int) time.Duration {
	cost := float64(l.mean) * math.Exp(l.spread*p.rng.NormFloat64()-l.spread*l.spread/2) / (1 + l.tail*(l.tailFactor-1))
	if p.rng.Float64() < l.tail {
		cost *= l.tailFactor
	}
	if s < len(p.slowdowns) {
		cost *= p.slowdowns[s]
	}
	return time.Duration(cost)
}

func (p *play) report(at time.Duration, apply func(now time.Time)) {
	heap.Push(&p.reports, report{at, apply})
}

// served is what the callers of a route got, in milliseconds.
type served struct{ mean, p95 float64 }

// playSeeds plays p with several seeds and returns the averages for each route.
func playSeeds(p *play, seeds int) map[contract.RouteID]served {
	out := make(map[contract.RouteID]served)
	for seed := range seeds {
		one := &play{seed: uint64(seed + 1), vms: p.vms, servers: p.servers, slots: p.slots, loads: p.loads,
			slowdowns: p.slowdowns, joins: p.joins, byWork: p.byWork, duration: p.duration}
		for route, latencies := range one.run().latencies {
			slices.Sort(latencies)
			sum := time.Duration(0)
			for _, d := range latencies {
				sum += d
			}
			s := out[route]
			s.mean += float64(sum.Milliseconds()) / float64(len(latencies)) / float64(seeds)
			s.p95 += float64(latencies[len(latencies)*95/100].Milliseconds()) / float64(seeds)
			out[route] = s
		}
	}
	return out
}

// The loads of the tests: 3% of the requests cost seven times as much as the others.
func shortQueries(perSecond float64) load {
	return load{"query", perSecond, 75 * time.Millisecond, 0.8, 0.03, 7}
}
func longFetches(perSecond float64) load {
	return load{"fetch", perSecond, 470 * time.Millisecond, 0.3, 0.03, 7}
}
func orders(perSecond float64) load {
	return load{"order", perSecond, 190 * time.Millisecond, 0.8, 0.03, 7}
}

// Guards against short requests that wait behind long ones, because the choice counts both
// alike: with likely costs they wait less, at half and at three quarters of the room, and
// the long ones no longer than before.
func TestShortRequestsWaitLessBehindLongOnes(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		vms   int
		loads []load
	}{
		{36, []load{longFetches(50), shortQueries(100)}},
		{137, []load{longFetches(50), shortQueries(100)}},
		{36, []load{longFetches(75), shortQueries(150)}},
		{137, []load{longFetches(75), shortQueries(150)}},
	} {
		const seeds = 4
		p := &play{vms: c.vms, servers: 32, slots: 2, loads: c.loads, duration: 15 * time.Second}
		byCount := playSeeds(p, seeds)
		p.byWork = true
		byWork := playSeeds(p, seeds)
		t.Logf("%d VMs, %v: by count %v, by work %v", c.vms, c.loads, byCount, byWork)
		if byWork["query"].mean > byCount["query"].mean || byWork["query"].p95 > byCount["query"].p95 {
			t.Errorf("%d VMs, %v, seeds 1 to %d: short requests took %.0f ms by count and %.0f ms by work (mean, p95)", c.vms, c.loads, seeds, byCount["query"], byWork["query"])
		}
		if byWork["fetch"].mean > 1.03*byCount["fetch"].mean {
			t.Errorf("%d VMs, %v, seeds 1 to %d: long requests took %.0f ms by count and %.0f ms by work (mean, p95)", c.vms, c.loads, seeds, byCount["fetch"], byWork["fetch"])
		}
	}
}

// Guards against callers that are served worse by the choice by likely costs where all
// requests cost alike, and where servers differ in speed.
func TestEvenCostsAreServedAsBefore(t *testing.T) {
	t.Parallel()
	for name, slowdowns := range map[string][]float64{
		"even":           nil,
		"slow servers":   {5, 5, 5, 5, 5},
		"unequal speeds": {.6, .6, .6, .6, .6, .6, .6, .6, .6, .6, 1.6, 1.6, 1.6, 1.6, 1.6, 1.6, 1.6, 1.6, 1.6, 1.6},
	} {
		const seeds = 4
		p := &play{vms: 131, servers: 32, slots: 2, loads: []load{orders(150)}, slowdowns: slowdowns, duration: 15 * time.Second}
		byCount := playSeeds(p, seeds)["order"]
		p.byWork = true
		byWork := playSeeds(p, seeds)["order"]
		t.Logf("%s: by count %.0f, by work %.0f", name, byCount, byWork)
		if byWork.mean > 1.05*byCount.mean || byWork.p95 > 1.08*byCount.p95 {
			t.Errorf("%s, seeds 1 to %d: %.0f ms by count and %.0f ms by work (mean, p95)", name, seeds, byCount, byWork)
		}
	}
}

// Guards against sound servers without requests: at least 70% of them get one in any 2 s,
// and each server that joins gets its first one within 2 s.
func TestAllServersGetRequests(t *testing.T) {
	t.Parallel()
	const window, floorShare = 2 * time.Second, 0.7
	for seed := uint64(1); seed <= 3; seed++ {
		p := (&play{seed: seed, vms: 131, servers: 40, slots: 2, loads: []load{longFetches(40), shortQueries(40)}, joins: 6,
			byWork: true, duration: 16 * time.Second}).run()
		for at := warmUp; at+window < p.duration; at += window / 4 {
			used, present := 0, 0
			for s, sent := range p.sentAt {
				if s >= p.servers-p.joins && at < p.duration/2+window {
					continue
				}
				present++
				if slices.ContainsFunc(sent, func(d time.Duration) bool { return d >= at && d < at+window }) {
					used++
				}
			}
			if float64(used) < floorShare*float64(present) {
				t.Errorf("seed %d: %d of %d servers got a request in the 2 s from %s on", seed, used, present, at)
			}
		}
		for s := p.servers - p.joins; s < p.servers; s++ {
			if len(p.sentAt[s]) == 0 || p.sentAt[s][0] > p.duration/2+window {
				t.Errorf("seed %d: server %d joined at %s and got its first requests at %v", seed, s, p.duration/2, p.sentAt[s][:min(1, len(p.sentAt[s]))])
			}
		}
	}
}

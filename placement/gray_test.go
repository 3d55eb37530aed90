package placement_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"almondstile/contract"
	"almondstile/evidence"
	"almondstile/placement"
	"almondstile/tally"
)

// play is a day of one service in simulated time: requests arrive at many VMs,
// each request goes to the server that Pick selects, servers have faulty phases
// in which they fail most requests at once, and what happens is known to the
// VMs after a delay.
type play struct {
	rng      *rand.Rand
	servers  int
	slots    int
	arrivals float64 // per second
	work     time.Duration
	// useEvidence says whether failures count for the choice.
	useEvidence bool
	// healthy leaves out the faulty phases.
	healthy bool
	length  time.Duration

	known  evidence.ServerStats
	events eventHeap
	faulty []time.Duration // until when each server is in a faulty phase
	free   [][]time.Duration

	requests, failed, shed, late int
	perServer                    []int
}

const (
	newsDelay    = 100 * time.Millisecond
	failureDelay = 15 * time.Millisecond
	faultyShare  = 0.75
	soundShare   = 0.0125
	queueLimit   = 12
)

type event struct {
	at     time.Duration
	server int
	counts tally.Counts
}

type eventHeap []event

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

var epoch = time.Unix(100000, 0)

func subject(server int) tally.Subject {
	return evidence.ServerSubject(contract.ServerID(strconv.Itoa(server)))
}

func (p *play) run() {
	p.faulty = make([]time.Duration, p.servers)
	p.free = make([][]time.Duration, p.servers)
	p.perServer = make([]int, p.servers)
	for i := range p.free {
		p.free[i] = make([]time.Duration, p.slots)
	}
	phase := time.Duration(0)
	for now := time.Duration(0); now < p.length; {
		now += time.Duration(p.rng.ExpFloat64() / p.arrivals * float64(time.Second))
		if now >= phase { // a third of the servers turns bad for a while, anew each 9 s
			phase += 9 * time.Second / time.Duration(p.servers)
			if !p.healthy && p.rng.Float64() < 0.3 {
				p.faulty[p.rng.IntN(p.servers)] = now + time.Duration(1+3*p.rng.Float64())*time.Second
			}
		}
		for len(p.events) > 0 && p.events[0].at <= now {
			e := heap.Pop(&p.events).(event)
			p.known.RecordRemoteCounts(epoch.Add(e.at), subject(e.server), e.counts)
		}
		p.request(now)
	}
}

func (p *play) request(now time.Duration) {
	candidates := make([]placement.Candidate, p.servers)
	for i := range candidates {
		st := p.known.State(epoch.Add(now), subject(i))
		candidates[i] = placement.Candidate{OwnZone: true, Slots: p.slots, InFlight: st.InFlight, RelativeLatency: 1, RecentRefusals: st.RecentRefusals}
		if p.useEvidence {
			candidates[i].FailureRate, candidates[i].IdleTime = st.FailureRate, st.IdleTime
		}
	}
	server := placement.Pick(candidates, false, p.rng.Float64())
	p.requests++
	p.perServer[server]++
	share := soundShare
	if now < p.faulty[server] {
		share = faultyShare
	}
	if p.rng.Float64() < share {
		p.failed++
		p.tell(now+failureDelay, server, tally.Counts{tally.Started: 1, tally.Failed: 1})
		return
	}
	p.tell(now+newsDelay, server, tally.Counts{tally.Started: 1})
	p.serve(now, server)
}

// serve runs the request in the slot that is free first, or sheds it.
func (p *play) serve(now time.Duration, server int) {
	slot, waiting := 0, 0
	for i, free := range p.free[server] {
		if free < p.free[server][slot] {
			slot = i
		}
		waiting += int(max(free-now, 0) / p.work)
	}
	if waiting > queueLimit {
		p.shed++
		p.tell(now+newsDelay, server, tally.Counts{tally.Refused: 1})
		return
	}
	end := max(now, p.free[server][slot]) + time.Duration(float64(p.work)*math.Exp(0.5*p.rng.NormFloat64()))
	p.free[server][slot] = end
	if end-now > 4*p.work {
		p.late++
	}
	p.tell(end+newsDelay, server, tally.Counts{tally.Succeeded: 1, tally.RelativeLatencyPercent: 100})
}

func (p *play) tell(at time.Duration, server int, c tally.Counts) {
	heap.Push(&p.events, event{at, server, c})
}

// Guards against requests that run once going to servers that have just begun
// to fail quietly: with the evidence at least half of what fails without it is
// saved, at several sizes, and no server is left unused.
func TestEvidenceKeepsRequestsFromGrayServers(t *testing.T) {
	for _, size := range []struct {
		servers, slots int
		arrivals       float64
		work           time.Duration
	}{
		{12, 3, 50, 180 * time.Millisecond},
		{12, 1, 40, 60 * time.Millisecond},
		{30, 8, 300, 100 * time.Millisecond},
		{74, 3, 200, 190 * time.Millisecond},
	} {
		for seed := uint64(1); seed <= 3; seed++ {
			var failed [2]float64
			for i, use := range []bool{false, true} {
				p := play{rng: rand.New(rand.NewPCG(seed, 7)), servers: size.servers, slots: size.slots,
					arrivals: size.arrivals, work: size.work, useEvidence: use, length: 30 * time.Second}
				p.run()
				failed[i] = float64(p.failed)/float64(p.requests) - soundShare
				for server, n := range p.perServer {
					if fair := p.requests / p.servers; n < fair/8 {
						t.Errorf("%+v seed %d: server %d got %d requests, a fair share is %d", size, seed, server, n, fair)
					}
				}
			}
			if failed[1] > failed[0]/2 {
				t.Errorf("%+v seed %d: beyond the usual %.4f fail without the evidence and %.4f with it", size, seed, failed[0], failed[1])
			}
		}
	}
}

// Guards against all VMs sending to the server that looked best a tenth of a
// second ago: at three quarters of the capacity nearly nothing is shed or late.
func TestLoadIsSpreadWithOldKnowledge(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		p := play{rng: rand.New(rand.NewPCG(seed, 9)), servers: 12, slots: 3,
			arrivals: 0.75 * 36 / 0.2, work: 180 * time.Millisecond, useEvidence: true, healthy: true, length: 30 * time.Second}
		p.run()
		if bad := float64(p.shed+p.late) / float64(p.requests); bad > 0.02 {
			t.Errorf("seed %d: %d shed and %d late of %d requests", seed, p.shed, p.late, p.requests)
		}
	}
}

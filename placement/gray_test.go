package placement_test

import (
	"cmp"
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

// simulation runs one service in simulated time. Each request goes to the server
// that Pick selects. Servers have faulty phases, in which they fail most requests
// at once. The VMs learn of sends and results after a delay.
type simulation struct {
	rng             *rand.Rand
	servers         int
	slots           int
	arrivals        float64 // per second
	meanServiceTime time.Duration
	// useEvidence passes the failure rate and the idle time of the servers to Pick.
	useEvidence bool
	// cutServers is the number of servers, from the first on, that a share cutVMs of the
	// VMs cannot reach. Such a failure is reported, and the request is sent elsewhere.
	cutServers int
	cutVMs     float64
	// deadServers is the number of servers, after cutServers, that refuse all
	// connections, and grayServers the number after these that fail most requests.
	deadServers, grayServers int
	// zones is the number of zones of the VMs and servers, 0 for one.
	zones int
	// latencySpread is the standard deviation of the logarithm of the service time, 0
	// for 0.5.
	latencySpread float64
	// suspectSlow reports a request without a response after suspectAfter as a failure.
	suspectSlow bool
	// noFaults leaves out the faulty phases.
	noFaults bool
	duration time.Duration

	now         time.Duration
	nextFault   time.Duration // time of the next change of faulty phases
	stats       evidence.ServerStats
	events      eventHeap
	faultyUntil []time.Duration // end of the faulty phase, by server
	slotFreeAt  [][]time.Duration

	// late counts requests that took longer than 4 times meanServiceTime.
	requests, failed, shed, late int
	perServer                    []int           // requests by server
	lastRequest                  []time.Duration // time of the last request, by server
}

const (
	reportDelay        = 100 * time.Millisecond // until VMs learn of a send or a result
	failureReportDelay = 15 * time.Millisecond  // until VMs learn of a failure
	faultyFailureRate  = 0.75                   // in a faulty phase
	healthyFailureRate = 0.0125                 // in a healthy phase
	queueLimit         = 12                     // waiting requests of one server
	// suspectAfter is the multiple of meanServiceTime after which a request without a
	// response counts as a failure.
	suspectAfter = 4
)

// event is a change of a server's counts that the VMs learn of.
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

// run simulates the requests of p.duration.
func (p *simulation) run() {
	p.start()
	p.play()
}

// start prepares the servers.
func (p *simulation) start() {
	p.faultyUntil = make([]time.Duration, p.servers)
	p.slotFreeAt = make([][]time.Duration, p.servers)
	p.perServer = make([]int, p.servers)
	p.lastRequest = make([]time.Duration, p.servers)
	for i := range p.slotFreeAt {
		p.slotFreeAt[i] = make([]time.Duration, p.slots)
	}
}

// play simulates the requests from p.now to p.duration.
func (p *simulation) play() {
	for p.now < p.duration {
		p.now += time.Duration(p.rng.ExpFloat64() / p.arrivals * float64(time.Second))
		now := p.now
		if now >= p.nextFault { // every 9 s, about a third of the servers enter a faulty phase
			p.nextFault += 9 * time.Second / time.Duration(p.servers)
			if !p.noFaults && p.rng.Float64() < 0.3 {
				p.faultyUntil[p.rng.IntN(p.servers)] = now + time.Duration(1+3*p.rng.Float64())*time.Second
			}
		}
		for len(p.events) > 0 && p.events[0].at <= now {
			e := heap.Pop(&p.events).(event)
			p.stats.RecordRemoteCounts(epoch.Add(e.at), subject(e.server), e.counts)
		}
		p.request(now)
	}
}

// request sends one request to servers that Pick selects.
func (p *simulation) request(now time.Duration) {
	cut, vmZone := p.rng.Float64() < p.cutVMs, p.rng.IntN(max(p.zones, 1))
	tried := make(map[int]bool)
	for {
		server := p.pick(now, vmZone, tried)
		reached := !(cut && server < p.cutServers) && !(server >= p.cutServers && server < p.cutServers+p.deadServers)
		if reached || len(tried) == 3 {
			p.send(now, server)
			return
		}
		tried[server] = true
		p.scheduleReport(now+failureReportDelay, server, tally.Counts{tally.Started: 1, tally.Failed: 1})
	}
}

// pick returns the server that Pick selects.
func (p *simulation) pick(now time.Duration, vmZone int, tried map[int]bool) int {
	candidates := make([]placement.Candidate, p.servers)
	for i := range candidates {
		st := p.stats.State(epoch.Add(now), subject(i))
		candidates[i] = placement.Candidate{OwnZone: i%max(p.zones, 1) == vmZone, InSubset: true, Slots: p.slots, Work: st.InFlight, RelativeLatency: 1, RecentRefusals: st.RecentRefusals}
		if p.useEvidence {
			candidates[i].FailureRate, candidates[i].IdleTime = st.FailureRate, st.IdleTime
			candidates[i].FaultProbability = st.FaultProbability
			candidates[i].RecentSuccesses, candidates[i].RecentFailures = st.RecentSuccesses, st.RecentFailures
		}
	}
	for server := range tried {
		candidates[server].Tried = true
	}
	return placement.Pick(candidates, false, p.rng.Float64())
}

// send sends a request to a server.
func (p *simulation) send(now time.Duration, server int) {
	p.requests++
	p.perServer[server]++
	p.lastRequest[server] = now
	failureRate := healthyFailureRate
	firstGray := p.cutServers + p.deadServers
	if now < p.faultyUntil[server] || server >= firstGray && server < firstGray+p.grayServers {
		failureRate = faultyFailureRate
	}
	if p.rng.Float64() < failureRate {
		p.failed++
		p.scheduleReport(now+failureReportDelay, server, tally.Counts{tally.Started: 1, tally.Failed: 1})
		return
	}
	p.scheduleReport(now+reportDelay, server, tally.Counts{tally.Started: 1})
	p.serve(now, server)
}

// serve executes the request in the slot that becomes free first, or sheds it if
// the queue is full.
func (p *simulation) serve(now time.Duration, server int) {
	slot, queued := 0, 0
	for i, free := range p.slotFreeAt[server] {
		if free < p.slotFreeAt[server][slot] {
			slot = i
		}
		queued += int(max(free-now, 0) / p.meanServiceTime)
	}
	if queued > queueLimit {
		p.shed++
		p.scheduleReport(now+reportDelay, server, tally.Counts{tally.Refused: 1})
		return
	}
	spread := cmp.Or(p.latencySpread, 0.5)
	end := max(now, p.slotFreeAt[server][slot]) + time.Duration(float64(p.meanServiceTime)*math.Exp(spread*p.rng.NormFloat64()))
	p.slotFreeAt[server][slot] = end
	if end-now > suspectAfter*p.meanServiceTime {
		p.late++
		if p.suspectSlow {
			p.scheduleReport(now+suspectAfter*p.meanServiceTime, server, tally.Counts{tally.Failed: 1})
		}
	}
	p.scheduleReport(end+reportDelay, server, tally.Counts{tally.Succeeded: 1, tally.RelativeLatencyPercent: 100})
}

// scheduleReport lets the VMs learn of the counts at the given time.
func (p *simulation) scheduleReport(at time.Duration, server int, c tally.Counts) {
	heap.Push(&p.events, event{at, server, c})
}

// Guards against sending requests that cannot be retried to servers that have just
// begun to fail some of them. With the failure rates, at least half of the
// additional failures are avoided at several sizes, and no server is left unused.
func TestEvidenceKeepsRequestsFromGrayServers(t *testing.T) {
	t.Parallel()
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
				p := simulation{rng: rand.New(rand.NewPCG(seed, 7)), servers: size.servers, slots: size.slots,
					arrivals: size.arrivals, meanServiceTime: size.work, useEvidence: use, duration: 30 * time.Second}
				p.run()
				failed[i] = float64(p.failed)/float64(p.requests) - healthyFailureRate
				for server, n := range p.perServer {
					if fair := p.requests / p.servers; n < fair/8 {
						t.Errorf("%+v seed %d: server %d got %d requests, an even share is %d", size, seed, server, n, fair)
					}
				}
			}
			if failed[1] > failed[0]/2 {
				t.Errorf("%+v seed %d: beyond the typical failures, a share of %.4f fails without the failure rates and %.4f with them", size, seed, failed[0], failed[1])
			}
		}
	}
}

// Guards against sound servers without requests while the others are overloaded. A
// fault of the links between a fifth of the VMs and many servers, gray and lost servers,
// and the typical failures of sound servers, make more servers suspect than the rest
// can replace. At least 70% of the sound servers get a request in any 2 s.
func TestSoundServersStayInUseWhenManyAreSuspect(t *testing.T) {
	t.Parallel()
	const window, floorShare = 2 * time.Second, 0.7
	for _, size := range []struct {
		servers  int
		arrivals float64
	}{{12, 40}, {36, 100}, {101, 330}, {100, 1500}} {
		for seed := uint64(1); seed <= 2; seed++ {
			p := simulation{rng: rand.New(rand.NewPCG(seed, 11)), servers: size.servers, slots: 4, arrivals: size.arrivals, zones: 3,
				meanServiceTime: 250 * time.Millisecond, useEvidence: true, noFaults: true, duration: 3 * time.Second,
				cutServers: size.servers * 40 / 100, cutVMs: 0.2, grayServers: size.servers * 12 / 100, latencySpread: 0.8, suspectSlow: true}
			p.start()
			firstSound := p.cutServers + p.grayServers
			worst := p.servers
			for ; p.duration < 12*time.Second; p.duration += 250 * time.Millisecond {
				p.play()
				used := 0
				for _, last := range p.lastRequest[firstSound:] {
					if p.now-last < window {
						used++
					}
				}
				worst = min(worst, used)
			}
			sound := p.servers - firstSound
			if float64(worst) < floorShare*float64(sound) {
				t.Errorf("%+v seed %d: only %d of %d sound servers got a request within %s", size, seed, worst, sound, window)
			}
		}
	}
}

// Guards against all VMs sending to the server that had the least load a tenth of a
// second ago. At three quarters of the capacity, at most 2% of the requests are shed
// or late.
func TestLoadIsSpreadWithDelayedStatistics(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 5; seed++ {
		p := simulation{rng: rand.New(rand.NewPCG(seed, 9)), servers: 12, slots: 3,
			arrivals: 0.75 * 36 / 0.2, meanServiceTime: 180 * time.Millisecond, useEvidence: true, noFaults: true, duration: 30 * time.Second}
		p.run()
		if bad := float64(p.shed+p.late) / float64(p.requests); bad > 0.02 {
			t.Errorf("seed %d: %d shed and %d late of %d requests", seed, p.shed, p.late, p.requests)
		}
	}
}

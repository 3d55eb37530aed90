package room

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"almondstile/contract"
	"almondstile/tally"
)

// load is a service with its callers and VMs in virtual time. A VM knows the servers'
// requests as they were a moment ago. Callers that are turned away return as they are told.
type load struct {
	vms, servers int
	target       time.Duration
	timeout      time.Duration
	streams      []stream
	held         bool // whether requests pass the gate
}

// stream is a number of requests a second of one rank and team. entitlement is the team's
// rate limit.
type stream struct {
	rank                   contract.Rank
	team                   contract.TeamID
	perSecond, entitlement float64
}

const (
	loadSlots       = 3
	loadQueue       = 12
	loadServiceTime = 200 * time.Millisecond
	loadMessageTime = 150 * time.Millisecond
	loadTime        = 12 * time.Second
	loadWarmUp      = 2 * time.Second
	loadReturns     = 3
)

// tallied is what happened to the requests of a stream.
type tallied struct{ sent, served, inTime float64 }

// event is something that happens at a time.
type event struct {
	at time.Duration
	do func(now time.Duration)
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// run is one run of a load.
type run struct {
	load
	t       *testing.T
	random  *rand.Rand
	events  events
	gates   []*Gate
	busy    []int      // requests at each server
	known   int        // requests at all servers, as VMs know them
	unsent  [][]uint64 // by VM and stream: requests that the other VMs do not know of yet
	results []tallied
}

var loadStart = time.Unix(1000, 0)

// play returns the results of each stream.
func (l load) play(t *testing.T, seed uint64) []tallied {
	r := &run{load: l, t: t, random: rand.New(rand.NewPCG(seed, 1)), busy: make([]int, l.servers), results: make([]tallied, len(l.streams))}
	for range l.vms {
		r.gates = append(r.gates, &Gate{})
		r.unsent = append(r.unsent, make([]uint64, len(l.streams)))
	}
	r.setEntitlements()
	for i := range l.streams {
		r.arrive(0, i)
	}
	r.share(0)
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		e.do(e.at)
	}
	return r.results
}

func (r *run) at(t time.Duration, do func(time.Duration)) { heap.Push(&r.events, event{t, do}) }

// setEntitlements gives all teams the same rate limit.
func (r *run) setEntitlements() {
	var teams []contract.Team
	for _, s := range r.streams {
		teams = append(teams, contract.Team{ID: s.team, RatePerSecond: s.entitlement})
	}
	for _, g := range r.gates {
		g.Demand.SetEntitlements(loadStart, teams)
	}
}

// share lets the VMs know the requests at the servers, and those that arrived at the other
// VMs, at intervals.
func (r *run) share(now time.Duration) {
	total := 0
	for _, n := range r.busy {
		total += n
	}
	r.at(now+loadMessageTime/2, func(time.Duration) { r.known = total })
	arrived := make([]uint64, len(r.streams))
	for vm := range r.unsent {
		for i, n := range r.unsent[vm] {
			arrived[i] += n
		}
	}
	for vm, gate := range r.gates {
		for i, n := range arrived {
			ticket, others := r.ticket(now, i), n-r.unsent[vm][i]
			var counts tally.Counts
			counts[ticket.OfferedField()] = others
			gate.RecordRemote(loadStart.Add(now), ticket.request.Service, counts)
			gate.Demand.Record(loadStart.Add(now), ticket.request.Team, others)
		}
		clear(r.unsent[vm])
	}
	if now < 2*loadTime {
		r.at(now+loadMessageTime, r.share)
	}
}

// ticket returns the ticket of a request of a stream that first arrived at the given time.
func (r *run) ticket(first time.Duration, i int) *Ticket {
	s := r.streams[i]
	return NewTicket(Request{Service: tally.SubjectOf(tally.Service, "service"), Rank: s.rank, Team: TeamSubject(s.team),
		Deadline: loadStart.Add(first + r.timeout), Target: r.target, TypicalLatency: loadServiceTime},
		contract.ServiceTerms{Ranks: []contract.Rank{0, 1, 2}, TargetLatency: r.target})
}

// arrive sends the next request of a stream.
func (r *run) arrive(now time.Duration, i int) {
	if now >= loadTime {
		return
	}
	r.at(now+time.Duration(r.random.ExpFloat64()/r.streams[i].perSecond*float64(time.Second)), func(now time.Duration) {
		r.arrive(now, i)
		if now > loadWarmUp {
			r.results[i].sent++
		}
		r.try(now, now, i, 0)
	})
}

// try lets a request that first arrived at the given time pass the gate of some VM.
func (r *run) try(now, first time.Duration, i, returns int) {
	if !r.held {
		r.send(now, first, i, returns)
		return
	}
	vm := r.random.IntN(r.vms)
	gate, ticket := r.gates[vm], r.ticket(first, i)
	gate.Demand.Record(loadStart.Add(now), ticket.request.Team, 1)
	r.unsent[vm][i]++
	r.follow(now, first, i, returns, gate, ticket, gate.Enter(loadStart.Add(now), ticket, r.room(), r.random.Float64))
}

// follow does what the gate decided.
func (r *run) follow(now, first time.Duration, i, returns int, gate *Gate, ticket *Ticket, d Decision) {
	switch d.Action {
	case Go:
		r.send(now, first, i, returns)
	case Wait:
		until := d.Until.Sub(loadStart)
		if until > first+r.timeout || until <= now {
			r.t.Fatalf("a request of rank %d waits from %s to %s, its deadline is at %s", r.streams[i].rank, now, until, first+r.timeout)
		}
		r.at(until, func(now time.Duration) {
			r.follow(now, first, i, returns, gate, ticket, gate.Recheck(loadStart.Add(now), ticket, r.room(), r.random.Float64))
		})
	case Reject:
		r.comeBack(now, first, i, returns, d.RetryAfter)
	}
}

// comeBack lets the caller of a rejected request try again.
func (r *run) comeBack(now, first time.Duration, i, returns int, after time.Duration) {
	if at := now + after; returns < loadReturns && at < first+r.timeout {
		r.at(at, func(now time.Duration) { r.try(now, first, i, returns+1) })
	}
}

// send sends a request to the less busy of two servers.
func (r *run) send(now, first time.Duration, i, returns int) {
	server := r.random.IntN(r.servers)
	if other := r.random.IntN(r.servers); r.busy[other] < r.busy[server] {
		server = other
	}
	ahead := r.busy[server]
	if ahead >= loadSlots+loadQueue {
		r.comeBack(now, first, i, returns, 300*time.Millisecond)
		return
	}
	r.busy[server]++
	// The queue moves on by loadSlots requests in each service time.
	wait := time.Duration(max(ahead-loadSlots+1, 0)) * loadServiceTime / loadSlots
	r.at(now+wait+loadServiceTime, func(now time.Duration) {
		r.busy[server]--
		if took := now - first; first > loadWarmUp && took <= r.timeout {
			r.results[i].served++
			if took <= r.target {
				r.results[i].inTime++
			}
		}
	})
}

// room returns the room as the VMs know it.
func (r *run) room() Room {
	return Room{Slots: float64(loadSlots * r.servers), InFlight: float64(r.known)}
}

// capacity returns the requests a second that the servers can execute.
func (l load) capacity() float64 {
	return float64(l.servers*loadSlots) / loadServiceTime.Seconds()
}

// shares returns the shares of a stream's requests that were served, and in time.
func (c tallied) shares() (served, inTime float64) {
	return c.served / max(c.sent, 1), c.inTime / max(c.sent, 1)
}

// total sums up results.
func total(results []tallied) (sum tallied) {
	for _, c := range results {
		sum.sent += c.sent
		sum.served += c.served
		sum.inTime += c.inTime
	}
	return sum
}

// checkRanks fails if a rank is served less often than a less urgent one, or a rank less
// than a quarter as often as all.
func checkRanks(t *testing.T, name string, results []tallied) {
	t.Helper()
	all, _ := total(results).shares()
	previous := 1.0
	for i, c := range results {
		served, inTime := c.shares()
		t.Logf("%s: rank %d: %.0f sent, %.3f served, %.3f in time", name, i, c.sent, served, inTime)
		if served > previous+0.03 {
			t.Errorf("%s: rank %d is served with a share of %.3f, the next more urgent one with %.3f", name, i, served, previous)
		}
		if served < 0.25*all {
			t.Errorf("%s: rank %d is served with a share of %.3f, all with %.3f", name, i, served, all)
		}
		previous = served
	}
}

// Guards against urgent callers that wait behind less urgent ones while a service has room
// for half of what is asked, and against a rank that is shut out.
func TestUrgentRequestsAreServedWhileThereIsRoomForHalf(t *testing.T) {
	for _, size := range []struct{ vms, servers int }{{36, 10}, {137, 40}} {
		for name, parts := range map[string][3]float64{
			"even": {0.66, 0.66, 0.66}, "burst of the least urgent": {0.4, 0.4, 1.2}, "burst of the middle rank": {0.4, 1.2, 0.4},
		} {
			l := load{vms: size.vms, servers: size.servers, target: 600 * time.Millisecond, timeout: 2 * time.Second}
			for rank, part := range parts {
				l.streams = append(l.streams, stream{rank: contract.Rank(rank), perSecond: part * l.capacity()})
			}
			label := fmt.Sprintf("%d VMs, %s", size.vms, name)
			today := l.play(t, 1)
			l.held = true
			results := l.play(t, 1)
			checkRanks(t, label, results)
			_, before := today[0].shares()
			if _, after := results[0].shares(); after < 0.85 || after < before+0.3 {
				t.Errorf("%s: %.3f of the most urgent requests are served in time, %.3f by servers' queues alone", label, after, before)
			}
			_, beforeAll := total(today).shares()
			if _, afterAll := total(results).shares(); afterAll < beforeAll {
				t.Errorf("%s: %.3f of all requests are served in time, %.3f by servers' queues alone", label, afterAll, beforeAll)
			}
		}
	}
}

// Guards against a burst of the largest team that takes the room of the others: of the other
// teams, each is served nearly as often as without the burst, also those with less urgent
// requests, and the team keeps its share.
func TestBurstOfOneTeamCostsThatTeam(t *testing.T) {
	const teams = 6
	for _, size := range []struct{ vms, servers int }{{36, 10}, {137, 40}} {
		for _, burst := range []float64{3, 8} {
			l := load{vms: size.vms, servers: size.servers, target: 600 * time.Millisecond, timeout: 2 * time.Second, held: true}
			usual := l.capacity() * 0.7 / (teams + 2)
			for i := range teams {
				s := stream{rank: contract.Rank(i % 3), team: contract.TeamID(fmt.Sprint("team-", i)), perSecond: usual, entitlement: 1.6 * usual}
				if i == 0 { // the largest one, with urgent requests
					s.perSecond, s.entitlement = 3*usual*burst, 3*1.6*usual
				}
				l.streams = append(l.streams, s)
			}
			results := l.play(t, 1)
			for i, c := range results {
				served, inTime := c.shares()
				t.Logf("%d VMs, burst of %v: team %d: %.0f sent, %.3f served, %.3f in time", size.vms, burst, i, c.sent, served, inTime)
				if i > 0 && served < 0.95 {
					t.Errorf("%d VMs, burst of %v: team %d is served with a share of %.3f", size.vms, burst, i, served)
				}
			}
			entitled := 3 * usual * loadTime.Seconds() * (1 - loadWarmUp.Seconds()/loadTime.Seconds())
			if results[0].served < 0.9*entitled {
				t.Errorf("%d VMs, burst of %v: the team has %.0f requests served, at its usual it had %.0f", size.vms, burst, results[0].served, entitled)
			}
		}
	}
}

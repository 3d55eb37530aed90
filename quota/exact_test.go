package quota

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"almondstile/contract"
	_ "almondstile/standin/seeded" // fixes the seed of rapid
	"almondstile/vm"

	"pgregory.net/rapid"
)

const simTeam BucketID = "t"

var epoch = time.Unix(1_000_000, 0)

// simFleet has two entry VMs whose clocks drift and three VMs that hold the
// home role in turn. Its network delays, duplicates, reorders and loses
// messages. The field now is the clock of the homes.
type simFleet struct {
	// random chooses the schedule. The generators of rapid prefer small
	// values, so most of their schedules would consist of home changes.
	random     *rand.Rand
	now        time.Time
	version    uint64
	holder     int       // index of the acting home, or -1
	since      time.Time // when the acting home got the role
	index      *contract.Index
	homes      []*Homes
	entries    []*simEntry
	network    []func()
	limits     []simRateLimit
	admitted   []time.Time
	handedOver int
}

type simRateLimit struct {
	RateLimit
	inEffectUntil time.Time // when the loans granted under the limit have expired
}

type simEntry struct {
	clockRate    float64
	allowance    Allowance
	takes        int
	lastTake     time.Time
	takeInFlight bool
}

// simMember implements Members for one home VM.
type simMember struct {
	fleet *simFleet
	self  int
}

func (m simMember) List() vm.MemberList { return vm.MemberList{Version: m.fleet.version} }

func (m simMember) MayAct(time.Time, vm.Role) (time.Time, bool) {
	return m.fleet.since, m.fleet.holder == m.self
}

func (f *simFleet) Index() *contract.Index { return f.index }

func (f *simFleet) setRateLimit(rate float64, burst int) {
	if n := len(f.limits); n > 0 {
		f.limits[n-1].inEffectUntil = f.now.Add(reclaimAfter)
	}
	f.limits = append(f.limits, simRateLimit{RateLimit{rate, burst}, epoch.Add(1e6 * time.Hour)})
	f.index = contract.NewIndex(&contract.Configuration{Teams: []contract.Team{
		{ID: contract.TeamID(simTeam), RatePerSecond: rate, Burst: burst},
	}})
}

func (e *simEntry) clock(now time.Time) time.Time {
	return epoch.Add(time.Duration(float64(now.Sub(epoch)) * e.clockRate))
}

// maxRateLimit returns the largest rate and burst in effect at any time from
// start on.
func (f *simFleet) maxRateLimit(start time.Time) (rate float64, burst int) {
	for _, limit := range f.limits {
		if !limit.inEffectUntil.Before(start) {
			rate, burst = max(rate, limit.RatePerSecond), max(burst, limit.Burst)
		}
	}
	return rate, burst
}

// admit records an admission and checks every window that ends with it.
func (f *simFleet) admit(t *rapid.T) {
	f.admitted = append(f.admitted, f.now)
	for i, start := range f.admitted {
		rate, burst := f.maxRateLimit(start)
		count, seconds := len(f.admitted)-i, f.now.Sub(start).Seconds()
		if float64(count) > float64(burst)+rate*seconds+1e-9 {
			t.Fatalf("%d admitted in %v, rate %v, burst %d", count, f.now.Sub(start), rate, burst)
		}
	}
}

func (f *simFleet) request(t *rapid.T, from int) {
	e := f.entries[from]
	localNow := e.clock(f.now)
	e.allowance.Observe(localNow)
	if report, ok := e.allowance.Use(localNow, simTeam); ok {
		f.sendReports([]LoanReport{report})
		f.admit(t)
		return
	}
	if e.takeInFlight && f.now.Sub(e.lastTake) < callTimeout && f.random.IntN(20) > 0 {
		return
	}
	e.takeInFlight, e.lastTake = true, f.now
	needed, wanted := e.allowance.NextTakeSize(localNow, pick(f, []int{1, 3, 40}))
	e.takes++
	f.sendTake(e, TakeRequest{
		RequestID: fmt.Sprint(from, "/", e.takes), Bucket: simTeam, Needed: needed,
		Wanted: wanted + pick(f, []int{0, 0, 5, 40}),
	}, localNow, pick(f, simFaults))
}

// sendTake sends a take to the home. Fault 0 sends a duplicate, 1 makes the
// entry VM give up and return the loan, and 2 pauses the home between its
// role check and the grant.
func (f *simFleet) sendTake(e *simEntry, r TakeRequest, sent time.Time, fault int) {
	finished := false
	deliver := func() {
		if f.holder < 0 {
			return
		}
		home, now := f.homes[f.holder], f.now
		held, ok := home.heldRole(now, simTeam)
		limit, _ := home.rateLimit(simTeam)
		finish := func() {
			reply, _ := home.lend(now, held, limit, "", r)
			f.network = append(f.network, func() {
				if !finished {
					e.allowance.Add(r.RequestID, sent, reply.Granted, reply.validFor())
				}
				finished, e.takeInFlight = true, false
			})
		}
		if ok && fault == 2 {
			f.network = append(f.network, finish)
		} else if ok {
			finish()
		}
	}
	f.network = append(f.network, deliver)
	if fault == 0 {
		f.network = append(f.network, deliver)
	}
	if fault == 1 {
		finished = true
		f.sendReports([]LoanReport{{Bucket: simTeam, LoanID: r.RequestID}})
	}
}

func (f *simFleet) sendReports(reports []LoanReport) {
	if len(reports) == 0 {
		return
	}
	f.network = append(f.network, func() {
		if f.holder >= 0 {
			f.homes[f.holder].Return(f.now, ReturnRequest{Reports: reports})
		}
	})
}

// moveHome moves the home role to another VM, to none, or makes the same VM
// lose it and get it again.
func (f *simFleet) moveHome() {
	old, next := f.holder, pick(f, []int{-1, 0, 0, 1, 1, 2, 2})
	if next == old && f.random.IntN(2) == 0 {
		f.since = f.now
		return
	}
	if old >= 0 && next >= 0 && next != old && f.random.IntN(2) == 0 {
		list := vm.MemberList{Version: f.version + 1, VMs: []vm.VM{{ID: vm.ID(fmt.Sprint(next))}}}
		for _, handovers := range f.homes[old].PrepareHandover(f.now, list, vm.ID(fmt.Sprint(old))) {
			f.handedOver++
			receive := func() { f.homes[next].ReceiveHandover(f.now, HandoverRequest{Buckets: handovers}) }
			f.network = append(f.network, receive, receive)
		}
	}
	f.version++
	f.holder, f.since = next, f.now
}

// simActions lists each action as often as its weight.
var simActions = strings.Fields("move move move move limits pause pause pause burst burst burst burst refresh idle idle" +
	strings.Repeat(" deliver", 150) + strings.Repeat(" request", 110))

func pick[T any](f *simFleet, from []T) T { return from[f.random.IntN(len(from))] }

// simFaults lists what happens to a message: 0, 1 and 2 are faults, the
// others none.
var simFaults = []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9}

// deliver delivers or loses one message, usually one of the oldest.
func (f *simFleet) deliver() {
	if len(f.network) == 0 {
		return
	}
	i := f.random.IntN(min(len(f.network), pick(f, []int{2, 2, 2, 8, 1000})))
	m := f.network[i]
	f.network = append(f.network[:i:i], f.network[i+1:]...)
	if pick(f, simFaults) != 1 {
		m()
	}
}

func (f *simFleet) step(t *rapid.T) {
	switch pick(f, simActions) {
	case "move":
		f.moveHome()
	case "limits":
		f.setRateLimit(pick(f, []float64{0, 2, 7.3, 100}), 1+f.random.IntN(40))
	case "pause":
		f.now = f.now.Add(time.Duration(pick(f, []int{100, 400, 1200, 1700, 1950, 2150, 2250, 6000})) * time.Millisecond)
	case "refresh":
		if f.holder >= 0 {
			f.homes[f.holder].Refresh(f.now)
		}
	case "idle":
		e := f.entries[f.random.IntN(2)]
		f.sendReports(e.allowance.CloseIdle(e.clock(f.now), simTeam, nil))
		if f.random.IntN(2) == 0 { // a recall
			f.sendReports(e.allowance.CloseAll(e.clock(f.now), simTeam))
		}
	case "deliver":
		for range pick(f, []int{1, 2, 40}) {
			f.deliver()
		}
	case "burst":
		for range 40 {
			f.request(t, f.random.IntN(2))
		}
	default:
		f.now = f.now.Add(time.Duration(pick(f, []int{0, 1, 900, 4_000, 15_000, 90_000})) * time.Microsecond)
		f.request(t, f.random.IntN(2))
	}
}

// Guards promise P5: no window of t seconds may admit more than burst + rate
// × t. The schedules lose, delay, duplicate and reorder messages, pause VMs,
// let clocks drift, change the rate limit, and move the home with or without
// a handover.
func TestAdmissionsNeverExceedRateAndBurst(t *testing.T) {
	t.Parallel()
	admitted, handedOver := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		f := &simFleet{random: rand.New(rand.NewPCG(seed, 1)), now: epoch, version: 1}
		f.setRateLimit(20, 10)
		for i := range 3 {
			f.homes = append(f.homes, NewHomes(simMember{f, i}, f, nil, nil))
		}
		for range 2 {
			f.entries = append(f.entries, &simEntry{clockRate: rapid.Float64Range(0.9, 1.1).Draw(t, "drift")})
		}
		f.since = f.now
		f.now = f.now.Add(5 * time.Second)
		for range rapid.IntRange(4000, 8000).Draw(t, "steps") {
			f.step(t)
		}
		admitted += len(f.admitted)
		handedOver += f.handedOver
	})
	t.Logf("%d requests admitted, %d buckets handed over", admitted, handedOver)
	if admitted == 0 || handedOver == 0 {
		t.Fatal("the schedules admitted nothing or handed nothing over")
	}
}

// Guards against refused requests after a planned move of the home. The next
// home must continue with the level and the open loans of the previous one,
// and must apply a handover only once.
func TestHandoverKeepsTheLevel(t *testing.T) {
	t.Parallel()
	f := &simFleet{now: epoch, since: epoch, version: 1}
	f.setRateLimit(0.001, 10)
	for i := range 2 {
		f.homes = append(f.homes, NewHomes(simMember{f, i}, f, nil, nil))
	}
	f.now = f.now.Add(10_003 * time.Second)
	f.homes[0].Take(f.now, "e", TakeRequest{RequestID: "1", Bucket: simTeam, Needed: 4})
	next := vm.MemberList{Version: 2, VMs: []vm.VM{{ID: "1"}}}
	handover := HandoverRequest{Buckets: f.homes[0].PrepareHandover(f.now, next, "0")["1"]}
	if r := f.homes[0].Take(f.now, "e", TakeRequest{RequestID: "2", Bucket: simTeam, Needed: 1}); r.Status != StatusNotHome {
		t.Fatalf("the previous home still lends tokens: %+v", r)
	}
	f.homes[1].ReceiveHandover(f.now, handover)
	f.version, f.holder, f.since = 2, 1, f.now
	f.homes[1].Return(f.now, ReturnRequest{Reports: []LoanReport{{Bucket: simTeam, LoanID: "1", Used: 1}}})
	if r := f.homes[1].Take(f.now, "e", TakeRequest{RequestID: "3", Bucket: simTeam, Needed: 10}); r.Granted != 9 {
		t.Fatalf("the next home lent %d tokens, want 9", r.Granted)
	}
	f.homes[1].ReceiveHandover(f.now, handover)
	if r := f.homes[1].Take(f.now, "e", TakeRequest{RequestID: "4", Bucket: simTeam, Needed: 10}); r.Granted != 0 {
		t.Fatalf("a repeated handover added %d tokens", r.Granted)
	}
}

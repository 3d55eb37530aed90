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

// simFleet has two entry VMs whose clocks drift, three VMs that take turns as
// the home, and a network that delays, repeats, reorders and loses messages.
// Time is the homes' clock.
type simFleet struct {
	// random drives the schedule. rapid's own generators prefer small values,
	// so that most schedules would consist of changes of the home.
	random   *rand.Rand
	now      time.Time
	version  uint64
	holder   int       // index of the acting home, or -1
	since    time.Time // of the acting home
	index    *contract.Index
	homes    []*Homes
	entries  []*simEntry
	network  []func()
	terms    []simTerms
	admitted []time.Time
	handed   int
}

type simTerms struct {
	RateLimit
	until time.Time // loans lent under the terms have expired
}

type simEntry struct {
	drift     float64
	allowance Allowance
	takes     int
	lastTake  time.Time
	flying    bool
}

// simMember is the view of one VM on the fleet.
type simMember struct {
	fleet *simFleet
	self  int
}

func (m simMember) List() vm.MemberList { return vm.MemberList{Version: m.fleet.version} }

func (m simMember) MayAct(time.Time, vm.Role) (time.Time, bool) {
	return m.fleet.since, m.fleet.holder == m.self
}

func (f *simFleet) Index() *contract.Index { return f.index }

func (f *simFleet) setTerms(rate float64, burst int) {
	if n := len(f.terms); n > 0 {
		f.terms[n-1].until = f.now.Add(reclaimAfter)
	}
	f.terms = append(f.terms, simTerms{RateLimit{rate, burst}, epoch.Add(1e6 * time.Hour)})
	f.index = contract.NewIndex(&contract.Configuration{Teams: []contract.Team{
		{ID: contract.TeamID(simTeam), RatePerSecond: rate, Burst: burst},
	}})
}

func (e *simEntry) clock(now time.Time) time.Time {
	return epoch.Add(time.Duration(float64(now.Sub(epoch)) * e.drift))
}

// bound returns the largest rate and burst in force at any time from start on.
func (f *simFleet) bound(start time.Time) (rate float64, burst int) {
	for _, terms := range f.terms {
		if !terms.until.Before(start) {
			rate, burst = max(rate, terms.RatePerSecond), max(burst, terms.Burst)
		}
	}
	return rate, burst
}

// admit records an admission and checks every window that ends with it.
func (f *simFleet) admit(t *rapid.T) {
	f.admitted = append(f.admitted, f.now)
	for i, start := range f.admitted {
		rate, burst := f.bound(start)
		count, seconds := len(f.admitted)-i, f.now.Sub(start).Seconds()
		if float64(count) > float64(burst)+rate*seconds+1e-9 {
			t.Fatalf("%d admitted in %v, rate %v, burst %d", count, f.now.Sub(start), rate, burst)
		}
	}
}

func (f *simFleet) request(t *rapid.T, from int) {
	e := f.entries[from]
	local := e.clock(f.now)
	e.allowance.Observe(local)
	if report, ok := e.allowance.Use(local, simTeam); ok {
		f.send([]LoanReport{report})
		f.admit(t)
		return
	}
	if e.flying && f.now.Sub(e.lastTake) < callTimeout && f.random.IntN(20) > 0 {
		return
	}
	e.flying, e.lastTake = true, f.now
	needed, wanted := e.allowance.NextTakeSize(local, pick(f, []int{1, 3, 40}))
	e.takes++
	f.take(e, TakeRequest{
		RequestID: fmt.Sprint(from, "/", e.takes), Bucket: simTeam, Needed: needed,
		Wanted: wanted + pick(f, []int{0, 0, 5, 40}),
	}, local, pick(f, simFates))
}

// take sends a take to the home, which may be paused between its check of the
// role and the rest; a fate of 0 sends a second copy, 1 cancels the loan too.
func (f *simFleet) take(e *simEntry, r TakeRequest, sent time.Time, fate int) {
	answered := false
	deliver := func() {
		if f.holder < 0 {
			return
		}
		home, now := f.homes[f.holder], f.now
		held, ok := home.role(now, simTeam)
		terms, _ := home.terms(simTeam)
		finish := func() {
			reply, _ := home.lend(now, held, terms, "", r)
			f.network = append(f.network, func() {
				if !answered {
					e.allowance.Add(r.RequestID, sent, reply.Granted, reply.validFor())
				}
				answered, e.flying = true, false
			})
		}
		if ok && fate == 2 {
			f.network = append(f.network, finish)
		} else if ok {
			finish()
		}
	}
	f.network = append(f.network, deliver)
	if fate == 0 {
		f.network = append(f.network, deliver)
	}
	if fate == 1 {
		answered = true
		f.send([]LoanReport{{Bucket: simTeam, LoanID: r.RequestID}})
	}
}

func (f *simFleet) send(closed []LoanReport) {
	if len(closed) == 0 {
		return
	}
	f.network = append(f.network, func() {
		if f.holder >= 0 {
			f.homes[f.holder].Return(f.now, ReturnRequest{Reports: closed})
		}
	})
}

// moveHome lets the role go to another VM, or lapse and come back to the same.
func (f *simFleet) moveHome() {
	old, next := f.holder, pick(f, []int{-1, 0, 0, 1, 1, 2, 2})
	if next == old && f.random.IntN(2) == 0 {
		f.since = f.now
		return
	}
	if old >= 0 && next >= 0 && next != old && f.random.IntN(2) == 0 {
		list := vm.MemberList{Version: f.version + 1, VMs: []vm.VM{{ID: vm.ID(fmt.Sprint(next))}}}
		for _, given := range f.homes[old].PrepareHandover(f.now, list, vm.ID(fmt.Sprint(old))) {
			f.handed++
			receive := func() { f.homes[next].ReceiveHandover(f.now, HandoverRequest{Buckets: given}) }
			f.network = append(f.network, receive, receive)
		}
	}
	f.version++
	f.holder, f.since = next, f.now
}

// simActions weights the actions.
var simActions = strings.Fields("move move move move terms pause pause pause burst burst burst burst refresh idle idle" +
	strings.Repeat(" deliver", 150) + strings.Repeat(" request", 110))

func pick[T any](f *simFleet, from []T) T { return from[f.random.IntN(len(from))] }

// simFates weights what happens to a message: 0, 1 and 2 are faults.
var simFates = []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9}

// deliver delivers or loses one message, mostly one of the oldest.
func (f *simFleet) deliver() {
	if len(f.network) == 0 {
		return
	}
	i := f.random.IntN(min(len(f.network), pick(f, []int{2, 2, 2, 8, 1000})))
	m := f.network[i]
	f.network = append(f.network[:i:i], f.network[i+1:]...)
	if pick(f, simFates) != 1 {
		m()
	}
}

func (f *simFleet) step(t *rapid.T) {
	switch pick(f, simActions) {
	case "move":
		f.moveHome()
	case "terms":
		f.setTerms(pick(f, []float64{0, 2, 7.3, 100}), 1+f.random.IntN(40))
	case "pause":
		f.now = f.now.Add(time.Duration(pick(f, []int{100, 400, 1200, 1700, 1950, 2150, 2250, 6000})) * time.Millisecond)
	case "refresh":
		if f.holder >= 0 {
			f.homes[f.holder].Refresh(f.now)
		}
	case "idle":
		e := f.entries[f.random.IntN(2)]
		f.send(e.allowance.CloseIdle(e.clock(f.now), simTeam, nil))
		if f.random.IntN(2) == 0 { // a recall
			f.send(e.allowance.CloseAll(e.clock(f.now), simTeam))
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

// Guards P5: admitting more than burst + rate × t in any window, under lost,
// late, repeated and reordered messages, paused VMs, drifting clocks, changed
// terms and homes that move with or without a handover.
func TestAdmissionsNeverExceedRateAndBurst(t *testing.T) {
	admitted, handed := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		f := &simFleet{random: rand.New(rand.NewPCG(seed, 1)), now: epoch, version: 1}
		f.setTerms(20, 10)
		for i := range 3 {
			f.homes = append(f.homes, NewHomes(simMember{f, i}, f, nil, nil))
		}
		for range 2 {
			f.entries = append(f.entries, &simEntry{drift: rapid.Float64Range(0.9, 1.1).Draw(t, "drift")})
		}
		f.since = f.now
		f.now = f.now.Add(5 * time.Second)
		for range rapid.IntRange(4000, 8000).Draw(t, "steps") {
			f.step(t)
		}
		admitted += len(f.admitted)
		handed += f.handed
	})
	t.Logf("%d requests admitted, %d buckets handed over", admitted, handed)
	if admitted == 0 || handed == 0 {
		t.Fatal("the schedules exercised nothing")
	}
}

// Guards against refusals after a planned move of the home: the next home must
// go on from the level and the open loans of the previous one, and only once.
func TestHandoverKeepsTheLevel(t *testing.T) {
	f := &simFleet{now: epoch, since: epoch, version: 1}
	f.setTerms(0.001, 10)
	for i := range 2 {
		f.homes = append(f.homes, NewHomes(simMember{f, i}, f, nil, nil))
	}
	f.now = f.now.Add(10_003 * time.Second)
	f.homes[0].Take(f.now, "e", TakeRequest{RequestID: "1", Bucket: simTeam, Needed: 4})
	next := vm.MemberList{Version: 2, VMs: []vm.VM{{ID: "1"}}}
	given := HandoverRequest{Buckets: f.homes[0].PrepareHandover(f.now, next, "0")["1"]}
	if r := f.homes[0].Take(f.now, "e", TakeRequest{RequestID: "2", Bucket: simTeam, Needed: 1}); r.Status != StatusNotHome {
		t.Fatalf("the giver still lends: %+v", r)
	}
	f.homes[1].ReceiveHandover(f.now, given)
	f.version, f.holder, f.since = 2, 1, f.now
	f.homes[1].Return(f.now, ReturnRequest{Reports: []LoanReport{{Bucket: simTeam, LoanID: "1", Used: 1}}})
	if r := f.homes[1].Take(f.now, "e", TakeRequest{RequestID: "3", Bucket: simTeam, Needed: 10}); r.Granted != 9 {
		t.Fatalf("the next home lent %d of 9 tokens", r.Granted)
	}
	f.homes[1].ReceiveHandover(f.now, given)
	if r := f.homes[1].Take(f.now, "e", TakeRequest{RequestID: "4", Bucket: simTeam, Needed: 10}); r.Granted != 0 {
		t.Fatalf("a repeated handover brought %d tokens", r.Granted)
	}
}

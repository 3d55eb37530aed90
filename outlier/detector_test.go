package outlier

import (
	"context"
	"math"
	"slices"
	"testing"
	"time"

	"almondstile/backend"
	"almondstile/request"
	_ "almondstile/standin/seeded" // fixes the seed of rapid

	"pgregory.net/rapid"
)

// maxReplyDelay is how late a verdict may reach its owner; later ones are lost.
const maxReplyDelay = reportTimeout

// ownedServer is a server as its owner has it, which may be ahead of every home.
type ownedServer struct {
	terms   ServerConfig
	home    int
	warm    bool
	coldAt  time.Time // when it last went cold by itself
	verdict ServerHealth
	from    time.Time
	bad     bool
	pending *ReportReply
	// reported is the standing in the report that pending answers.
	reported backend.HealthState
	sent     time.Time
	deliver  time.Time
}

func (s *ownedServer) standing(now time.Time) backend.HealthState {
	if now.Sub(s.from) >= duration(s.verdict.GrantMillis) {
		return backend.Normal
	}
	return s.verdict.State
}

func (s *ownedServer) healthy(now time.Time) bool {
	standing := s.standing(now)
	return s.warm && (standing == backend.Normal || standing == backend.LowWeight)
}

// floorRun drives owners that move one by one from home to home. Reports may
// claim anything; replies come late or not at all.
type floorRun struct {
	now     time.Time
	terms   ServiceConfig
	homes   []*Detector
	servers []*ownedServer
	ejected int
}

func newFloorRun(t *rapid.T) *floorRun {
	f := &floorRun{now: simStart, terms: ServiceConfig{FloorShare: rapid.SampledFrom([]float64{0, 0.4, 0.5, 0.75, 0.9}).Draw(t, "floor")}}
	for i := rapid.IntRange(2, 8).Draw(t, "servers"); i > 0; i-- {
		terms := ServerConfig{ID: serverID(i), Slots: rapid.IntRange(1, 4).Draw(t, "slots"), AcceptsNewRequests: true}
		f.terms.Servers = append(f.terms.Servers, terms)
		f.servers = append(f.servers, &ownedServer{terms: terms, warm: true})
	}
	for i := 0; i < 3; i++ {
		f.homes = append(f.homes, NewDetector(Ablation{}))
	}
	return f
}

func (f *floorRun) report(t *rapid.T, s *ownedServer) {
	counts, micros := backend.Counts{OK: 6}, int64(20_000)
	if s.bad {
		counts = backend.Counts{OK: rapid.IntRange(0, 6).Draw(t, "ok"), ErrorStatus: rapid.IntRange(0, 8).Draw(t, "errors"),
			Truncated: rapid.IntRange(0, 3).Draw(t, "truncated")}
		micros = int64(rapid.IntRange(1, 10).Draw(t, "slower")) * micros
	}
	r := ServerReport{Server: s.terms.ID, Counts: counts, Warm: s.warm, ConcurrencyLimit: s.terms.Slots,
		Latencies: []Latency{{micros, int64(counts.OK + counts.ErrorStatus)}}}
	s.reported = s.standing(f.now)
	if standing := s.reported; standing != backend.Normal {
		age := f.now.Sub(s.from)
		r.Health = &ServerHealth{State: standing, EjectionCount: s.verdict.EjectionCount,
			GrantMillis:   s.verdict.GrantMillis - age.Milliseconds(),
			EjectedMillis: max(0, s.verdict.EjectedMillis-age.Milliseconds())}
	}
	reply := f.homes[s.home].answer(f.now, Report{Servers: []ServerReport{r}}, f.terms)
	s.pending, s.sent = &reply, f.now
	s.deliver = f.now.Add(time.Duration(rapid.IntRange(0, 2*int(maxReplyDelay.Milliseconds())).Draw(t, "delay")) * time.Millisecond)
	if s.deliver.Sub(f.now) > maxReplyDelay {
		s.pending = nil
	}
}

func (f *floorRun) deliver(t *rapid.T, s *ownedServer) {
	before := s.standing(f.now)
	reply := s.pending
	next := ServerHealth{}
	if len(reply.Health) > 0 {
		next = reply.Health[0]
	}
	if lapsed(s.reported, before, next.State) {
		return
	}
	s.verdict, s.from = next, s.sent
	after := s.standing(f.now)
	if after == backend.Ejected && before != backend.Ejected {
		f.ejected++
		f.checkFloor(t)
	}
	if before == backend.Ejected && after != backend.Ejected {
		s.warm = false
	}
}

// checkFloor counts what the owners know. A server that went cold by itself a
// moment ago counts, because no home can know it yet.
func (f *floorRun) checkFloor(t *rapid.T) {
	healthy, configured := 0, 0
	for _, s := range f.servers {
		configured += s.terms.Slots
		justCold := !s.coldAt.IsZero() && f.now.Sub(s.coldAt) <= freshTime+maxReplyDelay
		if s.healthy(f.now) || justCold {
			healthy += s.terms.Slots
		}
	}
	const rounding = 1e-9
	if float64(healthy)+rounding < f.terms.FloorShare*float64(configured) {
		t.Fatalf("an ejection left %d of %d slots healthy, floor share %v", healthy, configured, f.terms.FloorShare)
	}
}

func (f *floorRun) step(t *rapid.T) {
	previous := f.now
	f.now = f.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
	for _, s := range f.servers {
		if s.standing(previous) == backend.Ejected && s.standing(f.now) != backend.Ejected {
			s.warm = false // the grant ran out
		}
		if s.pending != nil && !f.now.Before(s.deliver) {
			if f.now.Sub(s.sent) <= maxReplyDelay {
				f.deliver(t, s)
			}
			s.pending = nil
		}
	}
	s := rapid.SampledFrom(f.servers).Draw(t, "server")
	switch rapid.IntRange(0, 11).Draw(t, "what") {
	case 0:
		s.bad = !s.bad
	case 1:
		if s.healthy(f.now) {
			s.warm, s.coldAt = false, f.now
		}
	case 2, 3:
		s.warm = s.standing(f.now) == backend.Normal || s.warm
	case 4:
		if s.pending == nil && s.home < len(f.homes)-1 {
			s.home++
		}
	default:
		for _, s := range f.servers {
			if s.pending == nil && rapid.IntRange(0, 2).Draw(t, "reports") > 0 {
				f.report(t, s)
			}
		}
	}
}

// Guards against ejections below the floor whatever the reports claim, with
// late and lost verdicts and several homes at once while roles move.
func TestFloorHolds(t *testing.T) {
	ejected := 0
	rapid.Check(t, func(t *rapid.T) {
		f := newFloorRun(t)
		for n := rapid.IntRange(50, 300).Draw(t, "steps"); n > 0; n-- {
			f.step(t)
		}
		ejected += f.ejected
	})
	t.Logf("%d ejections, none below the floor", ejected)
	if ejected == 0 {
		t.Error("the schedules ejected nobody, so they tested nothing")
	}
}

// Guards against ejections that never end, that do not grow with relapses, and
// against servers that stay out after they recover.
func TestRelapsesDoubleAndRecoveryReturns(t *testing.T) {
	d, now := NewDetector(Ablation{}), simStart
	terms := ServiceConfig{FloorShare: 0.5}
	for i := 0; i < simServers; i++ {
		terms.Servers = append(terms.Servers, ServerConfig{ID: serverID(i), Slots: 3, AcceptsNewRequests: true})
	}
	standing := backend.Normal
	step := func(bad bool) {
		now = now.Add(ReportInterval)
		for i, s := range terms.Servers {
			r := ServerReport{Server: s.ID, Counts: backend.Counts{OK: 5}, Warm: true, Latencies: []Latency{{20_000, 5}}}
			if i == 0 {
				if bad {
					r.Counts = backend.Counts{ErrorStatus: 5}
				}
				if standing == backend.Ejected {
					r.Counts, r.Latencies = backend.Counts{}, nil
				}
				r.Health = &ServerHealth{State: standing}
			}
			d.Observe(now, r)
		}
		d.Decide(now, terms)
		standing = d.Health(now, terms.Servers[0].ID).State
	}
	var lengths []time.Duration
	since := now
	for i := 0; i < 1000; i++ {
		before := standing
		step(true)
		if before != backend.Ejected && standing == backend.Ejected {
			since = now
		} else if before == backend.Ejected && standing != backend.Ejected {
			lengths = append(lengths, now.Sub(since))
		}
	}
	want := []time.Duration{5, 10, 20, 40, 80, 120, 120}
	if len(lengths) < len(want) {
		t.Fatalf("ejections of %v", lengths)
	}
	for i := range want {
		if lengths[i] != want[i]*time.Second {
			t.Fatalf("ejections of %v, want %v seconds", lengths, want)
		}
	}
	for i := 0; i < 300 && standing != backend.Normal; i++ {
		step(false)
	}
	if standing != backend.Normal {
		t.Fatalf("the recovered server is %q", standing)
	}
}

// Guards against a lost home that leaves grants in force for good, and against
// a new home that forgets them.
func TestHomeChangeKeepsAndEndsGrants(t *testing.T) {
	f := newFleet(7, Ablation{}, fault{server: 2, from: simWarmup, until: time.Hour, errors: 1})
	f.run(simWarmup + 4*time.Second)
	owner := f.owner(2)
	st, _ := owner.servers.Status(f.now, serverID(2))
	if st.HealthState != backend.Ejected {
		t.Fatalf("the faulty server is %q", st.HealthState)
	}
	if late, _ := owner.servers.Status(f.now.Add(GrantDuration), serverID(2)); late.HealthState == backend.Ejected {
		t.Fatal("the ejection outlived its grant without a home")
	}
	fresh := NewDetector(Ablation{})
	report := reportOf(&st)
	report.Health = owner.reporter.inForce(f.now, &st)
	terms, _ := ServiceConfigOf(f.index, simService)
	if report.Health == nil {
		t.Fatal("the owner does not report the verdict in force")
	}
	reply := fresh.answer(f.now, Report{Servers: []ServerReport{report}}, terms)
	if len(reply.Health) != 1 || reply.Health[0].State != report.Health.State ||
		reply.Health[0].GrantMillis > report.Health.GrantMillis {
		t.Fatalf("a new home that knows one server answered %+v to %+v", reply.Health, *report.Health)
	}
}

// Guards against a request that crashes one server after another, and against
// a crash message that counts twice.
func TestCrashQuarantineReachesAllOwners(t *testing.T) {
	f := newFleet(1, Ablation{})
	poison := &request.Request{Team: "harbour", Method: "POST", Target: "/loans", Body: []byte("x")}
	other := &request.Request{Team: "harbour", Method: "POST", Target: "/loans", Body: []byte("y")}
	crash := Crash{Service: simService, Server: serverID(0), Fingerprint: request.FingerprintOf(poison), RequestID: "r1"}
	rejecting := func() (n int) {
		for i := 0; i < simServers; i++ {
			if f.owner(i).reporter.quarantine.Rejects(f.now, other) {
				t.Fatal("another request is rejected")
			}
			if f.owner(i).reporter.quarantine.Rejects(f.now, poison) {
				n++
			}
		}
		return n
	}
	for _, c := range []struct {
		id   string
		want int
	}{{"r1", 0}, {"r1", 0}, {"r2", simServers}} {
		crash.RequestID = c.id
		if err := f.owner(0).reporter.ReportCrash(context.Background(), crash); err != nil {
			t.Fatal(err)
		}
		if n := rejecting(); n != c.want {
			t.Fatalf("after crash %s %d owners reject, want %d", c.id, n, c.want)
		}
	}
	f.now = f.now.Add(QuarantineDuration)
	if n := rejecting(); n != 0 {
		t.Fatalf("%d owners still reject after %v", n, QuarantineDuration)
	}
}

// Guards against a wrong tail: compared with the sum of the definition.
func TestBinomialTail(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 60).Draw(t, "n")
		k := rapid.IntRange(0, 61).Draw(t, "k")
		p := rapid.Float64Range(0, 1).Draw(t, "p")
		want, choose := 0.0, 1.0
		for i := 0; i <= n; i++ {
			if i >= k {
				want += choose * math.Pow(p, float64(i)) * math.Pow(1-p, float64(n-i))
			}
			choose *= float64(n-i) / float64(i+1)
		}
		if got := binomialTail(n, k, p); math.Abs(got-want) > 1e-9 {
			t.Fatalf("n %d, k %d, p %v: %v, want %v", n, k, p, got, want)
		}
	})
}

// Guards against states that are attributed to the wrong servers after a change
// of the configuration.
func TestPackedStates(t *testing.T) {
	terms := ServiceConfig{ConfigVersion: 3, Servers: []ServerConfig{{ID: "a"}, {ID: "b"}, {ID: "c"}}}
	const mostLoad = float64(math.MaxUint8) / packedLoadUnit
	states := []backend.ServerState{{Server: "a", Ejected: true, Load: 1.5}, {Server: "b", LowWeight: true, Warm: true, Load: mostLoad}, {Server: "c", Probing: true}}
	packed := packStates(states)
	if got, ok := unpackStates(terms, 3, packed); !ok || !slices.Equal(got, states) {
		t.Fatalf("%+v became %+v", states, got)
	}
	if _, ok := unpackStates(terms, 4, packed); ok {
		t.Fatal("states of another version were accepted")
	}
}

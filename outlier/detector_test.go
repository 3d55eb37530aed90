package outlier

import (
	"context"
	"math"
	"slices"
	"testing"
	"time"

	"almondstile/backend"
	"almondstile/memory"
	"almondstile/request"
	_ "almondstile/standin/seeded" // fixes the seed of rapid

	"pgregory.net/rapid"
)

// maxReplyDelay is the longest time that a reply may take to its owner. Later
// replies are dropped.
const maxReplyDelay = reportTimeout

// ownedServer is a server as its owner sees it. The owner may have newer information
// than any home.
type ownedServer struct {
	config      ServerConfig
	home        int
	warm        bool
	wentColdAt  time.Time // when it last went cold without an ejection
	health      ServerHealth
	grantedFrom time.Time
	faulty      bool
	pending     *ReportReply
	// reportedState is the health state in the report that pending replies to.
	reportedState backend.HealthState
	sentAt        time.Time
	deliverAt     time.Time
}

func (s *ownedServer) healthState(now time.Time) backend.HealthState {
	if now.Sub(s.grantedFrom) >= duration(s.health.GrantMillis) {
		return backend.Normal
	}
	return s.health.State
}

func (s *ownedServer) healthy(now time.Time) bool {
	state := s.healthState(now)
	return s.warm && (state == backend.Normal || state == backend.LowWeight)
}

// floorSimulation simulates owners that switch one by one from home to home. Reports
// have arbitrary content; replies are late or lost.
type floorSimulation struct {
	now     time.Time
	config  ServiceConfig
	homes   []*Detector
	servers []*ownedServer
	ejected int
}

func newFloorSimulation(t *rapid.T) *floorSimulation {
	f := &floorSimulation{now: simStart, config: ServiceConfig{FloorShare: rapid.SampledFrom([]float64{0, 0.4, 0.5, 0.75, 0.9}).Draw(t, "floor")}}
	for i := rapid.IntRange(2, 8).Draw(t, "servers"); i > 0; i-- {
		config := ServerConfig{ID: serverID(i), Slots: rapid.IntRange(1, 4).Draw(t, "slots"), AcceptsNewRequests: true}
		f.config.Servers = append(f.config.Servers, config)
		f.servers = append(f.servers, &ownedServer{config: config, warm: true})
	}
	for i := 0; i < 3; i++ {
		f.homes = append(f.homes, NewDetector(Ablation{}))
	}
	return f
}

func (f *floorSimulation) report(t *rapid.T, s *ownedServer) {
	counts, micros := backend.Counts{OK: 6}, int64(20_000)
	if s.faulty {
		counts = backend.Counts{OK: rapid.IntRange(0, 6).Draw(t, "ok"), ErrorStatus: rapid.IntRange(0, 8).Draw(t, "errors"),
			Truncated: rapid.IntRange(0, 3).Draw(t, "truncated")}
		micros = int64(rapid.IntRange(1, 10).Draw(t, "slower")) * micros
	}
	r := ServerReport{Server: s.config.ID, Counts: counts, Warm: s.warm, ConcurrencyLimit: s.config.Slots,
		Latencies: []Latency{{micros, int64(counts.OK + counts.ErrorStatus)}}}
	s.reportedState = s.healthState(f.now)
	if state := s.reportedState; state != backend.Normal {
		age := f.now.Sub(s.grantedFrom)
		r.Health = &ServerHealth{State: state, EjectionCount: s.health.EjectionCount,
			GrantMillis:   s.health.GrantMillis - age.Milliseconds(),
			EjectedMillis: max(0, s.health.EjectedMillis-age.Milliseconds())}
	}
	reply := f.homes[s.home].processReport(f.now, Report{Servers: []ServerReport{r}}, f.config)
	s.pending, s.sentAt = &reply, f.now
	s.deliverAt = f.now.Add(time.Duration(rapid.IntRange(0, 2*int(maxReplyDelay.Milliseconds())).Draw(t, "delay")) * time.Millisecond)
	if s.deliverAt.Sub(f.now) > maxReplyDelay {
		s.pending = nil
	}
}

func (f *floorSimulation) deliver(t *rapid.T, s *ownedServer) {
	before := s.healthState(f.now)
	reply := s.pending
	next := ServerHealth{}
	if len(reply.Health) > 0 {
		next = reply.Health[0]
	}
	if ejectionExpired(s.reportedState, before, next.State) {
		return
	}
	s.health, s.grantedFrom = next, s.sentAt
	after := s.healthState(f.now)
	if after == backend.Ejected && before != backend.Ejected {
		f.ejected++
		f.checkFloor(t)
	}
	if before == backend.Ejected && after != backend.Ejected {
		s.warm = false
	}
}

// checkFloor fails the test if the healthy slots, as the owners see them, are below
// the floor. A server that went cold a moment ago without an ejection counts as
// healthy, because no home can know it yet.
func (f *floorSimulation) checkFloor(t *rapid.T) {
	healthy, configured := 0, 0
	for _, s := range f.servers {
		configured += s.config.Slots
		justCold := !s.wentColdAt.IsZero() && f.now.Sub(s.wentColdAt) <= reportFreshTime+maxReplyDelay
		if s.healthy(f.now) || justCold {
			healthy += s.config.Slots
		}
	}
	const rounding = 1e-9
	if float64(healthy)+rounding < f.config.FloorShare*float64(configured) {
		t.Fatalf("an ejection left %d of %d slots healthy, floor share %v", healthy, configured, f.config.FloorShare)
	}
}

func (f *floorSimulation) step(t *rapid.T) {
	previous := f.now
	f.now = f.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
	for _, s := range f.servers {
		if s.healthState(previous) == backend.Ejected && s.healthState(f.now) != backend.Ejected {
			s.warm = false // the grant expired
		}
		if s.pending != nil && !f.now.Before(s.deliverAt) {
			if f.now.Sub(s.sentAt) <= maxReplyDelay {
				f.deliver(t, s)
			}
			s.pending = nil
		}
	}
	s := rapid.SampledFrom(f.servers).Draw(t, "server")
	switch rapid.IntRange(0, 11).Draw(t, "what") {
	case 0:
		s.faulty = !s.faulty
	case 1:
		if s.healthy(f.now) {
			s.warm, s.wentColdAt = false, f.now
		}
	case 2, 3:
		s.warm = s.healthState(f.now) == backend.Normal || s.warm
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

// Guards against ejections that leave less than the floor. They could come about
// through arbitrary reports, late or lost replies, and several homes that act at the
// same time while the home role moves.
func TestFloorHolds(t *testing.T) {
	t.Parallel()
	ejected := 0
	rapid.Check(t, func(t *rapid.T) {
		f := newFloorSimulation(t)
		for n := rapid.IntRange(50, 300).Draw(t, "steps"); n > 0; n-- {
			f.step(t)
		}
		ejected += f.ejected
	})
	t.Logf("%d ejections, none below the floor", ejected)
	if ejected == 0 {
		t.Error("no schedule led to an ejection, so the test checked nothing")
	}
}

// Guards against ejections that never end or do not get longer with each relapse, and
// against a server that stays out of service after it recovered. One server fails for
// 1000 reports, then works again.
func TestEjectionTimeDoublesAndRecoveredServerReturns(t *testing.T) {
	t.Parallel()
	d, now := NewDetector(Ablation{}), simStart
	config := ServiceConfig{FloorShare: 0.5}
	for i := 0; i < simServers; i++ {
		config.Servers = append(config.Servers, ServerConfig{ID: serverID(i), Slots: 3, AcceptsNewRequests: true})
	}
	state := backend.Normal
	reportAndDecide := func(faulty bool) {
		now = now.Add(ReportInterval)
		for i, s := range config.Servers {
			r := ServerReport{Server: s.ID, Counts: backend.Counts{OK: 5}, Warm: true, Latencies: []Latency{{20_000, 5}}}
			if i == 0 {
				if faulty {
					r.Counts = backend.Counts{ErrorStatus: 5}
				}
				if state == backend.Ejected {
					r.Counts, r.Latencies = backend.Counts{}, nil
				}
				r.Health = &ServerHealth{State: state}
			}
			d.Observe(now, r)
		}
		d.Decide(now, config)
		state = d.Health(now, config.Servers[0].ID).State
	}
	var lengths []time.Duration
	since := now
	for i := 0; i < 1000; i++ {
		before := state
		reportAndDecide(true)
		if before != backend.Ejected && state == backend.Ejected {
			since = now
		} else if before == backend.Ejected && state != backend.Ejected {
			lengths = append(lengths, now.Sub(since))
		}
	}
	want := []time.Duration{5, 10, 20, 40, 80, 120, 120}
	if len(lengths) < len(want) {
		t.Fatalf("only the ejections %v within 1000 reports", lengths)
	}
	for i := range want {
		if lengths[i] != want[i]*time.Second {
			t.Fatalf("ejections lasted %v, want %d seconds", lengths, want)
		}
	}
	for i := 0; i < 300 && state != backend.Normal; i++ {
		reportAndDecide(false)
	}
	if state != backend.Normal {
		t.Fatalf("the health state of the recovered server is %q, want normal", state)
	}
}

// Guards against an ejection that stays in force for good when its home is lost, and
// against a new home that does not learn the grants of the former one from reports.
func TestGrantsExpireWithoutHomeAndSurviveHomeChange(t *testing.T) {
	t.Parallel()
	f := newFleet(7, Ablation{}, fault{server: 2, from: simWarmup, until: time.Hour, errorShare: 1})
	f.run(simWarmup + 4*time.Second)
	owner := f.owner(2)
	st, _ := owner.servers.Status(f.now, serverID(2))
	if st.HealthState != backend.Ejected {
		t.Fatalf("the health state of the faulty server is %q, want ejected", st.HealthState)
	}
	if late, _ := owner.servers.Status(f.now.Add(GrantDuration), serverID(2)); late.HealthState == backend.Ejected {
		t.Fatal("the ejection did not end with its grant although no home renewed it")
	}
	newHome := NewDetector(Ablation{})
	report := newServerReport(&st)
	report.Health = owner.reporter.healthInForce(f.now, &st)
	config, _ := ServiceConfigOf(f.index, simService)
	if report.Health == nil {
		t.Fatal("the owner does not report the health state in force")
	}
	reply := newHome.processReport(f.now, Report{Servers: []ServerReport{report}}, config)
	if len(reply.Health) != 1 || reply.Health[0].State != report.Health.State ||
		reply.Health[0].GrantMillis > report.Health.GrantMillis {
		t.Fatalf("a new home with a report on one server replied %+v to %+v", reply.Health, *report.Health)
	}
}

// Guards against a request that crashes one server after another because some owners
// do not learn of the earlier crashes, and against a repeated crash message that
// counts twice.
func TestCrashQuarantineReachesAllOwners(t *testing.T) {
	t.Parallel()
	f := newFleet(1, Ablation{})
	poison := &request.Request{Team: "harbour", Method: "POST", Target: "/loans", Body: memory.BodyOf([]byte("x"))}
	other := &request.Request{Team: "harbour", Method: "POST", Target: "/loans", Body: memory.BodyOf([]byte("y"))}
	crash := Crash{Service: simService, Server: serverID(0), Fingerprint: request.FingerprintOf(poison), RequestID: "r1"}
	rejecting := func() (n int) {
		for i := 0; i < simServers; i++ {
			if f.owner(i).reporter.quarantine.Rejects(f.now, other) {
				t.Fatal("a request that caused no crash is rejected")
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
			t.Fatalf("after crash %s: %d owners reject the request, want %d", c.id, n, c.want)
		}
	}
	f.now = f.now.Add(QuarantineDuration)
	if n := rejecting(); n != 0 {
		t.Fatalf("%d owners still reject the request after %v", n, QuarantineDuration)
	}
}

// Guards against wrong significance levels through errors in binomialTail's recurrence.
// Its result is compared with the sum of the definition.
func TestBinomialTail(t *testing.T) {
	t.Parallel()
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
			t.Fatalf("binomialTail(%d, %d, %v) = %v, want %v", n, k, p, got, want)
		}
	})
}

// Guards against states that are assigned to the wrong servers after a change of the
// configuration, because packed states contain no server IDs.
func TestPackedStates(t *testing.T) {
	t.Parallel()
	config := ServiceConfig{ConfigVersion: 3, Servers: []ServerConfig{{ID: "a"}, {ID: "b"}, {ID: "c"}}}
	const mostLoad = float64(math.MaxUint8) / packedLoadUnit
	states := []backend.ServerState{{Server: "a", Ejected: true, Load: 1.5}, {Server: "b", LowWeight: true, Warm: true, Load: mostLoad}, {Server: "c", Probing: true}}
	packed := packStates(states)
	if got, ok := unpackStates(config, 3, packed); !ok || !slices.Equal(got, states) {
		t.Fatalf("%+v was decoded as %+v", states, got)
	}
	if _, ok := unpackStates(config, 4, packed); ok {
		t.Fatal("states of another configuration version were accepted")
	}
}

package serverlink

import (
	"testing"
	"time"

	"almondstile/contract"
	_ "almondstile/standin/seeded" // fixes the seed of rapid
	"almondstile/vm"

	"pgregory.net/rapid"
)

const server contract.ServerID = "loandesk-1"

const slots = 8 // largest number of attempts in flight

var (
	startTime = time.Unix(1_700_000_000, 0)
	relays    = []vm.ID{"vm2", "vm3"}
)

// newPlanInput returns the input for an attempt with a deadline in one second and both
// relays.
func newPlanInput(now time.Time, idempotent bool) PlanInput {
	return PlanInput{Idempotent: idempotent, Deadline: now.Add(time.Second), Relays: relays}
}

// newRelayedLinks returns links whose server is relayed by vm2 since startTime.
func newRelayedLinks(t *testing.T) *Links {
	l := &Links{}
	for _, e := range []Evidence{Silent, ServerResponded} {
		a, _ := l.Plan(startTime, server, newPlanInput(startTime, true))
		l.RecordResult(startTime, server, a, e, relays)
	}
	if status := l.Status(); len(status) != 1 || status[0].State != Relayed || status[0].Relay != "vm2" {
		t.Fatalf("got %+v", status)
	}
	return l
}

// Guards against testing an unproven relay with a non-idempotent request, which
// cannot be retried if the relay loses it, while an idempotent one may still arrive.
func TestIdempotentRequestsTryTheRelayFirst(t *testing.T) {
	l := &Links{}
	a, _ := l.Plan(startTime, server, newPlanInput(startTime, false))
	l.RecordResult(startTime, server, a, Silent, relays)
	for _, c := range []struct {
		at                                  time.Duration
		idempotent, directFailed, overRelay bool
	}{{0, false, false, false}, {0, true, false, true}, {0, false, true, true}, {relayTestWait, false, false, true}} {
		next := newPlanInput(startTime.Add(c.at), c.idempotent)
		next.DirectFailed = c.directFailed
		if a, ok := l.Plan(startTime.Add(c.at), server, next); !ok || a.Direct() == c.overRelay {
			t.Errorf("case %+v: got attempt %+v", c, a)
		}
	}
}

// Guards against deferring failures that are the server's own: refused connections,
// failures that a relay sees as well, and failures that no relay can check.
func TestServerFailuresAreCounted(t *testing.T) {
	l := &Links{}
	a, _ := l.Plan(startTime, server, newPlanInput(startTime, true))
	if v := l.RecordResult(startTime, server, a, Refused, relays); v.Deferred || l.HasRecentFailure(server) {
		t.Errorf("refused connection: got %+v", v)
	}
	if v := l.RecordResult(startTime, server, a, Silent, nil); v.Deferred {
		t.Errorf("failure without relays: got %+v", v)
	}
	l.RecordResult(startTime, server, a, ConnectFailed, relays)
	a, _ = l.Plan(startTime, server, newPlanInput(startTime, true))
	if v := l.RecordResult(startTime, server, a, Silent, relays); a.Direct() || v.Deferred || len(v.CountNow) != 1 {
		t.Errorf("failure over the relay: got %+v", v)
	}
	a, _ = l.Plan(startTime, server, newPlanInput(startTime, true))
	if v := l.RecordResult(startTime, server, a, Silent, relays); !a.Direct() || v.Deferred {
		t.Errorf("failure after the server was found at fault: got attempt %+v, %+v", a, v)
	}
}

// Guards against staying on a relay that does not reply, or whose own link to the
// server failed, while another relay works.
func TestRelaysAreSwitched(t *testing.T) {
	for _, e := range []Evidence{RelayFailed, Silent, ConnectFailed} {
		l := newRelayedLinks(t)
		a, _ := l.Plan(startTime, server, newPlanInput(startTime, true))
		v := l.RecordResult(startTime, server, a, e, relays)
		if a, _ := l.Plan(startTime, server, newPlanInput(startTime, false)); a.Relay != "vm3" || v.Deferred != (e == RelayFailed) {
			t.Errorf("evidence %s: got %+v, next attempt %+v", e, v, a)
		}
	}
}

// Guards against probes of a broken link at a fixed rate, with non-idempotent
// requests, or without time left for a relayed attempt. Each failed probe costs a
// request a part of its time.
func TestProbesBackOff(t *testing.T) {
	l := newRelayedLinks(t)
	now, wait := startTime, firstRelayPeriod
	for range 4 {
		early, _ := l.Plan(now.Add(wait-1), server, newPlanInput(now, true))
		now = now.Add(wait)
		other, _ := l.Plan(now, server, newPlanInput(now, false))
		a, _ := l.Plan(now, server, newPlanInput(now, true))
		if early.Direct() || other.Direct() || !a.Probe || a.Deadline.After(now.Add(time.Second/2)) {
			t.Fatalf("attempt before the probe is due %+v, non-idempotent %+v, probe %+v", early, other, a)
		}
		l.RecordResult(now, server, a, Silent, relays)
		wait *= 2
	}
}

// simulation holds the actual state of the link, the server and the relays, which the
// code under test learns only from the evidence of attempts.
type simulation struct {
	// linkUp and serverUp are constant while the random schedule runs. Afterwards
	// both are set to true, to check that the link is restored.
	linkUp, serverUp  bool
	relayUp           map[vm.ID]bool
	now               time.Time
	inFlight          []Attempt
	links             Links
	probes            int
	counted, deferred int // failures counted against the server; deferred ones
}

// evidence returns what the attempt shows, given the actual state.
func (s *simulation) evidence(a Attempt) Evidence {
	switch {
	case !a.Direct() && !s.relayUp[a.Relay]:
		return RelayFailed
	case a.Direct() && !s.linkUp, !s.serverUp:
		return Silent
	}
	return ServerResponded
}

// startAttempt plans an attempt of a random request, unless all slots are in use.
func (s *simulation) startAttempt(t *rapid.T) {
	if len(s.inFlight) == slots {
		return
	}
	request := newPlanInput(s.now, rapid.Bool().Draw(t, "idempotent"))
	request.DirectFailed = rapid.Bool().Draw(t, "direct failed")
	a, ok := s.links.Plan(s.now, server, request)
	if !ok {
		return
	}
	if a.Deadline.After(request.Deadline) || a.Direct() && request.DirectFailed {
		t.Fatalf("got attempt %+v for %+v", a, request)
	}
	if a.Probe {
		s.probes++
	}
	s.inFlight = append(s.inFlight, a)
}

// advance moves the clock by d and finishes the attempts whose deadline has passed.
func (s *simulation) advance(d time.Duration) {
	s.now = s.now.Add(d)
	for i := len(s.inFlight) - 1; i >= 0; i-- {
		if s.now.After(s.inFlight[i].Deadline) {
			s.finishAttempt(i)
		}
	}
}

// finishAttempt records the evidence of the attempt inFlight[i] and counts its failures.
func (s *simulation) finishAttempt(i int) {
	a := s.inFlight[i]
	s.inFlight = append(s.inFlight[:i], s.inFlight[i+1:]...)
	if a.Probe {
		s.probes--
	}
	e := s.evidence(a)
	v := s.links.RecordResult(s.now, server, a, e, relays)
	if e.Failed() && !v.Deferred {
		s.counted++
	}
	s.counted += len(v.CountNow)
	if v.Deferred {
		s.deferred++
	}
}

// Guards against counting failures of a bad link against a healthy server, deferring
// the failures of a dead server without end, two probes in flight at once, and never
// returning to the direct path. Random schedules overlap attempts, whose results
// arrive in any order.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{linkUp: rapid.Bool().Draw(t, "link"), serverUp: rapid.Bool().Draw(t, "server"),
			relayUp: map[vm.ID]bool{"vm2": true, "vm3": true}, now: startTime}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			rapid.SampledFrom([]func(){
				func() { s.startAttempt(t) },
				func() {
					if n := len(s.inFlight); n > 0 {
						s.finishAttempt(rapid.IntRange(0, n-1).Draw(t, "ended"))
					}
				},
				func() { s.advance(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond) },
			}).Draw(t, "step")()
			if s.probes > 1 {
				t.Fatalf("%d probes are in flight at once", s.probes)
			}
		}
		if s.serverUp && s.counted > 0 {
			t.Fatalf("%d failures were counted against a healthy server", s.counted)
		}
		if !s.serverUp && s.deferred > maxDeferred+s.counted {
			t.Fatalf("%d failures of a dead server were deferred, only %d counted", s.deferred, s.counted)
		}
		s.linkUp, s.serverUp = true, true
		for range 3 {
			s.now = s.now.Add(maxRelayPeriod)
			a, _ := s.links.Plan(s.now, server, newPlanInput(s.now, true))
			s.links.RecordResult(s.now, server, a, s.evidence(a), relays)
		}
		if status := s.links.Status(); len(status) != 0 {
			t.Fatalf("the link was not restored: %+v", status)
		}
	})
}

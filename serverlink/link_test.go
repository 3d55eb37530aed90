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

const slots = 8 // attempts at a time

var (
	start  = time.Unix(1_700_000_000, 0)
	relays = []vm.ID{"vm2", "vm3"}
)

func ask(now time.Time, idempotent bool) Ask {
	return Ask{Idempotent: idempotent, Deadline: now.Add(time.Second), Relays: relays}
}

// relayed returns links whose server runs over vm2 since the time start.
func relayed(t *testing.T) *Links {
	l := &Links{}
	for _, e := range []Evidence{Silent, Heard} {
		a, _ := l.Plan(start, server, ask(start, true))
		l.Ended(start, server, a, e, relays)
	}
	if status := l.Status(); len(status) != 1 || status[0].State != Relayed || status[0].Relay != "vm2" {
		t.Fatalf("got %+v", status)
	}
	return l
}

// Guards against testing a suspicion with a request that cannot be repeated
// while an idempotent one may come.
func TestIdempotentRequestsTryTheRelayFirst(t *testing.T) {
	l := &Links{}
	a, _ := l.Plan(start, server, ask(start, false))
	l.Ended(start, server, a, Silent, relays)
	for _, c := range []struct {
		at                       time.Duration
		idempotent, failed, over bool
	}{{0, false, false, false}, {0, true, false, true}, {0, false, true, true}, {trialWait, false, false, true}} {
		next := ask(start.Add(c.at), c.idempotent)
		next.DirectFailed = c.failed
		if a, ok := l.Plan(start.Add(c.at), server, next); !ok || a.Direct() == c.over {
			t.Errorf("%+v: got %+v", c, a)
		}
	}
}

// Guards against keeping failures from the server's evidence that are its own:
// refused connections, and those that a relay meets too or none can check.
func TestServerIsBlamed(t *testing.T) {
	l := &Links{}
	a, _ := l.Plan(start, server, ask(start, true))
	if v := l.Ended(start, server, a, Refused, relays); v.Withhold || l.Troubled(server) {
		t.Errorf("refused: %+v", v)
	}
	if v := l.Ended(start, server, a, Silent, nil); v.Withhold {
		t.Errorf("without relays: %+v", v)
	}
	l.Ended(start, server, a, ConnectFailed, relays)
	a, _ = l.Plan(start, server, ask(start, true))
	if v := l.Ended(start, server, a, Silent, relays); a.Direct() || v.Withhold || len(v.Released) != 1 {
		t.Errorf("relay failed too: %+v", v)
	}
	a, _ = l.Plan(start, server, ask(start, true))
	if v := l.Ended(start, server, a, Silent, relays); !a.Direct() || v.Withhold {
		t.Errorf("failure after the blame: %+v, %+v", a, v)
	}
}

// Guards against staying with a relay that does not reply, or that lost its own
// link to the server, while another one works.
func TestRelaysAreSwitched(t *testing.T) {
	for _, e := range []Evidence{RelayFailed, Silent, ConnectFailed} {
		l := relayed(t)
		a, _ := l.Plan(start, server, ask(start, true))
		v := l.Ended(start, server, a, e, relays)
		if a, _ := l.Plan(start, server, ask(start, false)); a.Relay != "vm3" || v.Withhold != (e == RelayFailed) {
			t.Errorf("%s: %+v, then %+v", e, v, a)
		}
	}
}

// Guards against trying a cut link at a fixed rate, with requests that cannot
// be repeated, or without time for the relay.
func TestDirectWayIsTriedBackingOff(t *testing.T) {
	l := relayed(t)
	now, wait := start, firstStay
	for range 4 {
		early, _ := l.Plan(now.Add(wait-1), server, ask(now, true))
		now = now.Add(wait)
		other, _ := l.Plan(now, server, ask(now, false))
		a, _ := l.Plan(now, server, ask(now, true))
		if early.Direct() || other.Direct() || !a.Probe || a.Deadline.After(now.Add(time.Second/2)) {
			t.Fatalf("early %+v, not idempotent %+v, due %+v", early, other, a)
		}
		l.Ended(now, server, a, Silent, relays)
		wait *= 2
	}
}

// world is the truth that random schedules hide from the decisions.
type world struct {
	linkUp, serverUp bool
	relayUp          map[vm.ID]bool
	now              time.Time
	running          []Attempt
	links            Links
	probes           int
	blamed, withheld int
}

func (w *world) evidence(a Attempt) Evidence {
	switch {
	case !a.Direct() && !w.relayUp[a.Relay]:
		return RelayFailed
	case a.Direct() && !w.linkUp, !w.serverUp:
		return Silent
	}
	return Heard
}

func (w *world) start(t *rapid.T) {
	if len(w.running) == slots {
		return
	}
	request := ask(w.now, rapid.Bool().Draw(t, "idempotent"))
	request.DirectFailed = rapid.Bool().Draw(t, "direct failed")
	a, ok := w.links.Plan(w.now, server, request)
	if !ok {
		return
	}
	if a.Deadline.After(request.Deadline) || a.Direct() && request.DirectFailed {
		t.Fatalf("attempt %+v for %+v", a, request)
	}
	if a.Probe {
		w.probes++
	}
	w.running = append(w.running, a)
}

// pass lets time pass. Attempts end at their deadline.
func (w *world) pass(d time.Duration) {
	w.now = w.now.Add(d)
	for i := len(w.running) - 1; i >= 0; i-- {
		if w.now.After(w.running[i].Deadline) {
			w.end(i)
		}
	}
}

func (w *world) end(i int) {
	a := w.running[i]
	w.running = append(w.running[:i], w.running[i+1:]...)
	if a.Probe {
		w.probes--
	}
	e := w.evidence(a)
	v := w.links.Ended(w.now, server, a, e, relays)
	if e.Failed() && !v.Withhold {
		w.blamed++
	}
	w.blamed += len(v.Released)
	if v.Withhold {
		w.withheld++
	}
}

// Guards against blame of a healthy server behind a bad link, withheld failures
// of a dead one, two probes at a time, and never returning to the direct way.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{linkUp: rapid.Bool().Draw(t, "link"), serverUp: rapid.Bool().Draw(t, "server"),
			relayUp: map[vm.ID]bool{"vm2": true, "vm3": true}, now: start}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			rapid.SampledFrom([]func(){
				func() { w.start(t) },
				func() {
					if n := len(w.running); n > 0 {
						w.end(rapid.IntRange(0, n-1).Draw(t, "ended"))
					}
				},
				func() { w.pass(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond) },
			}).Draw(t, "step")()
			if w.probes > 1 {
				t.Fatalf("%d probes at a time", w.probes)
			}
		}
		if w.serverUp && w.blamed > 0 {
			t.Fatalf("%d failures count against a healthy server", w.blamed)
		}
		if !w.serverUp && w.withheld > maxWithheld+w.blamed {
			t.Fatalf("%d failures of a dead server withheld, %d counted", w.withheld, w.blamed)
		}
		w.linkUp, w.serverUp = true, true
		for range 3 {
			w.now = w.now.Add(maxStay)
			a, _ := w.links.Plan(w.now, server, ask(w.now, true))
			w.links.Ended(w.now, server, a, w.evidence(a), relays)
		}
		if status := w.links.Status(); len(status) != 0 {
			t.Fatalf("not restored: %+v", status)
		}
	})
}

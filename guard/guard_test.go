package guard

import (
	"testing"

	"almondstile/logging"
)

// eventCounter counts events by name.
type eventCounter map[string]int

func (c eventCounter) Count(event string) { c[event]++ }

// Guards against a process that ends because one input makes its handler panic, and
// against one that stops because of many such inputs: a caller could send them to all
// VMs.
func TestInputsThatPanicDoNotStopTheProcess(t *testing.T) {
	events := eventCounter{}
	g := New(logging.Discard().Part("guard"), events)
	for range 10 * maxTaskPanics {
		if !g.Handle("request", "request-1", func() { panic("unexpected") }) {
			t.Fatal("the panic was not reported")
		}
	}
	if g.Handle("request", "request-2", func() {}) {
		t.Error("a panic was reported that did not happen")
	}
	select {
	case <-g.Failed():
		t.Error("the process counts as failed")
	default:
	}
	if events["panic_request"] != 10*maxTaskPanics {
		t.Errorf("%d panics were counted", events["panic_request"])
	}
}

// Guards against a VM that goes on serving although one of its tasks never completes a
// round.
func TestTaskThatPanicsAgainAndAgainFails(t *testing.T) {
	g := New(logging.Discard().Part("guard"), nil)
	for range maxTaskPanics - 1 {
		g.Task("sweep", func() { panic("unexpected") })
	}
	select {
	case <-g.Failed():
		t.Fatal("the process counts as failed too early")
	default:
	}
	g.Task("sweep", func() { panic("unexpected") })
	select {
	case <-g.Failed():
	default:
		t.Error("the process does not count as failed")
	}
}

// Guards against a missing guard that lets a panic through.
func TestNilGuardRecovers(t *testing.T) {
	var g *Guard
	g.Task("sweep", func() { panic("unexpected") })
	if !g.Handle("request", "", func() { panic("unexpected") }) {
		t.Error("the panic was not reported")
	}
}

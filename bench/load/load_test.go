package load

import (
	"context"
	"net"
	"reflect"
	"testing"
	"time"

	"almondstile/bench/deployment"
	"almondstile/standin/backendsim"
	"almondstile/vm"
)

func cairnlight(t *testing.T) *deployment.Deployment {
	t.Helper()
	d, err := deployment.Load("../../deployments/cairnlight.toml")
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// Guards against runs that cannot be repeated from their seed.
func TestTimetableDependsOnSeedOnly(t *testing.T) {
	d := cairnlight(t)
	a := New(d, Profile{Seed: 3, Length: 5 * time.Second})
	if !reflect.DeepEqual(a, New(d, Profile{Seed: 3, Length: 5 * time.Second})) {
		t.Fatal("equal seeds gave different timetables")
	}
	if reflect.DeepEqual(a, New(d, Profile{Seed: 4, Length: 5 * time.Second})) {
		t.Fatal("different seeds gave the same timetable")
	}
}

// Guards against a load that is not what the deployment file says: 120
// requests/s of teams, half of them to shelfview.
func TestTimetableLoad(t *testing.T) {
	const seconds = 200
	shelfview, regular := 0, 0
	for _, a := range New(cairnlight(t), Profile{Seed: 1, Length: seconds * time.Second}) {
		if a.Kind == Regular {
			regular++
			if a.Service == "shelfview" {
				shelfview++
			}
		}
	}
	if perSecond := regular / seconds; perSecond < 115 || perSecond > 125 {
		t.Fatalf("%d requests/s of teams", perSecond)
	}
	if perSecond := shelfview / seconds; perSecond < 57 || perSecond > 63 {
		t.Fatalf("%d requests/s to shelfview", perSecond)
	}
}

// direct returns a generator that sends to a stand-in server, which answers
// like a fleet but sets no outcome.
func direct(t *testing.T, mode backendsim.Mode) (*Generator, *backendsim.Server) {
	t.Helper()
	s, err := backendsim.Start(backendsim.Config{Slots: 100, StartWarm: true, MedianMicros: 1000})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	s.SetMode(mode)
	// Nothing listens on the first VM's address any more.
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
	return NewGenerator(NewBalancer(map[vm.ID]string{"a": listener.Addr().String(), "b": s.Address()})), s
}

// Guards against callers that repeat requests by themselves, lose calls, or
// give up although another VM accepts connections.
func TestGeneratorSendsEachCallOnce(t *testing.T) {
	g, s := direct(t, backendsim.Mode{})
	timetable := New(cairnlight(t), Profile{Seed: 1, Length: time.Second})
	g.Run(context.Background(), time.Now(), timetable)
	calls := g.Calls()
	if len(calls) != len(timetable) || len(s.Host().Executions(nil)) != len(timetable) {
		t.Fatalf("%d calls, %d executions, want %d", len(calls), len(s.Host().Executions(nil)), len(timetable))
	}
	for _, c := range calls {
		if !c.Answered() || c.VM != "b" {
			t.Fatalf("call %+v", c)
		}
	}
	if l := Summarize(calls, Call.Answered); l.Count() != int64(len(calls)) || l.Quantile(50) <= 0 {
		t.Fatalf("%d latencies, median %s", l.Count(), l.Quantile(50))
	}
}

// Guards against wrong or partial answers that pass for right ones.
func TestGeneratorSeesBadResponses(t *testing.T) {
	for name, c := range map[string]struct {
		mode backendsim.Mode
		bad  func(Call) bool
	}{
		"crossed":   {backendsim.Mode{CrossedShare: 1}, func(c Call) bool { return c.Body == BodyWrong }},
		"truncated": {backendsim.Mode{TruncatedShare: 1}, func(c Call) bool { return c.Failure == ConnectionClosed }},
		"chunked":   {backendsim.Mode{TruncatedShare: 1, TruncatedChunked: true}, func(c Call) bool { return c.Failure == ConnectionClosed }},
		"reset":     {backendsim.Mode{ResetShare: 1}, func(c Call) bool { return c.Failure == ConnectionClosed }},
	} {
		t.Run(name, func(t *testing.T) {
			g, s := direct(t, c.mode)
			a := Arrival{Operation: "first", Method: "GET", Path: "/x", Kind: Regular}
			g.call(a, 1, time.Now()) // gives the server a response to cross with
			a.Operation = "second"
			if call := g.call(a, 1, time.Now()); !c.bad(call) {
				t.Fatalf("call %+v", call)
			}
			if n := len(s.Host().Executions(nil)); n != 2 {
				t.Fatalf("%d executions of 2 calls", n)
			}
		})
	}
}

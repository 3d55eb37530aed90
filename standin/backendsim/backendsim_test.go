package backendsim

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
)

// start returns a warm server with a short service time; change may adapt it.
func start(t *testing.T, change func(*Config)) *Server {
	t.Helper()
	c := Config{ID: "s1", Seed: 1, Slots: 3, StartWarm: true, MedianMicros: 1000, RestartMillis: 20}
	if change != nil {
		change(&c)
	}
	s, err := Start(c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

type reply struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// client has no idle connections, so it never repeats a request by itself.
func client() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
}

func send(s *Server, op string, header ...string) reply {
	return sendContext(context.Background(), s, op, header...)
}

func sendContext(ctx context.Context, s *Server, op string, header ...string) reply {
	req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+s.Address()+"/x", strings.NewReader("body"))
	req.Header.Set(HeaderOperationID, op)
	req.Header.Set(HeaderRequestID, "r-"+op)
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := client().Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header, body, err}
}

func executions(s *Server, op string) []Execution {
	return s.Host().Executions(func(e Execution) bool { return op == "" || e.OperationID == op })
}

// waitFor polls a condition that another goroutine makes true.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 500 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("did not happen: %s", what)
}

// Guards against a healthy server whose responses checks would reject.
func TestHealthyResponse(t *testing.T) {
	s := start(t, nil)
	r := send(s, "op1", HeaderTeam, "shore")
	if r.err != nil || r.status != 200 || !bytes.Equal(r.body, Answer("op1", 256)) {
		t.Fatalf("got %+v", r)
	}
	if r.header.Get(HeaderRequestID) != "r-op1" || r.header.Get(HeaderInstance) == "" {
		t.Fatalf("headers %v", r.header)
	}
	log := executions(s, "op1")
	if len(log) != 1 || log[0].Team != "shore" || log[0].Result != Served || log[0].InFlight != 1 {
		t.Fatalf("log %+v", log)
	}
}

// Guards against gray modes that do not fail in the way they are named for.
func TestGrayModes(t *testing.T) {
	for name, c := range map[string]struct {
		mode   Mode
		result ExecutionResult
		bad    func(reply) bool
	}{
		"errors":    {Mode{ErrorShare: 1}, Failed, func(r reply) bool { return r.status == 500 }},
		"truncated": {Mode{TruncatedShare: 1}, Truncated, func(r reply) bool { return r.err != nil }},
		"chunked":   {Mode{TruncatedShare: 1, TruncatedChunked: true}, Truncated, func(r reply) bool { return r.err != nil }},
		"reset":     {Mode{ResetShare: 1}, ResetAfter, func(r reply) bool { return r.err != nil }},
		"crossed": {Mode{CrossedShare: 1}, Crossed, func(r reply) bool {
			return r.header.Get(HeaderRequestID) == "r-first" && bytes.Equal(r.body, Answer("first", 256))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			s := start(t, nil)
			send(s, "first")
			s.SetMode(c.mode)
			if r := send(s, "op"); !c.bad(r) {
				t.Fatalf("got %+v", r)
			}
			if log := executions(s, "op"); len(log) != 1 || log[0].Result != c.result {
				t.Fatalf("log %+v", log)
			}
			if r := sendPath(s, "/health"); r != 200 {
				t.Fatalf("health says %d; gray failures must not show there", r)
			}
		})
	}
}

func sendPath(s *Server, path string) int {
	resp, err := client().Get("http://" + s.Address() + path)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// Guards against a hang or a cancellation that keeps its slot forever.
func TestHangEndsWithCancellation(t *testing.T) {
	s := start(t, nil)
	s.SetMode(Mode{HangShare: 1})
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { sendContext(ctx, s, "op") })
	waitFor(t, "the request runs", func() bool { return len(executions(s, "op")) == 1 })
	cancel()
	wg.Wait()
	waitFor(t, "the cancellation is recorded", func() bool { return executions(s, "op")[0].Result == Canceled })
	if c, _ := s.Host().Counters("s1"); c.InFlight != 0 || c.Canceled != 1 {
		t.Fatalf("counters %+v", c)
	}
}

// Guards against a server that keeps working past the request's deadline.
func TestDeadlineEndsWork(t *testing.T) {
	s := start(t, func(c *Config) { c.MedianMicros = 3_600_000_000 })
	if r := send(s, "op", HeaderDeadline, "20"); r.err == nil {
		t.Fatalf("got %+v", r)
	}
	if log := executions(s, "op"); log[0].Result != PastLimit {
		t.Fatalf("log %+v", log)
	}
}

// occupy sends n requests that stay running until the returned function.
func occupy(t *testing.T, s *Server, n int) (release func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	before := len(executions(s, "busy"))
	for range n {
		wg.Go(func() { sendContext(ctx, s, "busy") })
	}
	waitFor(t, "all run", func() bool { return len(executions(s, "busy")) == before+n })
	return func() { cancel(); wg.Wait() }
}

// Guards against shedding that runs the request or does not say "not run".
func TestShedsAboveSlots(t *testing.T) {
	s := start(t, nil)
	s.SetMode(Mode{HangShare: 1})
	defer occupy(t, s, 3)()
	r := send(s, "extra")
	if r.status != 503 || r.header.Get(HeaderNotRun) != "true" || len(executions(s, "extra")) != 0 {
		t.Fatalf("got %+v", r)
	}
}

// Guards against a cold server that bears more than its cold slots.
func TestColdServerFallsOver(t *testing.T) {
	s := start(t, func(c *Config) { c.StartWarm = false; c.WarmSuccesses = 1; c.WarmStepMillis = 1 })
	s.SetMode(Mode{HangShare: 1})
	release := occupy(t, s, 1)
	if r := send(s, "extra"); r.err == nil {
		t.Fatalf("got %+v", r)
	}
	release()
	for _, e := range executions(s, "") {
		if e.Result != ServerEnded && e.Result != Running {
			t.Fatalf("execution %+v survived", e)
		}
	}
	s.SetMode(Mode{})
	var r reply
	waitFor(t, "the server comes back", func() bool { r = send(s, "after"); return r.status == 200 })
	if instance := r.header.Get(HeaderInstance); instance == executions(s, "extra")[0].Instance {
		t.Fatalf("the instance is still %s", instance)
	}
	waitFor(t, "the server warms up", func() bool { send(s, "warm"); return !lastCold(s) })
}

func lastCold(s *Server) bool {
	var last Execution
	for _, e := range executions(s, "warm") {
		if e.Start.After(last.Start) {
			last = e
		}
	}
	return last.Cold
}

// Guards against a marked request that leaves its server running.
func TestPoisonCrashes(t *testing.T) {
	s := start(t, nil)
	if r := send(s, "bad", HeaderPoison, "1"); r.err == nil {
		t.Fatalf("got %+v", r)
	}
	waitFor(t, "the server comes back", func() bool { return send(s, "after").status == 200 })
	if c, _ := s.Host().Counters("s1"); c.Crashes != 1 {
		t.Fatalf("counters %+v", c)
	}
}

// Guards against new work at a draining server.
func TestDrainRefusesAsNotRun(t *testing.T) {
	s := start(t, nil)
	s.SetMode(Mode{Draining: true})
	if r := send(s, "op"); r.status != 503 || r.header.Get(HeaderNotRun) != "true" || len(executions(s, "op")) != 0 {
		t.Fatalf("got %+v", r)
	}
	if sendPath(s, "/health") != 503 {
		t.Fatal("health of a draining server passes")
	}
}

// Guards against a flapping mode that never changes over.
func TestFlappingAlternates(t *testing.T) {
	now := time.Unix(0, 0)
	s := newState(Config{}.withDefaults(), now)
	s.mode = Mode{ErrorShare: 1, FlapMillis: 100}
	for i, want := range []bool{true, false, true, false} {
		if got := s.faulty(now.Add(time.Duration(i)*100*time.Millisecond + 1)); got != want {
			t.Fatalf("period %d: faulty %t", i, got)
		}
	}
}

// Guards against a key that reaches a server unnoticed.
func TestSecretsAreFound(t *testing.T) {
	s := start(t, func(c *Config) { c.Secrets = []string{"tulip"} })
	send(s, "op", "X-Copy", "Bearer k1.tulip")
	if log := executions(s, "op"); len(log[0].Secrets) != 1 || log[0].Secrets[0] != "X-Copy" {
		t.Fatalf("log %+v", log)
	}
}

// Guards against connections above the limit.
func TestConnectionLimit(t *testing.T) {
	s := start(t, func(c *Config) { c.Connections = 1 })
	first, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	waitFor(t, "the first is open", func() bool { c, _ := s.Host().Counters("s1"); return c.Connections == 1 })
	second, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	if _, err := second.Read(make([]byte, 1)); err == nil {
		t.Fatal("the second connection was served")
	}
}

// Guards against a client that counts slots exactly and is shed all the same.
func TestSlotIsFreeBeforeTheResponse(t *testing.T) {
	s := start(t, func(c *Config) { c.Slots = 2; c.MedianMicros = 10 })
	var wg conc.WaitGroup
	var bad atomic.Int64
	for range 2 {
		wg.Go(func() {
			for range 300 {
				if send(s, "op").status != 200 {
					bad.Add(1)
				}
			}
		})
	}
	wg.Wait()
	if bad.Load() != 0 {
		t.Fatalf("%d requests were not answered", bad.Load())
	}
}

// Guards against an admin interface that ignores misspelled modes.
func TestAdmin(t *testing.T) {
	s := start(t, nil)
	admin := httptest.NewServer(s.Host().Admin())
	defer admin.Close()
	put := func(body string) int {
		req, _ := http.NewRequest("PUT", admin.URL+"/servers/s1/mode", strings.NewReader(body))
		resp, err := client().Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	if put(`{"error_shares":1}`) != 400 || put(`{"error_share":1}`) != 200 {
		t.Fatal("unexpected status of PUT mode")
	}
	if r := send(s, "op"); r.status != 500 {
		t.Fatalf("got %+v", r)
	}
}

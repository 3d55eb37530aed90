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

// startServer starts a warm server with ID "s1", 3 slots and a service time of
// about 1 ms, and closes it at the end of the test. configure, if not nil, changes
// the configuration before the start.
func startServer(t *testing.T, configure func(*Config)) *Server {
	t.Helper()
	c := Config{ID: "s1", Seed: 1, Slots: 3, StartWarm: true, MedianMicros: 1000, RestartMillis: 20}
	if configure != nil {
		configure(&c)
	}
	s, err := Start(c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// testResponse is the response to a test request, or the error of the client.
type testResponse struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// newClient returns an HTTP client without keep-alive. http.Transport can resend a
// request after a failure on a reused connection; this client never does.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
}

// send sends a POST request of an operation. header lists names and values in turn.
func send(s *Server, operationID string, header ...string) testResponse {
	return sendContext(context.Background(), s, operationID, header...)
}

// sendContext is send with a context that can cancel the request.
func sendContext(ctx context.Context, s *Server, operationID string, header ...string) testResponse {
	req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+s.Address()+"/x", strings.NewReader("body"))
	req.Header.Set(HeaderOperationID, operationID)
	req.Header.Set(HeaderRequestID, "r-"+operationID)
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := newClient().Do(req)
	if err != nil {
		return testResponse{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return testResponse{resp.StatusCode, resp.Header, body, err}
}

// executionsOf returns the recorded executions of an operation, or of all
// operations for an empty ID.
func executionsOf(s *Server, operationID string) []Execution {
	return s.Host().Executions(func(e Execution) bool { return operationID == "" || e.OperationID == operationID })
}

// waitFor polls the condition until it is true, at most 500 times with pauses of
// 10 ms, and then fails the test. event describes the condition.
func waitFor(t *testing.T, event string, condition func() bool) {
	t.Helper()
	for range 500 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("timeout while waiting until %s", event)
}

// Guards against a healthy server that sends a wrong body or wrong headers, or
// that does not record the execution. The callers' checks would reject its responses.
func TestHealthyResponse(t *testing.T) {
	s := startServer(t, nil)
	r := send(s, "op1", HeaderTeam, "shore")
	if r.err != nil || r.status != 200 || !bytes.Equal(r.body, Answer("op1", 256)) {
		t.Fatalf("response %+v, want status 200 and the answer to op1", r)
	}
	if r.header.Get(HeaderRequestID) != "r-op1" || r.header.Get(HeaderInstance) == "" {
		t.Fatalf("headers %v, want request ID r-op1 and an instance", r.header)
	}
	log := executionsOf(s, "op1")
	if len(log) != 1 || log[0].Team != "shore" || log[0].Result != Served || log[0].InFlight != 1 {
		t.Fatalf("recorded executions %+v, want one of team shore that was served", log)
	}
}

// Guards against a fault of Mode that has another effect than its name says, has
// the wrong result in the record, or shows in the health endpoint.
func TestGrayFailureModes(t *testing.T) {
	for name, test := range map[string]struct {
		mode       Mode
		result     ExecutionResult
		showsFault func(testResponse) bool
	}{
		"errors":    {Mode{ErrorShare: 1}, Failed, func(r testResponse) bool { return r.status == 500 }},
		"truncated": {Mode{TruncatedShare: 1}, Truncated, func(r testResponse) bool { return r.err != nil }},
		"chunked":   {Mode{TruncatedShare: 1, TruncatedChunked: true}, Truncated, func(r testResponse) bool { return r.err != nil }},
		"reset":     {Mode{ResetShare: 1}, ResetAfterExecution, func(r testResponse) bool { return r.err != nil }},
		"crossed": {Mode{ResponseMismatchShare: 1}, ResponseMismatch, func(r testResponse) bool {
			return r.header.Get(HeaderRequestID) == "r-first" && bytes.Equal(r.body, Answer("first", 256))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, nil)
			send(s, "first")
			s.SetMode(test.mode)
			if r := send(s, "op"); !test.showsFault(r) {
				t.Fatalf("response %+v does not show the fault", r)
			}
			if log := executionsOf(s, "op"); len(log) != 1 || log[0].Result != test.result {
				t.Fatalf("recorded executions %+v, want one with the result of the mode", log)
			}
			if r := getStatus(s, "/health"); r != 200 {
				t.Fatalf("/health has status %d, want 200: it must not report gray failures", r)
			}
		})
	}
}

// getStatus returns the status of a GET request, or 0 if it failed.
func getStatus(s *Server, path string) int {
	resp, err := newClient().Get("http://" + s.Address() + path)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// Guards against a slot that is never released. The request hangs, and its client
// closes the connection.
func TestHangEndsWithCancellation(t *testing.T) {
	s := startServer(t, nil)
	s.SetMode(Mode{HangShare: 1})
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { sendContext(ctx, s, "op") })
	waitFor(t, "the request executes", func() bool { return len(executionsOf(s, "op")) == 1 })
	cancel()
	wg.Wait()
	waitFor(t, "the cancellation is recorded", func() bool { return executionsOf(s, "op")[0].Result == Canceled })
	if c, _ := s.Host().Counters("s1"); c.InFlight != 0 || c.Canceled != 1 {
		t.Fatalf("counters %+v, want 0 requests in flight and 1 canceled", c)
	}
}

// Guards against a server that continues an execution after the request's
// deadline. The deadline is 20 ms, the median service time 1 hour.
func TestDeadlineEndsWork(t *testing.T) {
	s := startServer(t, func(c *Config) { c.MedianMicros = 3_600_000_000 })
	if r := send(s, "op", HeaderDeadline, "20"); r.err == nil {
		t.Fatalf("response %+v, want none after the deadline", r)
	}
	if log := executionsOf(s, "op"); log[0].Result != DeadlinePassed {
		t.Fatalf("recorded executions %+v, want the result deadline-passed", log)
	}
}

// occupySlots sends n requests and waits until all execute. The mode must make
// them hang. release cancels the requests and waits for their goroutines.
func occupySlots(t *testing.T, s *Server, n int) (release func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	before := len(executionsOf(s, "busy"))
	for range n {
		wg.Go(func() { sendContext(ctx, s, "busy") })
	}
	waitFor(t, "all requests execute", func() bool { return len(executionsOf(s, "busy")) == before+n })
	return func() { cancel(); wg.Wait() }
}

// Guards against a server with all slots in use that executes a further request,
// or that rejects it without the header that marks it as not executed.
func TestShedsAboveSlots(t *testing.T) {
	s := startServer(t, nil)
	s.SetMode(Mode{HangShare: 1})
	defer occupySlots(t, s, 3)()
	r := send(s, "extra")
	if r.status != 503 || r.header.Get(HeaderNotExecuted) != "true" || len(executionsOf(s, "extra")) != 0 {
		t.Fatalf("response %+v, want status 503, marked as not executed, and no execution", r)
	}
}

// Guards against a cold server that does not crash when requests exceed its cold
// slots. The crash must end all executions, and the server must start again as a
// new incarnation and become warm.
func TestOverloadedColdServerCrashes(t *testing.T) {
	s := startServer(t, func(c *Config) { c.StartWarm = false; c.WarmSuccesses = 1; c.WarmStepMillis = 1 })
	s.SetMode(Mode{HangShare: 1})
	release := occupySlots(t, s, 1)
	if r := send(s, "extra"); r.err == nil {
		t.Fatalf("response %+v, want none from a crashed server", r)
	}
	release()
	for _, e := range executionsOf(s, "") {
		if e.Result != ServerStopped && e.Result != Running {
			t.Fatalf("execution %+v continued after the crash", e)
		}
	}
	s.SetMode(Mode{})
	var r testResponse
	waitFor(t, "the server accepts requests again", func() bool { r = send(s, "after"); return r.status == 200 })
	if instance := r.header.Get(HeaderInstance); instance == executionsOf(s, "extra")[0].Instance {
		t.Fatalf("the instance is still %s after the crash", instance)
	}
	waitFor(t, "the server is warm", func() bool { send(s, "warm"); return !lastExecutionCold(s) })
}

// lastExecutionCold reports whether the server was cold at the start of the last
// execution of operation "warm".
func lastExecutionCold(s *Server) bool {
	var last Execution
	for _, e := range executionsOf(s, "warm") {
		if e.Start.After(last.Start) {
			last = e
		}
	}
	return last.Cold
}

// Guards against a poison request that does not crash the server, or a server that
// does not start again after it.
func TestPoisonRequestCrashesServer(t *testing.T) {
	s := startServer(t, nil)
	if r := send(s, "bad", HeaderPoison, "1"); r.err == nil {
		t.Fatalf("response %+v, want none from a crashed server", r)
	}
	waitFor(t, "the server accepts requests again", func() bool { return send(s, "after").status == 200 })
	if c, _ := s.Host().Counters("s1"); c.Crashes != 1 {
		t.Fatalf("counters %+v, want 1 crash", c)
	}
}

// Guards against a draining server that executes new requests, does not mark the
// rejected ones as not executed, or still reports good health.
func TestDrainingServerRejectsNewRequests(t *testing.T) {
	s := startServer(t, nil)
	s.SetMode(Mode{Draining: true})
	if r := send(s, "op"); r.status != 503 || r.header.Get(HeaderNotExecuted) != "true" || len(executionsOf(s, "op")) != 0 {
		t.Fatalf("response %+v, want status 503, marked as not executed, and no execution", r)
	}
	if getStatus(s, "/health") != 503 {
		t.Fatal("/health of a draining server does not have status 503")
	}
}

// Guards against a flapping server that does not alternate between periods with
// and without faults. The first period has the faults.
func TestFlappingAlternates(t *testing.T) {
	now := time.Unix(0, 0)
	s := newState(Config{}.withDefaults(), now)
	s.mode = Mode{ErrorShare: 1, FlapMillis: 100}
	for i, want := range []bool{true, false, true, false} {
		if got := s.faultsActive(now.Add(time.Duration(i)*100*time.Millisecond + 1)); got != want {
			t.Fatalf("period %d: faults active %t, want the opposite", i, got)
		}
	}
}

// Guards against a secret that reaches a server and is missing in the record of
// the execution. Checks would then not detect a VM that forwards API keys.
func TestSecretsAreRecorded(t *testing.T) {
	s := startServer(t, func(c *Config) { c.Secrets = []string{"tulip"} })
	send(s, "op", "X-Copy", "Bearer k1.tulip")
	if log := executionsOf(s, "op"); len(log[0].Secrets) != 1 || log[0].Secrets[0] != "X-Copy" {
		t.Fatalf("recorded executions %+v, want a secret found in X-Copy only", log)
	}
}

// Guards against a server that serves connections above its limit.
func TestConnectionLimit(t *testing.T) {
	s := startServer(t, func(c *Config) { c.Connections = 1 })
	first, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	waitFor(t, "the first connection is open", func() bool { c, _ := s.Host().Counters("s1"); return c.Connections == 1 })
	second, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	if _, err := second.Read(make([]byte, 1)); err == nil {
		t.Fatal("the connection above the limit of 1 was served")
	}
}

// Guards against a slot that is released after the response is sent. Two clients
// never exceed 2 slots, but their next request could arrive before the release
// and be rejected.
func TestSlotIsFreeBeforeTheResponse(t *testing.T) {
	s := startServer(t, func(c *Config) { c.Slots = 2; c.MedianMicros = 10 })
	var wg conc.WaitGroup
	var failures atomic.Int64
	for range 2 {
		wg.Go(func() {
			for range 300 {
				if send(s, "op").status != 200 {
					failures.Add(1)
				}
			}
		})
	}
	wg.Wait()
	if failures.Load() != 0 {
		t.Fatalf("%d requests did not get status 200", failures.Load())
	}
}

// Guards against an admin handler that accepts a misspelled field of a mode, which
// would leave the server healthy, or that does not apply a valid mode.
func TestAdmin(t *testing.T) {
	s := startServer(t, nil)
	admin := httptest.NewServer(s.Host().Admin())
	defer admin.Close()
	put := func(body string) int {
		req, _ := http.NewRequest("PUT", admin.URL+"/servers/s1/mode", strings.NewReader(body))
		resp, err := newClient().Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	if put(`{"error_shares":1}`) != 400 || put(`{"error_share":1}`) != 200 {
		t.Fatal("PUT mode: want status 400 for an unknown field and 200 for a valid mode")
	}
	if r := send(s, "op"); r.status != 500 {
		t.Fatalf("response %+v, want status 500 with the mode that was set", r)
	}
}

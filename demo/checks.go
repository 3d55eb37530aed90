package demo

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"time"

	"almondstile/contract"
	"almondstile/header"
	"almondstile/standin/backendsim"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc/pool"
	"github.com/valyala/fasthttp"
)

// call is one request of a check.
type call struct {
	method, path   string
	credential     string
	idempotencyKey string
	operation      string
}

// got is what the caller of a check received.
type got struct {
	status  int
	outcome string
	reason  string
	body    []byte
	err     error
}

func (g got) String() string {
	if g.err != nil {
		return g.err.Error()
	}
	return fmt.Sprintf("%d %s %s", g.status, g.outcome, g.reason)
}

const callTimeout = 10 * time.Second

// send sends a call to one of the VMs. The client never repeats a request.
func (f *fleet) send(vm int, c call) (g got) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(c.method)
	req.SetRequestURI("http://" + f.daemons[vm%len(f.daemons)].CallersAddress() + c.path)
	req.Header.Set(backendsim.HeaderOperationID, c.operation)
	if c.credential != "" {
		req.Header.Set(header.Authorization, "Bearer "+c.credential)
	}
	if c.idempotencyKey != "" {
		req.Header.Set(header.IdempotencyKey, c.idempotencyKey)
	}
	client := fasthttp.Client{MaxIdemponentCallAttempts: 1}
	defer client.CloseIdleConnections()
	if g.err = client.DoTimeout(req, resp, callTimeout); g.err != nil {
		return g
	}
	return got{
		status:  resp.StatusCode(),
		outcome: string(resp.Header.Peek(header.Outcome)),
		reason:  string(resp.Header.Peek(header.Reason)),
		body:    append([]byte(nil), resp.Body()...),
	}
}

func (f *fleet) counter() string { return "counter-key." + f.counterKey }
func (f *fleet) booking() string { return "booking-key." + f.bookingKey }

func get(path, credential string) call {
	return call{method: "GET", path: path, credential: credential, operation: uuid.NewString()}
}

// answered reports whether a call got the whole response to its own request.
func answered(c call, g got) bool {
	return g.status == 200 && g.outcome == "answered" && bytes.Equal(g.body, backendsim.Answer(c.operation, answerBytes))
}

func rejected(g got, status int, reason string) bool {
	return g.status == status && g.outcome == "not-run" && g.reason == reason
}

// runs counts how often the backend servers ran an operation.
func (f *fleet) runs(operation string) int {
	return len(f.backends.Executions(func(e backendsim.Execution) bool { return e.OperationID == operation }))
}

// check is one line of the demo's output.
type check struct {
	name string
	run  func(ctx context.Context, f *fleet) (detail string, ok bool)
}

var checks = []check{
	{"a request with a good key", checkGoodKey},
	{"a request without a key", checkNoKey},
	{"a request on another team's route", checkWrongTeam},
	{"a request on an open route, without a key", checkOpenRoute},
	{"a loan sent twice with one idempotency key", checkIdempotencyKey},
	{"a team over its rate", checkRate},
	{"one slow backend server", checkSlowServer},
	{"a withdrawn key on every VM", checkWithdrawnKey},
	{"no key reached a backend server", checkNoKeyLeaked},
}

func runChecks(ctx context.Context, f *fleet, out io.Writer) (failed int) {
	for _, c := range checks {
		detail, ok := c.run(ctx, f)
		verdict := "ok    "
		if !ok {
			verdict = "FAILED"
			failed++
		}
		_, _ = fmt.Fprintf(out, "%s %s: %s\n", verdict, c.name, detail)
	}
	return failed
}

func checkGoodKey(_ context.Context, f *fleet) (string, bool) {
	c := get("/stock/hut-7", f.counter())
	g := f.send(0, c)
	return g.String(), answered(c, g)
}

func checkNoKey(_ context.Context, f *fleet) (string, bool) {
	c := get("/stock/hut-7", "")
	g := f.send(1, c)
	return g.String(), rejected(g, 401, "no-key") && f.runs(c.operation) == 0
}

func checkWrongTeam(_ context.Context, f *fleet) (string, bool) {
	c := get("/loans/1", f.booking())
	g := f.send(2, c)
	return g.String(), rejected(g, 403, "wrong-team") && f.runs(c.operation) == 0
}

func checkOpenRoute(_ context.Context, f *fleet) (string, bool) {
	c := get("/opening-hours", "")
	g := f.send(0, c)
	return g.String(), answered(c, g)
}

func checkIdempotencyKey(_ context.Context, f *fleet) (string, bool) {
	c := call{method: "POST", path: "/loans", credential: f.counter(), idempotencyKey: uuid.NewString(), operation: uuid.NewString()}
	first, second := f.send(0, c), f.send(1, c)
	ran := f.runs(c.operation)
	detail := fmt.Sprintf("%s, then %s; it ran %d time(s)", first, second, ran)
	return detail, answered(c, first) && answered(c, second) && ran == 1
}

// checkRate sends ten requests at once for a team with a rate of 2 a second and
// a burst of 3, after its bucket has had the time to fill.
func checkRate(ctx context.Context, f *fleet) (string, bool) {
	const sent, burst, rate = 10, 3, 2
	select {
	case <-time.After(burst * time.Second / rate):
	case <-ctx.Done():
	}
	admitted, limited := 0, 0
	results := pool.NewWithResults[got]()
	for i := range sent {
		results.Go(func() got { return f.send(i, get("/stock/hut-7", f.booking())) })
	}
	for _, g := range results.Wait() {
		switch {
		case g.status == 200:
			admitted++
		case rejected(g, 429, "rate-limited"):
			limited++
		}
	}
	detail := fmt.Sprintf("%d of %d admitted, %d rejected as not run", admitted, sent, limited)
	// The rate of 2 a second may add one request while these are under way.
	return detail, admitted >= 1 && admitted <= burst+1 && admitted+limited == sent
}

// checkSlowServer makes one server slow and expects that all callers are
// answered and that the server gets no more requests after a while.
func checkSlowServer(ctx context.Context, f *fleet) (string, bool) {
	const slow = contract.ServerID("shelfview-1")
	if err := f.backends.SetMode(slow, backendsim.Mode{SlowFactor: 30}); err != nil {
		return err.Error(), false
	}
	defer func() { _ = f.backends.SetMode(slow, backendsim.Mode{}) }()
	start := time.Now()
	sent, failures := 0, 0
	for ; time.Since(start) < 6*time.Second && ctx.Err() == nil; sent++ {
		c := get("/stock/hut-7", f.counter())
		if !answered(c, f.send(sent, c)) {
			failures++
		}
	}
	last := f.lastStart(slow).Sub(start)
	detail := fmt.Sprintf("%d of %d requests answered; the server's last request started after %.1f s", sent-failures, sent, last.Seconds())
	return detail, failures == 0 && last < 5*time.Second
}

func (f *fleet) lastStart(id contract.ServerID) (last time.Time) {
	f.backends.Executions(func(e backendsim.Execution) bool {
		if e.Server == id && e.Start.After(last) {
			last = e.Start
		}
		return false
	})
	return last
}

func checkWithdrawnKey(ctx context.Context, f *fleet) (string, bool) {
	if err := f.apply(ctx, contract.NewIntent(contract.WithdrawKey{ID: "counter-key"})); err != nil {
		return err.Error(), false
	}
	ok, detail := true, ""
	for i := range f.daemons {
		g := f.send(i, get("/stock/hut-7", f.counter()))
		ok = ok && rejected(g, 401, "bad-key")
		detail += g.String() + "; "
	}
	return detail, ok
}

func checkNoKeyLeaked(_ context.Context, f *fleet) (string, bool) {
	all := f.backends.Executions(nil)
	leaked := f.backends.Executions(func(e backendsim.Execution) bool { return len(e.Secrets) > 0 })
	return fmt.Sprintf("%d executions, %d with a key", len(all), len(leaked)), len(leaked) == 0 && len(all) > 0
}

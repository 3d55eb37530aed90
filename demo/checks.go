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

// call is one request of a check. operationID identifies it in the records of the
// backend servers.
type call struct {
	method, path   string
	credential     string
	idempotencyKey string
	operationID    string
}

// callResult is the response or the error of a call. outcome and reason are header
// values of the response.
type callResult struct {
	status  int
	outcome string
	reason  string
	body    []byte
	err     error
}

func (g callResult) String() string {
	if g.err != nil {
		return g.err.Error()
	}
	return fmt.Sprintf("%d %s %s", g.status, g.outcome, g.reason)
}

const callTimeout = 10 * time.Second

// send sends a call to the VM at vmIndex (modulo the number of VMs). The client
// never retries, so that executionCount shows only attempts made by the VMs.
func (f *fleet) send(vmIndex int, c call) (g callResult) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(c.method)
	req.SetRequestURI("http://" + f.daemons[vmIndex%len(f.daemons)].CallersAddress() + c.path)
	req.Header.Set(backendsim.HeaderOperationID, c.operationID)
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
	return callResult{
		status:  resp.StatusCode(),
		outcome: string(resp.Header.Peek(header.Outcome)),
		reason:  string(resp.Header.Peek(header.Reason)),
		body:    append([]byte(nil), resp.Body()...),
	}
}

// counterCredential returns the credential of the counter team's key.
func (f *fleet) counterCredential() string { return "counter-key." + f.counterSecret }

// bookingCredential returns the credential of the booking team's key.
func (f *fleet) bookingCredential() string { return "booking-key." + f.bookingSecret }

// newGet returns a GET request with a new operation ID.
func newGet(path, credential string) call {
	return call{method: "GET", path: path, credential: credential, operationID: uuid.NewString()}
}

// gotOwnResponse reports whether a call got the complete response to its own
// request. The body of a stand-in's response depends on the operation ID.
func gotOwnResponse(c call, g callResult) bool {
	return g.status == 200 && g.outcome == "answered" && bytes.Equal(g.body, backendsim.Answer(c.operationID, responseBytes))
}

// wasRejected reports whether the fleet rejected a call without executing it, with
// the given status and reason.
func wasRejected(g callResult, status int, reason string) bool {
	return g.status == status && g.outcome == "not-run" && g.reason == reason
}

// executionCount returns how often the backend servers executed an operation.
func (f *fleet) executionCount(operationID string) int {
	return len(f.backends.Executions(func(e backendsim.Execution) bool { return e.OperationID == operationID }))
}

// check is one named check. Its detail is printed after the name.
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

// runChecks runs all checks in order, prints one line for each, and returns how many
// failed.
func runChecks(ctx context.Context, f *fleet, out io.Writer) (failed int) {
	for _, c := range checks {
		detail, ok := c.run(ctx, f)
		result := "ok    "
		if !ok {
			result = "FAILED"
			failed++
		}
		_, _ = fmt.Fprintf(out, "%s %s: %s\n", result, c.name, detail)
	}
	return failed
}

// checkGoodKey sends a request with a valid key and expects the response.
func checkGoodKey(_ context.Context, f *fleet) (string, bool) {
	c := newGet("/stock/hut-7", f.counterCredential())
	g := f.send(0, c)
	return g.String(), gotOwnResponse(c, g)
}

// checkNoKey sends a request without a key. It expects a rejection with status 401
// and no execution.
func checkNoKey(_ context.Context, f *fleet) (string, bool) {
	c := newGet("/stock/hut-7", "")
	g := f.send(1, c)
	return g.String(), wasRejected(g, 401, "no-key") && f.executionCount(c.operationID) == 0
}

// checkWrongTeam sends a request to a route that the key's team may not use. It
// expects a rejection with status 403 and no execution.
func checkWrongTeam(_ context.Context, f *fleet) (string, bool) {
	c := newGet("/loans/1", f.bookingCredential())
	g := f.send(2, c)
	return g.String(), wasRejected(g, 403, "wrong-team") && f.executionCount(c.operationID) == 0
}

// checkOpenRoute sends a request without a key to a route that is open to all, and
// expects the response.
func checkOpenRoute(_ context.Context, f *fleet) (string, bool) {
	c := newGet("/opening-hours", "")
	g := f.send(0, c)
	return g.String(), gotOwnResponse(c, g)
}

// checkIdempotencyKey sends the same POST with one idempotency key to two VMs. It
// expects the response both times and one execution.
func checkIdempotencyKey(_ context.Context, f *fleet) (string, bool) {
	c := call{method: "POST", path: "/loans", credential: f.counterCredential(), idempotencyKey: uuid.NewString(), operationID: uuid.NewString()}
	first, second := f.send(0, c), f.send(1, c)
	executions := f.executionCount(c.operationID)
	detail := fmt.Sprintf("%s, then %s; it ran %d time(s)", first, second, executions)
	return detail, gotOwnResponse(c, first) && gotOwnResponse(c, second) && executions == 1
}

// checkRate sends ten requests at once for a team with a rate of 2 requests per
// second and a burst of 3. It first waits until the team's bucket is full.
func checkRate(ctx context.Context, f *fleet) (string, bool) {
	const requestCount, burst, rate = 10, 3, 2
	select {
	case <-time.After(burst * time.Second / rate):
	case <-ctx.Done():
	}
	admitted, limited := 0, 0
	results := pool.NewWithResults[callResult]()
	for i := range requestCount {
		results.Go(func() callResult { return f.send(i, newGet("/stock/hut-7", f.bookingCredential())) })
	}
	for _, g := range results.Wait() {
		switch {
		case g.status == 200:
			admitted++
		case wasRejected(g, 429, "rate-limited"):
			limited++
		}
	}
	detail := fmt.Sprintf("%d of %d admitted, %d rejected as not run", admitted, requestCount, limited)
	// At 2 requests per second, the bucket may gain one token during the check.
	return detail, admitted >= 1 && admitted <= burst+1 && admitted+limited == requestCount
}

// checkSlowServer makes one server 30 times slower for 6 s. It expects that every
// request gets its response, and that the server gets no new requests after 5 s.
func checkSlowServer(ctx context.Context, f *fleet) (string, bool) {
	const slowServer = contract.ServerID("shelfview-1")
	if err := f.backends.SetMode(slowServer, backendsim.Mode{SlowFactor: 30}); err != nil {
		return err.Error(), false
	}
	defer func() { _ = f.backends.SetMode(slowServer, backendsim.Mode{}) }()
	startedAt := time.Now()
	sent, failures := 0, 0
	for ; time.Since(startedAt) < 6*time.Second && ctx.Err() == nil; sent++ {
		c := newGet("/stock/hut-7", f.counterCredential())
		if !gotOwnResponse(c, f.send(sent, c)) {
			failures++
		}
	}
	lastRequestAt := f.lastStart(slowServer).Sub(startedAt)
	detail := fmt.Sprintf("%d of %d requests answered; the server's last request started after %.1f s", sent-failures, sent, lastRequestAt.Seconds())
	return detail, failures == 0 && lastRequestAt < 5*time.Second
}

// lastStart returns the start of the server's last execution, or the zero time.
func (f *fleet) lastStart(id contract.ServerID) (last time.Time) {
	f.backends.Executions(func(e backendsim.Execution) bool {
		if e.Server == id && e.Start.After(last) {
			last = e.Start
		}
		return false
	})
	return last
}

// checkWithdrawnKey withdraws the counter team's key and expects that each VM then
// rejects it. No later check can use this key.
func checkWithdrawnKey(ctx context.Context, f *fleet) (string, bool) {
	if err := f.applyIntent(ctx, contract.NewIntent(contract.WithdrawKey{ID: "counter-key"})); err != nil {
		return err.Error(), false
	}
	ok, detail := true, ""
	for i := range f.daemons {
		g := f.send(i, newGet("/stock/hut-7", f.counterCredential()))
		ok = ok && wasRejected(g, 401, "bad-key")
		detail += g.String() + "; "
	}
	return detail, ok
}

// checkNoKeyLeaked checks all executions of the earlier checks. It expects that no
// backend server received a key's secret.
func checkNoKeyLeaked(_ context.Context, f *fleet) (string, bool) {
	all := f.backends.Executions(nil)
	leaked := f.backends.Executions(func(e backendsim.Execution) bool { return len(e.Secrets) > 0 })
	return fmt.Sprintf("%d executions, %d with a key", len(all), len(leaked)), len(leaked) == 0 && len(all) > 0
}

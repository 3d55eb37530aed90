package load

import (
	"bytes"
	"context"
	"fmt"
	"strconv"
	"sync/atomic"
	"time"

	"almondstile/request"
	"almondstile/shard"
	"almondstile/standin/backendsim"
	"almondstile/wait"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

const (
	// callerTimeout is longer than the timeouts of the routes, so that the caller
	// still receives the fleet's response to an exceeded deadline.
	callerTimeout = 6 * time.Second
	// maxInFlight limits the calls in flight. At the limit calls are skipped. Such
	// a run is no longer an open loop; Skipped reports the number of these calls.
	maxInFlight = 6000
	// maxAttempts limits the attempts of callers that send an Idempotency-Key.
	// retryPause is the pause before each retry.
	maxAttempts = 3
	retryPause  = 300 * time.Millisecond
	// poisonAttempts limits the attempts of the caller of a poison request.
	poisonAttempts = 3
)

// Generator sends the calls of timetables and records all attempts.
type Generator struct {
	balancer     *Balancer
	calls        shard.Map[string, Call]
	inFlight     atomic.Int64
	skippedCalls atomic.Int64
}

// NewGenerator returns a generator that sends through the balancer.
func NewGenerator(b *Balancer) *Generator { return &Generator{balancer: b} }

// Run sends each call of the timetable at start plus the call's At. It returns when
// all calls have ended. If ctx is done earlier, Run sends no further calls and
// returns when the calls in flight have ended.
func (g *Generator) Run(ctx context.Context, start time.Time, timetable []Arrival) {
	var wg conc.WaitGroup
	defer wg.Wait()
	for _, a := range timetable {
		if !wait.For(ctx, time.Until(start.Add(a.At))) {
			return
		}
		if g.inFlight.Load() >= maxInFlight {
			g.skippedCalls.Add(1)
			continue
		}
		g.inFlight.Add(1)
		wg.Go(func() {
			defer g.inFlight.Add(-1)
			g.runOperation(ctx, a, start.Add(a.At))
		})
	}
}

// Skipped returns the number of calls that were not sent because maxInFlight calls
// were in flight.
func (g *Generator) Skipped() int64 { return g.skippedCalls.Load() }

// Calls returns the records of all attempts in no particular order.
func (g *Generator) Calls() []Call {
	var out []Call
	g.calls.Range(func(_ string, c Call) bool { out = append(out, c); return true })
	return out
}

// runOperation sends an operation. Callers with an Idempotency-Key and callers of
// poison requests retry if there was no response or the outcome is unknown.
func (g *Generator) runOperation(ctx context.Context, a Arrival, intended time.Time) {
	attempts := 1
	if a.IdempotencyKey != "" {
		attempts = maxAttempts
	}
	if a.Kind == Poison {
		attempts = poisonAttempts
	}
	for attempt := 1; attempt <= attempts; attempt++ {
		c := g.sendAttempt(a, attempt, intended)
		g.calls.Store(fmt.Sprintf("%s/%d", a.Operation, attempt), c)
		if c.Status != 0 && c.Outcome != request.Unknown {
			return
		}
		intended = c.Done.Add(retryPause)
		if attempt < attempts && !wait.For(ctx, time.Until(intended)) {
			return
		}
	}
}

// sendAttempt sends one attempt and returns its record. Each attempt of a poison
// caller gets an operation ID of its own, because nothing in the requests shows the
// fleet that they are retries of one another.
func (g *Generator) sendAttempt(a Arrival, attempt int, intended time.Time) Call {
	if a.Kind == Poison {
		a.Operation = fmt.Sprintf("%s-%d", a.Operation, attempt)
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	fillRequest(req, a, attempt)
	c := Call{Arrival: a, Attempt: attempt, Intended: intended, Sent: time.Now()}
	id, err := g.balancer.send(a.Pick+uint64(attempt-1), req, resp, c.Sent.Add(callerTimeout))
	c.Done, c.VM = time.Now(), id
	if err != nil {
		c.Failure, c.Error = classifyFailure(err), err.Error()
		return c
	}
	readResponse(&c, resp)
	return c
}

// fillRequest sets the method, URI, header fields and body of an attempt.
func fillRequest(req *fasthttp.Request, a Arrival, attempt int) {
	req.Header.SetMethod(a.Method)
	req.SetRequestURI("http://fleet" + a.Path)
	if a.Credential != "" {
		req.Header.Set("Authorization", "Bearer "+a.Credential)
	}
	if a.Kind == Unauthorized {
		req.Header.Set(backendsim.HeaderTeam, "intruder")
	}
	if a.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", a.IdempotencyKey)
	}
	req.Header.Set(backendsim.HeaderOperationID, a.Operation)
	req.Header.Set(backendsim.HeaderAttempt, strconv.Itoa(attempt))
	if a.Kind == Poison {
		req.SetBodyString(backendsim.BodyPoison)
	} else if a.Method == "POST" {
		req.SetBodyString("body of " + a.Operation)
	}
}

// classifyFailure maps the error of Balancer.send to a Failure.
func classifyFailure(err error) Failure {
	var dialErr *dialError
	switch {
	case errors.As(err, &dialErr), errors.Is(err, ErrNoVM), errors.Is(err, fasthttp.ErrNoFreeConns):
		return NotSent
	case errors.Is(err, fasthttp.ErrTimeout):
		return NoResponse
	default:
		return ConnectionClosed
	}
}

// readResponse records the status, outcome, reason, request ID and body check of a
// complete response in c.
func readResponse(c *Call, resp *fasthttp.Response) {
	c.Status = resp.StatusCode()
	c.Outcome = request.Outcome(resp.Header.Peek("Almondstile-Outcome"))
	c.Reason = request.Reason(resp.Header.Peek("Almondstile-Reason"))
	c.RequestID = string(resp.Header.Peek(backendsim.HeaderRequestID))
	switch {
	case c.Status >= 300:
		c.Body = BodyError
	case bytes.Equal(resp.Body(), backendsim.Answer(c.Operation, backendsim.DefaultAnswerBytes)):
		c.Body = BodyRight
	default:
		c.Body = BodyWrong
	}
}

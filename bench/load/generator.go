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

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

const (
	// callerTimeout is longer than the routes' timeouts, so that the fleet's
	// own answer about a deadline is seen.
	callerTimeout = 6 * time.Second
	// maxInFlight bounds the calls that wait at a time. A run that reaches it
	// is not an open loop any more and reports it.
	maxInFlight = 6000
	// maxAttempts and retryPause are for callers with an Idempotency-Key.
	maxAttempts = 3
	retryPause  = 300 * time.Millisecond
	// poisonRetries is how often the caller of a poison request repeats it.
	poisonRetries = 3
)

// Generator sends the calls of timetables and keeps their records.
type Generator struct {
	balancer *Balancer
	calls    shard.Map[string, Call]
	inFlight atomic.Int64
	skipped  atomic.Int64
}

// NewGenerator returns a generator that sends through the balancer.
func NewGenerator(b *Balancer) *Generator { return &Generator{balancer: b} }

// Run sends each call at start plus its time and returns when all have ended,
// or when ctx is done and the calls that were sent have ended.
func (g *Generator) Run(ctx context.Context, start time.Time, timetable []Arrival) {
	var wg conc.WaitGroup
	defer wg.Wait()
	for _, a := range timetable {
		if !sleepUntil(ctx, start.Add(a.At)) {
			return
		}
		if g.inFlight.Load() >= maxInFlight {
			g.skipped.Add(1)
			continue
		}
		g.inFlight.Add(1)
		wg.Go(func() {
			defer g.inFlight.Add(-1)
			g.operate(ctx, a, start.Add(a.At))
		})
	}
}

// sleepUntil waits for a time and reports whether it came before ctx ended.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Skipped returns the number of calls that were not sent because too many
// were waiting.
func (g *Generator) Skipped() int64 { return g.skipped.Load() }

// Calls returns the records of all attempts, in no fixed order.
func (g *Generator) Calls() []Call {
	var out []Call
	g.calls.Range(func(_ string, c Call) bool { out = append(out, c); return true })
	return out
}

// operate sends an operation and, for callers that may, sends it again.
func (g *Generator) operate(ctx context.Context, a Arrival, intended time.Time) {
	attempts := 1
	if a.IdempotencyKey != "" {
		attempts = maxAttempts
	}
	if a.Kind == Poison {
		attempts = poisonRetries
	}
	for attempt := 1; attempt <= attempts; attempt++ {
		c := g.call(a, attempt, intended)
		g.calls.Store(fmt.Sprintf("%s/%d", a.Operation, attempt), c)
		if c.Status != 0 && c.Outcome != request.Unknown {
			return
		}
		intended = c.Done.Add(retryPause)
		if attempt < attempts && !sleepUntil(ctx, intended) {
			return
		}
	}
}

// call makes one attempt. Each attempt of a poison caller is an operation of
// its own, because nothing tells the fleet that they belong together.
func (g *Generator) call(a Arrival, attempt int, intended time.Time) Call {
	if a.Kind == Poison {
		a.Operation = fmt.Sprintf("%s-%d", a.Operation, attempt)
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	fill(req, a, attempt)
	c := Call{Arrival: a, Attempt: attempt, Intended: intended, Sent: time.Now()}
	id, err := g.balancer.send(a.Pick+uint64(attempt-1), req, resp, c.Sent.Add(callerTimeout))
	c.Done, c.VM = time.Now(), id
	if err != nil {
		c.Failure, c.Error = failureOf(err), err.Error()
		return c
	}
	read(&c, resp)
	return c
}

func fill(req *fasthttp.Request, a Arrival, attempt int) {
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

func failureOf(err error) Failure {
	var dial *dialError
	switch {
	case errors.As(err, &dial), errors.Is(err, ErrNoVM), errors.Is(err, fasthttp.ErrNoFreeConns):
		return NotSent
	case errors.Is(err, fasthttp.ErrTimeout):
		return NoResponse
	default:
		return ConnectionClosed
	}
}

// read takes over what the caller can see of a complete response.
func read(c *Call, resp *fasthttp.Response) {
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

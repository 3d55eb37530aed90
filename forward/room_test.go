package forward

import (
	"context"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"almondstile/link"
	"almondstile/memory"
	"almondstile/request"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Guards against a message without room that is held or executed, whose sender does not
// learn that it was not, or that is answered with an authentic reply although it is not
// authentic itself.
func TestMessageWithoutRoomIsRefused(t *testing.T) {
	var executions atomic.Int64
	budget := memory.NewBudget(1<<20, time.Now, nil)
	owner := startVMWith(t, "vm2", &staticMembers{}, runnerFunc(func(ctx context.Context, req *request.Request) request.Result {
		executions.Add(1)
		return echoRequest(ctx, req)
	}), budget)
	other := budget.Open("other", func() {})
	other.Begin(memory.Serving, 0)
	if err := other.Take(budget.Largest()); err != nil {
		t.Fatal(err)
	}
	req := newTestRequest()
	req.Body = memory.BodyOf([]byte(strings.Repeat("x", 300<<10)))
	got := newTestClient().Forward(context.Background(), owner, nil, req)
	if got.Outcome != request.NotRun || got.Reason != request.ReasonOverloaded || got.RetryAfter == 0 || executions.Load() > 0 {
		t.Errorf("got %+v, %d executions", got, executions.Load())
	}
	forged, _ := seal(link.Secret(strings.Repeat("x", 32)), nil, newRequestEnvelope("vm1", "vm2", req, time.Now(), false), req.Body.Bytes())
	var httpReq fasthttp.Request
	var httpResp fasthttp.Response
	httpReq.Header.SetMethod("POST")
	httpReq.SetRequestURI("http://" + owner.ForwardAddress + forwardPath)
	httpReq.SetBody(forged)
	if err := fasthttp.Do(&httpReq, &httpResp); err != nil || httpResp.StatusCode() != fasthttp.StatusForbidden {
		t.Errorf("a forged message without room: status %d, %v", httpResp.StatusCode(), err)
	}
	other.GiveBack(budget.Largest())
	if got := newTestClient().Forward(context.Background(), owner, nil, req); got.Outcome != request.Answered || executions.Load() != 1 {
		t.Errorf("with room: %s %s, %d executions", got.Outcome, got.Reason, executions.Load())
	}
	// A sender has its reply before the other VM gives back what the message held.
	for limit := time.Now().Add(10 * time.Second); budget.Used() != 0 && time.Now().Before(limit); {
		time.Sleep(time.Millisecond)
	}
	if used := budget.Used(); used != 0 {
		t.Errorf("%d bytes were not given back", used)
	}
}

// Guards against a message that is cut short and counts as one that was refused.
func TestMessageThatIsSkippedIsComplete(t *testing.T) {
	message, err := seal(testSecret, nil, newRequestEnvelope("vm1", "vm2", newTestRequest(), time.Now(), false), []byte("body"))
	if err != nil {
		t.Fatal(err)
	}
	for n := range message {
		for _, r := range []io.Reader{strings.NewReader(string(message[:n])), io.MultiReader(strings.NewReader(string(message[:n])), strings.NewReader("\x00"))} {
			var envelope requestEnvelope
			if _, err := skip(testSecret, nil, r, len(message), len(message), &envelope); !errors.Is(err, ErrInvalidMessage) {
				t.Fatalf("%d of %d bytes: got %v", n, len(message), err)
			}
		}
	}
	var envelope requestEnvelope
	if mac, err := skip(testSecret, nil, strings.NewReader(string(message)), len(message), len(message), &envelope); err != nil || string(mac) != string(message[:macBytes]) || envelope.ID != "r1" {
		t.Errorf("the whole message: %v, %+v", err, envelope)
	}
}

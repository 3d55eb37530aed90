package forward

import (
	"context"
	"reflect"
	"sync/atomic"
	"testing"
	"time"

	"almondstile/httpconn"
	"almondstile/link"
	"almondstile/request"
	"almondstile/upstream"
	"almondstile/vm"

	"github.com/valyala/fasthttp"
)

// fakeRelay returns relayedExchange for each exchange. It counts those that came
// from vm1 with all fields (executed) and those past their deadline (expired).
type fakeRelay struct {
	runnerFunc
	expired, executed atomic.Int64
}

// relayedExchange has a value in each field.
var relayedExchange = upstream.Exchange{
	Result:   request.Result{Outcome: request.Unknown, Reason: request.ReasonServerCrashed, Body: []byte("part")},
	Instance: "i1", Violation: httpconn.ViolationFieldName, Latency: time.Millisecond, ConnectFailed: true, ConnectionRefused: true, Silent: true, ClosedWithoutResponse: true, Crashed: true,
}

func (x *fakeRelay) Exchange(ctx context.Context, from vm.ID, req *request.Request) (upstream.Exchange, bool) {
	if ctx.Err() != nil {
		x.expired.Add(1)
		return upstream.Exchange{Result: request.Rejected(request.ReasonDeadline)}, false
	}
	want := newTestRequest()
	want.Route, want.Weight, want.Deadline = "", 0, req.Deadline
	if from == "vm1" && reflect.DeepEqual(req, want) {
		x.executed.Add(1)
	}
	return relayedExchange, true
}

// Guards against exchange fields that are missing from a message to the relay or
// from its reply, against a caller's key ID that is sent to the relay, and
// against a rejection by the relay that is reported as an attempt at the server.
func TestExchangeFieldsSurviveTheRelayHop(t *testing.T) {
	x := &fakeRelay{runnerFunc: echoRequest}
	relay := startVM(t, "vm2", &staticMembers{}, x)
	client := NewExchangeClient("vm1", testSecret, &link.Links{}, httpconn.DefaultOptions())
	defer client.CloseIdle(true)
	req := newTestRequest()
	req.Key = "k1"
	if e, ran := client.Exchange(context.Background(), relay, req); !ran || !reflect.DeepEqual(e, relayedExchange) || x.executed.Load() != 1 {
		t.Errorf("got %+v, ran %v", e, ran)
	}
	relay.ID = "vm3"
	if e, ran := client.Exchange(context.Background(), relay, req); ran || e.Result.Outcome != request.NotRun {
		t.Errorf("message for another VM: %+v, ran %v", e, ran)
	}
}

// Guards against a relay that accepts an exchange message as a forwarded request
// or the reverse, executes a duplicate of a message, or executes a message that
// the network delayed beyond its deadline.
func TestInvalidExchangeMessagesAreRejected(t *testing.T) {
	x := &fakeRelay{runnerFunc: echoRequest}
	relay := startVM(t, "vm2", &staticMembers{}, x)
	now := time.Now()
	message := func(macContext []byte, envelope any) []byte {
		sealed, err := seal(testSecret, macContext, envelope, []byte("body"))
		if err != nil {
			t.Fatal(err)
		}
		return sealed
	}
	valid := message(exchangeMACContext, newExchangeEnvelope("vm1", "vm2", newTestRequest(), now))
	delayed := newExchangeEnvelope("vm1", "vm2", newTestRequest(), now)
	delayed.SentMillis -= delayed.RemainingMicros/1000 + 2*clockTolerance.Milliseconds()
	for i, c := range []struct {
		path    string
		message []byte
		status  int
	}{
		{forwardPath, valid, 403}, {exchangePath, valid, 200}, {exchangePath, valid, 409},
		{exchangePath, message(nil, newRequestEnvelope("vm1", "vm2", newTestRequest(), now, false)), 403},
		{exchangePath, message(exchangeMACContext, delayed), 200},
	} {
		var req fasthttp.Request
		var resp fasthttp.Response
		req.Header.SetMethod("POST")
		req.SetRequestURI("http://" + relay.ForwardAddress + c.path)
		req.SetBody(c.message)
		if err := fasthttp.Do(&req, &resp); err != nil || resp.StatusCode() != c.status {
			t.Errorf("message %d: status %d, error %v; want %d", i, resp.StatusCode(), err, c.status)
		}
	}
	if x.executed.Load() != 1 || x.expired.Load() != 1 {
		t.Errorf("%d executed, %d past their deadline; want 1 and 1", x.executed.Load(), x.expired.Load())
	}
}

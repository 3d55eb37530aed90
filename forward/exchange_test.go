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

// exchanges is a VM that relays exchanges and owns nothing.
type exchanges struct {
	runnerFunc
	late, ran atomic.Int64
}

var exchanged = upstream.Exchange{
	Result:   request.Result{Outcome: request.Unknown, Reason: request.ReasonServerCrashed, Body: []byte("part")},
	Instance: "i1", Latency: time.Millisecond, ConnectFailed: true, ConnectionRefused: true, Silent: true, ClosedWithoutResponse: true, Crashed: true,
}

func (x *exchanges) Exchange(ctx context.Context, from vm.ID, req *request.Request) (upstream.Exchange, bool) {
	if ctx.Err() != nil {
		x.late.Add(1)
		return upstream.Exchange{Result: request.Rejected(request.ReasonDeadline)}, false
	}
	want := sample()
	want.Route, want.Weight, want.Deadline = "", 0, req.Deadline
	if from == "vm1" && reflect.DeepEqual(req, want) {
		x.ran.Add(1)
	}
	return exchanged, true
}

// Guards against fields that get lost on the way to and from a relay, a key that
// reaches it, and rejections that are taken for exchanges.
func TestExchangesAreCarriedWhole(t *testing.T) {
	x := &exchanges{runnerFunc: echo}
	relay := startVM(t, "vm2", &fixedList{}, x)
	client := NewExchangeClient("vm1", testSecret, &link.Links{}, httpconn.DefaultOptions())
	defer client.CloseIdle(true)
	req := sample()
	req.Key = "k1"
	if e, ran := client.Exchange(context.Background(), relay, req); !ran || !reflect.DeepEqual(e, exchanged) || x.ran.Load() != 1 {
		t.Errorf("got %+v, ran %v", e, ran)
	}
	relay.ID = "vm3"
	if e, ran := client.Exchange(context.Background(), relay, req); ran || e.Result.Outcome != request.NotRun {
		t.Errorf("message for another VM: %+v, ran %v", e, ran)
	}
}

// Guards against a relay taking an exchange for a forward or the other way
// round, running a repeated one, and running one that was held up on the way
// past its deadline.
func TestExchangeMessagesAreChecked(t *testing.T) {
	x := &exchanges{runnerFunc: echo}
	relay := startVM(t, "vm2", &fixedList{}, x)
	now := time.Now()
	message := func(kind []byte, envelope any) []byte {
		sealed, err := seal(testSecret, kind, envelope, []byte("body"))
		if err != nil {
			t.Fatal(err)
		}
		return sealed
	}
	good := message(exchangeKind, exchangeOf("vm1", "vm2", sample(), now))
	held := exchangeOf("vm1", "vm2", sample(), now)
	held.SentMillis -= held.RemainingMicros/1000 + 2*clockTolerance.Milliseconds()
	for i, c := range []struct {
		path    string
		message []byte
		status  int
	}{
		{path, good, 403}, {exchangePath, good, 200}, {exchangePath, good, 409},
		{exchangePath, message(nil, envelopeOf("vm1", "vm2", sample(), now, false)), 403},
		{exchangePath, message(exchangeKind, held), 200},
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
	if x.ran.Load() != 1 || x.late.Load() != 1 {
		t.Errorf("%d ran, %d came late; want 1 and 1", x.ran.Load(), x.late.Load())
	}
}

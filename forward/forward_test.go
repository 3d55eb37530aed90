package forward

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"almondstile/httpconn"
	"almondstile/link"
	"almondstile/logging"
	"almondstile/request"
	"almondstile/vm"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

var testSecret = link.Secret(strings.Repeat("s", link.MinSecretBytes))

type runnerFunc func(ctx context.Context, req *request.Request) request.Result

func (f runnerFunc) Run(ctx context.Context, req *request.Request) request.Result { return f(ctx, req) }

type fixedList []vm.VM

func (l *fixedList) List() vm.MemberList { return vm.MemberList{VMs: *l} }

func startVM(t *testing.T, id vm.ID, list *fixedList, runner Runner) vm.VM {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	links := &link.Links{}
	client := NewClient(id, testSecret, links, runner, httpconn.DefaultOptions())
	s := NewServer(id, testSecret, links, list, runner, client,
		Options{MaxMessageBytes: 1 << 20, IdleTimeout: time.Minute}, logging.Discard().Part("forward"))
	if relay, ok := runner.(ExchangeRelay); ok {
		s.SetExchangeRelay(relay)
	}
	var wg conc.WaitGroup
	wg.Go(func() { _ = s.Serve(listener) })
	t.Cleanup(func() {
		client.CloseIdle(true)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_ = s.Shutdown(ctx)
		wg.Wait()
	})
	return vm.VM{ID: id, ForwardAddress: listener.Addr().String()}
}

func sample() *request.Request {
	return &request.Request{
		ID: "r1", Service: "shelfview", Server: "s1", Team: "counter", Weight: 2,
		Method: "POST", Target: "/stock?hut=1", Body: []byte("body"),
		Header:   []request.HeaderField{{Name: "X-Note", Value: "väl\u2028ue"}},
		Deadline: time.Now().Add(10 * time.Second),
	}
}

func echo(_ context.Context, req *request.Request) request.Result {
	return request.Result{Outcome: request.Answered, Status: 201, Header: req.Header,
		Body: append([]byte(req.Target+" "), req.Body...), ServiceState: []byte{1}}
}

func newTestClient() *Client {
	local := runnerFunc(func(context.Context, *request.Request) request.Result { return request.Rejected("local") })
	return NewClient("vm1", testSecret, &link.Links{}, local, httpconn.DefaultOptions())
}

// Guards against fields that get lost between VMs, directly and over a relay.
func TestRequestsAndResultsAreCarriedWhole(t *testing.T) {
	list := &fixedList{}
	owner := startVM(t, "vm2", list, runnerFunc(echo))
	relay := startVM(t, "vm3", list, runnerFunc(func(context.Context, *request.Request) request.Result {
		return request.Rejected(request.ReasonNotOwner)
	}))
	*list = fixedList{owner, relay}
	c := newTestClient()
	for _, via := range []*vm.VM{nil, &relay} {
		got := c.Forward(context.Background(), owner, via, sample())
		if got.Outcome != request.Answered || got.Status != 201 || string(got.Body) != "/stock?hut=1 body" ||
			len(got.Header) != 1 || got.Header[0].Value != "väl\u2028ue" || len(got.ServiceState) != 1 {
			t.Errorf("via %v: got %+v", via, got)
		}
	}
}

// Guards against a false "not run" when the owner dies after it got the request.
func TestLostReplyIsUnknown(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		nc, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = nc.Read(make([]byte, 1))
		_ = nc.Close()
	})
	got := newTestClient().Forward(context.Background(), vm.VM{ID: "vm2", ForwardAddress: listener.Addr().String()}, nil, sample())
	if got.Outcome != request.Unknown {
		t.Fatalf("got %+v", got)
	}
}

// Guards against a message that the network repeats running twice, and against
// messages of senders without the secret.
func TestRepeatedAndForgedMessagesDoNotRun(t *testing.T) {
	var runs atomic.Int64
	list := &fixedList{}
	owner := startVM(t, "vm2", list, runnerFunc(func(ctx context.Context, req *request.Request) request.Result {
		runs.Add(1)
		return echo(ctx, req)
	}))
	message, err := seal(testSecret, nil, envelopeOf("vm1", "vm2", sample(), time.Now(), false), []byte("body"))
	if err != nil {
		t.Fatal(err)
	}
	forged, _ := seal(link.Secret(strings.Repeat("x", 32)), nil, envelopeOf("vm1", "vm2", sample(), time.Now(), false), nil)
	old, _ := seal(testSecret, nil, envelopeOf("vm1", "vm2", sample(), time.Now().Add(-2*maxAge), false), nil)
	for i, want := range []struct {
		message []byte
		status  int
	}{{message, 200}, {message, 409}, {forged, 403}, {old, 403}, {message[:10], 403}} {
		var req fasthttp.Request
		var resp fasthttp.Response
		req.Header.SetMethod("POST")
		req.SetRequestURI("http://" + owner.ForwardAddress + path)
		req.SetBody(want.message)
		if err := fasthttp.Do(&req, &resp); err != nil || resp.StatusCode() != want.status {
			t.Errorf("message %d: status %d, error %v; want %d", i, resp.StatusCode(), err, want.status)
		}
	}
	if runs.Load() != 1 {
		t.Errorf("%d runs, want 1", runs.Load())
	}
}

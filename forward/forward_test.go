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
	"almondstile/memory"
	"almondstile/request"
	"almondstile/vm"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

var testSecret = link.Secret(strings.Repeat("s", link.MinSecretBytes))

type runnerFunc func(ctx context.Context, req *request.Request) request.Result

func (f runnerFunc) Run(ctx context.Context, req *request.Request) request.Result { return f(ctx, req) }

// staticMembers is a member list that the test sets.
type staticMembers []vm.VM

func (l *staticMembers) List() vm.MemberList { return vm.MemberList{VMs: *l} }

// startVM starts a forward server on a loopback address and returns its VM.
func startVM(t *testing.T, id vm.ID, list *staticMembers, runner Runner) vm.VM {
	t.Helper()
	return startVMWith(t, id, list, runner, nil)
}

// startVMWith is startVM with a budget of bytes.
func startVMWith(t *testing.T, id vm.ID, list *staticMembers, runner Runner, budget *memory.Budget) vm.VM {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	links := &link.Links{}
	client := NewClient(id, testSecret, links, runner, httpconn.DefaultOptions())
	s := NewServer(id, testSecret, links, list, runner, client,
		Options{MaxMessageBytes: 1 << 20, IdleTimeout: time.Minute, Budget: budget}, logging.Discard().Part("forward"))
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

func newTestRequest() *request.Request {
	return &request.Request{
		ID: "r1", Service: "shelfview", Server: "s1", Team: "counter", Weight: 2,
		Method: "POST", Target: "/stock?hut=1", Body: memory.BodyOf([]byte("body")),
		Header:   []request.HeaderField{{Name: "X-Note", Value: "väl\u2028ue"}},
		Deadline: time.Now().Add(10 * time.Second),
	}
}

// echoRequest responds with the request's header, target and body.
func echoRequest(_ context.Context, req *request.Request) request.Result {
	return request.Result{Outcome: request.Answered, Status: 201, Header: req.Header,
		Body: append([]byte(req.Target+" "), req.Body.Bytes()...), ServiceState: []byte{1}}
}

// newTestClient returns the client of vm1, which owns no backend server.
func newTestClient() *Client {
	local := runnerFunc(func(context.Context, *request.Request) request.Result { return request.Rejected("local") })
	return NewClient("vm1", testSecret, &link.Links{}, local, httpconn.DefaultOptions())
}

// Guards against fields of a request or result that the envelopes between VMs
// leave out, both when the entry VM reaches the owner directly and over a relay.
func TestRequestAndResultFieldsSurviveForwarding(t *testing.T) {
	list := &staticMembers{}
	owner := startVM(t, "vm2", list, runnerFunc(echoRequest))
	relay := startVM(t, "vm3", list, runnerFunc(func(context.Context, *request.Request) request.Result {
		return request.Rejected(request.ReasonNotOwner)
	}))
	*list = staticMembers{owner, relay}
	c := newTestClient()
	for _, relayVM := range []*vm.VM{nil, &relay} {
		got := c.Forward(context.Background(), owner, relayVM, newTestRequest())
		if got.Outcome != request.Answered || got.Status != 201 || string(got.Body) != "/stock?hut=1 body" ||
			len(got.Header) != 1 || got.Header[0].Value != "väl\u2028ue" || len(got.ServiceState) != 1 {
			t.Errorf("via %v: got %+v", relayVM, got)
		}
	}
}

// Guards against a false "not run": the owner's process ends after it received
// part of the request, so the request may have been executed.
func TestLostReplyHasUnknownOutcome(t *testing.T) {
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
	got := newTestClient().Forward(context.Background(), vm.VM{ID: "vm2", ForwardAddress: listener.Addr().String()}, nil, newTestRequest())
	if got.Outcome != request.Unknown {
		t.Fatalf("got %+v", got)
	}
}

// Guards against a request that is executed twice because its message arrives
// twice, and against messages that are accepted although the sender does not
// have the secret, they are older than maxMessageAge, or they are cut short.
func TestDuplicateAndForgedMessagesAreNotExecuted(t *testing.T) {
	var executions atomic.Int64
	list := &staticMembers{}
	owner := startVM(t, "vm2", list, runnerFunc(func(ctx context.Context, req *request.Request) request.Result {
		executions.Add(1)
		return echoRequest(ctx, req)
	}))
	message, err := seal(testSecret, nil, newRequestEnvelope("vm1", "vm2", newTestRequest(), time.Now(), false), []byte("body"))
	if err != nil {
		t.Fatal(err)
	}
	forged, _ := seal(link.Secret(strings.Repeat("x", 32)), nil, newRequestEnvelope("vm1", "vm2", newTestRequest(), time.Now(), false), nil)
	expired, _ := seal(testSecret, nil, newRequestEnvelope("vm1", "vm2", newTestRequest(), time.Now().Add(-2*maxMessageAge), false), nil)
	for i, want := range []struct {
		message []byte
		status  int
	}{{message, 200}, {message, 409}, {forged, 403}, {expired, 403}, {message[:10], 403}} {
		var req fasthttp.Request
		var resp fasthttp.Response
		req.Header.SetMethod("POST")
		req.SetRequestURI("http://" + owner.ForwardAddress + forwardPath)
		req.SetBody(want.message)
		if err := fasthttp.Do(&req, &resp); err != nil || resp.StatusCode() != want.status {
			t.Errorf("message %d: status %d, error %v; want %d", i, resp.StatusCode(), err, want.status)
		}
	}
	if executions.Load() != 1 {
		t.Errorf("%d executions, want 1", executions.Load())
	}
}

package httpfront

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"almondstile/entry"
	"almondstile/header"
	"almondstile/logging"
	"almondstile/request"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

type dispatcherFunc func(ctx context.Context, in entry.IncomingRequest) (string, request.Result)

func (f dispatcherFunc) Do(ctx context.Context, in entry.IncomingRequest) (string, request.Result) {
	return f(ctx, in)
}

func newTestOptions() Options {
	return Options{MaxHeaderBytes: 4096, MaxBodyBytes: 1024, MaxConnections: 100,
		ReadTimeout: 10 * time.Second, WriteTimeout: 10 * time.Second, IdleTimeout: 10 * time.Second}
}

// startServer starts a server on a loopback address and returns the address.
func startServer(t *testing.T, d dispatcherFunc) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(d, newTestOptions(), logging.Discard().Part("callers"))
	var wg conc.WaitGroup
	wg.Go(func() { _ = s.Serve(listener) })
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		if err := s.Shutdown(ctx); err != nil {
			t.Errorf("shutdown: %v", err)
		}
		wg.Wait()
	})
	return listener.Addr().String()
}

// sendRaw writes raw bytes and returns the status and body of the response.
func sendRaw(t *testing.T, address, raw string) (int, string) {
	t.Helper()
	nc, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	if _, err := io.WriteString(nc, raw); err != nil {
		t.Fatal(err)
	}
	var resp fasthttp.Response
	if err := resp.Read(bufio.NewReader(nc)); err != nil {
		t.Fatalf("reading the response to %.40q: %v", raw, err)
	}
	return resp.StatusCode(), string(resp.Body())
}

// Guards against request smuggling by requests with ambiguous framing, and against
// oversized or malformed requests that are dropped without a clear error.
func TestMalformedRequestsAreRejected(t *testing.T) {
	address := startServer(t, func(context.Context, entry.IncomingRequest) (string, request.Result) {
		return "id", request.Result{Outcome: request.Answered, Status: 200}
	})
	postHead := "POST /a HTTP/1.1\r\nHost: h\r\n"
	cases := map[string]struct {
		raw    string
		status int
	}{
		"valid":                   {postHead + "Content-Length: 1\r\n\r\nx", 200},
		"two lengths":             {postHead + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nxy", 400},
		"length and chunks":       {postHead + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		"chunks and length":       {postHead + "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n0\r\n\r\n", 400},
		"negative length":         {postHead + "Content-Length: -1\r\n\r\n", 400},
		"two hosts":               {"GET /a HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n", 400},
		"no host":                 {"GET /a HTTP/1.1\r\n\r\n", 400},
		"header over the limit":   {"GET /a HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 8192) + "\r\n\r\n", 431},
		"body over the limit":     {postHead + "Content-Length: 2000\r\n\r\n" + strings.Repeat("x", 2000), 413},
		"not HTTP":                {"hello\r\n\r\n", 400},
		"space before the colon":  {"GET /a HTTP/1.1\r\nHost: h\r\nContent-Length : 5\r\n\r\nhello", 400},
		"folded header line":      {"GET /a HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n", 400},
		"unknown transfer coding": {postHead + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400},
	}
	for name, c := range cases {
		if status, body := sendRaw(t, address, c.raw); status != c.status {
			t.Errorf("%s: status %d (%s), want %d", name, status, body, c.status)
		}
	}
}

// Guards against a request that is served to its end although its caller has
// closed the connection.
func TestHangupCancelsTheRequest(t *testing.T) {
	running, canceled := make(chan struct{}), make(chan struct{})
	address := startServer(t, func(ctx context.Context, _ entry.IncomingRequest) (string, request.Result) {
		close(running)
		<-ctx.Done()
		close(canceled)
		return "id", request.UnknownResult(request.ReasonCanceled)
	})
	nc, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(nc, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
	<-running
	_ = nc.Close()
	<-canceled
}

// Guards against a pipelined request that loses bytes to the check for closed
// connections, and against responses in the wrong order.
func TestPipelinedRequestsKeepTheirOrder(t *testing.T) {
	address := startServer(t, func(_ context.Context, in entry.IncomingRequest) (string, request.Result) {
		return "id", request.Result{Outcome: request.Answered, Status: 200, Body: []byte(in.Path)}
	})
	nc, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	_, _ = io.WriteString(nc, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\nGET /3 HTTP/1.1\r\nHost: h\r\n\r\n")
	r := bufio.NewReader(nc)
	for _, want := range []string{"/1", "/2", "/3"} {
		var resp fasthttp.Response
		if err := resp.Read(r); err != nil || string(resp.Body()) != want {
			t.Fatalf("got %q, %v; want %q", resp.Body(), err, want)
		}
	}
}

// Guards against error responses that do not state whether the request was
// executed and why it failed.
func TestOutcomesAreVisibleToCallers(t *testing.T) {
	results := map[string]request.Result{
		"/rate":    {Outcome: request.NotRun, Reason: request.ReasonRateLimited, RetryAfter: 1500 * time.Millisecond},
		"/busy":    request.Rejected(request.ReasonBusy),
		"/lost":    request.UnknownResult(request.ReasonLostResponse),
		"/timeout": request.UnknownResult(request.ReasonDeadline),
	}
	address := startServer(t, func(_ context.Context, in entry.IncomingRequest) (string, request.Result) {
		return "id", results[in.Path]
	})
	for path, want := range map[string]struct {
		status     int
		retryAfter string
	}{"/rate": {429, "2"}, "/busy": {503, "1"}, "/lost": {502, ""}, "/timeout": {504, ""}} {
		var req fasthttp.Request
		var resp fasthttp.Response
		req.SetRequestURI("http://" + address + path)
		if err := fasthttp.Do(&req, &resp); err != nil {
			t.Fatal(err)
		}
		outcome := string(resp.Header.Peek(header.Outcome))
		if resp.StatusCode() != want.status || outcome != string(results[path].Outcome) ||
			string(resp.Header.Peek(header.RetryAfter)) != want.retryAfter ||
			!strings.Contains(string(resp.Body()), `"reason":"`+string(results[path].Reason)+`"`) {
			t.Errorf("%s: status %d, headers %s, body %s", path, resp.StatusCode(), resp.Header.String(), resp.Body())
		}
	}
}

// Guards against a process that ends, and cuts all callers, because one request makes
// the dispatcher panic.
func TestPanicOfOneRequestLeavesOthersAlone(t *testing.T) {
	address := startServer(t, func(_ context.Context, in entry.IncomingRequest) (string, request.Result) {
		if in.Path == "/panic" {
			panic("unexpected")
		}
		return "id", request.Result{Outcome: request.Answered, Status: 200}
	})
	for range 3 {
		status, body := sendRaw(t, address, "GET /panic HTTP/1.1\r\nHost: h\r\n\r\n")
		if status != fasthttp.StatusBadGateway || !strings.Contains(body, string(request.ReasonInternal)) {
			t.Errorf("the request that panics got status %d, body %q", status, body)
		}
		if status, _ := sendRaw(t, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); status != 200 {
			t.Errorf("the next request got status %d", status)
		}
	}
}

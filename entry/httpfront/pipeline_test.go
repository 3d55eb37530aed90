package httpfront

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"almondstile/entry"
	"almondstile/request"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

// Guards against an answer that is ready but held back until the request behind it, on the
// same connection, has been served as well.
func TestAnswerDoesNotWaitForThePipelinedRequest(t *testing.T) {
	received := make(chan struct{})
	s := startStoppableServer(t, func(_ context.Context, in entry.IncomingRequest) (string, request.Result) {
		if in.Path == "/second" {
			<-received // the second request ends only after the first answer has arrived
		}
		return "id", request.Result{Outcome: request.Answered, Status: 200, Body: []byte(in.Path)}
	})
	nc := s.connect()
	_, _ = io.WriteString(nc, "GET /first HTTP/1.1\r\nHost: h\r\n\r\nGET /second HTTP/1.1\r\nHost: h\r\n\r\n")
	_ = nc.SetReadDeadline(time.Now().Add(testLimit))
	reader := bufio.NewReader(nc)
	var resp fasthttp.Response
	err := resp.Read(reader)
	close(received)
	if err != nil || string(resp.Body()) != "/first" {
		t.Fatalf("got %q, %v before the second request ended", resp.Body(), err)
	}
	if err := resp.Read(reader); err != nil || string(resp.Body()) != "/second" {
		t.Errorf("the second request got %q, %v", resp.Body(), err)
	}
}

// Guards against requests that are executed although their caller has left: behind a
// pipelined request, the end of the caller's stream was not seen, so the running request
// was not canceled and the next ones were passed on.
func TestHangupIsSeenBehindPipelinedRequests(t *testing.T) {
	body := strings.Repeat("x", 1000)
	second := "POST /second HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n" + body
	closeAll := func(nc *net.TCPConn) { _ = nc.Close() }
	reset := func(nc *net.TCPConn) { _ = nc.SetLinger(0); _ = nc.Close() }
	closeHalf := func(nc *net.TCPConn) { _ = nc.CloseWrite() }
	for name, c := range map[string]struct {
		together string // sent with the first request
		later    string // sent while it runs
		leave    func(*net.TCPConn)
	}{
		"nothing behind":               {"", "", closeAll},
		"behind in one piece":          {second, "", closeAll},
		"behind in pieces":             {second[:20], second[20:], closeAll},
		"behind later":                 {"", second + second, closeAll},
		"part of a request":            {"", second[:500], closeAll},
		"64 KiB behind":                {"", strings.Repeat(second, 60), closeAll},
		"behind, reset":                {second, second, reset},
		"behind, only one side closed": {second, second, closeHalf},
	} {
		t.Run(name, func(t *testing.T) {
			running, canceled, paths := make(chan struct{}), make(chan struct{}), make(chan string, 100)
			s := startStoppableServer(t, func(ctx context.Context, in entry.IncomingRequest) (string, request.Result) {
				paths <- in.Path
				close(running)
				<-ctx.Done()
				close(canceled)
				return "id", request.UnknownResult(request.ReasonCanceled)
			})
			nc := s.connect().(*net.TCPConn)
			_, _ = io.WriteString(nc, getRequest+c.together)
			<-running
			_, _ = io.WriteString(nc, c.later)
			c.leave(nc)
			select {
			case <-canceled:
			case <-time.After(testLimit):
				t.Fatal("the running request was not canceled")
			}
			s.waitForConnections(0, 0)
			if len(paths) != 1 {
				t.Errorf("%d requests were dispatched, want the first one only", len(paths))
			}
		})
	}
}

// Guards against bytes of pipelined requests that are lost, doubled or reordered by
// reading ahead, also if they arrive in many pieces and exceed the bound.
func TestRequestsThatWereReadAheadAreServedInOrder(t *testing.T) {
	const count = 400 // with their bodies more than may be read ahead
	release := make(chan struct{})
	s := startStoppableServer(t, func(_ context.Context, in entry.IncomingRequest) (string, request.Result) {
		<-release
		return "id", request.Result{Outcome: request.Answered, Status: 200, Body: append([]byte(in.Path), in.Body.Bytes()...)}
	})
	nc := s.connect()
	var wg conc.WaitGroup
	defer wg.Wait()
	body := strings.Repeat("x", 900)
	wg.Go(func() {
		for n := range count {
			_, _ = fmt.Fprintf(nc, "POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", n, len(body), body)
			if n == count/2 {
				close(release)
			}
		}
	})
	_ = nc.SetReadDeadline(time.Now().Add(testLimit))
	reader := bufio.NewReader(nc)
	for n := range count {
		var resp fasthttp.Response
		if err := resp.Read(reader); err != nil || string(resp.Body()) != fmt.Sprintf("/%d%s", n, body) {
			t.Fatalf("answer %d is %.20q, %v", n, resp.Body(), err)
		}
	}
}

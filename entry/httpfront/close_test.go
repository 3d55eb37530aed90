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
	"almondstile/request"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

// largeBody is larger than the buffers of the sockets of a loopback connection.
var largeBody = []byte(strings.Repeat("0123456789abcdef", 1<<18))

// readSlowly reads a response and sends bytes behind the request meanwhile, so that the
// server has unread bytes when it closes the connection.
func readSlowly(t *testing.T, nc net.Conn, behind string) (*fasthttp.Response, error) {
	t.Helper()
	_ = nc.SetDeadline(time.Now().Add(testLimit))
	reader := bufio.NewReader(nc)
	if _, err := reader.Peek(1); err != nil {
		return nil, err
	}
	_, _ = io.WriteString(nc, behind)
	time.Sleep(50 * time.Millisecond) // the server has filled the buffers
	var resp fasthttp.Response
	err := resp.Read(reader)
	if err == nil && len(resp.Body()) > 0 {
		_, err = reader.Peek(1)
		if err == io.EOF {
			err = nil
		}
	}
	return &resp, err
}

// Guards against a response that breaks off with a reset, because the server closes the
// connection while bytes that the caller sent behind its request are unread.
func TestResponseIsCompleteWhenTheConnectionCloses(t *testing.T) {
	for name, c := range map[string]struct {
		first string
		drain bool
	}{
		"planned stop":             {getRequest, true},
		"the caller asks for it":   {"GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", false},
		"a caller of HTTP/1.0":     {"GET /a HTTP/1.0\r\nHost: h\r\n\r\n", false},
		"stop and pipelined bytes": {getRequest + getRequest, true},
	} {
		t.Run(name, func(t *testing.T) {
			running, release := make(chan struct{}, 10), make(chan struct{})
			s := startStoppableServer(t, func(context.Context, entry.IncomingRequest) (string, request.Result) {
				running <- struct{}{}
				<-release
				return "id", request.Result{Outcome: request.Answered, Status: 200, Body: largeBody}
			})
			nc := s.connect()
			_, _ = io.WriteString(nc, c.first)
			<-running
			if c.drain {
				s.Drain()
			}
			close(release)
			resp, err := readSlowly(t, nc, strings.Repeat(getRequest, 3))
			if err != nil || len(resp.Body()) != len(largeBody) {
				t.Fatalf("the response broke off: %v", err)
			}
			if len(running) > 0 {
				t.Error("a request behind the response that closes the connection was dispatched")
			}
		})
	}
}

// Guards against an error response that the caller never sees, because the server resets
// the connection while the caller is still sending its body.
func TestRejectionOfALargeBodyReachesItsCaller(t *testing.T) {
	s := startStoppableServer(t, nil)
	nc := s.connect()
	_, _ = io.WriteString(nc, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n")
	for range 100 {
		if _, err := nc.Write(largeBody[:10000]); err != nil {
			t.Fatalf("the connection was reset while the body was being sent: %v", err)
		}
		time.Sleep(time.Millisecond)
	}
	var resp fasthttp.Response
	_ = nc.SetReadDeadline(time.Now().Add(testLimit))
	if err := resp.Read(bufio.NewReader(nc)); err != nil || resp.StatusCode() != fasthttp.StatusRequestEntityTooLarge {
		t.Errorf("got status %d, %v", resp.StatusCode(), err)
	}
}

// Guards against a shutdown that ends before callers have read the last responses, and
// against requests in flight that end without an answer when the time for it is over.
func TestShutdownAnswersWhatItCancels(t *testing.T) {
	running := make(chan struct{})
	s := startStoppableServer(t, func(ctx context.Context, _ entry.IncomingRequest) (string, request.Result) {
		close(running)
		<-ctx.Done()
		return "id", request.UnknownResult(request.ReasonCanceled)
	})
	nc := s.connect()
	_, _ = io.WriteString(nc, getRequest+getRequest)
	<-running
	s.Drain()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		if err := s.Shutdown(ctx); err == nil {
			t.Error("the shutdown says that all requests have ended by themselves")
		}
	})
	var resp fasthttp.Response
	_ = nc.SetReadDeadline(time.Now().Add(testLimit))
	if err := resp.Read(bufio.NewReader(nc)); err != nil || resp.StatusCode() != fasthttp.StatusBadGateway ||
		!strings.Contains(string(resp.Body()), string(request.ReasonStopping)) {
		t.Errorf("the canceled request got status %d, %q, %v", resp.StatusCode(), resp.Body(), err)
	}
}

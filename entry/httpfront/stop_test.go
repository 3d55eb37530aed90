package httpfront

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"almondstile/entry"
	"almondstile/logging"
	"almondstile/request"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

// stoppableServer is a server that a test stops itself.
type stoppableServer struct {
	*Server
	t       *testing.T
	address string
	wg      conc.WaitGroup
}

// startStoppableServer starts a server on a loopback address.
func startStoppableServer(t *testing.T, d dispatcherFunc) *stoppableServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &stoppableServer{Server: New(d, newTestOptions(), logging.Discard().Part("callers")), t: t, address: listener.Addr().String()}
	s.wg.Go(func() { _ = s.Serve(listener) })
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = s.Shutdown(ctx)
		s.wg.Wait()
	})
	return s
}

// connect opens a connection that is closed at the end of the test.
func (s *stoppableServer) connect() net.Conn {
	s.t.Helper()
	nc, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = nc.Close() })
	return nc
}

// waitForConnections waits until so many connections are open, of which so many have not
// carried a request.
func (s *stoppableServer) waitForConnections(open, unused int) {
	s.t.Helper()
	for deadline := time.Now().Add(testLimit); s.server.Connections() != open || s.server.Unused() != unused; {
		if time.Now().After(deadline) {
			s.t.Fatalf("%d connections are open, %d of them unused; want %d and %d", s.server.Connections(), s.server.Unused(), open, unused)
		}
		time.Sleep(time.Millisecond)
	}
}

const (
	getRequest = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
	// testLimit ends a test that would hang. It is no requirement.
	testLimit = 10 * time.Second
)

// Guards against requests that are accepted late in a planned stop and then cut: a
// connection that has carried no request stays open, and its first request is served at
// any time until the process ends.
func TestShutdownClosesConnectionsWithoutARequest(t *testing.T) {
	var executed atomic.Int64
	s := startStoppableServer(t, func(context.Context, entry.IncomingRequest) (string, request.Result) {
		executed.Add(1)
		return "id", request.Result{Outcome: request.Answered, Status: 200}
	})
	unused, used, partial := s.connect(), s.connect(), s.connect()
	_, _ = io.WriteString(used, getRequest)
	var resp fasthttp.Response
	if err := resp.Read(bufio.NewReader(used)); err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(partial, getRequest[:10])
	s.waitForConnections(3, 1)
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		if err := s.Shutdown(ctx); err != nil {
			t.Errorf("the shutdown waits for connections without a request: %v", err)
		}
	})
	// The connection that carried a request is closed after the one that did not.
	_ = used.SetReadDeadline(time.Now().Add(testLimit))
	if _, err := used.Read(make([]byte, 1)); err != io.EOF {
		t.Fatalf("the connection that carried a request: got %v, want that it is closed", err)
	}
	_, _ = io.WriteString(unused, getRequest)
	_ = unused.SetReadDeadline(time.Now().Add(testLimit))
	if n, err := unused.Read(make([]byte, 1)); err == nil || n > 0 || executed.Load() != 1 {
		t.Errorf("the connection without a request: got %d bytes, error %v, and %d requests were executed", n, err, executed.Load())
	}
	// A request that has begun to arrive is still served.
	_, _ = io.WriteString(partial, getRequest[10:])
	if err := resp.Read(bufio.NewReader(partial)); err != nil || !resp.ConnectionClose() {
		t.Errorf("the request that arrived in pieces got %v, close %v", err, resp.ConnectionClose())
	}
}

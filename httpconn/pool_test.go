package httpconn

import (
	"bufio"
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"almondstile/inbound"
	"almondstile/logging"
	"almondstile/request"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

// startScriptedServer starts a server that responds to the n-th request, counted
// from 1 over all connections, with the bytes returned by reply(n). It closes the
// connection without a response if they are nil. requests counts the requests that
// the server read.
func startScriptedServer(t *testing.T, reply func(n int64) []byte) (address string, requests *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	requests = new(atomic.Int64)
	var wg conc.WaitGroup
	wg.Go(func() {
		for {
			nc, err := listener.Accept()
			if err != nil {
				return
			}
			wg.Go(func() { serveScriptedConn(nc, requests, reply) })
		}
	})
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String(), requests
}

// serveScriptedConn serves one connection of a scripted server.
func serveScriptedConn(nc net.Conn, requests *atomic.Int64, reply func(n int64) []byte) {
	defer nc.Close()
	r := bufio.NewReader(nc)
	for {
		var req fasthttp.Request
		if err := req.Read(r); err != nil {
			return
		}
		out := reply(requests.Add(1))
		if out == nil {
			return
		}
		if _, err := nc.Write(out); err != nil {
			return
		}
	}
}

// doRequest sends one request without a body through the pool.
func doRequest(t *testing.T, p *Pool, address, method string) (*fasthttp.Response, request.Progress, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var req fasthttp.Request
	var resp fasthttp.Response
	req.Header.SetMethod(method)
	req.SetRequestURI("/x")
	req.Header.SetHost("test")
	progress, err := p.Do(ctx, address, Call{Request: &req, Response: &resp})
	return &resp, progress, err
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// Guards against automatic retries such as those of fasthttp's client. If a server
// reads the request and closes the connection without a response, the request may
// have been executed, so it must not be sent again.
func TestNeverSendsTwice(t *testing.T) {
	for _, method := range []string{"GET", "PUT", "POST"} {
		address, requests := startScriptedServer(t, func(n int64) []byte {
			if n == 1 {
				return []byte(okResponse)
			}
			return nil
		})
		p := NewPool(DefaultOptions())
		if _, progress, err := doRequest(t, p, address, method); err != nil || progress != request.ResponseComplete {
			t.Fatalf("%s: first exchange: %v", method, err)
		}
		_, progress, err := doRequest(t, p, address, method) // on the reused connection
		if !errors.Is(err, ErrClosed) || progress != request.Written {
			t.Errorf("%s: got progress %d, error %v; want Written, ErrClosed", method, progress, err)
		}
		if got := requests.Load(); got != 2 {
			t.Errorf("%s: the server received %d requests, want 2", method, got)
		}
	}
}

// Guards against forwarding an incomplete response as a complete one, and against
// reporting its request as "not run". In each case the connection ends early, the end
// of the body cannot be determined, or the bytes are not HTTP.
func TestIncompleteResponses(t *testing.T) {
	cases := map[string]struct {
		bytes string
		want  error
	}{
		"short body":        {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", ErrTruncated},
		"no last chunk":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", ErrTruncated},
		"no body length":    {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok", ErrTruncated},
		"cut in the header": {"HTTP/1.1 200 OK\r\nContent-Le", ErrTruncated},
		"not HTTP":          {"hello hello hello\r\n\r\n", ErrMalformed},
	}
	for name, c := range cases {
		address, _ := startScriptedServer(t, func(int64) []byte { return []byte(c.bytes) })
		address = startTruncatingProxy(t, address, len(c.bytes))
		_, progress, err := doRequest(t, NewPool(DefaultOptions()), address, "GET")
		if !errors.Is(err, c.want) || progress != request.Written {
			t.Errorf("%s: got progress %d, error %v; want Written, %v", name, progress, err, c.want)
		}
	}
}

// startTruncatingProxy starts a proxy for one connection to address. The proxy
// closes the client's connection after n response bytes.
func startTruncatingProxy(t *testing.T, address string, n int) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	var wg conc.WaitGroup
	wg.Go(func() {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		defer client.Close()
		server, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		defer server.Close()
		wg.Go(func() { _, _ = server.(*net.TCPConn).ReadFrom(client) })
		buf := make([]byte, n)
		for got := 0; got < n; {
			k, err := server.Read(buf[got:])
			if err != nil {
				return
			}
			_, _ = client.Write(buf[got : got+k])
			got += k
		}
	})
	return listener.Addr().String()
}

// Guards against treating a request as possibly executed when the TCP connection
// was refused and no byte was sent.
func TestRefusedConnectionIsNotWritten(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	_, progress, err := doRequest(t, NewPool(DefaultOptions()), address, "GET")
	if !errors.Is(err, ErrConnect) || progress != request.NothingWritten {
		t.Fatalf("got progress %d, error %v; want NothingWritten, ErrConnect", progress, err)
	}
}

// Guards against reusing a connection on which the peer sent bytes that no request
// asked for. The next request would take them for its own response.
func TestUnrequestedBytesCloseTheConnection(t *testing.T) {
	address, requests := startScriptedServer(t, func(n int64) []byte {
		if n == 1 {
			return []byte(okResponse + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother")
		}
		return []byte(okResponse)
	})
	p := NewPool(DefaultOptions())
	for i := 0; i < 2; i++ {
		resp, _, err := doRequest(t, p, address, "GET")
		if err != nil || string(resp.Body()) != "ok" {
			t.Fatalf("exchange %d: body %q, error %v", i, resp.Body(), err)
		}
	}
	if requests.Load() != 2 {
		t.Fatalf("the server received %d requests, want 2", requests.Load())
	}
}

// Guards against a server that goes on executing a request after its caller
// canceled it. The cancellation must close the connection, and inbound.Conn at the
// server must detect that.
func TestHangupIsSeenByThePeer(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := inbound.NewListener(socket, logging.Discard().Part("test"))
	defer listener.Close()
	var wg conc.WaitGroup
	defer wg.Wait()
	canceled, started := make(chan struct{}), make(chan struct{})
	wg.Go(func() {
		nc, err := listener.Accept()
		if err != nil {
			return
		}
		defer nc.Close()
		var req fasthttp.Request
		if err := req.Read(bufio.NewReader(nc)); err != nil {
			return
		}
		stop := nc.(*inbound.Conn).WatchHangup(wg.Go, func() { close(canceled) })
		defer stop()
		close(started)
		<-canceled
	})
	ctx, cancel := context.WithCancel(context.Background())
	wg.Go(func() {
		<-started
		cancel()
	})
	var req fasthttp.Request
	var resp fasthttp.Response
	req.SetRequestURI("/x")
	req.Header.SetHost("test")
	progress, err := NewPool(DefaultOptions()).Do(ctx, listener.Addr().String(), Call{Request: &req, Response: &resp})
	if !errors.Is(err, ErrCanceled) || progress != request.Written {
		t.Fatalf("got progress %d, error %v; want Written, ErrCanceled", progress, err)
	}
}

// Guards against idle connections to many servers that use up descriptors, and against a
// count of them that is wrong after they were used or closed.
func TestIdleConnectionsOfAllAddressesAreBounded(t *testing.T) {
	const addresses, maxIdle = 4, 2
	options := DefaultOptions()
	options.MaxIdle = maxIdle
	p := NewPool(options)
	for round := range 3 {
		for range addresses {
			address, _ := startScriptedServer(t, func(int64) []byte { return []byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") })
			for range 2 {
				var req fasthttp.Request
				var resp fasthttp.Response
				req.SetRequestURI("http://" + address + "/")
				if _, err := p.Do(context.Background(), address, Call{Request: &req, Response: &resp}); err != nil {
					t.Fatal(err)
				}
			}
		}
		idle := 0
		p.idle.Range(func(_ string, list []*conn) bool {
			idle += len(list)
			return true
		})
		if idle != maxIdle || p.idleCount.Load() != maxIdle {
			t.Errorf("round %d: %d connections are idle, %d counted, want %d", round, idle, p.idleCount.Load(), maxIdle)
		}
		p.CloseIdle(true)
		if n := p.idleCount.Load(); n != 0 {
			t.Errorf("round %d: %d connections counted after all were closed", round, n)
		}
	}
}

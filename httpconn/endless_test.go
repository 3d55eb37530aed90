package httpconn

import (
	"bufio"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"almondstile/request"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

// startEndlessServer starts a server that responds to a request with prefix and then
// repeats block until the caller closes the connection. sent counts the bytes.
func startEndlessServer(t *testing.T, prefix, block string) (address string, sent *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	sent = new(atomic.Int64)
	var wg conc.WaitGroup
	wg.Go(func() {
		nc, err := listener.Accept()
		if err != nil {
			return
		}
		defer nc.Close()
		_, err = nc.Write([]byte(prefix))
		blocks := []byte(strings.Repeat(block, 1+4096/len(block)))
		for err == nil {
			var n int
			n, err = nc.Write(blocks)
			sent.Add(int64(n))
		}
	})
	t.Cleanup(func() { _ = listener.Close(); wg.Wait() })
	return listener.Addr().String(), sent
}

// Guards against a server that sends bytes without end, in the head, the body or the
// trailer of a response, and so takes up the memory of the VM or keeps the attempt from
// ending. The connection is closed at the size limit.
func TestEndlessResponsesEndAtTheSizeLimit(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, c := range map[string]struct{ prefix, block string }{
		"no head":          {"", "x"},
		"status line":      {"HTTP/1.1 200 ", "x"},
		"header line":      {ok + "A: ", "x"},
		"header lines":     {ok, "A: b\r\n"},
		"interim":          {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"body":             {ok + "\r\n", "x"},
		"chunks":           {ok + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"chunk size":       {ok + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		"chunk extension":  {ok + "Transfer-Encoding: chunked\r\n\r\n1;", "x"},
		"trailer":          {ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
		"very long length": {ok + "Content-Length: 99999999999\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			options := DefaultOptions()
			options.MaxResponseBytes = 1 << 20
			options.AllowCloseDelimitedBodies = true
			address, sent := startEndlessServer(t, c.prefix, c.block)
			start := time.Now()
			_, progress, err := doRequest(t, NewPool(options), address, "GET")
			if err == nil || progress != request.Written {
				t.Fatalf("progress %v, error %v; want an error of a written request", progress, err)
			}
			if errors.Is(err, ErrDeadline) || errors.Is(err, ErrClosed) {
				t.Errorf("the exchange ended only at its deadline, after %s and %d bytes: %v", time.Since(start), sent.Load(), err)
			}
		})
	}
}

// Guards against an answer that broke off halfway and reaches the caller as a complete
// one: a body without a length ends with its connection, and the connection is reset.
func TestResetEndsNoBodyWithoutLength(t *testing.T) {
	for _, reset := range []bool{false, true} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		var wg conc.WaitGroup
		wg.Go(func() {
			nc, err := listener.Accept()
			if err != nil {
				return
			}
			var req fasthttp.Request
			_ = req.Read(bufio.NewReader(nc))
			_, _ = nc.Write([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf of the body"))
			time.Sleep(50 * time.Millisecond) // the bytes must arrive before the reset
			if reset {
				_ = nc.(*net.TCPConn).SetLinger(0)
			}
			_ = nc.Close()
		})
		options := DefaultOptions()
		options.AllowCloseDelimitedBodies = true
		resp, progress, err := doRequest(t, NewPool(options), listener.Addr().String(), "GET")
		if reset && (err == nil || progress != request.Written) {
			t.Errorf("reset: got body %q, progress %v, error %v; want an error of a written request", resp.Body(), progress, err)
		}
		if !reset && (err != nil || string(resp.Body()) != "half of the body") {
			t.Errorf("closed: got body %q, error %v", resp.Body(), err)
		}
		_ = listener.Close()
		wg.Wait()
	}
}

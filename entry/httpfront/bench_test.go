package httpfront

import (
	"bufio"
	"context"
	"io"
	"net"
	"runtime"
	"testing"

	"almondstile/entry"
	"almondstile/logging"
	"almondstile/request"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

// startBenchServer starts a server whose dispatcher answers at once.
func startBenchServer(b *testing.B) (address string) {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	answer := dispatcherFunc(func(context.Context, entry.IncomingRequest) (string, request.Result) {
		return "id", request.Result{Outcome: request.Answered, Status: 200, Body: []byte("ok")}
	})
	options := newTestOptions()
	options.MaxConnections = 10000
	s := New(answer, options, logging.Discard().Part("callers"))
	var wg conc.WaitGroup
	wg.Go(func() { _ = s.Serve(listener) })
	b.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = s.Shutdown(ctx)
		wg.Wait()
	})
	return listener.Addr().String()
}

// exchange sends a request and reads its response.
func exchange(b *testing.B, nc net.Conn, reader *bufio.Reader, raw string) {
	if _, err := io.WriteString(nc, raw); err != nil {
		b.Fatal(err)
	}
	var resp fasthttp.Response
	if err := resp.Read(reader); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkRequestOnKeptConnection measures a request, with its caller, on a connection
// that stays open.
func BenchmarkRequestOnKeptConnection(b *testing.B) {
	nc, err := net.Dial("tcp", startBenchServer(b))
	if err != nil {
		b.Fatal(err)
	}
	defer nc.Close()
	reader := bufio.NewReader(nc)
	b.ReportAllocs()
	for b.Loop() {
		exchange(b, nc, reader, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
	}
}

// BenchmarkRequestOnNewConnection measures a request, with its caller, whose connection
// closes after the response.
func BenchmarkRequestOnNewConnection(b *testing.B) {
	address := startBenchServer(b)
	b.ReportAllocs()
	for b.Loop() {
		nc, err := net.Dial("tcp", address)
		if err != nil {
			b.Fatal(err)
		}
		exchange(b, nc, bufio.NewReader(nc), "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		_ = nc.Close()
	}
}

// BenchmarkIdleConnection measures the memory of a connection that has carried a request
// and is idle, on both sides, in B/conn.
func BenchmarkIdleConnection(b *testing.B) {
	address := startBenchServer(b)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var open []net.Conn
	for b.Loop() {
		nc, err := net.Dial("tcp", address)
		if err != nil {
			b.Fatal(err)
		}
		exchange(b, nc, bufio.NewReaderSize(nc, 512), "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
		open = append(open, nc)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapInuse+after.StackInuse-before.HeapInuse-before.StackInuse)/float64(len(open)), "B/conn")
	for _, nc := range open {
		_ = nc.Close()
	}
}

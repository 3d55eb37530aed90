package netfault

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
)

// echoLink returns a network and its only link, "l", whose target is a server
// that sends back all bytes that it reads.
func echoLink(t *testing.T) (*Network, *Link) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var wg conc.WaitGroup
	wg.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			wg.Go(func() {
				defer conn.Close()
				_, _ = io.Copy(conn, conn)
			})
		}
	})
	network := &Network{}
	link, err := network.Listen("l", "127.0.0.1:0", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { network.Close(); _ = listener.Close(); wg.Wait() })
	return network, link
}

// dial opens a connection through the link that is closed at the end of the test.
func dial(t *testing.T, l *Link) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", l.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// roundTrip sends text and reads as many bytes of the echo.
func roundTrip(conn net.Conn, text string) error {
	if _, err := conn.Write([]byte(text)); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, make([]byte, len(text)))
	return err
}

// Guards against a link without faults that loses or changes bytes, or that does
// not forward the FIN at the end of a stream. The stream is longer than a chunk.
func TestForwardsStreamAndFIN(t *testing.T) {
	_, l := echoLink(t)
	conn := dial(t, l)
	text := strings.Repeat("stream ", 50_000)
	var wg conc.WaitGroup
	wg.Go(func() {
		_, _ = conn.Write([]byte(text))
		_ = conn.(*net.TCPConn).CloseWrite()
	})
	got, err := io.ReadAll(conn)
	wg.Wait()
	if err != nil || string(got) != text {
		t.Fatalf("read %d of %d bytes, error %v, or the bytes differ", len(got), len(text), err)
	}
}

// Guards against a dropped direction that still delivers bytes, blocks the other
// direction, or loses the buffered bytes when the fault ends.
func TestDropBuffersOneDirection(t *testing.T) {
	_, l := echoLink(t)
	conn := dial(t, l)
	if err := roundTrip(conn, "before"); err != nil {
		t.Fatal(err)
	}
	l.SetFault(ToClient, Fault{Drop: true})
	if _, err := conn.Write([]byte("held")); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if n, err := conn.Read(make([]byte, 4)); err == nil {
		t.Fatalf("read %d bytes through a dropped direction", n)
	}
	_ = conn.SetReadDeadline(time.Time{})
	if err := l.Heal(); err != nil {
		t.Fatal(err)
	}
	got := make([]byte, 4)
	if _, err := io.ReadFull(conn, got); err != nil || string(got) != "held" {
		t.Fatalf("after the drop ended read %q, error %v; want \"held\"", got, err)
	}
}

// Guards against a configured delay that is not applied. Only the lower bound is
// checked, because a busy machine adds time of its own.
func TestDelayIsAdded(t *testing.T) {
	_, l := echoLink(t)
	conn := dial(t, l)
	l.SetFault(ToTarget, Fault{DelayMicros: 30_000})
	start := time.Now()
	if err := roundTrip(conn, "x"); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(start); took < 30*time.Millisecond {
		t.Fatalf("the round trip took %s, less than the delay of 30 ms", took)
	}
}

// Guards against open connections that stay open after Cut or Reset.
func TestCutAndReset(t *testing.T) {
	_, l := echoLink(t)
	for name, end := range map[string]func(){"cut": l.Cut, "reset": l.Reset} {
		conn := dial(t, l)
		if err := roundTrip(conn, "x"); err != nil {
			t.Fatal(err)
		}
		end()
		if _, err := conn.Read(make([]byte, 1)); err == nil {
			t.Fatalf("the connection is still open after a %s", name)
		}
	}
}

// Guards against a link that accepts connections while it refuses, or that does
// not accept them again afterwards.
func TestRefuse(t *testing.T) {
	_, l := echoLink(t)
	if err := l.SetRefuse(true); err != nil {
		t.Fatal(err)
	}
	if conn, err := net.Dial("tcp", l.Address()); err == nil {
		_ = conn.Close()
		t.Fatal("a link that refuses connections accepted one")
	}
	if err := l.SetRefuse(false); err != nil {
		t.Fatal(err)
	}
	if err := roundTrip(dial(t, l), "x"); err != nil {
		t.Fatal(err)
	}
}

// Guards against an admin handler that accepts a misspelled field of a fault,
// which would set no fault, or that does not apply requests to the right link.
func TestAdmin(t *testing.T) {
	n, l := echoLink(t)
	server := httptest.NewServer(n.Admin())
	defer server.Close()
	call := func(method, path, body string) int {
		req, _ := http.NewRequest(method, server.URL+path, strings.NewReader(body))
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	if got := call("PUT", "/links/l/faults/to-target", `{"drops":true}`); got != 400 {
		t.Fatalf("PUT of an unknown fault field: status %d, want 400", got)
	}
	if got := call("PUT", "/links/l/faults/to-target", `{"drop":true}`); got != 200 {
		t.Fatalf("PUT of a drop: status %d, want 200", got)
	}
	if state, _ := l.directions.Load(ToTarget); !state.fault.Drop {
		t.Fatal("the PUT request did not set the drop")
	}
	if got := call("POST", "/links/l/heal", ""); got != 200 {
		t.Fatalf("POST heal: status %d, want 200", got)
	}
	if got := call("POST", "/links/other/heal", ""); got != 404 {
		t.Fatalf("POST heal to an unknown link: status %d, want 404", got)
	}
}

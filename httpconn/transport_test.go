package httpconn

import (
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// get sends a GET request through a client of net/http and returns the body.
func get(t *testing.T, transport *http.Transport, url string) (string, error) {
	t.Helper()
	client := http.Client{Transport: transport, Timeout: 10 * time.Second}
	resp, err := client.Get(url)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// Guards against a malformed response that clients of net/http take for an answer. The
// second response of a connection is checked like the first one.
func TestTransportRejectsMalformedHeads(t *testing.T) {
	for violation, responses := range malformedResponses {
		for name, raw := range responses {
			if name == "two equal lengths" {
				continue // RFC 9110, 8.6, lets a reader accept them, and net/http does
			}
			t.Run(string(violation)+"/"+name, func(t *testing.T) {
				t.Parallel()
				address, _ := startScriptedServer(t, func(n int64) []byte {
					if n == 1 {
						return []byte(okResponse)
					}
					return []byte(raw)
				})
				transport := NewTransport(&net.Dialer{})
				defer transport.CloseIdleConnections()
				if body, err := get(t, transport, "http://"+address); err != nil || body != "ok" {
					t.Fatalf("the first response: got %q, error %v", body, err)
				}
				body, err := get(t, transport, "http://"+address)
				if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
					t.Errorf("got body %q, error %v; want an error before the deadline", body, err)
				}
				if checked := violation != ViolationCodec; checked && (!errors.Is(err, ErrMalformed) || ViolationOf(err) != violation) {
					t.Errorf("got body %q, error %v; want violation %s", body, err, violation)
				}
			})
		}
	}
}

// Guards against checks that reject sound responses, or bytes of their bodies.
func TestTransportPassesSoundResponses(t *testing.T) {
	for name, raw := range soundResponses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, _ := startScriptedServer(t, func(int64) []byte { return []byte(raw) })
			transport := NewTransport(&net.Dialer{})
			defer transport.CloseIdleConnections()
			if body, err := get(t, transport, "http://"+startTruncatingProxy(t, address, len(raw))); err != nil || body != "ok" {
				t.Errorf("got %q, error %v", body, err)
			}
		})
	}
}

// Guards against a result of the check of chunks that depends on how they arrive, and
// against chunk data that counts as a trailer.
func TestChunkScanner(t *testing.T) {
	const data = "5;a=\"b\"\r\n\r\n0\r\n\r\n01\r\nk\r\n0;e\r\n"
	for _, c := range []struct {
		rest string
		want Violation
	}{
		{"\r\n", ""},
		{"X-Sum: a\r\nX-Other:\r\n\r\n", ""},
		{"X-Su m: a\r\n\r\n", ViolationFieldName},
		{"\nX-Sum: a\r\n\r\n", ViolationLineBreak},
		{"Content-Length: 1\r\n\r\n", ViolationFraming},
		{"\r\nHTTP/1.1 200 OK\r\n", ViolationFraming},
	} {
		body := data + c.rest
		for size := 1; size <= len(body); size++ {
			var s chunkScanner
			var err error
			for rest := body; rest != "" && err == nil; rest = rest[min(size, len(rest)):] {
				err = s.scan([]byte(rest[:min(size, len(rest))]))
			}
			if got := ViolationOf(err); got != c.want || !s.inTrailer {
				t.Errorf("%q in pieces of %d bytes: got violation %q, want %q", body, size, got, c.want)
			}
		}
	}
	for _, line := range []string{"\r\n", "x\r\n", "-1\r\n", "1000000000000000\r\n", strings.Repeat("0", maxChunkLineBytes+1)} {
		if err := new(chunkScanner).scan([]byte(line)); ViolationOf(err) != ViolationFraming {
			t.Errorf("%.20q: got error %v, want ViolationFraming", line, err)
		}
	}
}

// Guards against bodies that are checked as if they were heads, against a connection that
// is not reused, and against losing TLS.
func TestTransportReusesConnections(t *testing.T) {
	const body = "no head\n\n\x00: \r\n\r\nHTTP/1.1 000\r\n\r\n"
	var connections atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, body[:5])
		w.(http.Flusher).Flush()
		_, _ = io.WriteString(w, body[5:])
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	server.StartTLS()
	defer server.Close()
	transport := NewTransport(&net.Dialer{})
	transport.TLSClientConfig = &tls.Config{RootCAs: server.Client().Transport.(*http.Transport).TLSClientConfig.RootCAs}
	defer transport.CloseIdleConnections()
	for range 5 {
		if got, err := get(t, transport, server.URL); err != nil || got != body {
			t.Fatalf("got %q, error %v", got, err)
		}
	}
	if n := connections.Load(); n != 1 {
		t.Errorf("5 requests used %d connections", n)
	}
	if _, err := get(t, NewTransport(&net.Dialer{}), server.URL); err == nil {
		t.Error("a certificate of an unknown authority was accepted")
	}
}

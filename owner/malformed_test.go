package owner_test

import (
	"bufio"
	"net"
	"testing"
	"time"

	"almondstile/request"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

// Guards against a malformed response that is taken for the server's refusal, and that
// does not count against the server or is not shown by a metric.
func TestMalformedResponseCountsAgainstTheServer(t *testing.T) {
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
		defer nc.Close()
		_ = nc.SetDeadline(time.Now().Add(10 * time.Second))
		var req fasthttp.Request
		_ = req.Read(bufio.NewReader(nc))
		_, _ = nc.Write([]byte("HTTP/1.1 503 Service Unavailable\r\nX-No te: a\r\nAlmondstile-Not-Run: true\r\nContent-Length: 0\r\n\r\n"))
		_, _ = nc.Read(make([]byte, 1)) // until the owner closes the connection
	})
	t.Cleanup(func() { _ = listener.Close(); wg.Wait() })
	s := newSetup(t)
	s.startOwner(listener.Addr().String(), s.direct, s.relays)
	if r := s.send(false, 5*time.Second); r.Outcome != request.Unknown || r.Reason != request.ReasonTruncated {
		t.Errorf("got outcome %s, reason %s; want unknown, response-truncated", r.Outcome, r.Reason)
	}
	if c := s.sampleCounts(); c.Truncated != 1 {
		t.Errorf("counted %+v, want one truncated response", c)
	}
	if n := s.decisionCount("malformed_response.field_name"); n != 1 {
		t.Errorf("counted %d malformed responses, want 1", n)
	}
}

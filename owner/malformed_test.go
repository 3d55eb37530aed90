package owner_test

import (
	"testing"
	"time"

	"almondstile/request"
	"almondstile/standin/rawserver"
)

// Guards against a malformed response that is taken for the server's refusal, and that
// does not count against the server or is not shown by a metric.
func TestMalformedResponseCountsAgainstTheServer(t *testing.T) {
	server, err := rawserver.Start(rawserver.Always(
		"HTTP/1.1 503 Service Unavailable\r\nX-No te: a\r\nAlmondstile-Not-Run: true\r\nContent-Length: 0\r\n\r\n"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	s := newSetup(t)
	s.startOwner(server.Address(), s.direct, s.relays)
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

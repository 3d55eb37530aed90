package outlier

import (
	"fmt"
	"testing"
	"time"

	"almondstile/contract"
	"almondstile/memory"
	"almondstile/request"
)

// Guards against frequent requests that are rejected for 10 minutes because they
// were in flight on several servers that crashed together. Also guards against a
// poison request that is not rejected because other servers restart now and then.
func TestOnlyTheCauseOfCrashesIsRejected(t *testing.T) {
	t.Parallel()
	type event struct {
		after  time.Duration
		server int
		ran    []string // bodies of the requests in flight
	}
	cases := map[string]struct {
		events []event
		want   map[string]bool
	}{
		"all servers restart together": {
			events: []event{{0, 0, []string{"a", "b"}}, {100, 1, []string{"a"}}, {200, 2, []string{"b", "c"}}, {300, 3, []string{"a"}}, {400, 4, nil}, {500, 5, []string{"c"}}},
			want:   map[string]bool{"a": false, "b": false, "c": false},
		},
		"one request crashes two servers": {
			events: []event{{0, 0, []string{"poison", "a"}}, {900, 1, []string{"poison", "b"}}},
			want:   map[string]bool{"poison": true, "a": false, "b": false},
		},
		"three copies at once crash three servers": {
			events: []event{{0, 0, []string{"poison"}}, {10, 1, []string{"poison", "a"}}, {20, 2, []string{"poison"}}},
			want:   map[string]bool{"poison": true, "a": false},
		},
		"an unrelated server crashes at the same time": {
			events: []event{{0, 0, []string{"poison"}}, {300, 3, []string{"a"}}, {600, 1, []string{"poison"}}},
			want:   map[string]bool{"poison": true, "a": false},
		},
		"another server crashes minutes after a common restart": {
			events: []event{{0, 0, []string{"a"}}, {100, 1, []string{"a"}}, {200, 2, nil}, {300, 3, nil}, {90_000, 4, nil}, {300_000, 5, nil}},
			want:   map[string]bool{"a": false},
		},
		"crashes long after a common restart": {
			events: []event{{0, 0, []string{"poison"}}, {10, 1, nil}, {20, 2, nil}, {60_000, 3, []string{"poison"}}, {90_000, 4, []string{"poison"}}},
			want:   map[string]bool{"poison": true},
		},
	}
	for name, c := range cases {
		var q Quarantine
		start := time.Unix(1_000_000, 0)
		now, n := start, 0
		requestWithBody := func(body string) *request.Request {
			return &request.Request{Service: "shelfview", Team: "harbour", Method: "GET", Target: "/stock", Body: memory.BodyOf([]byte(body))}
		}
		for _, e := range c.events {
			now = start.Add(e.after * time.Millisecond)
			ran := e.ran
			if len(ran) == 0 {
				ran = []string{fmt.Sprint("only at ", e.server)}
			}
			for _, body := range ran {
				n++
				q.AddCrash(now, Crash{
					Service: "shelfview", Server: contract.ServerID(fmt.Sprint(e.server)),
					Fingerprint: request.FingerprintOf(requestWithBody(body)), RequestID: fmt.Sprint(n),
				})
			}
		}
		for body, want := range c.want {
			if got := q.Rejects(now, requestWithBody(body)); got != want {
				t.Errorf("%s: request %q rejected: %v, want %v", name, body, got, want)
			}
		}
	}
}

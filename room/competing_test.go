package room

import (
	"testing"
	"time"

	"almondstile/contract"
	"almondstile/tally"
)

// Guards against a service that turns requests away for more urgent ones which hardly exist:
// the configuration has routes of several ranks that lead to it, but nearly all requests
// have one.
func TestOneRankInUseIsServedAsWithout(t *testing.T) {
	service := tally.SubjectOf(tally.Service, "s")
	terms := contract.ServiceTerms{Ranks: []contract.Rank{0, 1, 2}, TargetLatency: 2 * time.Second}
	full := Room{Slots: 10, InFlight: 40}
	for name, c := range map[string]struct {
		least uint64 // requests of the least urgent rank, besides 1,000 of the middle one
		want  bool
	}{
		"one rank": {5, false}, "two ranks": {100, true},
	} {
		var g Gate
		now := time.Unix(1000, 0)
		g.RecordRemote(now, service, tally.Counts{tally.OfferedMiddle: 1000, tally.OfferedLeast: c.least})
		rejected := false
		for range 100 {
			ticket := NewTicket(Request{Service: service, Rank: 1, Deadline: now.Add(time.Minute), Target: 2 * time.Second, TypicalLatency: 400 * time.Millisecond}, terms)
			decision := g.Enter(now, ticket, full, func() float64 { return 0.99 })
			rejected = rejected || decision.Action == Reject
		}
		if rejected != c.want || g.Competing(now, service) != c.want {
			t.Errorf("%s: rejected %v, competing %v, want %v", name, rejected, g.Competing(now, service), c.want)
		}
	}
}

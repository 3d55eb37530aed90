package direct

import (
	"slices"
	"testing"

	"almondstile/contract"
	"almondstile/httpconn"
	"almondstile/request"
	"almondstile/upstream"
)

// countingObserver is an Observer that keeps the counted decisions.
type countingObserver struct {
	discardObserver
	decisions []string
}

func (o *countingObserver) Count(decision string) { o.decisions = append(o.decisions, decision) }

// Guards against a malformed response that makes a request run twice, that ends an
// idempotent one although another server can run it, or that no metric shows.
func TestMalformedResponseIsAnUnknownOutcome(t *testing.T) {
	malformed := upstream.Exchange{Result: request.UnknownResult(request.ReasonTruncated), Violation: httpconn.ViolationFieldName}
	for _, c := range []struct {
		idempotence contract.Idempotence
		sends       int
		outcome     request.Outcome
	}{
		{contract.NotIdempotent, 1, request.Unknown},
		{contract.Idempotent, 2, request.Answered},
	} {
		e := &fakeServers{respond: func(n int, _ contract.ServerID) upstream.Exchange {
			if n == 1 {
				return malformed
			}
			return succeeded
		}}
		d := newDispatcher(newSource(c.idempotence), e)
		observer := &countingObserver{}
		d.deps.Observer = observer
		if result := send(d); len(e.sentTo) != c.sends || result.Outcome != c.outcome {
			t.Errorf("idempotence %v: sent %d times, result %+v", c.idempotence, len(e.sentTo), result)
		}
		if !slices.Contains(observer.decisions, "malformed_response.field_name") {
			t.Errorf("idempotence %v: counted %q, want malformed_response.field_name", c.idempotence, observer.decisions)
		}
	}
}

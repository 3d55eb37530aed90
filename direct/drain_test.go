package direct

import (
	"testing"
	"time"

	"almondstile/contract"
	"almondstile/request"
	"almondstile/upstream"
)

// Guards against requests that a stopping VM passes on to a server although it cuts them
// before they can end, and against such a request that takes a token of its team.
func TestStoppingVMRejectsRequestsThatCannotEnd(t *testing.T) {
	e := &fakeServers{respond: func(int, contract.ServerID) upstream.Exchange { return succeeded }}
	d := newDispatcher(newSource(contract.NotIdempotent), e)
	now := time.Now()
	d.BeginDrain(now, now.Add(500*time.Millisecond)) // the route's timeout is 1 s
	result := send(d)
	if result.Outcome != request.NotRun || result.Reason != request.ReasonStopping || len(e.sentTo) != 0 {
		t.Errorf("sent %d times, result %+v", len(e.sentTo), result)
	}
	d.BeginDrain(now, now.Add(time.Minute))
	if result := send(d); result.Status != 200 {
		t.Errorf("a request that ends in time got %+v", result)
	}
}

// Guards against a further attempt that is cut by the end of a planned stop: the caller
// would learn that the request may have been executed, although it was refused so far.
func TestStoppingVMMakesNoAttemptThatCannotEnd(t *testing.T) {
	var d *Dispatcher
	e := &fakeServers{}
	e.respond = func(int, contract.ServerID) upstream.Exchange {
		d.BeginDrain(time.Now(), time.Now().Add(-time.Millisecond)) // the stop ends during the attempt
		return shed
	}
	d = newDispatcher(newSource(contract.NotIdempotent), e)
	if result := send(d); len(e.sentTo) != 1 || result.Outcome != request.NotRun {
		t.Errorf("sent %d times, result %+v; want that the refusal is passed on", len(e.sentTo), result)
	}
}

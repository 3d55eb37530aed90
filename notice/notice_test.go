package notice_test

import (
	"testing"
	"time"

	"almondstile/notice"
	"almondstile/tally"
)

// Guards against notices that end too early or never: a pause ends by itself, a limit
// after two responses in a row without one, and leaving only with a new incarnation.
func TestNoticesEnd(t *testing.T) {
	t.Parallel()
	var b notice.Board
	server := notice.SubjectOf("a", 1)
	b.Record(epoch, server, notice.Notice{Leaving: true, MaxPerSecond: 2, PauseFor: time.Second})
	if b.PauseLeft(epoch.Add(time.Second-1), server) == 0 || b.PauseLeft(epoch.Add(time.Second), server) > 0 {
		t.Error("the pause does not end after 1 s")
	}
	for i, want := range []bool{true, true, true, false} {
		if got := b.Limited(server); got != want {
			t.Errorf("after %d further responses: limited is %v, want %v", i, got, want)
		}
		stated := notice.Notice{}
		if i == 0 {
			stated.Malformed = "many" // leaves the limit as it is
		}
		b.Record(epoch, server, stated)
	}
	if !b.Leaving(server) || b.Leaving(notice.SubjectOf("a", 2)) {
		t.Error("leaving must hold for the incarnation that stated it, and only for it")
	}
}

// Guards against VMs that do not learn the limit that a server stated to another VM,
// or its end.
func TestNoticesReachOtherVMs(t *testing.T) {
	t.Parallel()
	var from, to notice.Board
	server := notice.SubjectOf("a", 1)
	tell := func(n notice.Notice) {
		to.RecordRemote(epoch, server, notice.Counters(n, from.Record(epoch, server, n)), false)
	}
	tell(notice.Notice{MaxPerSecond: 2.5, Leaving: true})
	if !to.Limited(server) || !to.Leaving(server) {
		t.Error("the other VM does not know that the server leaves and states a limit")
	}
	if left := to.Pace(epoch.Add(10*time.Second), server, 1); left < 1 || left > 2.5 {
		t.Errorf("%v requests may be sent at once at a limit of 2.5 a second", left)
	}
	for range 2 {
		tell(notice.Notice{})
	}
	if to.Limited(server) {
		t.Error("the other VM does not know that the limit has ended")
	}
	to.RecordRemote(epoch, server, tally.Counts{tally.LimitedSends: 1}, false)
	if to.Limited(server) {
		t.Error("a request of another VM states no limit")
	}
}

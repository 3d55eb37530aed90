package tally

import (
	"testing"
	"time"

	_ "almondstile/standin/seeded" // fixes the seed of rapid

	"pgregory.net/rapid"
)

// sum adds up what a VM observed of others.
type sum map[Subject]Counts

func (s sum) Observe(_ time.Time, subject Subject, d Counts, _ bool) {
	c := s[subject]
	for i := range c {
		c[i] += d[i]
	}
	s[subject] = c
}

var (
	start   = time.Unix(5000, 0)
	subject = SubjectOf(Team, "team-1")
)

// Guards against counting an admission twice or never when messages are lost,
// repeated and overtaken: as long as the newest totals arrive, the sums agree.
func TestTotalsSurviveLossRepetitionAndReordering(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		observed := sum{}
		a := NewLedger(start, "origin-a", sum{}, nil)
		b := NewLedger(start, "origin-b", observed, nil)
		now := start.Add(10 * time.Second)
		var sent [][]Record
		total := uint32(0)
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			now = now.Add(50 * time.Millisecond)
			n := uint32(rapid.IntRange(0, 3).Draw(t, "admitted"))
			if n > 0 {
				a.Add(now, subject, Admitted, n)
				total += n
			}
			sent = append(sent, a.DequeueOwn(AllChanged))
			if i := rapid.IntRange(-1, len(sent)-1).Draw(t, "delivered"); i >= 0 {
				b.Merge(now, sent[i], Forwarding{})
			}
		}
		a.Add(now, subject, Admitted, 1)
		b.Merge(now, a.DequeueOwn(AllChanged), Forwarding{})
		if got := observed[subject][Admitted]; got != total+1 {
			t.Fatalf("observed %d admissions, want %d", got, total+1)
		}
	})
}

// Guards against a VM that starts beside running ones taking their totals as
// new: it would find every team far over its rate.
func TestNewVMTakesOldTotalsAsHistory(t *testing.T) {
	a := NewLedger(start, "origin-a", sum{}, nil)
	a.Add(start.Add(time.Minute), subject, Admitted, 500)
	observed := sum{}
	b := NewLedger(start.Add(time.Minute), "origin-b", observed, nil)
	b.Merge(start.Add(time.Minute+100*time.Millisecond), a.DequeueOwn(AllChanged), Forwarding{})
	if got := observed[subject][Admitted]; got != 0 {
		t.Errorf("observed %d admissions from before the start", got)
	}
	a.Add(start.Add(time.Minute+time.Second), subject, Admitted, 2)
	b.Merge(start.Add(time.Minute+time.Second), a.DequeueOwn(AllChanged), Forwarding{})
	if got := observed[subject][Admitted]; got != 2 {
		t.Errorf("observed %d admissions, want 2", got)
	}
}

// Guards against a VM that started beside running ones taking the totals as new
// that it hears of only after its first seconds, because they had not changed: it
// found teams far over their rates and sound servers failing.
func TestOldTotalsThatAreHeardLateAreHistory(t *testing.T) {
	server := SubjectOf(Server, "server-1")
	a := NewLedger(start, "origin-a", sum{}, nil)
	a.Add(start.Add(time.Minute), subject, Admitted, 500)
	a.Add(start.Add(time.Minute), server, Failed, 20)
	observed := sum{}
	b := NewLedger(start.Add(time.Minute), "origin-b", observed, nil)
	heard := start.Add(time.Minute + 5*time.Second)
	a.Add(heard, subject, Admitted, 1)
	a.Add(heard, server, Succeeded, 1)
	b.Merge(heard, a.DequeueOwn(AllChanged), Forwarding{})
	if got := observed[subject][Admitted]; got != 1 {
		t.Errorf("observed %d admissions, want 1", got)
	}
	if got := observed[server]; got[Failed] != 0 {
		t.Errorf("observed %d failures from before the start", got[Failed])
	}
	a.Add(heard.Add(time.Second), server, Failed, 1)
	b.Merge(heard.Add(time.Second), a.DequeueOwn(AllChanged), Forwarding{})
	if got := observed[server]; got[Failed] != 1 {
		t.Errorf("observed %d failures, want 1", got[Failed])
	}
}

// Guards against VMs that start together learning nothing of each other in the
// first seconds, as after a kill of the whole fleet.
func TestVMsThatStartTogetherLearnAtOnce(t *testing.T) {
	a := NewLedger(start, "origin-a", sum{}, nil)
	observed := sum{}
	b := NewLedger(start.Add(200*time.Millisecond), "origin-b", observed, nil)
	a.Add(start.Add(400*time.Millisecond), subject, Admitted, 3)
	b.Merge(start.Add(450*time.Millisecond), a.DequeueOwn(AllChanged), Forwarding{})
	if got := observed[subject][Admitted]; got != 3 {
		t.Errorf("observed %d admissions, want 3", got)
	}
}

// Guards against a change that a relay does not pass on, and against one that
// circles between zones.
func TestRelayPassesOnOnce(t *testing.T) {
	a := NewLedger(start, "origin-a", sum{}, nil)
	relay := NewLedger(start, "origin-r", sum{}, nil)
	now := start.Add(10 * time.Second)
	a.Add(now, subject, Admitted, 1)
	relay.Merge(now, a.DequeueOwn(AllChanged), Forwarding{Zone: true, OtherZones: true})
	if len(relay.DequeueForZone(AllChanged)) != 1 || len(relay.DequeueForOtherZones(AllChanged)) != 1 {
		t.Error("the relay does not pass on the change")
	}
	if len(relay.DequeueForZone(AllChanged)) != 0 || len(relay.DequeueForOtherZones(AllChanged)) != 0 {
		t.Error("the relay passes on the change again")
	}
	far := NewLedger(start, "origin-f", sum{}, nil)
	far.Merge(now, a.DequeueOwn(AllChanged), Forwarding{Zone: true})
	if len(far.DequeueForOtherZones(AllChanged)) != 0 {
		t.Error("a change from another zone is sent to other zones")
	}
}

// Guards against both relays of a zone sending the same news to all its VMs.
func TestRelayDoesNotRepeatTheOther(t *testing.T) {
	a := NewLedger(start, "origin-a", sum{}, nil)
	relay := NewLedger(start, "origin-r", sum{}, nil)
	now := start.Add(10 * time.Second)
	a.Add(now, subject, Admitted, 1)
	news := a.DequeueOwn(AllChanged)
	relay.Merge(now, news, Forwarding{Zone: true, OtherZones: true})
	relay.Merge(now, news, Forwarding{Zone: true, DeliveredInZone: true})
	if got := relay.DequeueForZone(AllChanged); len(got) != 0 {
		t.Errorf("the relay repeats %+v", got)
	}
	a.Add(now, subject, Admitted, 1)
	relay.Merge(now, a.DequeueOwn(AllChanged), Forwarding{Zone: true})
	relay.Merge(now, news, Forwarding{Zone: true, DeliveredInZone: true})
	if got := relay.DequeueForZone(AllChanged); len(got) != 1 {
		t.Errorf("the relay keeps back newer totals than the other sent: %+v", got)
	}
}

// Guards against VMs that never hear what was admitted while they were cut off,
// because it was sent once, and against sending more again than a limit needs.
func TestMissedTotalsAreSentAgain(t *testing.T) {
	a := NewLedger(start, "origin-a", sum{}, nil)
	at := start.Add(10 * time.Second)
	a.Add(at, subject, Admitted, 3)
	a.Add(at, SubjectOf(Server, "server-1"), Succeeded, 1)
	a.Add(at.Add(-5*time.Second), SubjectOf(Team, "team-2"), Admitted, 1)
	for len(a.DequeueForOtherZones(AllChanged)) > 0 { // lost in the cut
	}
	all := func(Origin) bool { return true }
	a.Resend(at.Add(-time.Second), OtherZones, func(Origin) bool { return false })
	if got := a.DequeueForOtherZones(AllChanged); len(got) != 0 {
		t.Errorf("sent again for other origins: %+v", got)
	}
	a.Resend(at.Add(-time.Second), OtherZones, all)
	got := a.DequeueForOtherZones(UrgentOnly)
	if len(got) != 1 || got[0].Subject != subject || !got[0].Missed || got[0].Counts[Admitted] != 3 {
		t.Errorf("sent again: %+v", got)
	}
	if got := a.DequeueForOtherZones(AllChanged); len(got) != 0 {
		t.Errorf("sent a third time: %+v", got)
	}
	a.Add(at.Add(time.Second), subject, Admitted, 1)
	if got := a.DequeueForOtherZones(AllChanged); len(got) != 1 || got[0].Missed {
		t.Errorf("a later change counts as missed: %+v", got)
	}
}

// Guards against a failure that waits for the next regular message.
func TestFailuresAreUrgent(t *testing.T) {
	calls := 0
	l := NewLedger(start, "origin-a", sum{}, func() { calls++ })
	server := SubjectOf(Server, "server-1")
	l.Add(start, server, Started, 1)
	l.Add(start, server, Succeeded, 1)
	if calls != 0 {
		t.Error("a success is urgent")
	}
	l.Add(start, server, Failed, 1)
	if calls != 1 {
		t.Errorf("%d urgent calls after a failure, want 1", calls)
	}
	l.Add(start, subject, Admitted, 1)
	if got := l.DequeueOwn(UrgentOnly); len(got) != 1 || got[0].Subject != server {
		t.Errorf("urgent records %+v, want the server's only", got)
	}
	if got := l.DequeueOwn(UrgentOnly); len(got) != 0 {
		t.Errorf("a failure is urgent twice: %+v", got)
	}
	l.Add(start, subject, AdmittedNearLimit, 1)
	if got := l.DequeueOwn(UrgentOnly); len(got) != 1 || got[0].Subject != subject {
		t.Errorf("urgent records %+v, want those of the team whose tokens run out", got)
	}
	if got := l.DequeueOwn(AllChanged); len(got) != 2 {
		t.Errorf("%d changed records, want 2", len(got))
	}
}

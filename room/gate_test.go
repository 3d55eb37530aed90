package room

import (
	"testing"
	"time"

	"almondstile/contract"
	"almondstile/tally"
)

// Guards against requests with short time limits that are turned away as too late although
// servers have free slots, and against short requests that are judged by the mean of a
// service whose others take much longer.
func TestShortTimeLimitsAreNotTooLateWithFreeSlots(t *testing.T) {
	now := time.Unix(1000, 0)
	var g Gate
	free := Room{Slots: 10, InFlight: 2}
	never := func() float64 { return 0.5 }
	g.Enter(now, testTicket(now, 0, 0, 1), free, never) // takes 100 ms
	short := testTicket(now, 1, 0, 1)
	short.request.Deadline = now.Add(80 * time.Millisecond)
	if d := g.Enter(now, short, free, never); d.Action != Go {
		t.Errorf("a request with 80 ms left at a service with free slots: %+v", d)
	}
	full := Room{Slots: 10, InFlight: 11}
	short = testTicket(now, 1, 0, 1)
	short.request.Deadline, short.request.TypicalLatency = now.Add(80*time.Millisecond), 20*time.Millisecond
	if d := g.Enter(now, short, full, never); d.Cause == TooLate {
		t.Errorf("a request of 20 ms with 80 ms left, which waits for 10 ms: %+v", d)
	}
	late := testTicket(now, 1, 0, 1)
	late.request.Deadline = now.Add(80 * time.Millisecond)
	if d := g.Enter(now, late, Room{Slots: 10, InFlight: 40}, never); d.Action != Reject || d.Cause != TooLate {
		t.Errorf("a request with 80 ms left that waits for 300 ms: %+v", d)
	}
}

// Guards against a load at which requests of the least urgent rank are sent at once, because
// they would wait here in vain, and more urgent ones that arrive with them wait.
func TestMoreUrgentRequestsDoNotWaitWhereLessUrgentOnesGo(t *testing.T) {
	now := time.Unix(1000, 0)
	admit := func() float64 { return 0 }
	for inFlight := 0.0; inFlight < 100; inFlight++ {
		var g Gate
		r := Room{Slots: 10, InFlight: inFlight}
		middle := g.Enter(now, testTicket(now, 1, 0, 1, 2), r, admit)
		least := g.Enter(now, testTicket(now, 2, 0, 1, 2), r, admit)
		if middle.Action == Wait && least.Action == Go {
			t.Errorf("at a load of %v, rank 1 waits and rank 2 goes", r.Load())
		}
	}
}

// Guards against teams that are gone but stay in memory of a VM whose services are never
// short of room.
func TestDemandOfTeamsThatAreGoneIsDeleted(t *testing.T) {
	now := time.Unix(1000, 0)
	var g Gate
	g.Demand.SetEntitlements(now, []contract.Team{{ID: "old"}, {ID: "kept"}})
	g.Demand.Record(now, TeamSubject("unknown"), 3)
	g.Demand.SetEntitlements(now, []contract.Team{{ID: "kept"}})
	g.Sweep(now.Add(retention))
	if n := g.Demand.teams.Len(); n != 1 {
		t.Errorf("%d teams are kept, want 1", n)
	}
	if _, kept := g.Demand.teams.Load(tally.Subject(TeamSubject("kept"))); !kept {
		t.Error("the team that is left is not kept")
	}
}

// Guards against a service that turns requests away although its slots execute them, because
// all of its servers are suspect; and against suspect servers that count like a sound one.
func TestSuspectServersTakeRequestsWhereNoneIsSound(t *testing.T) {
	var suspect, mixed Room
	for i := range 10 {
		suspect.Add(Server{Slots: 10, InFlight: 9, FaultProbability: 0.9})
		mixed.Add(Server{Slots: 10, InFlight: 9, FaultProbability: 0.9 * float64(min(i, 1))})
	}
	r := suspect.OfSoundest()
	if shortage := r.Shortage(100*time.Millisecond, time.Second, 900); shortage != 0 {
		t.Errorf("1000 requests a second can be executed, 900 arrive, and a share of %v is turned away", shortage)
	}
	if slots := mixed.OfSoundest().Slots; slots < 18.9 || slots > 19.1 {
		t.Errorf("a sound server and nine suspect ones with 10 slots each count as %v slots", slots)
	}
}

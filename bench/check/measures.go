package check

import (
	"slices"
	"time"

	"almondstile/bench/load"
	"almondstile/contract"
	"almondstile/standin/backendsim"
)

// quietGap is the shortest pause in a server's traffic that counts as an
// ejection. An ejection lasts at least 5 s; at 10 requests/s for each server a
// pause of this length does not happen by chance.
const quietGap = 3 * time.Second

// starts returns the sorted start times of executions at a server.
func (h *History) starts(id contract.ServerID) []time.Time {
	var out []time.Time
	for _, e := range h.Executions {
		if e.Server == id {
			out = append(out, e.Start)
		}
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// Detection returns the time from the begin of a fault at a server until the
// last request before a quiet gap, or false if there was no gap by until.
func (h *History) Detection(id contract.ServerID, begin, until time.Time) (time.Duration, bool) {
	last := begin
	for _, at := range h.starts(id) {
		if at.Before(begin) {
			continue
		}
		if at.After(until) {
			break
		}
		if at.Sub(last) >= quietGap {
			return last.Sub(begin), true
		}
		last = at
	}
	return last.Sub(begin), until.Sub(last) >= quietGap
}

// QuietServers returns the servers of a service that had a quiet gap between
// two times, though nothing was wrong with them.
func (h *History) QuietServers(service contract.Service, from, until time.Time) []contract.ServerID {
	var out []contract.ServerID
	for _, s := range service.Servers {
		if _, quiet := h.Detection(s.ID, from, until); quiet {
			out = append(out, s.ID)
		}
	}
	return out
}

// floorWindow is the length of the windows of P1. It is shorter than quietGap,
// and at 10 requests/s for each server an empty one is not due to chance.
const floorWindow = 2 * time.Second

// P1 checks the floor: in each window of time, the slots of the servers that got
// requests are at least the floor's share of the service's slots. It is meant
// for periods in which nothing but ejection keeps requests from a server.
func (h *History) P1(service contract.Service, from, until time.Time) Finding {
	total, lowest, windows := 0, 1.0, 0
	for _, s := range service.Servers {
		total += s.Slots
	}
	for at := from; !at.Add(floorWindow).After(until); at = at.Add(floorWindow / 2) {
		served := servedSlots(service, h.Executions, at, at.Add(floorWindow))
		lowest = min(lowest, float64(served)/float64(total))
		windows++
	}
	return AtLeast("P1", "share of the slots that got requests", lowest, service.FloorShare, windows)
}

func servedSlots(service contract.Service, executions []backendsim.Execution, from, until time.Time) int {
	seen := make(map[contract.ServerID]bool)
	for _, e := range executions {
		if !e.Start.Before(from) && e.Start.Before(until) {
			seen[e.Server] = true
		}
	}
	slots := 0
	for _, s := range service.Servers {
		if seen[s.ID] {
			slots += s.Slots
		}
	}
	return slots
}

// Tally counts a team's regular calls that were inside its rate.
type Tally struct {
	Team     contract.TeamID
	InRate   int
	Answered int
	// Rejected counts calls that the fleet refused or did not accept.
	Rejected int
}

// AnsweredShare returns the share of in-rate calls with the right answer.
func (t Tally) AnsweredShare() float64 {
	if t.InRate == 0 {
		return 1
	}
	return float64(t.Answered) / float64(t.InRate)
}

// Tallies counts the in-rate calls of each team that were sent in a period. A
// call is in rate if a token bucket with the team's rate and burst, charged
// with all of the team's calls that were not rejected for their rate, has a
// token for it.
func (h *History) Tallies(from, until time.Time) []Tally {
	var out []Tally
	for _, team := range h.Configuration.Teams {
		out = append(out, h.tally(team, from, until))
	}
	return out
}

// KeyWithdrawn reports whether the call's key was withdrawn when it was sent.
func (h *History) KeyWithdrawn(c load.Call) bool {
	at, ok := h.Withdrawn[c.Key]
	return ok && c.Sent.After(at)
}

func (h *History) tally(team contract.Team, from, until time.Time) Tally {
	var own []load.Call
	for _, c := range h.Calls {
		if c.Team == team.ID && c.Kind != load.Intruder && !h.KeyWithdrawn(c) {
			own = append(own, c)
		}
	}
	slices.SortFunc(own, func(a, b load.Call) int { return a.Sent.Compare(b.Sent) })
	t := Tally{Team: team.ID}
	tokens, last := float64(team.Burst), time.Time{}
	for _, c := range own {
		if !last.IsZero() {
			tokens = min(float64(team.Burst), tokens+team.RatePerSecond*c.Sent.Sub(last).Seconds())
		}
		last = c.Sent
		inRate := tokens >= 1
		if !c.RateLimited() {
			tokens = max(0, tokens-1)
		}
		if inRate && c.Kind == load.Regular && !c.Sent.Before(from) && c.Sent.Before(until) {
			t.count(c)
		}
	}
	return t
}

func (t *Tally) count(c load.Call) {
	t.InRate++
	switch {
	case c.Answered():
		t.Answered++
	case c.NotRun() || c.RateLimited() || c.Failure == load.NotSent:
		t.Rejected++
	}
}

// WrongfulRejections returns the share of in-rate calls that were rejected,
// over all teams except those left out.
func WrongfulRejections(tallies []Tally, except ...contract.TeamID) (share float64, samples int) {
	rejected := 0
	for _, t := range tallies {
		if !slices.Contains(except, t.Team) {
			rejected += t.Rejected
			samples += t.InRate
		}
	}
	if samples == 0 {
		return 0, 0
	}
	return float64(rejected) / float64(samples), samples
}

// WorstTeam returns the lowest share of answered in-rate calls of any team
// except those left out.
func WorstTeam(tallies []Tally, except ...contract.TeamID) (worst Tally) {
	share := 2.0
	for _, t := range tallies {
		if !slices.Contains(except, t.Team) && t.InRate > 0 && t.AnsweredShare() < share {
			worst, share = t, t.AnsweredShare()
		}
	}
	return worst
}

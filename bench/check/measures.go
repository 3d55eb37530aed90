package check

import (
	"slices"
	"time"

	"almondstile/bench/load"
	"almondstile/contract"
	"almondstile/standin/backendsim"
)

// quietGap is the shortest interval without requests to a server that counts as
// an ejection. An ejection lasts at least 5 s. At 10 requests/s per server, an
// interval of this length without requests does not occur by chance.
const quietGap = 3 * time.Second

// startTimes returns the start times of all executions at a server in ascending
// order.
func (h *History) startTimes(id contract.ServerID) []time.Time {
	var out []time.Time
	for _, e := range h.Executions {
		if e.Server == id {
			out = append(out, e.Start)
		}
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// Detection returns the detection time of a fault at a server: the time from
// begin, the start of the fault, to the last request before the first quiet gap.
// Requests after that gap, such as probes, are ignored. A gap that is still open
// at until counts if it has lasted quietGap by then. Detection returns false if
// there was no quiet gap between begin and until.
func (h *History) Detection(id contract.ServerID, begin, until time.Time) (time.Duration, bool) {
	last := begin
	for _, at := range h.startTimes(id) {
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

// QuietServers returns the servers of a service that had a quiet gap between from
// and until. In a period without faults these are wrongly ejected servers.
func (h *History) QuietServers(service contract.Service, from, until time.Time) []contract.ServerID {
	var out []contract.ServerID
	for _, s := range service.Servers {
		if _, quiet := h.Detection(s.ID, from, until); quiet {
			out = append(out, s.ID)
		}
	}
	return out
}

// floorWindow is the length of the time windows of P1. It is shorter than
// quietGap. At 10 requests/s per server, a window without requests does not occur
// by chance.
const floorWindow = 2 * time.Second

// P1 checks the floor of a service: in each time window between from and until,
// the servers that got requests have together at least FloorShare of the
// service's slots. Consecutive windows overlap by half. The check is valid only
// for periods in which nothing but ejection keeps requests from a server.
func (h *History) P1(service contract.Service, from, until time.Time) Finding {
	total, lowest, windows := 0, 1.0, 0
	for _, s := range service.Servers {
		total += s.Slots
	}
	for at := from; !at.Add(floorWindow).After(until); at = at.Add(floorWindow / 2) {
		served := slotsOfActiveServers(service, h.Executions, at, at.Add(floorWindow))
		lowest = min(lowest, float64(served)/float64(total))
		windows++
	}
	return AtLeast("P1", "share of the slots that got requests", lowest, service.FloorShare, windows)
}

// slotsOfActiveServers returns the sum of the slots of the servers that started at
// least one execution in [from, until).
func slotsOfActiveServers(service contract.Service, executions []backendsim.Execution, from, until time.Time) int {
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

// Tally counts the regular calls of a team that were within its rate limit
// (in-rate calls).
type Tally struct {
	Team     contract.TeamID
	InRate   int
	Answered int
	// Rejected counts the calls that the fleet reported as not executed or rate
	// limited, and those for which no VM accepted a connection.
	Rejected int
}

// AnsweredShare returns the share (0 to 1) of in-rate calls that got the correct
// response. It is 1 if there were no in-rate calls.
func (t Tally) AnsweredShare() float64 {
	if t.InRate == 0 {
		return 1
	}
	return float64(t.Answered) / float64(t.InRate)
}

// Tallies counts the in-rate calls of each team that were sent in [from, until).
// It replays all calls of a team against a token bucket with the team's rate and
// burst. A call is in rate if the bucket holds a token when the call is sent. A
// call takes a token unless the fleet rejected it for the team's rate.
func (h *History) Tallies(from, until time.Time) []Tally {
	var out []Tally
	for _, team := range h.Configuration.Teams {
		out = append(out, h.tallyTeam(team, from, until))
	}
	return out
}

// KeyWithdrawn reports whether the call was sent after its key was withdrawn.
func (h *History) KeyWithdrawn(c load.Call) bool {
	at, ok := h.Withdrawn[c.Key]
	return ok && c.Sent.After(at)
}

// tallyTeam counts the in-rate calls of one team. See Tallies.
func (h *History) tallyTeam(team contract.Team, from, until time.Time) Tally {
	var own []load.Call
	for _, c := range h.Calls {
		if c.Team == team.ID && c.Kind != load.Unauthorized && !h.KeyWithdrawn(c) {
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
			t.addCall(c)
		}
	}
	return t
}

// addCall counts one in-rate call by its result.
func (t *Tally) addCall(c load.Call) {
	t.InRate++
	switch {
	case c.Answered():
		t.Answered++
	case c.NotRun() || c.RateLimited() || c.Failure == load.NotSent:
		t.Rejected++
	}
}

// WrongfulRejections returns the share (0 to 1) of in-rate calls that were
// rejected and the number of in-rate calls, over all teams that are not in except.
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

// WorstTeam returns the tally with the lowest AnsweredShare among the teams that
// are not in except and have in-rate calls. It returns the zero Tally if there is
// no such team.
func WorstTeam(tallies []Tally, except ...contract.TeamID) (worst Tally) {
	share := 2.0
	for _, t := range tallies {
		if !slices.Contains(except, t.Team) && t.InRate > 0 && t.AnsweredShare() < share {
			worst, share = t, t.AnsweredShare()
		}
	}
	return worst
}

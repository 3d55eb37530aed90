package check

import (
	"fmt"
	"slices"
	"time"

	"almondstile/bench/load"
	"almondstile/contract"
	"almondstile/standin/backendsim"
	"almondstile/vm"
	"almondstile/zone"
)

// Bounds of section 1 of the design page.
const (
	withdrawalBound    = 5 * time.Second
	lastWorkBound      = 3 * time.Second
	configurationBound = 5 * time.Second
)

// P2 checks that requests run only for the team whose key came with them.
func (h *History) P2() Finding {
	calls := h.callsByAttempt()
	var found []string
	for _, e := range h.Executions {
		c, known := calls[attemptKey(e.OperationID, e.Attempt)]
		switch {
		case !known: // the caller's record is missing only if the bench stopped
		case c.Kind == load.Intruder:
			found = append(found, "an intruder's request ran: "+describe(e))
		case e.Team != string(c.Team):
			found = append(found, fmt.Sprintf("ran for team %q instead of %q: %s", e.Team, c.Team, describe(e)))
		}
	}
	return violations("P2", len(h.Executions), found)
}

// P3 checks that no server saw a caller's key.
func (h *History) P3() Finding {
	var found []string
	for _, e := range h.Executions {
		if len(e.Secrets) > 0 {
			found = append(found, fmt.Sprintf("secret in %v: %s", e.Secrets, describe(e)))
		}
	}
	return violations("P3", len(h.Executions), found)
}

// P4 measures how long after its withdrawal a key still started requests.
func (h *History) P4() Finding {
	calls := h.callsByAttempt()
	last, samples := time.Duration(0), 0
	for _, c := range h.Calls {
		if at, ok := h.Withdrawn[c.Key]; ok && c.Credential != "" && c.Sent.After(at.Add(withdrawalBound)) {
			samples++
		}
	}
	for _, e := range h.Executions {
		c, known := calls[attemptKey(e.OperationID, e.Attempt)]
		if at, ok := h.Withdrawn[c.Key]; known && ok {
			last = max(last, e.Start.Sub(at))
		}
	}
	return AtMost("P4", "s after the withdrawal", last.Seconds(), withdrawalBound.Seconds(), samples)
}

// P5 checks each team's rate over all windows of time. A request counts for a
// window only if it was sent and started to run within it, so that a queue or
// the bench's own delays cannot show a violation that is none.
func (h *History) P5() Finding {
	executions := h.executionsByAttempt()
	worst, samples, detail := 0.0, 0, ""
	for _, team := range h.Configuration.Teams {
		spans := admitted(h.Calls, executions, team.ID)
		samples += len(spans)
		if excess := excessOf(spans, team); excess > worst {
			worst, detail = excess, string(team.ID)
		}
	}
	f := AtMost("P5", "requests above burst + rate × t", worst, 0, samples)
	f.Detail = detail
	return f
}

// span is the time in which an admission must have happened.
type span struct{ sent, started time.Time }

func admitted(calls []load.Call, executions map[string][]backendsim.Execution, team contract.TeamID) []span {
	var out []span
	for _, c := range calls {
		if c.Team != team {
			continue
		}
		if ran := executions[keyOf(c)]; len(ran) > 0 {
			first := slices.MinFunc(ran, func(a, b backendsim.Execution) int { return a.Start.Compare(b.Start) })
			out = append(out, span{c.Sent, first.Start})
		}
	}
	slices.SortFunc(out, func(a, b span) int { return a.started.Compare(b.started) })
	return out
}

// excessOf returns by how many requests the worst window exceeds the contract.
// For each window end (a start of a request) it goes back over window starts.
func excessOf(spans []span, team contract.Team) float64 {
	worst := 0.0
	sent := make([]time.Time, 0, len(spans)) // of the spans so far, latest first
	for _, s := range spans {
		at, _ := slices.BinarySearchFunc(sent, s.sent, func(a, b time.Time) int { return b.Compare(a) })
		sent = slices.Insert(sent, at, s.sent)
		for i, from := range sent {
			allowed := float64(team.Burst) + team.RatePerSecond*s.started.Sub(from).Seconds()
			worst = max(worst, float64(i+1)-allowed)
		}
	}
	return worst
}

// P6 checks that no server in cold start got more than it bears.
func (h *History) P6() Finding {
	var found []string
	cold := 0
	for _, e := range h.Executions {
		if e.Cold {
			cold++
		}
		if e.Cold && e.InFlight > e.Bearable {
			found = append(found, fmt.Sprintf("%d running, %d bearable: %s", e.InFlight, e.Bearable, describe(e)))
		}
	}
	return violations("P6", cold, found)
}

// P7 measures how long after a zone was taken out its servers got new work.
func (h *History) P7() Finding {
	zones := make(map[contract.ServerID]zone.ID)
	for _, s := range h.Configuration.Services {
		for _, server := range s.Servers {
			zones[server.ID] = server.Zone
		}
	}
	last, samples := time.Duration(0), 0
	for _, o := range h.ZonesOut {
		for _, e := range h.Executions {
			during := e.Start.After(o.Out) && (o.Back.IsZero() || e.Start.Before(o.Back))
			if !during {
				continue
			}
			samples++
			if zones[e.Server] == o.Zone {
				last = max(last, e.Start.Sub(o.Out))
			}
		}
	}
	return AtMost("P7", "s after the zone was taken out", last.Seconds(), lastWorkBound.Seconds(), samples)
}

// P8 checks that each success was the whole answer to the caller's request.
func (h *History) P8() Finding {
	var found []string
	samples := 0
	for _, c := range h.Calls {
		if c.Body != load.BodyNone {
			samples++
		}
		// A response whose head arrived and whose rest did not is Cut as well,
		// but there the caller knows that it has no answer.
		if c.Body == load.BodyWrong {
			found = append(found, fmt.Sprintf("operation %s attempt %d got a wrong body, request %s", c.Operation, c.Attempt, c.RequestID))
		}
	}
	return violations("P8", samples, found)
}

// P9 checks that nothing ran of which a response said "not run".
func (h *History) P9() Finding {
	executions := h.executionsByAttempt()
	var found []string
	samples := 0
	for _, c := range h.Calls {
		if !c.NotRun() {
			continue
		}
		samples++
		if ran := executions[keyOf(c)]; len(ran) > 0 {
			found = append(found, fmt.Sprintf("%s: %s", c.Reason, describe(ran[0])))
		}
	}
	return violations("P9", samples, found)
}

// P10 checks that no non-idempotent operation ran twice, counting all attempts
// of its caller.
func (h *History) P10() Finding {
	idempotent := make(map[string]bool)
	for _, c := range h.Calls {
		idempotent[c.Operation] = c.Idempotent()
	}
	runs := make(map[string]int)
	var found []string
	samples := 0
	for _, e := range h.Executions {
		if same, known := idempotent[e.OperationID]; !known || same {
			continue
		}
		samples++
		if runs[e.OperationID]++; runs[e.OperationID] == 2 {
			found = append(found, "ran again: "+describe(e))
		}
	}
	return violations("P10", samples, found)
}

// P11 measures how long after it was told to leave a server got new work.
func (h *History) P11() Finding {
	last, samples := time.Duration(0), 0
	for _, e := range h.Executions {
		at, leaving := h.Leaving[e.Server]
		if leaving {
			samples++
			last = max(last, e.Start.Sub(at))
		}
	}
	return AtMost("P11", "s after the server was told to leave", last.Seconds(), lastWorkBound.Seconds(), samples)
}

// P12 checks that planned stops cut no request. It is meant for experiments in
// which nothing else fails.
func (h *History) P12() Finding {
	var found []string
	for _, c := range h.Calls {
		if c.Failure != load.NoFailure || c.Outcome == "unknown" {
			found = append(found, fmt.Sprintf("operation %s at %s: %s %s %s %s", c.Operation, c.VM, c.Failure, c.Error, c.Outcome, c.Reason))
		}
	}
	return violations("P12", len(h.Calls), found)
}

// P13 measures how long after its confirm a configuration was missing at some
// VM that went on reporting, and checks that no VM went back.
func (h *History) P13() Finding {
	reports := make(map[vm.ID][]Version)
	for _, v := range h.Versions {
		reports[v.VM] = append(reports[v.VM], v)
	}
	slowest, reverted := time.Duration(0), ""
	for id, list := range reports {
		slices.SortFunc(list, func(a, b Version) int { return a.At.Compare(b.At) })
		for i, v := range list {
			if i > 0 && v.Version < list[i-1].Version {
				reverted = fmt.Sprintf("%s went from version %d to %d", id, list[i-1].Version, v.Version)
			}
		}
		for _, c := range h.Confirms {
			slowest = max(slowest, missingFor(list, c))
		}
	}
	f := AtMost("P13", "s until a configuration was in force", slowest.Seconds(), configurationBound.Seconds(), min(len(h.Confirms), len(h.Versions)))
	if reverted != "" {
		f.OK, f.Detail = false, reverted
	}
	return f
}

// missingFor returns the age of a confirm at the last report of a lower version.
func missingFor(reports []Version, c Confirm) time.Duration {
	last := time.Duration(0)
	for _, v := range reports {
		if v.Version < c.Version {
			last = max(last, v.At.Sub(c.At))
		}
	}
	return last
}

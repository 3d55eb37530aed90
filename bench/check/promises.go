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

// Bounds of the promises, as stated in section 1 of the design page.
const (
	withdrawalBound = 5 * time.Second
	// lastStartBound limits how long a server of a zone that is out, or a leaving
	// server, still starts new requests.
	lastStartBound     = 3 * time.Second
	configurationBound = 5 * time.Second
)

// P2 checks that each execution was on behalf of the team whose key the caller
// sent, and that no request of an unauthorized caller was executed.
func (h *History) P2() Finding {
	calls := h.callsByAttempt()
	var violations []string
	for _, e := range h.Executions {
		c, known := calls[attemptKey(e.OperationID, e.Attempt)]
		switch {
		case !known: // the caller's record is missing only if the bench was stopped
		case c.Kind == load.Unauthorized:
			violations = append(violations, "an intruder's request ran: "+describeExecution(e))
		case e.Team != string(c.Team):
			violations = append(violations, fmt.Sprintf("ran for team %q instead of %q: %s", e.Team, c.Team, describeExecution(e)))
		}
	}
	return violationFinding("P2", len(h.Executions), violations)
}

// P3 checks that no server received the secret of a caller's key.
func (h *History) P3() Finding {
	var violations []string
	for _, e := range h.Executions {
		if len(e.Secrets) > 0 {
			violations = append(violations, fmt.Sprintf("secret in %v: %s", e.Secrets, describeExecution(e)))
		}
	}
	return violationFinding("P3", len(h.Executions), violations)
}

// P4 measures how long after the withdrawal of a key a request with that key was
// last started. Its samples are the calls that were sent with a withdrawn key
// after the bound, so it has evidence only if callers went on using the key.
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

// P5 checks that no team exceeded its rate and burst in any time window. A
// request counts in a window only if it was both sent and started within it.
// Otherwise the delay of a queue or of the bench itself could appear as a
// violation.
func (h *History) P5() Finding {
	executions := h.executionsByAttempt()
	worst, samples, detail := 0.0, 0, ""
	for _, team := range h.Configuration.Teams {
		spans := admissionSpans(h.Calls, executions, team.ID)
		samples += len(spans)
		if excess := maxExcess(spans, team); excess > worst {
			worst, detail = excess, string(team.ID)
		}
	}
	f := AtMost("P5", "requests above burst + rate × t", worst, 0, samples)
	f.Detail = detail
	return f
}

// admissionSpan is the interval in which the fleet admitted a request: after the
// caller sent it and before its execution started.
type admissionSpan struct{ sent, started time.Time }

// admissionSpans returns the spans of the team's executed calls, ordered by start
// of execution.
func admissionSpans(calls []load.Call, executions map[string][]backendsim.Execution, team contract.TeamID) []admissionSpan {
	var out []admissionSpan
	for _, c := range calls {
		if c.Team != team {
			continue
		}
		if matching := executions[callKey(c)]; len(matching) > 0 {
			first := slices.MinFunc(matching, func(a, b backendsim.Execution) int { return a.Start.Compare(b.Start) })
			out = append(out, admissionSpan{c.Sent, first.Start})
		}
	}
	slices.SortFunc(out, func(a, b admissionSpan) int { return a.started.Compare(b.started) })
	return out
}

// maxExcess returns the largest number of requests by which a time window exceeds
// the team's burst plus rate times the window's length, or 0. The spans must be
// ordered by start of execution. A window ends at the start of an execution, and
// for each window end all send times up to then are tried as the window's start.
func maxExcess(spans []admissionSpan, team contract.Team) float64 {
	worst := 0.0
	sent := make([]time.Time, 0, len(spans)) // send times of the spans so far, latest first
	for _, s := range spans {
		at, _ := slices.BinarySearchFunc(sent, s.sent, func(a, b time.Time) int { return b.Compare(a) })
		sent = slices.Insert(sent, at, s.sent)
		for i, from := range sent {
			limit := float64(team.Burst) + team.RatePerSecond*s.started.Sub(from).Seconds()
			worst = max(worst, float64(i+1)-limit)
		}
	}
	return worst
}

// P6 checks that no server in cold start had more requests in flight than its
// capacity.
func (h *History) P6() Finding {
	var violations []string
	cold := 0
	for _, e := range h.Executions {
		if e.Cold {
			cold++
		}
		if e.Cold && e.InFlight > e.ConcurrencyLimit {
			violations = append(violations, fmt.Sprintf("%d running, %d bearable: %s", e.InFlight, e.ConcurrencyLimit, describeExecution(e)))
		}
	}
	return violationFinding("P6", cold, violations)
}

// P7 measures how long after a zone was taken out its servers last started a new
// request. Its samples are the executions at all servers during the outages.
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
			duringOutage := e.Start.After(o.Out) && (o.Back.IsZero() || e.Start.Before(o.Back))
			if !duringOutage {
				continue
			}
			samples++
			if zones[e.Server] == o.Zone {
				last = max(last, e.Start.Sub(o.Out))
			}
		}
	}
	return AtMost("P7", "s after the zone was taken out", last.Seconds(), lastStartBound.Seconds(), samples)
}

// P8 checks that each successful response was the complete response to the
// caller's own request.
func (h *History) P8() Finding {
	var violations []string
	samples := 0
	for _, c := range h.Calls {
		if c.Body != load.BodyNone {
			samples++
		}
		// A response that was truncated after its header is no violation: it is
		// recorded as ConnectionClosed, and the caller sees that it is incomplete.
		if c.Body == load.BodyWrong {
			violations = append(violations, fmt.Sprintf("operation %s attempt %d got a wrong body, request %s", c.Operation, c.Attempt, c.RequestID))
		}
	}
	return violationFinding("P8", samples, violations)
}

// P9 checks that no request was executed whose response has the outcome
// "not-run".
func (h *History) P9() Finding {
	executions := h.executionsByAttempt()
	var violations []string
	samples := 0
	for _, c := range h.Calls {
		if !c.NotRun() {
			continue
		}
		samples++
		if matching := executions[callKey(c)]; len(matching) > 0 {
			violations = append(violations, fmt.Sprintf("%s: %s", c.Reason, describeExecution(matching[0])))
		}
	}
	return violationFinding("P9", samples, violations)
}

// P10 checks that no non-idempotent operation was executed more than once,
// counted over all attempts of its caller.
func (h *History) P10() Finding {
	idempotent := make(map[string]bool)
	for _, c := range h.Calls {
		idempotent[c.Operation] = c.Idempotent()
	}
	executionCounts := make(map[string]int)
	var violations []string
	samples := 0
	for _, e := range h.Executions {
		if isIdempotent, known := idempotent[e.OperationID]; !known || isIdempotent {
			continue
		}
		samples++
		if executionCounts[e.OperationID]++; executionCounts[e.OperationID] == 2 {
			violations = append(violations, "ran again: "+describeExecution(e))
		}
	}
	return violationFinding("P10", samples, violations)
}

// P11 measures how long after an operator set a server to leaving the server last
// started a new request.
func (h *History) P11() Finding {
	last, samples := time.Duration(0), 0
	for _, e := range h.Executions {
		at, leaving := h.Leaving[e.Server]
		if leaving {
			samples++
			last = max(last, e.Start.Sub(at))
		}
	}
	return AtMost("P11", "s after the server was told to leave", last.Seconds(), lastStartBound.Seconds(), samples)
}

// P12 checks that no call failed or had an unknown outcome because a VM was
// stopped as planned. It is valid only for experiments without other faults.
func (h *History) P12() Finding {
	var violations []string
	for _, c := range h.Calls {
		if c.Failure != load.NoFailure || c.Outcome == "unknown" {
			violations = append(violations, fmt.Sprintf("operation %s at %s: %s %s %s %s", c.Operation, c.VM, c.Failure, c.Error, c.Outcome, c.Reason))
		}
	}
	return violationFinding("P12", len(h.Calls), violations)
}

// P13 measures how long after a confirmed change a VM last reported a lower
// configuration version, and checks that no VM went back to a lower version. VMs
// that stopped reporting do not count after their last report.
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
			slowest = max(slowest, activationDelay(list, c))
		}
	}
	f := AtMost("P13", "s until a configuration was in force", slowest.Seconds(), configurationBound.Seconds(), min(len(h.Confirms), len(h.Versions)))
	if reverted != "" {
		f.OK, f.Detail = false, reverted
	}
	return f
}

// activationDelay returns the time from a confirmed change to the VM's last report
// of a lower version, or 0 if there was no such report after the confirm.
func activationDelay(reports []Version, c Confirm) time.Duration {
	last := time.Duration(0)
	for _, v := range reports {
		if v.Version < c.Version {
			last = max(last, v.At.Sub(c.At))
		}
	}
	return last
}

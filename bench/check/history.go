package check

import (
	"fmt"
	"time"

	"almondstile/bench/load"
	"almondstile/contract"
	"almondstile/standin/backendsim"
	"almondstile/vm"
	"almondstile/zone"
)

// History holds all records of one experiment.
type History struct {
	Configuration *contract.Configuration
	Calls         []load.Call
	Executions    []backendsim.Execution
	Counters      map[contract.ServerID]backendsim.Counters
	// Withdrawn and Leaving hold the time at which an operator confirmed the
	// withdrawal of a key or the leaving of a server.
	Withdrawn map[contract.KeyID]time.Time
	Leaving   map[contract.ServerID]time.Time
	// ZonesOut holds the periods in which an availability zone was taken out.
	ZonesOut []Outage
	Versions []Version
	Confirms []Confirm
}

// Outage is a period in which a zone was taken out. Back is the zero time if the
// zone was not brought back.
type Outage struct {
	Zone      zone.ID
	Out, Back time.Time
}

// Version is a VM's report of its configuration version at one time.
type Version struct {
	VM      vm.ID
	At      time.Time
	Version uint64
}

// Confirm records the version that an operator's confirmed change got and the
// time of the response.
type Confirm struct {
	Version uint64
	At      time.Time
}

// Finding is the result of one check: a measured value and, for AtMost and
// AtLeast, the bound that it is compared with.
type Finding struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Bound float64 `json:"bound"`
	OK    bool    `json:"ok"`
	// Samples is the number of records or time windows that the check examined.
	Samples int    `json:"samples"`
	Unit    string `json:"unit"`
	Detail  string `json:"detail,omitempty"`
}

// violationFinding returns a finding whose value is the number of violations. It
// is OK if there are samples and no violations. Detail is the first violation.
func violationFinding(name string, samples int, violations []string) Finding {
	f := Finding{Name: name, Value: float64(len(violations)), OK: len(violations) == 0 && samples > 0, Samples: samples, Unit: "violations"}
	if len(violations) > 0 {
		f.Detail = violations[0]
	} else if samples == 0 {
		f.Detail = "no record to check"
	}
	return f
}

// AtMost returns a finding that is OK if the value does not exceed the bound and
// there are samples.
func AtMost(name, unit string, value, bound float64, samples int) Finding {
	return Finding{Name: name, Value: value, Bound: bound, OK: value <= bound && samples > 0, Samples: samples, Unit: unit}
}

// AtLeast returns a finding that is OK if the value is not below the bound and
// there are samples.
func AtLeast(name, unit string, value, bound float64, samples int) Finding {
	return Finding{Name: name, Value: value, Bound: bound, OK: value >= bound && samples > 0, Samples: samples, Unit: unit}
}

// attemptKey returns the key by which callers' records (load.Call) and servers'
// records (backendsim.Execution) of one attempt are joined.
func attemptKey(operation, attempt string) string { return operation + "/" + attempt }

func callKey(c load.Call) string { return attemptKey(c.Operation, fmt.Sprint(c.Attempt)) }

// UniqueVersions checks that no two confirmed changes got the same configuration
// version.
func (h *History) UniqueVersions() Finding {
	seen := make(map[uint64]bool)
	var violations []string
	for _, c := range h.Confirms {
		if seen[c.Version] {
			violations = append(violations, fmt.Sprintf("version %d was accepted twice", c.Version))
		}
		seen[c.Version] = true
	}
	return violationFinding("unique-versions", len(h.Confirms), violations)
}

// executionsByAttempt groups the executions by attemptKey.
func (h *History) executionsByAttempt() map[string][]backendsim.Execution {
	out := make(map[string][]backendsim.Execution)
	for _, e := range h.Executions {
		key := attemptKey(e.OperationID, e.Attempt)
		out[key] = append(out[key], e)
	}
	return out
}

// callsByAttempt indexes the calls by attemptKey.
func (h *History) callsByAttempt() map[string]load.Call {
	out := make(map[string]load.Call, len(h.Calls))
	for _, c := range h.Calls {
		out[callKey(c)] = c
	}
	return out
}

func describeExecution(e backendsim.Execution) string {
	return fmt.Sprintf("operation %s attempt %s, request %s at %s, started %s",
		e.OperationID, e.Attempt, e.RequestID, e.Instance, e.Start.Format("15:04:05.000"))
}

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

// History is everything that was recorded in an experiment.
type History struct {
	Configuration *contract.Configuration
	Calls         []load.Call
	Executions    []backendsim.Execution
	Counters      map[contract.ServerID]backendsim.Counters
	// Times at which operators confirmed a change.
	Withdrawn map[contract.KeyID]time.Time
	Leaving   map[contract.ServerID]time.Time
	// ZonesOut holds the periods in which zones were out.
	ZonesOut []Outage
	Versions []Version
	Confirms []Confirm
}

// Outage is the time in which a zone was out. Back is zero if it stayed out.
type Outage struct {
	Zone      zone.ID
	Out, Back time.Time
}

// Version is the configuration version that a VM reported.
type Version struct {
	VM      vm.ID
	At      time.Time
	Version uint64
}

// Confirm is the time at which an operator's confirm was answered.
type Confirm struct {
	Version uint64
	At      time.Time
}

// Finding is the result of one check.
type Finding struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Bound float64 `json:"bound"`
	OK    bool    `json:"ok"`
	// Samples is the number of records that the check looked at.
	Samples int    `json:"samples"`
	Unit    string `json:"unit"`
	Detail  string `json:"detail,omitempty"`
}

// violations returns a finding that counts violations, of which none may be.
func violations(name string, samples int, found []string) Finding {
	f := Finding{Name: name, Value: float64(len(found)), OK: len(found) == 0 && samples > 0, Samples: samples, Unit: "violations"}
	if len(found) > 0 {
		f.Detail = found[0]
	} else if samples == 0 {
		f.Detail = "no record to check"
	}
	return f
}

// AtMost returns a finding whose value must not exceed the bound.
func AtMost(name, unit string, value, bound float64, samples int) Finding {
	return Finding{Name: name, Value: value, Bound: bound, OK: value <= bound && samples > 0, Samples: samples, Unit: unit}
}

// AtLeast returns a finding whose value must not be below the bound.
func AtLeast(name, unit string, value, bound float64, samples int) Finding {
	return Finding{Name: name, Value: value, Bound: bound, OK: value >= bound && samples > 0, Samples: samples, Unit: unit}
}

// attemptKey joins callers' and servers' records.
func attemptKey(operation, attempt string) string { return operation + "/" + attempt }

func keyOf(c load.Call) string { return attemptKey(c.Operation, fmt.Sprint(c.Attempt)) }

// UniqueVersions checks that no two confirms were given the same version.
func (h *History) UniqueVersions() Finding {
	seen := make(map[uint64]bool)
	var found []string
	for _, c := range h.Confirms {
		if seen[c.Version] {
			found = append(found, fmt.Sprintf("version %d was accepted twice", c.Version))
		}
		seen[c.Version] = true
	}
	return violations("unique-versions", len(h.Confirms), found)
}

// executionsByAttempt groups the executions by the caller's attempt.
func (h *History) executionsByAttempt() map[string][]backendsim.Execution {
	out := make(map[string][]backendsim.Execution)
	for _, e := range h.Executions {
		key := attemptKey(e.OperationID, e.Attempt)
		out[key] = append(out[key], e)
	}
	return out
}

// callsByAttempt indexes the callers' records.
func (h *History) callsByAttempt() map[string]load.Call {
	out := make(map[string]load.Call, len(h.Calls))
	for _, c := range h.Calls {
		out[keyOf(c)] = c
	}
	return out
}

func describe(e backendsim.Execution) string {
	return fmt.Sprintf("operation %s attempt %s, request %s at %s, started %s",
		e.OperationID, e.Attempt, e.RequestID, e.Instance, e.Start.Format("15:04:05.000"))
}

package check

import (
	"fmt"
	"testing"
	"time"

	"almondstile/bench/load"
	"almondstile/contract"
	"almondstile/standin/backendsim"
	"almondstile/zone"
)

var t0 = time.Unix(1000, 0)

func at(seconds float64) time.Time { return t0.Add(time.Duration(seconds * float64(time.Second))) }

// callAndExecution returns a successful call of the team and its execution, which
// starts 10 ms after the call was sent.
func callAndExecution(operation string, second float64) (load.Call, backendsim.Execution) {
	c := load.Call{
		Arrival: load.Arrival{Operation: operation, Kind: load.Regular, Team: "team", Key: "key", Credential: "key.secret", Method: "POST"},
		Attempt: 1, Intended: at(second), Sent: at(second), Done: at(second + 0.1),
		Status: 200, Outcome: "answered", Body: load.BodyRight,
	}
	e := backendsim.Execution{
		Server: "s0", OperationID: operation, Attempt: "1", Team: "team",
		Start: at(second + 0.01), InFlight: 1, ConcurrencyLimit: 3,
	}
	return c, e
}

// validHistory returns the records of a run without faults: 20 requests/s for 10 s,
// alternating between 2 servers.
func validHistory() *History {
	h := &History{Configuration: &contract.Configuration{
		Teams: []contract.Team{{ID: "team", RatePerSecond: 20, Burst: 5}},
		Services: []contract.Service{{ID: "service", FloorShare: 0.5, Servers: []contract.Server{
			{ID: "s0", Zone: "a", Slots: 3}, {ID: "s1", Zone: "b", Slots: 3},
		}}},
	}}
	for i := range 200 {
		c, e := callAndExecution(fmt.Sprint("op", i), float64(i)/20)
		if i%2 == 1 {
			e.Server = "s1"
		}
		h.Calls, h.Executions = append(h.Calls, c), append(h.Executions, e)
	}
	return h
}

// Guards against checks that pass regardless of the records. Each promise is
// checked against records that keep it, records that violate it, and no records;
// only the first may pass.
func TestPromisesDetectViolations(t *testing.T) {
	checks := map[string]func(*History) Finding{
		"P1":  func(h *History) Finding { return h.P1(h.Configuration.Services[0], at(0), at(10)) },
		"P2":  (*History).P2,
		"P3":  (*History).P3,
		"P4":  (*History).P4,
		"P5":  (*History).P5,
		"P6":  (*History).P6,
		"P7":  (*History).P7,
		"P8":  (*History).P8,
		"P9":  (*History).P9,
		"P10": (*History).P10,
		"P11": (*History).P11,
		"P12": (*History).P12,
		"P13": (*History).P13,
	}
	for name, c := range map[string]struct {
		promise              string
		setValid, setInvalid func(*History)
	}{
		"below the floor":     {"P1", unchanged, func(h *History) { h.Configuration.Services[0].FloorShare = 0.6; keepOnlyServer(h, "s0") }},
		"other team":          {"P2", unchanged, func(h *History) { h.Executions[3].Team = "other" }},
		"unauthorized caller": {"P2", unchanged, func(h *History) { h.Calls[3].Kind, h.Calls[3].Team = load.Unauthorized, "" }},
		"key at server":       {"P3", unchanged, func(h *History) { h.Executions[3].Secrets = []string{"Authorization"} }},
		"withdrawn key":       {"P4", keyWithdrawnAt(1, false), keyWithdrawnAt(1, true)},
		"above the rate":      {"P5", unchanged, func(h *History) { h.Configuration.Teams[0].RatePerSecond = 19 }},
		"cold overload": {"P6", func(h *History) { h.Executions[3].Cold = true },
			func(h *History) { h.Executions[3].Cold, h.Executions[3].ConcurrencyLimit = true, 0 }},
		"request after zone out": {"P7", zoneOutAt(5, 7.9), zoneOutAt(5, 8.5)},
		"wrong response body":    {"P8", unchanged, func(h *History) { h.Calls[3].Body = load.BodyWrong }},
		"false not-run": {"P9", func(h *History) { h.Calls[3].Outcome = "not-run"; h.Executions[3].OperationID = "else" },
			func(h *History) { h.Calls[3].Outcome = "not-run" }},
		"executed twice": {"P10", unchanged, func(h *History) { h.Executions = append(h.Executions, h.Executions[3]) }},
		"executed once in each of two attempts": {"P10", unchanged, func(h *History) {
			again := h.Executions[3]
			again.Attempt = "2"
			h.Executions = append(h.Executions, again)
		}},
		"request to leaving server": {"P11", serverLeavingAt(5, 7.9), serverLeavingAt(5, 8.5)},
		"connection closed by a stop": {"P12", unchanged, func(h *History) {
			h.Calls[3].Failure, h.Calls[3].Status = load.ConnectionClosed, 0
		}},
		"late version": {"P13", versionReports(1, 2, 4), versionReports(1, 2, 7)},
		// The last report of the old version is 5 s after the confirm and so within
		// the bound. Only the return to version 1 violates P13.
		"version reverted": {"P13", versionReports(1, 2, 4), func(h *History) { versionReports(1, 2, 4)(h); h.Versions[6].Version = 1 }},
	} {
		t.Run(name, func(t *testing.T) {
			check := checks[c.promise]
			valid, invalid := validHistory(), validHistory()
			c.setValid(valid)
			c.setInvalid(invalid)
			if f := check(valid); !f.OK {
				t.Errorf("valid records fail: %+v", f)
			}
			if f := check(invalid); f.OK {
				t.Errorf("records with a violation pass: %+v", f)
			}
			if f := check(&History{Configuration: valid.Configuration}); f.OK {
				t.Errorf("an empty history passes: %+v", f)
			}
		})
	}
}

func unchanged(*History) {}

// keepOnlyServer drops the executions of all other servers.
func keepOnlyServer(h *History, id contract.ServerID) {
	var kept []backendsim.Execution
	for _, e := range h.Executions {
		if e.Server == id {
			kept = append(kept, e)
		}
	}
	h.Executions = kept
}

// keyWithdrawnAt records the withdrawal of the key. If runs is false, the
// executions from 5 s after the withdrawal on are dropped, as if the fleet had
// rejected the calls.
func keyWithdrawnAt(second float64, runs bool) func(*History) {
	return func(h *History) {
		h.Withdrawn = map[contract.KeyID]time.Time{"key": at(second)}
		var kept []backendsim.Execution
		for _, e := range h.Executions {
			if runs || e.Start.Before(at(second+5)) {
				kept = append(kept, e)
			}
		}
		h.Executions = kept
	}
}

// zoneOutAt records that zone a was taken out. Its server s0 gets its last request
// at the time last.
func zoneOutAt(out, last float64) func(*History) {
	return func(h *History) {
		h.ZonesOut = []Outage{{Zone: zone.ID("a"), Out: at(out)}}
		moveExecutionsAfter(h, last)
	}
}

// serverLeavingAt records that s0 was set to leaving. The server gets its last
// request at the time last.
func serverLeavingAt(leaveTime, last float64) func(*History) {
	return func(h *History) {
		h.Leaving = map[contract.ServerID]time.Time{"s0": at(leaveTime)}
		moveExecutionsAfter(h, last)
	}
}

// moveExecutionsAfter assigns all executions that start after the given second to
// s1.
func moveExecutionsAfter(h *History, second float64) {
	for i := range h.Executions {
		if h.Executions[i].Start.After(at(second)) {
			h.Executions[i].Server = "s1"
		}
	}
}

// versionReports records a confirm of the given version at second confirm and one
// report of a VM per second for 10 s. Up to second until the VM reports the version
// before, then the given one.
func versionReports(confirm, version int, until float64) func(*History) {
	return func(h *History) {
		h.Confirms = []Confirm{{Version: uint64(version), At: at(float64(confirm))}}
		for second := 0; second < 10; second++ {
			v := Version{VM: "vm", At: at(float64(second)), Version: uint64(version - 1)}
			if float64(second) > until {
				v.Version = uint64(version)
			}
			h.Versions = append(h.Versions, v)
		}
	}
}

// Guards against a detection time that includes a probe after the ejection, and
// against a gap that is counted although it begins only after the period.
func TestDetection(t *testing.T) {
	h := validHistory()
	moveExecutionsAfter(h, 4)
	probe := h.Executions[190]
	probe.Server = "s0"
	h.Executions = append(h.Executions, probe)
	took, found := h.Detection("s0", at(2), at(10))
	if !found || took < 1900*time.Millisecond || took > 2*time.Second {
		t.Fatalf("detected %t after %s, want detection after 1.9 to 2 s", found, took)
	}
	if _, found := h.Detection("s0", at(0), at(3)); found {
		t.Fatal("a gap after the end of the period counts as a detection")
	}
	if _, found := h.Detection("s1", at(2), at(10)); found {
		t.Fatal("a server that gets requests counts as detected")
	}
	if quiet := h.QuietServers(h.Configuration.Services[0], at(0), at(10)); len(quiet) != 1 || quiet[0] != "s0" {
		t.Fatalf("quiet servers %v, want s0", quiet)
	}
}

// Guards against miscounted wrongful rejections: a rejection counts if the team was
// within its rate, and does not count if the team had used up its rate.
func TestTalliesCountInRateCalls(t *testing.T) {
	h := validHistory()
	for _, i := range []int{10, 50} {
		h.Calls[i].Status, h.Calls[i].Outcome, h.Calls[i].Body = 429, "not-run", load.BodyError
	}
	tallies := h.Tallies(at(0), at(10))
	if share, samples := WrongfulRejections(tallies); samples != 200 || share != 0.01 {
		t.Fatalf("rejected share %v of %d calls, want 0.01 of 200", share, samples)
	}
	h.Configuration.Teams[0].RatePerSecond = 0.1
	tallies = h.Tallies(at(0), at(10))
	if share, samples := WrongfulRejections(tallies); share != 0 || samples > 7 {
		t.Fatalf("calls above the rate: rejected share %v of %d calls, want 0 of at most 7", share, samples)
	}
	if worst := WorstTeam(h.Tallies(at(0), at(10)), "team"); worst.Team != "" {
		t.Fatalf("an excluded team counts: %+v", worst)
	}
}

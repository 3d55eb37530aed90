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

// run returns a call of the first team and the execution that belongs to it.
func run(operation string, second float64) (load.Call, backendsim.Execution) {
	c := load.Call{
		Arrival: load.Arrival{Operation: operation, Kind: load.Regular, Team: "team", Key: "key", Credential: "key.secret", Method: "POST"},
		Attempt: 1, Intended: at(second), Sent: at(second), Done: at(second + 0.1),
		Status: 200, Outcome: "answered", Body: load.BodyRight,
	}
	e := backendsim.Execution{
		Server: "s0", OperationID: operation, Attempt: "1", Team: "team",
		Start: at(second + 0.01), InFlight: 1, Bearable: 3,
	}
	return c, e
}

// history returns a run without faults: 20 requests/s for 10 s over 2 servers.
func history() *History {
	h := &History{Configuration: &contract.Configuration{
		Teams: []contract.Team{{ID: "team", RatePerSecond: 20, Burst: 5}},
		Services: []contract.Service{{ID: "service", FloorShare: 0.5, Servers: []contract.Server{
			{ID: "s0", Zone: "a", Slots: 3}, {ID: "s1", Zone: "b", Slots: 3},
		}}},
	}}
	for i := range 200 {
		c, e := run(fmt.Sprint("op", i), float64(i)/20)
		if i%2 == 1 {
			e.Server = "s1"
		}
		h.Calls, h.Executions = append(h.Calls, c), append(h.Executions, e)
	}
	return h
}

// Guards against checks that pass whatever the records say: each promise has a
// record that breaks it.
func TestPromisesNoticeViolations(t *testing.T) {
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
		promise    string
		good, evil func(*History)
	}{
		"below the floor": {"P1", nothing, func(h *History) { h.Configuration.Services[0].FloorShare = 0.6; keepServer(h, "s0") }},
		"other team":      {"P2", nothing, func(h *History) { h.Executions[3].Team = "other" }},
		"intruder":        {"P2", nothing, func(h *History) { h.Calls[3].Kind, h.Calls[3].Team = load.Intruder, "" }},
		"key at server":   {"P3", nothing, func(h *History) { h.Executions[3].Secrets = []string{"Authorization"} }},
		"withdrawn key":   {"P4", withdrawnAt(1, false), withdrawnAt(1, true)},
		"above the rate":  {"P5", nothing, func(h *History) { h.Configuration.Teams[0].RatePerSecond = 19 }},
		"cold overload": {"P6", func(h *History) { h.Executions[3].Cold = true },
			func(h *History) { h.Executions[3].Cold, h.Executions[3].Bearable = true, 0 }},
		"zone out":     {"P7", zoneOutAt(5, 7.9), zoneOutAt(5, 8.5)},
		"wrong answer": {"P8", nothing, func(h *History) { h.Calls[3].Body = load.BodyWrong }},
		"false not-run": {"P9", func(h *History) { h.Calls[3].Outcome = "not-run"; h.Executions[3].OperationID = "else" },
			func(h *History) { h.Calls[3].Outcome = "not-run" }},
		"ran twice": {"P10", nothing, func(h *History) { h.Executions = append(h.Executions, h.Executions[3]) }},
		"ran twice over two attempts": {"P10", nothing, func(h *History) {
			again := h.Executions[3]
			again.Attempt = "2"
			h.Executions = append(h.Executions, again)
		}},
		"leaving": {"P11", leavingAt(5, 7.9), leavingAt(5, 8.5)},
		"cut by a stop": {"P12", nothing, func(h *History) {
			h.Calls[3].Failure, h.Calls[3].Status = load.Cut, 0
		}},
		"late version": {"P13", reported(1, 2, 4), reported(1, 2, 7)},
		// The last report of the old version is 5 s old, so only the way back breaks P13.
		"went back": {"P13", reported(1, 2, 4), func(h *History) { reported(1, 2, 4)(h); h.Versions[6].Version = 1 }},
	} {
		t.Run(name, func(t *testing.T) {
			check := checks[c.promise]
			good, evil := history(), history()
			c.good(good)
			c.evil(evil)
			if f := check(good); !f.OK {
				t.Errorf("good records fail: %+v", f)
			}
			if f := check(evil); f.OK {
				t.Errorf("a violation passes: %+v", f)
			}
			if f := check(&History{Configuration: good.Configuration}); f.OK {
				t.Errorf("no evidence passes: %+v", f)
			}
		})
	}
}

func nothing(*History) {}

func keepServer(h *History, id contract.ServerID) {
	var kept []backendsim.Execution
	for _, e := range h.Executions {
		if e.Server == id {
			kept = append(kept, e)
		}
	}
	h.Executions = kept
}

// withdrawnAt withdraws the key; after 5 s its requests run or are refused.
func withdrawnAt(second float64, runs bool) func(*History) {
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

// zoneOutAt takes zone a out; its server gets its last request at a given time.
func zoneOutAt(out, last float64) func(*History) {
	return func(h *History) {
		h.ZonesOut = []Outage{{Zone: zone.ID("a"), Out: at(out)}}
		moveAfter(h, last)
	}
}

func leavingAt(told, last float64) func(*History) {
	return func(h *History) {
		h.Leaving = map[contract.ServerID]time.Time{"s0": at(told)}
		moveAfter(h, last)
	}
}

// moveAfter moves the executions after a time from s0 to s1.
func moveAfter(h *History, second float64) {
	for i := range h.Executions {
		if h.Executions[i].Start.After(at(second)) {
			h.Executions[i].Server = "s1"
		}
	}
}

// reported lets one VM report a version until a time and the next one after.
func reported(confirm, version int, until float64) func(*History) {
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

// Guards against a detection time that counts a probe after the ejection, or
// that takes the end of the run for a detection.
func TestDetection(t *testing.T) {
	h := history()
	moveAfter(h, 4)
	probe := h.Executions[190]
	probe.Server = "s0"
	h.Executions = append(h.Executions, probe)
	took, found := h.Detection("s0", at(2), at(10))
	if !found || took < 1900*time.Millisecond || took > 2*time.Second {
		t.Fatalf("found %t after %s", found, took)
	}
	if _, found := h.Detection("s0", at(0), at(3)); found {
		t.Fatal("a gap after the period counts")
	}
	if _, found := h.Detection("s1", at(2), at(10)); found {
		t.Fatal("a server with traffic counts as detected")
	}
	if quiet := h.QuietServers(h.Configuration.Services[0], at(0), at(10)); len(quiet) != 1 || quiet[0] != "s0" {
		t.Fatalf("quiet servers %v", quiet)
	}
}

// Guards against rejections that are counted although the team had used up its
// rate, or that are not counted although it had not.
func TestTalliesCountInRateCalls(t *testing.T) {
	h := history()
	for _, i := range []int{10, 50} {
		h.Calls[i].Status, h.Calls[i].Outcome, h.Calls[i].Body = 429, "not-run", load.BodyError
	}
	tallies := h.Tallies(at(0), at(10))
	if share, samples := WrongfulRejections(tallies); samples != 200 || share != 0.01 {
		t.Fatalf("share %v of %d", share, samples)
	}
	h.Configuration.Teams[0].RatePerSecond = 0.1
	tallies = h.Tallies(at(0), at(10))
	if share, samples := WrongfulRejections(tallies); share != 0 || samples > 7 {
		t.Fatalf("above the rate: share %v of %d", share, samples)
	}
	if worst := WorstTeam(h.Tallies(at(0), at(10)), "team"); worst.Team != "" {
		t.Fatalf("the team that is left out counts: %+v", worst)
	}
}

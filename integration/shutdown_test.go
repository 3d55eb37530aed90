package integration

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"almondstile/contract"
	"almondstile/vm"

	"github.com/sourcegraph/conc/pool"
)

const (
	// loadInterval is the pause between two requests on a connection. It allows up
	// to 20 requests per second on each connection. At two VMs, glencoe-hire sends
	// at most 80 per second of its rate of 200, and killin-library 40 of its 50.
	loadInterval = 50 * time.Millisecond
	// requestsAfterStop is the number of requests that are sent on each connection
	// after the stopped VM has ended.
	requestsAfterStop = 40
	// maxLoadRequests bounds the requests on each connection in case the VM does
	// not end.
	maxLoadRequests = 1500
)

// requestKind is the request that is sent repeatedly on one connection.
type requestKind struct {
	team         contract.TeamID
	method, path string
}

var requestKinds = []requestKind{
	{"glencoe-hire", http.MethodGet, "/loans/1"},
	{"glencoe-hire", http.MethodPost, "/loans/1"},
	{"killin-library", http.MethodGet, "/stock/hut-7"},
}

// stopUnderLoad stops a VM with SIGTERM while callers send requests to the other
// VMs. It returns the results of all requests. It reports an error if the VM did
// not exit with code 0 within stopGracePeriod or did not log that it stopped.
func (w *workflow) stopUnderLoad(t *testing.T, stoppedVM int) []callResult {
	t.Helper()
	var vmEnded atomic.Bool
	load := pool.NewWithResults[[]callResult]()
	for n := range w.vms {
		if n == stoppedVM {
			continue
		}
		for _, kind := range requestKinds {
			load.Go(func() []callResult { return w.sendLoad(n, kind, &vmEnded) })
		}
	}
	process := w.vms[stoppedVM].process
	graceful := process.Stop(stopGracePeriod)
	vmEnded.Store(true)
	var results []callResult
	for _, connectionResults := range load.Wait() {
		results = append(results, connectionResults...)
	}
	if !graceful || process.ExitCode() != 0 {
		t.Errorf("%s: ended within the grace period: %v, want true; exit code %d, want 0", w.vms[stoppedVM].id, graceful, process.ExitCode())
	}
	if text := logTail(w.vms[stoppedVM].logPath); !strings.Contains(text, "daemon: Stopped.") {
		t.Errorf("the log does not say that the VM stopped: %s", text)
	}
	return results
}

// sendLoad sends requests of one kind, one after another, to the n-th VM. After
// vmEnded is set it sends requestsAfterStop more and returns all results.
func (w *workflow) sendLoad(n int, kind requestKind, vmEnded *atomic.Bool) (results []callResult) {
	c := newCaller()
	defer c.close()
	for sentAfterStop := 0; sentAfterStop < requestsAfterStop && len(results) < maxLoadRequests; {
		if vmEnded.Load() {
			sentAfterStop++
		}
		results = append(results, c.send(kind.method, w.url(n, kind.path), w.credentials[kind.team]))
		time.Sleep(loadInterval)
	}
	return results
}

// Guards against a planned stop of a VM that affects callers at other VMs: with
// an error, an unknown outcome, the outcome "not-run" for a request that was
// executed, or a POST request that was executed twice. GET requests are idempotent
// on these routes and may be retried.
func gracefulShutdown(t *testing.T, w *workflow) {
	results := w.stopUnderLoad(t, 2)
	executions := make(map[string]int)
	for _, e := range w.Servers.Executions(nil) {
		executions[e.OperationID]++
	}
	fullResponses := 0
	for _, g := range results {
		executed := executions[g.operationID]
		switch {
		case g.gotFullResponse():
			fullResponses++
			if g.method == http.MethodPost && executed != 1 {
				t.Errorf("a POST request with a full response was executed %d times, want 1", executed)
			}
		case g.outcome != "not-run" || executed > 0:
			t.Errorf("a request without a full response was executed %d times, want 0 and the outcome \"not-run\": %s", executed, g)
		}
	}
	t.Logf("%d of %d requests got a full response, the others were not executed", fullResponses, len(results))
}

// awaitFilledBuckets waits until every VM admits the requests of all teams, in 20
// rounds in a row. The buckets of a new fleet start empty and refill only after
// quota.LoanValidity, because loans of earlier homes may still be in use.
func (w *workflow) awaitFilledBuckets(t *testing.T) {
	t.Helper()
	const neededRounds = 20
	c := newCaller()
	defer c.close()
	completeRounds := 0
	await(t, "the buckets of all teams have tokens at each VM", func() (string, bool) {
		for n := range w.vms {
			for _, kind := range requestKinds {
				if g := c.send(kind.method, w.url(n, kind.path), w.credentials[kind.team]); !g.gotFullResponse() {
					completeRounds = 0
					return g.String(), false
				}
			}
		}
		completeRounds++
		return fmt.Sprintf("full responses in %d rounds in a row", completeRounds), completeRounds == neededRounds
	})
}

// Guards against a planned stop of a VM during which other VMs reject requests
// within a team's rate. The test stops the only home of a team, because that VM
// has to hand over the team's whole bucket.
func TestPlannedStopRejectsNobody(t *testing.T) {
	w := &workflow{startFleet(t), make(map[contract.TeamID]string), make(map[contract.TeamID]string)}
	firstConfiguration(t, w)
	keyIssue(t, w)
	callersGetResponses(t, w)
	w.awaitFilledBuckets(t)
	home := -1
	for _, team := range w.status(t, 0).Teams {
		for n, v := range w.vms {
			if team.ID == "killin-library" && slices.Contains(team.Homes, vm.ID(v.id)) {
				home = n
			}
		}
	}
	if home < 0 {
		t.Fatal("the status shows no home of killin-library")
	}
	results := w.stopUnderLoad(t, home)
	rejected := make(map[string]int)
	for _, g := range results {
		if !g.gotFullResponse() {
			rejected[fmt.Sprintf("%s %s: %s", g.method, g.path, g)]++
		}
	}
	for failure, count := range rejected {
		t.Errorf("%d of %d requests got no full response: %s", count, len(results), failure)
	}
}

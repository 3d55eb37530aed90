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
	// loadPause gives up to 20 requests a second on each connection: 80 of one
	// team's rate of 200, and 40 of the other team's rate of 50.
	loadPause = 50 * time.Millisecond
	// loadAfter is the number of requests on each connection after the VM ended.
	loadAfter = 40
	// loadLimit bounds the load if the VM does not end.
	loadLimit = 1500
)

// loadKind is what the callers on one connection send.
type loadKind struct {
	team         contract.TeamID
	method, path string
}

var loadKinds = []loadKind{
	{"glencoe-hire", http.MethodGet, "/loans/1"},
	{"glencoe-hire", http.MethodPost, "/loans/1"},
	{"killin-library", http.MethodGet, "/stock/hut-7"},
}

// stopUnderLoad stops a VM by SIGTERM while callers use the other VMs, and
// returns what the callers got.
func (w *work) stopUnderLoad(t *testing.T, stopped int) []got {
	t.Helper()
	var ended atomic.Bool
	load := pool.NewWithResults[[]got]()
	for n := range w.vms {
		if n == stopped {
			continue
		}
		for _, kind := range loadKinds {
			load.Go(func() []got { return w.load(n, kind, &ended) })
		}
	}
	process := w.vms[stopped].process
	graceful := process.Stop(stopGrace)
	ended.Store(true)
	var results []got
	for _, some := range load.Wait() {
		results = append(results, some...)
	}
	if !graceful || process.ExitCode() != 0 {
		t.Errorf("%s ended by itself: %v; exit code %d", w.vms[stopped].id, graceful, process.ExitCode())
	}
	if text := logTail(w.vms[stopped].log); !strings.Contains(text, "daemon: Stopped.") {
		t.Errorf("the log does not say that the VM stopped: %s", text)
	}
	return results
}

// load sends requests one after another through the n-th VM until some time
// after the stopping VM has ended.
func (w *work) load(n int, kind loadKind, ended *atomic.Bool) (results []got) {
	c := newCaller()
	defer c.close()
	for after := 0; after < loadAfter && len(results) < loadLimit; {
		if ended.Load() {
			after++
		}
		results = append(results, c.send(kind.method, w.url(n, kind.path), w.credentials[kind.team]))
		time.Sleep(loadPause)
	}
	return results
}

// Guards against a planned stop that loses requests of callers at other VMs:
// an error, an unknown outcome, a false "not run" or a request that ran twice.
func gracefulShutdown(t *testing.T, w *work) {
	results := w.stopUnderLoad(t, 2)
	runs := make(map[string]int)
	for _, e := range w.Servers.Executions(nil) {
		runs[e.OperationID]++
	}
	answered := 0
	for _, g := range results {
		ran := runs[g.operation]
		switch {
		case g.answered():
			answered++
			if g.method == http.MethodPost && ran != 1 {
				t.Errorf("a POST request ran %d times", ran)
			}
		case g.outcome != "not-run" || ran > 0:
			t.Errorf("a request that ran %d times: %s", ran, g)
		}
	}
	t.Logf("%d of %d requests answered, the others not run", answered, len(results))
}

// awaitFilledBuckets waits until the teams' requests are inside their rates at
// every VM. The buckets of a new fleet start empty and refill only after
// quota.LoanValidity, because loans of earlier homes may still be used.
func (w *work) awaitFilledBuckets(t *testing.T) {
	t.Helper()
	const inARow = 20
	c := newCaller()
	defer c.close()
	answered := 0
	await(t, "the buckets of all teams have tokens at each VM", func() (string, bool) {
		for n := range w.vms {
			for _, kind := range loadKinds {
				if g := c.send(kind.method, w.url(n, kind.path), w.credentials[kind.team]); !g.answered() {
					answered = 0
					return g.String(), false
				}
			}
		}
		answered++
		return fmt.Sprintf("answered %d times in a row", answered), answered == inARow
	})
}

// Guards against a planned stop that rejects requests inside a team's rate. It
// stops the only home of one of the teams, which has most to hand over.
func TestPlannedStopRejectsNobody(t *testing.T) {
	w := &work{startFleet(t), make(map[contract.TeamID]string), make(map[contract.TeamID]string)}
	firstConfiguration(t, w)
	keyIssue(t, w)
	callersAreAnswered(t, w)
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
		t.Fatal("the status names no home of the team")
	}
	results := w.stopUnderLoad(t, home)
	rejected := make(map[string]int)
	for _, g := range results {
		if !g.answered() {
			rejected[fmt.Sprintf("%s %s: %s", g.method, g.path, g)]++
		}
	}
	for what, times := range rejected {
		t.Errorf("%d of %d requests got no answer: %s", times, len(results), what)
	}
}

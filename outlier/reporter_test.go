package outlier

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"almondstile/backend"
	"almondstile/link"
	"almondstile/request"
	"almondstile/vm"

	"github.com/sourcegraph/conc"
)

// flakyCaller loses the first report before it is sent and hands on the rest.
type flakyCaller struct {
	*node
	calls   int
	reports chan Report
}

func (c *flakyCaller) Call(ctx context.Context, to vm.VM, method string, params, result any) error {
	if c.calls++; c.calls == 1 {
		return link.ErrUnreachable
	}
	select {
	case c.reports <- params.(Report):
	case <-ctx.Done():
	}
	return c.node.Call(ctx, to, method, params, result)
}

// Guards against a reporter that outlives its context, and against evidence that
// is lost with a report that could not be sent.
func TestReporterRunKeepsEvidenceAndStops(t *testing.T) {
	f := newFleet(1, Ablation{})
	owner := f.owner(0)
	caller := &flakyCaller{node: owner, reports: make(chan Report)}
	owner.reporter.caller = caller
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	k := owner.servers.RequestSlot(f.now, &request.Request{Server: serverID(0), Deadline: f.now.Add(time.Second)})
	owner.servers.ReleaseSlot(f.now, k, backend.Sample{Outcome: backend.Truncated, Latency: time.Millisecond})
	var wg conc.WaitGroup
	wg.Go(func() { owner.reporter.Run(ctx) })
	truncated := 0
	for _, s := range (<-caller.reports).Servers {
		truncated += s.Counts.Truncated
	}
	cancel()
	wg.Wait()
	if truncated != 1 {
		t.Fatalf("the report after an unsent one holds %d truncated responses, want 1", truncated)
	}
}

// largeService is a service of the target scale: 5,100 servers in 170 services,
// 73,000 requests/s.
func largeService() (ServiceConfig, []ServerReport) {
	terms := ServiceConfig{FloorShare: 0.5}
	var reports []ServerReport
	for i := 0; i < 30; i++ {
		terms.Servers = append(terms.Servers, ServerConfig{ID: serverID(i), Slots: 3, AcceptsNewRequests: true})
		r := ServerReport{Server: serverID(i), Counts: backend.Counts{OK: 7}, ConcurrencyLimit: 3, InFlight: 1, Warm: true}
		for j := int64(0); j < 7; j++ {
			r.Latencies = append(r.Latencies, Latency{10_000 + 3_071*j, 1})
		}
		reports = append(reports, r)
	}
	return terms, reports
}

// Prints what the reports of one VM cost at the target scale.
func TestReportSize(t *testing.T) {
	terms, reports := largeService()
	d := NewDetector(Ablation{})
	message := Report{Service: simService, Servers: reports[:1]}
	question, _ := json.Marshal(message)
	answer, _ := json.Marshal(d.answer(simStart, message, terms))
	perSecond := 5100.0 / 420 * float64(time.Second/ReportInterval)
	t.Logf("report %d B, reply %d B; 12 servers of different services: %.1f KB/s sent, %.1f KB/s received",
		len(question), len(answer), perSecond*float64(len(question))/1000, perSecond*float64(len(answer))/1000)
	if len(question) == 0 || len(answer) == 0 {
		t.Fatal("a message is empty")
	}
}

// BenchmarkReports measures half a second of reports on a large service.
func BenchmarkReports(b *testing.B) {
	terms, reports := largeService()
	d, now := NewDetector(Ablation{}), simStart
	for b.Loop() {
		for _, r := range reports {
			now = now.Add(ReportInterval / time.Duration(len(reports)))
			d.answer(now, Report{Service: simService, Servers: []ServerReport{r}}, terms)
		}
	}
}

// counter is an Observer that counts.
type counter struct{ granted, blocked, quarantined, homes int }

func (c *counter) EjectionGranted()    { c.granted++ }
func (c *counter) EjectionBlocked()    { c.blocked++ }
func (c *counter) RequestQuarantined() { c.quarantined++ }
func (c *counter) HomeRoleTakenOver()  { c.homes++ }

// Guards against ejections and quarantines that no metric shows, and against
// one that is counted at each decision.
func TestDecisionsAreCounted(t *testing.T) {
	for share, want := range map[float64]counter{0.5: {granted: 1}, 1: {blocked: 1}} {
		var got counter
		d, now := NewDetector(Ablation{}), simStart
		d.observer = &got
		terms := ServiceConfig{FloorShare: share}
		for i := range simServers {
			terms.Servers = append(terms.Servers, ServerConfig{ID: serverID(i), Slots: 3, AcceptsNewRequests: true})
		}
		for range 6 { // less than the time of an ejection
			now = now.Add(ReportInterval)
			for i, s := range terms.Servers {
				r := ServerReport{Server: s.ID, Counts: backend.Counts{OK: 20}, Warm: true,
					Health: &ServerHealth{State: d.Health(now, s.ID).State}}
				if i == 0 && r.Health.State != backend.Ejected {
					r.Counts = backend.Counts{ErrorStatus: 20}
				}
				d.Observe(now, r)
			}
			d.Decide(now, terms)
		}
		if got != want {
			t.Errorf("floor share %v: counted %+v, want %+v", share, got, want)
		}
	}
	var got counter
	q := &Quarantine{Observer: &got}
	for _, id := range []string{"1", "1", "2", "3"} {
		q.AddCrash(simStart, Crash{RequestID: id})
	}
	if got.quarantined != 1 {
		t.Errorf("counted %d quarantines, want 1", got.quarantined)
	}
}

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

// flakyCaller fails the first call before it is sent. It records later reports and
// delivers them.
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

// Guards against a Reporter that keeps running after its context ends, and against
// counts that are lost with a report that could not be sent.
func TestReporterRunKeepsEvidenceAndStops(t *testing.T) {
	t.Parallel()
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
		t.Fatalf("the report after the unsent one contains %d truncated responses, want 1", truncated)
	}
}

// largeService returns a service of the target scale and one report on each of its
// servers. At that scale 5,100 servers in 170 services run 73,000 requests/s.
func largeService() (ServiceConfig, []ServerReport) {
	config := ServiceConfig{FloorShare: 0.5}
	var reports []ServerReport
	for i := 0; i < 30; i++ {
		config.Servers = append(config.Servers, ServerConfig{ID: serverID(i), Slots: 3, AcceptsNewRequests: true})
		r := ServerReport{Server: serverID(i), Counts: backend.Counts{OK: 7}, ConcurrencyLimit: 3, InFlight: 1, Warm: true}
		for j := int64(0); j < 7; j++ {
			r.Latencies = append(r.Latencies, Latency{10_000 + 3_071*j, 1})
		}
		reports = append(reports, r)
	}
	return config, reports
}

// Guards against empty report messages. Logs the size of a report and its reply, and
// the traffic that the reports of one VM cause at the target scale.
func TestReportSize(t *testing.T) {
	t.Parallel()
	config, reports := largeService()
	d := NewDetector(Ablation{})
	message := Report{Service: simService, Servers: reports[:1]}
	reportJSON, _ := json.Marshal(message)
	replyJSON, _ := json.Marshal(d.processReport(simStart, message, config))
	perSecond := 5100.0 / 420 * float64(time.Second/ReportInterval)
	t.Logf("report %d B, reply %d B; 12 servers of different services: %.1f KB/s sent, %.1f KB/s received",
		len(reportJSON), len(replyJSON), perSecond*float64(len(reportJSON))/1000, perSecond*float64(len(replyJSON))/1000)
	if len(reportJSON) == 0 || len(replyJSON) == 0 {
		t.Fatal("a message is empty")
	}
}

// BenchmarkReports measures the processing of one ReportInterval's (half a second's)
// reports on a large service.
func BenchmarkReports(b *testing.B) {
	config, reports := largeService()
	d, now := NewDetector(Ablation{}), simStart
	for b.Loop() {
		for _, r := range reports {
			now = now.Add(ReportInterval / time.Duration(len(reports)))
			d.processReport(now, Report{Service: simService, Servers: []ServerReport{r}}, config)
		}
	}
}

// decisionCounter is an Observer that counts the calls.
type decisionCounter struct{ granted, blocked, quarantined, homes int }

func (c *decisionCounter) EjectionGranted()    { c.granted++ }
func (c *decisionCounter) EjectionBlocked()    { c.blocked++ }
func (c *decisionCounter) RequestQuarantined() { c.quarantined++ }
func (c *decisionCounter) HomeRoleTakenOver()  { c.homes++ }

// Guards against ejections and quarantines that the observer does not count, and
// against one that is counted again at each decision.
func TestDecisionsAreCounted(t *testing.T) {
	t.Parallel()
	for share, want := range map[float64]decisionCounter{0.5: {granted: 1}, 1: {blocked: 1}} {
		var got decisionCounter
		d, now := NewDetector(Ablation{}), simStart
		d.observer = &got
		config := ServiceConfig{FloorShare: share}
		for i := range simServers {
			config.Servers = append(config.Servers, ServerConfig{ID: serverID(i), Slots: 3, AcceptsNewRequests: true})
		}
		for range 6 { // shorter than an ejection
			now = now.Add(ReportInterval)
			for i, s := range config.Servers {
				r := ServerReport{Server: s.ID, Counts: backend.Counts{OK: 20}, Warm: true,
					Health: &ServerHealth{State: d.Health(now, s.ID).State}}
				if i == 0 && r.Health.State != backend.Ejected {
					r.Counts = backend.Counts{ErrorStatus: 20}
				}
				d.Observe(now, r)
			}
			d.Decide(now, config)
		}
		if got != want {
			t.Errorf("floor share %v: counted %+v, want %+v", share, got, want)
		}
	}
	var got decisionCounter
	q := &Quarantine{Observer: &got}
	for _, id := range []string{"1", "1", "2", "3"} {
		q.AddCrash(simStart, Crash{RequestID: id})
	}
	if got.quarantined != 1 {
		t.Errorf("counted %d quarantines, want 1", got.quarantined)
	}
}

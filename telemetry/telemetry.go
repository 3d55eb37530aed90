package telemetry

import (
	"runtime"
	"syscall"
	"time"

	"almondstile/contract"
	"almondstile/request"
	"almondstile/shard"

	"github.com/rcrowley/go-metrics"
)

const (
	// sampleSize is the number of values that a histogram keeps. 128 values take 1 KB
	// and give the 99th percentile within a few percent.
	sampleSize = 128
	// sampleAlpha is the decay factor of a sample. The value, which go-metrics
	// recommends, gives most weight to the last minutes.
	sampleAlpha = 0.015
	// teamIdleTimeout is the time after a team's last request at this VM at which its
	// metrics are deleted.
	teamIdleTimeout = 10 * time.Minute
)

// Metrics holds the counters, gauges and histograms of one VM. Latencies are in
// microseconds.
type Metrics struct {
	registry metrics.Registry
	teams    shard.Map[contract.TeamID, *teamActivity]
}

// New returns empty metrics.
func New() *Metrics {
	return &Metrics{registry: metrics.NewRegistry()}
}

// Registry returns the registry behind the metrics, for export.
func (m *Metrics) Registry() metrics.Registry { return m.registry }

// Count increments the counter of a decision, for instance "ejection.granted".
func (m *Metrics) Count(decision string) { m.counter("decision." + decision).Inc(1) }

// Finished records the result of a caller's request and its latency, in the metrics
// of the VM, of the request's service and of its team. The request counts as retried
// if attempts exceeds 1.
func (m *Metrics) Finished(req *request.Request, result request.Result, attempts int, elapsed time.Duration) {
	m.counter("requests." + string(result.Outcome)).Inc(1)
	if result.Reason != request.ReasonNone {
		m.counter("requests.reason." + string(result.Reason)).Inc(1)
	}
	if attempts > 1 {
		m.counter("requests.retried").Inc(1)
	}
	micros := elapsed.Microseconds()
	if req.Service != "" {
		m.histogram("service." + string(req.Service) + ".latency_us").Update(micros)
	}
	if req.Team == "" {
		return
	}
	m.recordRequest(time.Now(), req.Team, result.Outcome == request.NotRun)
	m.histogram("team." + string(req.Team) + ".latency_us").Update(micros)
	if result.Outcome != request.Answered {
		m.counter("team." + string(req.Team) + ".not_answered").Inc(1)
	}
}

// CopyAge records the age of a table's copy at the time of an update, in the
// histogram copy.TABLE.age_ms.
func (m *Metrics) CopyAge(table string, age time.Duration) {
	m.histogram("copy." + table + ".age_ms").Update(age.Milliseconds())
}

// StoreCall counts a call to the store that reads a table, in the counter
// store.TABLE.KIND.RESULT.
func (m *Metrics) StoreCall(table, kind, result string) {
	m.counter("store." + table + "." + kind + "." + result).Inc(1)
}

// GossipSent counts bytes that this VM sent to other VMs, by their cause.
func (m *Metrics) GossipSent(cause string, bytes int) {
	m.counter("gossip.sent_bytes." + cause).Inc(int64(bytes))
}

// GossipPull counts a pull of another VM's table copies and whether it succeeded.
func (m *Metrics) GossipPull(succeeded bool) {
	if succeeded {
		m.counter("gossip.pulls.succeeded").Inc(1)
		return
	}
	m.counter("gossip.pulls.failed").Inc(1)
}

// Sweep deletes the metrics of teams without a request in the last 10 minutes and
// sets the gauges of the process's memory and processor time. The daemon calls it at
// intervals.
func (m *Metrics) Sweep(now time.Time) {
	m.teams.Range(func(team contract.TeamID, a *teamActivity) bool {
		if now.Sub(a.last) < teamIdleTimeout {
			return true
		}
		m.registry.Unregister("team." + string(team) + ".latency_us")
		m.registry.Unregister("team." + string(team) + ".not_answered")
		return false
	})
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	m.Gauge("process.heap_bytes", int64(memory.HeapAlloc))
	m.Gauge("process.sys_bytes", int64(memory.Sys))
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err == nil {
		m.Gauge("process.cpu_us", timevalMicros(usage.Utime)+timevalMicros(usage.Stime))
	}
}

// timevalMicros converts a time value of the operating system to microseconds.
func timevalMicros(t syscall.Timeval) int64 { return t.Sec*1e6 + t.Usec }

// Gauge sets the gauge with the given name.
func (m *Metrics) Gauge(name string, value int64) {
	metrics.GetOrRegisterGauge(name, m.registry).Update(value)
}

func (m *Metrics) counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, m.registry)
}

func (m *Metrics) histogram(name string) metrics.Histogram {
	return m.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}).(metrics.Histogram)
}

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
	// sampleSize gives p99 within a few percent at 1 KB for each histogram.
	sampleSize = 128
	// sampleAlpha weighs the last minutes most; it is go-metrics' usual value.
	sampleAlpha = 0.015
	// teamIdle is how long a team's histograms outlive its last request here.
	teamIdle = 10 * time.Minute
)

// Metrics are one VM's counters and histograms. Latencies are in microseconds.
type Metrics struct {
	registry metrics.Registry
	teams    shard.Map[contract.TeamID, *activity]
}

// New returns empty metrics.
func New() *Metrics {
	return &Metrics{registry: metrics.NewRegistry()}
}

// Registry returns the registry behind the metrics, for export.
func (m *Metrics) Registry() metrics.Registry { return m.registry }

// Count adds one to a decision's counter, for instance "ejection.granted".
func (m *Metrics) Count(decision string) { m.counter("decision." + decision).Inc(1) }

// Finished counts the result of a caller's request and its latency.
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
	m.record(time.Now(), req.Team, result.Outcome == request.NotRun)
	m.histogram("team." + string(req.Team) + ".latency_us").Update(micros)
	if result.Outcome != request.Answered {
		m.counter("team." + string(req.Team) + ".not_answered").Inc(1)
	}
}

// Sweep drops the metrics of teams without requests and reads the process's
// own use of memory and processor time. The daemon calls it at intervals.
func (m *Metrics) Sweep(now time.Time) {
	m.teams.Range(func(team contract.TeamID, a *activity) bool {
		if now.Sub(a.last) < teamIdle {
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
		m.Gauge("process.cpu_us", micros(usage.Utime)+micros(usage.Stime))
	}
}

func micros(t syscall.Timeval) int64 { return t.Sec*1e6 + t.Usec }

// Gauge sets a gauge.
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

package outlier

import (
	"math"
	"time"

	"almondstile/backend"
	"almondstile/contract"
	"almondstile/request"
)

// Methods of the control messages that this package sends and handles.
const (
	// MethodReport is sent by an owner to the service's home.
	MethodReport = "backend.report"
	// MethodCrash is sent by an owner to the service's home.
	MethodCrash = "backend.crash"
	// MethodQuarantine is sent by the service's home to all owners.
	MethodQuarantine = "backend.quarantine"
)

// Report contains the state of those servers of one service that one VM owns.
type Report struct {
	Service contract.ServiceID `json:"service"`
	Servers []ServerReport     `json:"servers"`
	// Crashes are all crashes that the owner has recorded for the service. A new
	// home learns them from here.
	Crashes []Crash `json:"crashes,omitempty"`
}

// ServerReport is the current state of one server, with the counts and latencies of
// the requests that finished since the last report.
type ServerReport struct {
	Server           contract.ServerID  `json:"id"`
	Counts           backend.Counts     `json:"counts"`
	Latencies        []Latency          `json:"lat,omitempty"`
	InFlight         int                `json:"in_flight,omitempty"`
	Queued           int                `json:"queued,omitempty"`
	ConcurrencyLimit int                `json:"allowed,omitempty"`
	Warm             bool               `json:"warm,omitempty"`
	DrainState       backend.DrainState `json:"drain,omitempty"` // empty while serving
	// Health is the health state in force at the owner, with its remaining times.
	// It is nil for a normal server without ejections that count.
	Health *ServerHealth `json:"verdict,omitempty"`
}

// Latency is one bucket of a latency summary: the latency in microseconds and the
// number of requests. It is a JSON array to save bytes, because reports are most of
// the control traffic.
type Latency [2]int64

// ServerHealth is a health state that the service's home grants for a limited time.
// Times are durations because the clocks of two VMs are not comparable.
type ServerHealth struct {
	Server contract.ServerID   `json:"id"`
	State  backend.HealthState `json:"standing"`
	// GrantMillis is how long the health state is valid. The owner counts it from
	// the time when it sent the report.
	GrantMillis int64 `json:"grant_ms"`
	// EjectedMillis is the remaining time of the ejection. It takes several grants.
	EjectedMillis int64 `json:"ejected_ms,omitempty"`
	// EjectionCount is the number of ejections that have not decayed.
	EjectionCount int `json:"level,omitempty"`
}

// ReportReply is the home's reply to a Report.
type ReportReply struct {
	// Health contains the reported servers that are not normal or that have
	// ejections that still count.
	Health []ServerHealth `json:"verdicts,omitempty"`
	// ConfigVersion is the home's configuration version. PackedStates contains the
	// states of the servers in the order of that configuration, see packStates.
	ConfigVersion uint64 `json:"version"`
	PackedStates  []byte `json:"states"`
	// Crashes are the home's recorded crashes that the report did not list.
	Crashes []Crash `json:"crashes,omitempty"`
}

// Crash records that a server crashed while it executed a request.
type Crash struct {
	Service     contract.ServiceID  `json:"service"`
	Server      contract.ServerID   `json:"server"`
	Fingerprint request.Fingerprint `json:"fingerprint"`
	// RequestID identifies the crash, so that a message that arrives twice counts
	// once.
	RequestID string `json:"request_id"`
	AgeMillis int64  `json:"age_ms,omitempty"`
}

func millis(d time.Duration) int64 { return max(0, d.Milliseconds()) }

func duration(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// newServerReport returns the report on a server, without Health.
func newServerReport(st *backend.Status) ServerReport {
	r := ServerReport{
		Server: st.Server, Counts: st.Counts, InFlight: st.InFlight, Queued: st.Queued,
		ConcurrencyLimit: st.ConcurrencyLimit, Warm: st.Warm,
	}
	if st.DrainState != backend.Serving {
		r.DrainState = st.DrainState
	}
	for _, l := range st.Latencies {
		r.Latencies = append(r.Latencies, Latency{l.Micros, l.Count})
	}
	return r
}

// healthState returns the health state that is in force at the server's owner.
func (r *ServerReport) healthState() backend.HealthState {
	if r.Health == nil {
		return backend.Normal
	}
	return r.Health.State
}

// A packed state takes two bytes: flags, then the load in sixteenths. With full
// server IDs a reply had 601 B at the target scale, more than the control plane's
// share of the network.
const (
	packedSize      = 2
	packedEjected   = 1 << 0
	packedLowWeight = 1 << 1
	packedWarm      = 1 << 2
	packedProbing   = 1 << 3
	packedLoadUnit  = 16
)

// packStates encodes the states of a service's servers in the given order.
func packStates(states []backend.ServerState) []byte {
	b := make([]byte, 0, packedSize*len(states))
	for _, s := range states {
		var flags byte
		if s.Ejected {
			flags |= packedEjected
		}
		if s.LowWeight {
			flags |= packedLowWeight
		}
		if s.Warm {
			flags |= packedWarm
		}
		if s.Probing {
			flags |= packedProbing
		}
		b = append(b, flags, byte(min(s.Load*packedLoadUnit, math.MaxUint8)))
	}
	return b
}

// unpackStates decodes the output of packStates. It returns false if the states
// belong to another configuration version than config.
func unpackStates(config ServiceConfig, version uint64, b []byte) ([]backend.ServerState, bool) {
	if version != config.ConfigVersion || len(b) != packedSize*len(config.Servers) {
		return nil, false
	}
	var states []backend.ServerState
	for i, server := range config.Servers {
		flags, load := b[packedSize*i], b[packedSize*i+1]
		states = append(states, backend.ServerState{
			Server: server.ID, Ejected: flags&packedEjected != 0, LowWeight: flags&packedLowWeight != 0,
			Warm: flags&packedWarm != 0, Probing: flags&packedProbing != 0, Load: float64(load) / packedLoadUnit,
		})
	}
	return states, true
}

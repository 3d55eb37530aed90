package outlier

import (
	"math"
	"time"

	"almondstile/backend"
	"almondstile/contract"
	"almondstile/request"
)

// Methods of the control messages.
const (
	// MethodReport goes from an owner to the service's home.
	MethodReport = "backend.report"
	// MethodCrash goes from an owner to the service's home.
	MethodCrash = "backend.crash"
	// MethodQuarantine goes from the service's home to all owners.
	MethodQuarantine = "backend.quarantine"
)

// Report carries the windows of the servers of one service that one VM owns.
type Report struct {
	Service contract.ServiceID `json:"service"`
	Servers []ServerReport     `json:"servers"`
	// Crashes are all crashes that the owner knows of, so that a new home
	// learns them.
	Crashes []Crash `json:"crashes,omitempty"`
}

// ServerReport is the state of one server and its window since the last report.
type ServerReport struct {
	Server           contract.ServerID  `json:"id"`
	Counts           backend.Counts     `json:"counts"`
	Latencies        []Latency          `json:"lat,omitempty"`
	InFlight         int                `json:"in_flight,omitempty"`
	Queued           int                `json:"queued,omitempty"`
	ConcurrencyLimit int                `json:"allowed,omitempty"`
	Warm             bool               `json:"warm,omitempty"`
	DrainState       backend.DrainState `json:"drain,omitempty"` // empty while serving
	// Verdict is what remains of the verdict in force at the owner.
	Health *ServerHealth `json:"verdict,omitempty"`
}

// Latency is one bucket of a latency summary: microseconds and count. It is an
// array in JSON because reports are most of the control traffic.
type Latency [2]int64

// Verdict is a grant of the service's home. Times are durations because the
// clocks of two VMs are not comparable.
type ServerHealth struct {
	Server contract.ServerID   `json:"id"`
	State  backend.HealthState `json:"standing"`
	// GrantMillis limits the verdict, counted by the owner from the moment it
	// sent the report.
	GrantMillis int64 `json:"grant_ms"`
	// EjectedMillis is the part of the ejection still to come, which takes
	// several grants.
	EjectedMillis int64 `json:"ejected_ms,omitempty"`
	// Level counts the ejections that have not decayed.
	EjectionCount int `json:"level,omitempty"`
}

// ReportReply answers a Report.
type ReportReply struct {
	// Verdicts lists the reported servers that are not normal.
	Health []ServerHealth `json:"verdicts,omitempty"`
	// Version is the home's configuration version. States are in the order of the
	// servers in that configuration, see packStates.
	ConfigVersion uint64 `json:"version"`
	PackedStates  []byte `json:"states"`
	// Crashes are those that the report did not list.
	Crashes []Crash `json:"crashes,omitempty"`
}

// Crash says that a server crashed while it ran a request.
type Crash struct {
	Service     contract.ServiceID  `json:"service"`
	Server      contract.ServerID   `json:"server"`
	Fingerprint request.Fingerprint `json:"fingerprint"`
	// RequestID tells crashes apart, so that repeating the message is safe.
	RequestID string `json:"request_id"`
	AgeMillis int64  `json:"age_ms,omitempty"`
}

func millis(d time.Duration) int64 { return max(0, d.Milliseconds()) }

func duration(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// reportOf builds the message for a server's status.
func reportOf(st *backend.Status) ServerReport {
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

// standing returns what the owner of the server applies.
func (r *ServerReport) standing() backend.HealthState {
	if r.Health == nil {
		return backend.Normal
	}
	return r.Health.State
}

// Packed states take two bytes for each server: flags, then the load in
// sixteenths. Full IDs made the replies 601 B at the target scale, more than the
// control plane's share of the network.
const (
	packedSize      = 2
	packedEjected   = 1 << 0
	packedLowWeight = 1 << 1
	packedWarm      = 1 << 2
	packedProbing   = 1 << 3
	packedLoadUnit  = 16
)

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

// unpackStates reverses packStates. It reports false if the states are of
// another configuration than the terms.
func unpackStates(terms ServiceConfig, version uint64, b []byte) ([]backend.ServerState, bool) {
	if version != terms.ConfigVersion || len(b) != packedSize*len(terms.Servers) {
		return nil, false
	}
	var states []backend.ServerState
	for i, t := range terms.Servers {
		flags, load := b[packedSize*i], b[packedSize*i+1]
		states = append(states, backend.ServerState{
			Server: t.ID, Ejected: flags&packedEjected != 0, LowWeight: flags&packedLowWeight != 0,
			Warm: flags&packedWarm != 0, Probing: flags&packedProbing != 0, Load: float64(load) / packedLoadUnit,
		})
	}
	return states, true
}

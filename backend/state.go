package backend

import (
	"encoding/binary"
	"math"
	"time"

	"almondstile/contract"

	"github.com/cockroachdb/errors"
)

// ErrMalformedState is returned if an encoded service state cannot be decoded.
var ErrMalformedState = errors.New("backend: malformed service state")

// ServerState is the state of a server by which entry VMs select a server.
type ServerState struct {
	Server  contract.ServerID `json:"server"`
	Ejected bool              `json:"ejected,omitempty"`
	// LowWeight servers get as little traffic as the other servers' capacity permits.
	LowWeight bool `json:"low_weight,omitempty"`
	// Warm servers have completed slow start.
	Warm bool `json:"warm,omitempty"`
	// Probing servers return from an ejection and run one request at a time.
	Probing bool `json:"probing,omitempty"`
	// Load is (in flight + queued) / concurrency limit. It exceeds 1 while requests
	// wait for a slot.
	Load float64 `json:"load"`
}

// The encoding of a service state is a version byte, followed for each server by
// the length of its ID as uvarint, the bytes of the ID, a byte of flags and the
// load in hundredths as uvarint.
const (
	stateVersion = 1

	flagEjected   = 1 << 0
	flagLowWeight = 1 << 1
	flagWarm      = 1 << 2
	flagProbing   = 1 << 3

	loadScale = 100
	maxLoad   = 1e6
)

// EncodeStates returns the compact encoding that is sent with each response.
func EncodeStates(states []ServerState) []byte {
	b := []byte{stateVersion}
	for _, s := range states {
		b = appendState(b, s)
	}
	return b
}

// appendState appends the encoded state of one server to b. If a server occurs more
// than once, readers that apply the decoded states in order keep the last one.
func appendState(b []byte, s ServerState) []byte {
	b = binary.AppendUvarint(b, uint64(len(s.Server)))
	b = append(b, s.Server...)
	var flags byte
	if s.Ejected {
		flags |= flagEjected
	}
	if s.LowWeight {
		flags |= flagLowWeight
	}
	if s.Warm {
		flags |= flagWarm
	}
	if s.Probing {
		flags |= flagProbing
	}
	load := min(max(s.Load, 0), maxLoad)
	return binary.AppendUvarint(append(b, flags), uint64(math.Round(load*loadScale)))
}

// DecodeStates decodes the encoding of EncodeStates. It returns no states for an
// empty input, and ErrMalformedState for an invalid one.
func DecodeStates(b []byte) ([]ServerState, error) {
	if len(b) == 0 {
		return nil, nil
	}
	if b[0] != stateVersion {
		return nil, ErrMalformedState
	}
	var states []ServerState
	for b = b[1:]; len(b) > 0; {
		n, size := binary.Uvarint(b)
		if size <= 0 || n >= uint64(len(b)-size) {
			return nil, ErrMalformedState
		}
		id, rest := b[size:size+int(n)], b[size+int(n):]
		load, size := binary.Uvarint(rest[1:])
		if size <= 0 {
			return nil, ErrMalformedState
		}
		states = append(states, ServerState{
			Server:    contract.ServerID(id),
			Ejected:   rest[0]&flagEjected != 0,
			LowWeight: rest[0]&flagLowWeight != 0,
			Warm:      rest[0]&flagWarm != 0,
			Probing:   rest[0]&flagProbing != 0,
			Load:      float64(load) / loadScale,
		})
		b = rest[1+size:]
	}
	return states, nil
}

// SetServiceState replaces the state of a service's servers. The service home
// returns it in its reply to each report.
func (s *Servers) SetServiceState(service contract.ServiceID, states []ServerState) {
	s.states.Store(service, EncodeStates(states))
}

// ServiceState returns the encoded state of a service's servers for request.Result,
// or nil if none is known. The bytes must not be modified.
func (s *Servers) ServiceState(service contract.ServiceID) []byte {
	b, _ := s.states.Load(service)
	return b
}

// ServiceStateWithServer returns the encoded state of the service's servers, in
// which the state of the server id comes from this VM's own record. That record is
// more recent than the state received from the service home. If there is no
// record, it returns the same as ServiceState.
func (s *Servers) ServiceStateWithServer(now time.Time, service contract.ServiceID, id contract.ServerID) []byte {
	known := s.ServiceState(service)
	current, ok := s.Status(now, id)
	if !ok {
		return known
	}
	b := make([]byte, 0, len(known)+len(id)+8)
	if b = append(b, known...); len(b) == 0 {
		b = append(b, stateVersion)
	}
	return appendState(b, ServerState{
		Server: id, Ejected: current.HealthState == Ejected, LowWeight: current.HealthState == LowWeight,
		Warm: current.Warm, Probing: current.HealthState == Probing, Load: current.Load(),
	})
}

package backend

import (
	"encoding/binary"
	"math"
	"time"

	"almondstile/contract"

	"github.com/cockroachdb/errors"
)

// ErrMalformedState says that an encoded service state cannot be decoded.
var ErrMalformedState = errors.New("backend: malformed service state")

// ServerState is what entry VMs know of a server when they select one.
type ServerState struct {
	Server  contract.ServerID `json:"server"`
	Ejected bool              `json:"ejected,omitempty"`
	// LowWeight asks for as little traffic as the other servers allow.
	LowWeight bool `json:"low_weight,omitempty"`
	Warm      bool `json:"warm,omitempty"`
	// Probing servers return from an ejection, one request at a time.
	Probing bool `json:"probing,omitempty"`
	// Load is (in flight + queued) / allowed slots.
	Load float64 `json:"load"`
}

// Encoding of a service state: a version byte, then for each server the length
// and bytes of its ID, a byte of flags and the load in hundredths as uvarint.
const (
	stateVersion = 1

	flagEjected   = 1 << 0
	flagLowWeight = 1 << 1
	flagWarm      = 1 << 2
	flagProbing   = 1 << 3

	loadUnit = 100
	maxLoad  = 1e6
)

// EncodeStates returns the compact form that travels with each response.
func EncodeStates(states []ServerState) []byte {
	b := []byte{stateVersion}
	for _, s := range states {
		b = appendState(b, s)
	}
	return b
}

// appendState adds the state of one server. A later state of a server replaces
// an earlier one when the decoded states are taken in order.
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
	return binary.AppendUvarint(append(b, flags), uint64(math.Round(load*loadUnit)))
}

// DecodeStates reverses EncodeStates. Nothing encoded means nothing known.
func DecodeStates(b []byte) ([]ServerState, error) {
	if len(b) == 0 {
		return nil, nil
	}
	if b[0] != stateVersion {
		return nil, ErrMalformedState
	}
	var states []ServerState
	for b = b[1:]; len(b) > 0; {
		n, width := binary.Uvarint(b)
		if width <= 0 || n >= uint64(len(b)-width) {
			return nil, ErrMalformedState
		}
		id, rest := b[width:width+int(n)], b[width+int(n):]
		load, width := binary.Uvarint(rest[1:])
		if width <= 0 {
			return nil, ErrMalformedState
		}
		states = append(states, ServerState{
			Server:    contract.ServerID(id),
			Ejected:   rest[0]&flagEjected != 0,
			LowWeight: rest[0]&flagLowWeight != 0,
			Warm:      rest[0]&flagWarm != 0,
			Probing:   rest[0]&flagProbing != 0,
			Load:      float64(load) / loadUnit,
		})
		b = rest[1+width:]
	}
	return states, nil
}

// SetServiceState keeps the newest state of a service's servers, which the
// service home returns with its verdicts.
func (s *Servers) SetServiceState(service contract.ServiceID, states []ServerState) {
	s.states.Store(service, EncodeStates(states))
}

// ServiceState returns the encoded state of a service for request.Result, or
// nil if none is known. The bytes must not be modified.
func (s *Servers) ServiceState(service contract.ServiceID) []byte {
	b, _ := s.states.Load(service)
	return b
}

// ServiceStateWithServer returns the encoded state of the service with the newest
// state of one owned server, which is more recent than the service home's view.
func (s *Servers) ServiceStateWithServer(now time.Time, service contract.ServiceID, id contract.ServerID) []byte {
	known := s.ServiceState(service)
	own, ok := s.Status(now, id)
	if !ok {
		return known
	}
	b := make([]byte, 0, len(known)+len(id)+8)
	if b = append(b, known...); len(b) == 0 {
		b = append(b, stateVersion)
	}
	return appendState(b, ServerState{
		Server: id, Ejected: own.HealthState == Ejected, LowWeight: own.HealthState == LowWeight,
		Warm: own.Warm, Probing: own.HealthState == Probing, Load: own.Load(),
	})
}

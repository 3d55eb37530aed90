package backendsim

import (
	"fmt"
	"time"

	"almondstile/contract"
	"almondstile/shard"

	"github.com/cockroachdb/errors"
)

// ErrNoServer is the error for a server ID that the host does not have.
var ErrNoServer = errors.New("backendsim: no such server")

// Host runs servers in one process. It stores their states and the records of
// all executions.
type Host struct {
	states     shard.Map[contract.ServerID, *state]
	servers    shard.Map[contract.ServerID, *Server]
	executions shard.Map[string, Execution]
}

// NewHost returns a host without servers.
func NewHost() *Host { return &Host{} }

// Start starts a server on a new host, which runs no other server.
func Start(c Config) (*Server, error) { return NewHost().Start(c) }

// SetMode replaces the mode of a server. The mode applies to requests that the
// server admits from then on. SetMode returns an error that wraps ErrNoServer if
// the server does not exist.
func (h *Host) SetMode(id contract.ServerID, m Mode) error {
	now := time.Now()
	if !h.states.DoExisting(id, func(s *state) { s.mode, s.modeSince = m, now }) {
		return errors.Wrapf(ErrNoServer, "%s", id)
	}
	return nil
}

// Mode returns the mode of a server, or an error that wraps ErrNoServer.
func (h *Host) Mode(id contract.ServerID) (mode Mode, err error) {
	if !h.states.DoExisting(id, func(s *state) { mode = s.mode }) {
		return Mode{}, errors.Wrapf(ErrNoServer, "%s", id)
	}
	return mode, nil
}

// Counters returns the counters of a server, or an error that wraps ErrNoServer.
func (h *Host) Counters(id contract.ServerID) (c Counters, err error) {
	if !h.states.DoExisting(id, func(s *state) { c = s.counters }) {
		return Counters{}, errors.Wrapf(ErrNoServer, "%s", id)
	}
	return c, nil
}

// Crash simulates a crash of the server's process. The server closes all
// connections and refuses new ones for the time down, then starts again cold.
// Crash returns an error that wraps ErrNoServer if the server does not exist.
func (h *Host) Crash(id contract.ServerID, down time.Duration) error {
	server, ok := h.servers.Load(id)
	if !ok {
		return errors.Wrapf(ErrNoServer, "%s", id)
	}
	incarnation := 0
	h.states.DoExisting(id, func(s *state) { incarnation = s.incarnation; s.counters.Crashes++ })
	server.restart(incarnation, down)
	return nil
}

// Executions returns the recorded executions for which selects returns true, in
// no particular order. A nil selects stands for all of them.
func (h *Host) Executions(selects func(Execution) bool) []Execution {
	var out []Execution
	h.executions.Range(func(_ string, e Execution) bool {
		if selects == nil || selects(e) {
			out = append(out, e)
		}
		return true
	})
	return out
}

// Servers returns the address (IP:port) of each server of the host.
func (h *Host) Servers() map[contract.ServerID]string {
	out := make(map[contract.ServerID]string)
	h.servers.Range(func(id contract.ServerID, s *Server) bool { out[id] = s.Address(); return true })
	return out
}

// Close removes all servers from the host, stops them and waits for their
// goroutines.
func (h *Host) Close() {
	var servers []*Server
	h.servers.Range(func(_ contract.ServerID, s *Server) bool { servers = append(servers, s); return false })
	for _, s := range servers {
		s.Close()
	}
}

// recordStart stores the record of a request that starts to execute and returns
// its key. executionNumber is the number of executions of the server so far.
func (h *Host) recordStart(e Execution, executionNumber int64) (key string) {
	key = fmt.Sprintf("%s/%d", e.Instance, executionNumber)
	h.executions.Store(key, e)
	return key
}

// recordEnd adds the end time and the result to the record under key.
func (h *Host) recordEnd(key string, result ExecutionResult) {
	now := time.Now()
	h.executions.Update(key, func(e Execution, _ bool) (Execution, bool) {
		e.End, e.Result = now, result
		return e, true
	})
}

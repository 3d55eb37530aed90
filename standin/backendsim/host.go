package backendsim

import (
	"fmt"
	"time"

	"almondstile/contract"
	"almondstile/shard"

	"github.com/cockroachdb/errors"
)

// ErrNoServer says that the host runs no server of the given ID.
var ErrNoServer = errors.New("backendsim: no such server")

// Host runs servers in one process and keeps their common execution log.
type Host struct {
	states     shard.Map[contract.ServerID, *state]
	servers    shard.Map[contract.ServerID, *Server]
	executions shard.Map[string, Execution]
}

// NewHost returns a host without servers.
func NewHost() *Host { return &Host{} }

// Start runs a single server on a host of its own.
func Start(c Config) (*Server, error) { return NewHost().Start(c) }

// SetMode changes how a server behaves from its next request on.
func (h *Host) SetMode(id contract.ServerID, m Mode) error {
	now := time.Now()
	if !h.states.DoExisting(id, func(s *state) { s.mode, s.modeSince = m, now }) {
		return errors.Wrapf(ErrNoServer, "%s", id)
	}
	return nil
}

// Mode returns the mode of a server.
func (h *Host) Mode(id contract.ServerID) (mode Mode, err error) {
	if !h.states.DoExisting(id, func(s *state) { mode = s.mode }) {
		return Mode{}, errors.Wrapf(ErrNoServer, "%s", id)
	}
	return mode, nil
}

// Counters returns the counters of a server.
func (h *Host) Counters(id contract.ServerID) (c Counters, err error) {
	if !h.states.DoExisting(id, func(s *state) { c = s.counters }) {
		return Counters{}, errors.Wrapf(ErrNoServer, "%s", id)
	}
	return c, nil
}

// Crash ends the server's process: all connections drop and new ones are
// refused until it comes back cold after the given time.
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

// Executions returns the records for which keep is true, in no fixed order.
// A nil keep selects all.
func (h *Host) Executions(keep func(Execution) bool) []Execution {
	var out []Execution
	h.executions.Range(func(_ string, e Execution) bool {
		if keep == nil || keep(e) {
			out = append(out, e)
		}
		return true
	})
	return out
}

// Servers returns the addresses of the host's servers.
func (h *Host) Servers() map[contract.ServerID]string {
	out := make(map[contract.ServerID]string)
	h.servers.Range(func(id contract.ServerID, s *Server) bool { out[id] = s.Address(); return true })
	return out
}

// Close stops all servers and waits for their goroutines.
func (h *Host) Close() {
	var all []*Server
	h.servers.Range(func(_ contract.ServerID, s *Server) bool { all = append(all, s); return false })
	for _, s := range all {
		s.Close()
	}
}

// begin writes the record of a request that starts to run.
func (h *Host) begin(e Execution, number int64) (key string) {
	key = fmt.Sprintf("%s/%d", e.Instance, number)
	h.executions.Store(key, e)
	return key
}

// end completes the record.
func (h *Host) end(key string, result ExecutionResult) {
	now := time.Now()
	h.executions.Update(key, func(e Execution, _ bool) (Execution, bool) {
		e.End, e.Result = now, result
		return e, true
	})
}

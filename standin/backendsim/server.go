package backendsim

import (
	"context"
	"net"
	"time"

	"almondstile/contract"
	"almondstile/shard"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

// After a crash the kernel may not have released the port yet. The server tries
// to listen again up to relistenAttempts times, relistenPause apart.
const (
	relistenAttempts = 50
	relistenPause    = 20 * time.Millisecond
)

// Server is one simulated backend server. It owns the sockets. The host holds
// its mode, counters and executions.
type Server struct {
	host    *Host
	id      contract.ServerID
	address string
	config  Config
	ctx     context.Context
	cancel  context.CancelFunc
	// listeners holds the listener of the current incarnation under the server's
	// ID. It is empty while the server refuses connections.
	listeners shard.Map[contract.ServerID, net.Listener]
	// conns holds the open connections by client address (IP:port).
	conns shard.Map[string, net.Conn]
	wg    conc.WaitGroup
}

// Start adds a server to the host. The server listens on the configured address
// and handles requests until Close. Start returns an error if it cannot listen.
func (h *Host) Start(c Config) (*Server, error) {
	c = c.withDefaults()
	listener, err := net.Listen("tcp", c.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "backend server %s: listen", c.ID)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{host: h, id: c.ID, address: listener.Addr().String(), config: c, ctx: ctx, cancel: cancel}
	h.states.Store(c.ID, newState(c, time.Now()))
	h.servers.Store(c.ID, s)
	s.listeners.Store(s.id, listener)
	s.wg.Go(func() { s.acceptConnections(listener) })
	return s, nil
}

// ID returns the server's ID.
func (s *Server) ID() contract.ServerID { return s.id }

// Address returns the IP:port on which the server listens.
func (s *Server) Address() string { return s.address }

// Host returns the server's host, which stores the server's mode, counters and
// executions.
func (s *Server) Host() *Host { return s.host }

// SetMode replaces the mode of the server, as Host.SetMode does.
func (s *Server) SetMode(m Mode) { _ = s.host.SetMode(s.id, m) }

// Close closes the listener and all connections and waits for the server's
// goroutines. The host keeps the server's executions and counters.
func (s *Server) Close() {
	s.cancel()
	s.closeListenerAndConnections()
	s.wg.Wait()
}

// closeListenerAndConnections closes the listener, if there is one, and all open
// connections.
func (s *Server) closeListenerAndConnections() {
	s.listeners.Update(s.id, func(l net.Listener, exists bool) (net.Listener, bool) {
		if exists {
			_ = l.Close()
		}
		return nil, false
	})
	s.conns.Range(func(_ string, c net.Conn) bool { _ = c.Close(); return true })
}

// acceptConnections serves each connection in a goroutine until the listener is
// closed. It closes connections above the limit.
func (s *Server) acceptConnections(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		incarnation, ok := 0, false
		s.host.states.DoExisting(s.id, func(st *state) { incarnation, ok = st.addConnection() })
		if !ok {
			_ = conn.Close()
			continue
		}
		key := conn.RemoteAddr().String()
		s.conns.Store(key, conn)
		if s.ctx.Err() != nil {
			_ = conn.Close() // Close ran before the connection was stored and did not close it
		}
		s.wg.Go(func() {
			defer s.removeConnection(key, conn)
			s.serve(conn, incarnation)
		})
	}
}

// removeConnection closes a connection and removes it from the open ones.
func (s *Server) removeConnection(key string, conn net.Conn) {
	_ = conn.Close()
	s.conns.Delete(key)
	s.host.states.DoExisting(s.id, func(st *state) { st.counters.Connections-- })
}

// restart ends the given incarnation and starts the next one, cold, after the
// time down. It does nothing if the incarnation has ended already.
func (s *Server) restart(incarnation int, down time.Duration) {
	stopped := false
	s.host.states.DoExisting(s.id, func(st *state) { stopped = st.stopIncarnation(incarnation) })
	if !stopped {
		return
	}
	s.closeListenerAndConnections()
	s.wg.Go(func() {
		if s.sleep(down) {
			s.listenAgain()
		}
	})
}

// listenAgain listens on the server's address again, starts the incarnation cold
// and accepts connections. It gives up after relistenAttempts or at Close.
func (s *Server) listenAgain() {
	for range relistenAttempts {
		listener, err := net.Listen("tcp", s.address)
		if err == nil {
			s.host.states.DoExisting(s.id, func(st *state) { st.startCold(time.Now()) })
			s.listeners.Store(s.id, listener)
			if s.ctx.Err() != nil {
				_ = listener.Close() // Close ran before the listener was stored and did not close it
			}
			s.acceptConnections(listener)
			return
		}
		if !s.sleep(relistenPause) {
			return
		}
	}
}

// sleep waits for d and returns true, or returns false as soon as the server is
// closed.
func (s *Server) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.ctx.Done():
		return false
	}
}

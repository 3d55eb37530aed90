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

// relistenAttempts and relistenPause bound the wait for a port that the kernel
// has not released yet after a crash.
const (
	relistenAttempts = 50
	relistenPause    = 20 * time.Millisecond
)

// Server is one simulated backend server.
type Server struct {
	host    *Host
	id      contract.ServerID
	address string
	config  Config
	ctx     context.Context
	stop    context.CancelFunc
	// listeners holds the listener of the incarnation that accepts, if any.
	listeners shard.Map[contract.ServerID, net.Listener]
	conns     shard.Map[string, net.Conn]
	wg        conc.WaitGroup
}

// Start listens on the configured address and serves until Close.
func (h *Host) Start(c Config) (*Server, error) {
	c = c.withDefaults()
	listener, err := net.Listen("tcp", c.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "backend server %s", c.ID)
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &Server{host: h, id: c.ID, address: listener.Addr().String(), config: c, ctx: ctx, stop: stop}
	h.states.Store(c.ID, newState(c, time.Now()))
	h.servers.Store(c.ID, s)
	s.listeners.Store(s.id, listener)
	s.wg.Go(func() { s.accept(listener) })
	return s, nil
}

// ID returns the server's ID.
func (s *Server) ID() contract.ServerID { return s.id }

// Address returns the IP:port on which the server listens.
func (s *Server) Address() string { return s.address }

// Host returns the host, which holds the server's mode, counters and log.
func (s *Server) Host() *Host { return s.host }

// SetMode changes how the server behaves from its next request on.
func (s *Server) SetMode(m Mode) { _ = s.host.SetMode(s.id, m) }

// Close drops all connections and waits for the server's goroutines. The
// records of the server stay in the host.
func (s *Server) Close() {
	s.stop()
	s.closeSockets()
	s.wg.Wait()
}

func (s *Server) closeSockets() {
	s.listeners.Update(s.id, func(l net.Listener, exists bool) (net.Listener, bool) {
		if exists {
			_ = l.Close()
		}
		return nil, false
	})
	s.conns.Range(func(_ string, c net.Conn) bool { _ = c.Close(); return true })
}

func (s *Server) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		incarnation, ok := 0, false
		s.host.states.DoExisting(s.id, func(st *state) { incarnation, ok = st.connect() })
		if !ok {
			_ = conn.Close()
			continue
		}
		key := conn.RemoteAddr().String()
		s.conns.Store(key, conn)
		if s.ctx.Err() != nil {
			_ = conn.Close() // Close may have passed over this connection
		}
		s.wg.Go(func() {
			defer s.disconnect(key, conn)
			s.serve(conn, incarnation)
		})
	}
}

func (s *Server) disconnect(key string, conn net.Conn) {
	_ = conn.Close()
	s.conns.Delete(key)
	s.host.states.DoExisting(s.id, func(st *state) { st.counters.Connections-- })
}

// restart takes an incarnation down and brings the next one up, cold.
func (s *Server) restart(incarnation int, down time.Duration) {
	ended := false
	s.host.states.DoExisting(s.id, func(st *state) { ended = st.goDown(incarnation) })
	if !ended {
		return
	}
	s.closeSockets()
	s.wg.Go(func() {
		if s.sleep(down) {
			s.comeBack()
		}
	})
}

func (s *Server) comeBack() {
	for range relistenAttempts {
		listener, err := net.Listen("tcp", s.address)
		if err == nil {
			s.host.states.DoExisting(s.id, func(st *state) { st.comeUp(time.Now()) })
			s.listeners.Store(s.id, listener)
			if s.ctx.Err() != nil {
				_ = listener.Close() // Close may have passed over this listener
			}
			s.accept(listener)
			return
		}
		if !s.sleep(relistenPause) {
			return
		}
	}
}

// sleep waits and reports whether the server still runs.
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

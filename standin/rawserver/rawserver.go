package rawserver

import (
	"bufio"
	"net"
	"sync/atomic"

	"almondstile/shard"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

// Respond returns the bytes that a server sends when it has read a request. The server
// closes the connection without a response if they are nil.
type Respond func(*fasthttp.Request) []byte

// Always returns a Respond that sends the same bytes to each request.
func Always(response string) Respond {
	return func(*fasthttp.Request) []byte { return []byte(response) }
}

// Server is a server on a loopback address.
type Server struct {
	listener net.Listener
	respond  Respond
	// closing says that the server closes a connection after a response.
	closing bool
	// open holds the open connections by their remote addresses.
	open      shard.Map[string, net.Conn]
	accepted  atomic.Int64
	accepting conc.WaitGroup
	serving   conc.WaitGroup
}

// Start starts a server that keeps its connections open. Its user must call Close.
func Start(respond Respond) (*Server, error) { return start(respond, false) }

// StartClosing starts a server that closes each connection after its first response. Its
// user must call Close.
func StartClosing(respond Respond) (*Server, error) { return start(respond, true) }

func start(respond Respond, closing bool) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "rawserver: cannot listen")
	}
	s := &Server{listener: listener, respond: respond, closing: closing}
	s.accepting.Go(s.accept)
	return s, nil
}

// Address returns the server's address, a host:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Connections returns the number of connections that the server has accepted.
func (s *Server) Connections() int { return int(s.accepted.Load()) }

// Close closes the listener and all connections and waits until they are closed.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.accepting.Wait()
	var open []net.Conn
	s.open.Range(func(_ string, nc net.Conn) bool {
		open = append(open, nc)
		return true
	})
	for _, nc := range open {
		_ = nc.Close()
	}
	s.serving.Wait()
}

// accept serves connections until the listener is closed.
func (s *Server) accept() {
	for {
		nc, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.accepted.Add(1)
		s.open.Store(nc.RemoteAddr().String(), nc)
		s.serving.Go(func() { s.serve(nc) })
	}
}

// serve responds to the requests of one connection.
func (s *Server) serve(nc net.Conn) {
	defer s.open.Delete(nc.RemoteAddr().String())
	defer nc.Close()
	r := bufio.NewReader(nc)
	for {
		var req fasthttp.Request
		if err := req.Read(r); err != nil {
			return
		}
		response := s.respond(&req)
		if response == nil {
			return
		}
		if _, err := nc.Write(response); err != nil || s.closing {
			return
		}
	}
}

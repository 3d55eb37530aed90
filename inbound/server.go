package inbound

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"almondstile/logging"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// lastAnswerTime is how long Shutdown waits, after it has canceled the requests in flight,
// until their peers have been answered.
const lastAnswerTime = 200 * time.Millisecond

// Server runs an HTTP server on the connections of a Listener.
type Server struct {
	http     *fasthttp.Server
	log      logging.Logger
	options  Options
	listener atomic.Pointer[Listener] // nil before Serve
}

// NewServer returns a server that runs http. It sets the hook http.ConnState.
func NewServer(http *fasthttp.Server, options Options, log logging.Logger) *Server {
	http.ConnState = followState
	return &Server{http: http, options: options, log: log}
}

// Serve accepts connections until Shutdown.
func (s *Server) Serve(from net.Listener) error {
	listener := newListener(from, s.options, s.log)
	s.listener.Store(listener)
	return s.http.Serve(listener)
}

// Accepting reports whether the server accepts connections. It does not while the process
// lacks descriptors, and after Shutdown.
func (s *Server) Accepting() bool {
	listener := s.listener.Load()
	return listener != nil && listener.Accepting()
}

// Connections returns the number of open connections, with those that wait for their peers
// to close.
func (s *Server) Connections() int {
	if listener := s.listener.Load(); listener != nil {
		return listener.conns.Len()
	}
	return 0
}

// Unused returns the number of open connections on which no request has begun to arrive.
func (s *Server) Unused() int {
	if listener := s.listener.Load(); listener != nil {
		return listener.Unused()
	}
	return 0
}

// Shutdown stops accepting connections, closes those without a request, and waits until
// all requests in flight have finished and their peers have read the responses. If the
// context ends before that, it cancels the requests, so that their peers get an answer,
// and returns an error at most lastAnswerTime later.
func (s *Server) Shutdown(ctx context.Context) error {
	listener := s.listener.Load()
	if listener == nil {
		return nil // Serve was not called
	}
	if err := listener.Close(); err != nil {
		s.log.WithError(err).Warn("The listener cannot be closed.")
	}
	listener.CloseUnused()
	err := s.http.ShutdownWithContext(ctx) // closes the idle connections that have carried a request
	if err != nil {
		s.log.WithField("requests", listener.CancelRequests()).Warn("The requests in flight are canceled.")
		answered, cancel := context.WithTimeout(context.WithoutCancel(ctx), lastAnswerTime)
		defer cancel()
		ctx = answered
	}
	return errors.CombineErrors(err, listener.WaitClosed(ctx))
}

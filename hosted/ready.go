package hosted

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"almondstile/guard"
	"almondstile/inbound"
	"almondstile/logging"
	"almondstile/memory"
	"almondstile/request"
	"almondstile/telemetry"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
)

// Paths that a statusServer serves.
const (
	readyPath   = "/api/ready"
	metricsPath = "/metrics"
)

// Limits of a statusServer. Its requests have small heads and no body.
const (
	// maxStatusConnections bounds the connections. Beyond it, those without a request and
	// those whose requests do not get on are closed.
	maxStatusConnections  = 64
	statusReadBufferBytes = 8 << 10
	maxStatusBodyBytes    = 1 << 10
	// statusReadTimeout bounds the arrival of a request, and statusIdleTimeout how long an
	// idle connection is kept.
	statusReadTimeout = 5 * time.Second
	statusIdleTimeout = 1 * time.Minute
	// statusStopTime bounds how long a planned stop waits for responses to status requests.
	statusStopTime = 100 * time.Millisecond
)

// statusServer is an HTTP server for the load balancer's readiness checks and for
// the metrics as text.
type statusServer struct {
	listener net.Listener
	server   *inbound.Server
	log      logging.Logger
	stopping atomic.Bool // reports not ready from the start of the shutdown on
}

// newStatusServer opens a listener on the address. The caller runs serve. The budget covers
// the connections.
func newStatusServer(address string, ready func() (bool, request.Reason), m *telemetry.Metrics, g *guard.Guard, budget *memory.Budget, log logging.Logger) (*statusServer, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listening for readiness and metrics on %s", address)
	}
	s := &statusServer{listener: listener, log: log}
	handle := func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case readyPath:
			s.writeReady(ctx, ready)
		case metricsPath:
			metrics.WriteOnce(m.Registry(), ctx)
		default:
			ctx.SetStatusCode(fasthttp.StatusNotFound)
		}
	}
	handleGuarded := func(ctx *fasthttp.RequestCtx) {
		if g.Handle("status", "", func() { handle(ctx) }) {
			ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		}
	}
	s.server = inbound.NewServer(&fasthttp.Server{
		Handler: handleGuarded, NoDefaultServerHeader: true, ReadTimeout: statusReadTimeout, IdleTimeout: statusIdleTimeout,
		ReadBufferSize: statusReadBufferBytes, MaxRequestBodySize: maxStatusBodyBytes, Logger: logging.DiscardPrintf{},
	}, inbound.Options{
		Budget: budget, ConnectionBytes: memory.ConnectionBytes(statusReadBufferBytes), MaxConnections: maxStatusConnections,
	}, log)
	return s, nil
}

// serve serves requests until stop.
func (s *statusServer) serve() error { return s.server.Serve(s.listener) }

// stop closes the listener and the connections.
func (s *statusServer) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), statusStopTime)
	defer cancel()
	if err := s.server.Shutdown(ctx); err != nil {
		s.log.WithError(err).Info("Status requests are cut, because the VM stops.")
	}
}

// writeReady responds with 200 if the VM is ready, and otherwise with 503 and the
// reason.
func (s *statusServer) writeReady(ctx *fasthttp.RequestCtx, ready func() (bool, request.Reason)) {
	ok, reason := ready()
	if s.stopping.Load() {
		ok, reason = false, request.ReasonLeaving
	}
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString(string(reason))
	}
}

package hosted

import (
	"net"
	"sync/atomic"
	"time"

	"almondstile/guard"
	"almondstile/inbound"
	"almondstile/logging"
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

// statusServer is an HTTP server for the load balancer's readiness checks and for
// the metrics as text.
type statusServer struct {
	listener net.Listener
	http     *fasthttp.Server
	stopping atomic.Bool // reports not ready from the start of the shutdown on
}

// newStatusServer opens a listener on the address. The caller runs http on it.
func newStatusServer(address string, ready func() (bool, request.Reason), m *telemetry.Metrics, g *guard.Guard, log logging.Logger) (*statusServer, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listening for readiness and metrics on %s", address)
	}
	s := &statusServer{listener: inbound.NewListener(listener, log)}
	s.http = &fasthttp.Server{NoDefaultServerHeader: true, ReadTimeout: 5 * time.Second, IdleTimeout: time.Minute}
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
	s.http.Handler = func(ctx *fasthttp.RequestCtx) {
		if g.Handle("status", "", func() { handle(ctx) }) {
			ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		}
	}
	return s, nil
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

package hosted

import (
	"net"
	"sync/atomic"
	"time"

	"almondstile/request"
	"almondstile/telemetry"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
)

// Paths of the listener for readiness and metrics.
const (
	readyPath   = "/api/ready"
	metricsPath = "/metrics"
)

// readyServer tells the balancer whether the VM takes callers, and serves the
// metrics as text.
type readyServer struct {
	listener net.Listener
	http     *fasthttp.Server
	stopping atomic.Bool
}

func listenReady(address string, ready func() (bool, request.Reason), m *telemetry.Metrics) (*readyServer, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listening for readiness on %s", address)
	}
	s := &readyServer{listener: listener}
	s.http = &fasthttp.Server{NoDefaultServerHeader: true, ReadTimeout: 5 * time.Second, IdleTimeout: time.Minute}
	s.http.Handler = func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case readyPath:
			s.answer(ctx, ready)
		case metricsPath:
			metrics.WriteOnce(m.Registry(), ctx)
		default:
			ctx.SetStatusCode(fasthttp.StatusNotFound)
		}
	}
	return s, nil
}

func (s *readyServer) answer(ctx *fasthttp.RequestCtx, ready func() (bool, request.Reason)) {
	ok, reason := ready()
	if s.stopping.Load() {
		ok, reason = false, request.ReasonLeaving
	}
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString(string(reason))
	}
}

package httpfront

import (
	"time"

	"almondstile/contract"
	"almondstile/inbound"
	"almondstile/memory"
	"almondstile/request"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

const (
	// defaultBudgetBytes is the budget of a server that is given none.
	defaultBudgetBytes = 256 << 20
	// prefetchedBodyBytes is what the HTTP library reads of a body before the server does.
	// It would read up to 8 KiB outside the budget.
	prefetchedBodyBytes = 1
	// spareConnections is the number of connections beyond the limit that the HTTP library
	// still serves, while the ones that make room for them are closing.
	spareConnections = 64
	// turnedAwayRetryAfter is the Retry-After time of a request that was turned away because
	// the budget of bytes is short. Bodies that don't get on are given up within seconds.
	turnedAwayRetryAfter = time.Second
)

// concurrency returns the number of connections that the HTTP library may serve.
func concurrency(maxConnections int) int {
	if maxConnections == 0 {
		return 0 // the library's default
	}
	return maxConnections + spareConnections
}

// limits returns the limits that are in force: the operators', and the server's own where
// those state nothing.
func (s *Server) limits() contract.CallerLimits {
	var l contract.CallerLimits
	if s.options.Limits != nil {
		l = s.options.Limits()
	}
	if l.MaxHeaderBytes == 0 {
		l.MaxHeaderBytes = s.options.MaxHeaderBytes
	}
	if l.MaxBodyBytes == 0 {
		l.MaxBodyBytes = s.options.MaxBodyBytes
	}
	if l.HeaderTimeout == 0 {
		l.HeaderTimeout = s.options.ReadTimeout
	}
	if l.IdleTimeout == 0 {
		l.IdleTimeout = s.options.IdleTimeout
	}
	return l
}

// times returns the bounds on how long a connection waits.
func (s *Server) times() inbound.Times {
	l := s.limits()
	return inbound.Times{Idle: l.IdleTimeout, Head: l.HeaderTimeout}
}

// bodyConfig starts the time for a body when its head has arrived.
func (s *Server) bodyConfig(h *fasthttp.RequestHeader) (config fasthttp.RequestConfig) {
	if length := h.ContentLength(); length > 0 || length == chunkedLength {
		config.ReadTimeout = s.options.ReadTimeout
	}
	return config
}

// chunkedLength is the content length that the HTTP library returns for a chunked body.
const chunkedLength = -1

// expectBody answers a caller that asks before it sends a body.
func (s *Server) expectBody(ctx *fasthttp.RequestCtx) int {
	if ctx.Request.Header.ContentLength() > s.limits().MaxBodyBytes {
		s.refusals.record(s.log, ctx.RemoteAddr(), refusedBody)
		return fasthttp.StatusRequestEntityTooLarge
	}
	if conn, ok := ctx.Conn().(*inbound.Conn); ok {
		conn.AskForBody()
	}
	return fasthttp.StatusContinue
}

// errHeadTooLarge means that the head of a request is larger than the operators' limit.
var errHeadTooLarge = errors.New("httpfront: the head is larger than the limit")

// receiveBody checks the size of a request and reads its body.
func (s *Server) receiveBody(ctx *fasthttp.RequestCtx, conn *inbound.Conn) (*memory.Body, error) {
	limits := s.limits()
	h := &ctx.Request.Header
	if len(h.RawHeaders()) > limits.MaxHeaderBytes {
		return nil, errHeadTooLarge
	}
	if err := conn.HoldHead(len(h.RawHeaders())); err != nil {
		return nil, err
	}
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return nil, nil
	}
	return memory.Receive(stream, h.ContentLength(), limits.MaxBodyBytes, conn.Lease(), time.Now)
}

// refuse answers a request that was not received whole, or for which there is no room.
// Nothing of it has been passed on. Its connection closes.
func (s *Server) refuse(ctx *fasthttp.RequestCtx, conn *inbound.Conn, err error) {
	ctx.SetConnectionClose()
	switch {
	case errors.Is(err, errHeadTooLarge):
		s.refusals.record(s.log, ctx.RemoteAddr(), refusedHead)
		writeError(ctx, "", request.Rejected(request.ReasonTooLarge), "the header is larger than the limit")
		ctx.SetStatusCode(fasthttp.StatusRequestHeaderFieldsTooLarge)
	case errors.Is(err, memory.ErrTooLarge):
		s.refusals.record(s.log, ctx.RemoteAddr(), refusedBody)
		writeError(ctx, "", request.Rejected(request.ReasonTooLarge), "the body is larger than the limit")
	case errors.Is(err, memory.ErrTurnedAway), errors.Is(err, memory.ErrShort), conn.Lease().TurnedAway():
		s.refusals.record(s.log, ctx.RemoteAddr(), refusedForRoom)
		result := request.Rejected(request.ReasonOverloaded)
		result.RetryAfter = turnedAwayRetryAfter
		s.protocol.WriteResponse(ctx, s.protocol.ReadRequest(&ctx.Request, time.Now()).ID, result)
	case conn.TimedOut():
		s.refusals.record(s.log, ctx.RemoteAddr(), refusedLate)
		writeError(ctx, "", request.Rejected(request.ReasonMalformed), "the request did not arrive in time")
		ctx.SetStatusCode(fasthttp.StatusRequestTimeout)
	default:
		writeError(ctx, "", request.Rejected(request.ReasonMalformed), "the request is not valid HTTP")
	}
}

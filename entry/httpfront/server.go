package httpfront

import (
	"bytes"
	"context"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"almondstile/contract"
	"almondstile/entry"
	"almondstile/guard"
	"almondstile/header"
	"almondstile/inbound"
	"almondstile/logging"
	"almondstile/memory"
	"almondstile/request"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

// Dispatcher serves requests independently of HTTP.
type Dispatcher interface {
	// Do serves one request. The context ends when the caller closes the
	// connection.
	Do(ctx context.Context, in entry.IncomingRequest) (id string, result request.Result)
}

// Protocol defines how callers' HTTP requests and the responses to them are
// translated. The default is almondstile's own protocol.
type Protocol interface {
	// ReadRequest translates the head of a parsed HTTP request. It copies all data,
	// because fasthttp reuses its buffers. The server adds the body.
	ReadRequest(r *fasthttp.Request, receivedAt time.Time) entry.IncomingRequest
	// WriteResponse writes the response for a result. id is the request's ID.
	WriteResponse(ctx *fasthttp.RequestCtx, id string, result request.Result)
}

// Options bounds the size and duration of requests and selects the protocol.
type Options struct {
	// MaxHeaderBytes, MaxBodyBytes and IdleTimeout apply where Limits states nothing. No
	// head may be larger than ReadBufferBytes.
	MaxHeaderBytes  int
	MaxBodyBytes    int
	ReadBufferBytes int
	// Limits returns the operators' limits that are in force. It may be nil.
	Limits func() contract.CallerLimits
	// Budget bounds the bytes of all requests and answers. It may be nil. The server then
	// has one of defaultBudgetBytes.
	Budget         *memory.Budget
	MaxConnections int
	// ReadTimeout bounds the time to receive the body of a request, and its head where
	// Limits states no time. It protects against callers that send slowly.
	ReadTimeout time.Duration
	// WriteTimeout bounds the time to send one response. It protects against
	// callers that read slowly.
	WriteTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept.
	IdleTimeout time.Duration
	// Guard recovers from panics while a request is handled. It may be nil. The server
	// then logs them, but counts none.
	Guard *guard.Guard
	// Protocol may be nil. The server then uses almondstile's own protocol.
	Protocol Protocol
}

// Server is the HTTP server for callers.
type Server struct {
	dispatcher    Dispatcher
	protocol      Protocol
	guard         *guard.Guard
	log           logging.Logger
	server        *inbound.Server
	hangupWatches conc.WaitGroup
	options       Options
	refusals      refusals
	draining      atomic.Bool
}

// New returns a server that passes requests to the dispatcher.
func New(dispatcher Dispatcher, options Options, log logging.Logger) *Server {
	s := &Server{dispatcher: dispatcher, protocol: options.Protocol, guard: options.Guard, options: options, log: log}
	if s.protocol == nil {
		s.protocol = nativeProtocol{}
	}
	if s.guard == nil {
		s.guard = guard.New(log, nil)
	}
	if s.options.Budget == nil {
		s.options.Budget = memory.NewBudget(defaultBudgetBytes, time.Now, nil)
	}
	readBufferBytes := max(options.MaxHeaderBytes, options.ReadBufferBytes)
	s.server = inbound.NewServer(&fasthttp.Server{
		Handler:                       s.handleGuarded,
		ErrorHandler:                  s.handleParseError,
		ExpectHandler:                 s.expectBody,
		HeaderReceived:                s.bodyConfig,
		ReadBufferSize:                readBufferBytes,
		StreamRequestBody:             true,
		MaxRequestBodySize:            prefetchedBodyBytes,
		Concurrency:                   concurrency(options.MaxConnections),
		WriteTimeout:                  options.WriteTimeout,
		NoDefaultServerHeader:         true,
		NoDefaultContentType:          true,
		DisablePreParseMultipartForm:  true,
		CloseOnShutdown:               true,
		DisableHeaderNamesNormalizing: false,
		Logger:                        logging.DiscardPrintf{},
	}, inbound.Options{
		Budget: s.options.Budget, ConnectionBytes: memory.ConnectionBytes(readBufferBytes), Times: s.times, MaxConnections: options.MaxConnections,
	}, log)
	return s
}

// Serve accepts connections until Shutdown.
func (s *Server) Serve(listener net.Listener) error {
	return errors.Wrap(s.server.Serve(listener), "serving callers' requests")
}

// Accepting reports whether the server accepts connections. It does not while the process
// lacks descriptors.
func (s *Server) Accepting() bool { return s.server.Accepting() }

// Drain makes callers open new connections, which the balancer can send to other
// VMs: each response from now on closes its connection. Call it before Shutdown,
// which closes idle connections and so can lose a request that is just being
// sent.
func (s *Server) Drain() { s.draining.Store(true) }

// Shutdown stops accepting connections and waits until all requests in flight have
// finished and their callers have read the responses. If the context ends before that, it
// answers the callers of these requests, and returns an error.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.server.Shutdown(ctx)
	if err == nil {
		s.hangupWatches.Wait()
	}
	return errors.Wrap(err, "shutting down the server for callers")
}

// handleGuarded handles a request. If that panics, the caller learns that the request
// may have been executed, and its connection is closed.
func (s *Server) handleGuarded(ctx *fasthttp.RequestCtx) {
	if s.guard.Handle("request", string(ctx.Request.Header.Peek(header.RequestID)), func() { s.handle(ctx) }) {
		ctx.Response.Reset()
		ctx.SetConnectionClose()
		s.protocol.WriteResponse(ctx, "", request.UnknownResult(request.ReasonInternal))
	}
	s.sendAtOnce(ctx)
}

// sendAtOnce lets the HTTP server send the response as soon as the handler returns. With
// a pipelined request behind it, the server would hold the response back until that
// request is served, unless the handler has set a write deadline.
func (s *Server) sendAtOnce(ctx *fasthttp.RequestCtx) {
	var deadline time.Time // none
	if s.options.WriteTimeout > 0 {
		deadline = time.Now().Add(s.options.WriteTimeout)
	}
	if err := ctx.SetWriteDeadline(deadline); err != nil && !errors.Is(err, net.ErrClosed) {
		s.log.WithError(err).Warn("A response may wait for the request behind it.")
	}
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if framing := framingError(&ctx.Request); framing != "" {
		ctx.SetConnectionClose()
		writeError(ctx, "", request.Rejected(request.ReasonMalformed), framing)
		return
	}
	conn, ok := ctx.Conn().(*inbound.Conn)
	if !ok {
		s.drop(ctx, s.protocol.ReadRequest(&ctx.Request, time.Now()))
		return
	}
	body, err := s.receiveBody(ctx, conn)
	defer body.Release()
	if err != nil {
		s.refuse(ctx, conn, err)
		return
	}
	in := s.protocol.ReadRequest(&ctx.Request, time.Now())
	in.Body = body
	if conn.Closed() || conn.PeerGone() {
		s.drop(ctx, in)
		return
	}
	if err := conn.BeginServing(len(ctx.Request.Header.RawHeaders())); err != nil {
		s.refuse(ctx, conn, err)
		return
	}
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stop := conn.WatchHangup(s.hangupWatches.Go, cancel)
	id, result := func() (string, request.Result) {
		defer stop() // also if Do panics
		return s.dispatcher.Do(runCtx, in)
	}()
	if s.draining.Load() {
		ctx.SetConnectionClose()
	}
	if result.Reason == request.ReasonCanceled && !conn.PeerGone() {
		result.Reason = request.ReasonStopping // Shutdown has canceled it
	}
	conn.HoldAnswer(cap(result.Body))
	s.protocol.WriteResponse(ctx, id, result)
}

// drop ends a request that nobody waits for: its caller closed the connection after it had
// sent the request, or Shutdown closed the connection just before the request arrived.
func (s *Server) drop(ctx *fasthttp.RequestCtx, in entry.IncomingRequest) {
	s.log.WithField("request", in.ID).Info("A request was dropped, because its caller has left.")
	ctx.SetConnectionClose()
	s.protocol.WriteResponse(ctx, in.ID, request.Rejected(request.ReasonCanceled))
}

// nativeProtocol is almondstile's own protocol with callers.
type nativeProtocol struct{}

func (nativeProtocol) WriteResponse(ctx *fasthttp.RequestCtx, id string, result request.Result) {
	writeResult(ctx, id, result)
}

func (nativeProtocol) ReadRequest(r *fasthttp.Request, receivedAt time.Time) entry.IncomingRequest {
	in := entry.IncomingRequest{
		Method:     string(r.Header.Method()),
		Path:       string(r.URI().Path()),
		Target:     string(r.URI().RequestURI()),
		Credential: credential(&r.Header),
		ReceivedAt: receivedAt,
	}
	for name, value := range r.Header.All() {
		in.Header = append(in.Header, request.HeaderField{Name: string(name), Value: string(value)})
	}
	return in
}

const bearerPrefix = "Bearer "

// credential returns the key from the Authorization field or, without one, from
// X-Api-Key. It returns "" if the request has no key.
func credential(h *fasthttp.RequestHeader) string {
	if auth := string(h.Peek(header.Authorization)); len(auth) > len(bearerPrefix) && strings.EqualFold(auth[:len(bearerPrefix)], bearerPrefix) {
		return strings.TrimSpace(auth[len(bearerPrefix):])
	}
	return string(h.Peek(header.APIKey))
}

// framingError returns what is wrong with a request whose end another HTTP
// implementation could determine differently, or "". A backend server that
// disagrees about the end would execute the rest as a second request, which was
// never authorized (request smuggling).
func framingError(r *fasthttp.Request) string {
	lengths, encodings, hosts := 0, 0, 0
	for _, line := range bytes.Split(r.Header.RawHeaders(), []byte("\n")) {
		if len(line) > 0 && (line[0] == ' ' || line[0] == '\t') {
			return "a header line is folded"
		}
		name, _, ok := bytes.Cut(line, []byte(":"))
		if !ok {
			continue
		}
		switch strings.ToLower(string(name)) {
		case "content-length":
			lengths++
		case "transfer-encoding":
			encodings++
		case "host":
			hosts++
		}
	}
	switch {
	case lengths > 1 || encodings > 1 || (lengths > 0 && encodings > 0):
		return "the length of the body is ambiguous"
	case hosts != 1:
		return "there must be exactly one Host field"
	}
	return ""
}

// handleParseError writes the response to a request that could not be parsed.
func (s *Server) handleParseError(ctx *fasthttp.RequestCtx, err error) {
	var headerTooLarge *fasthttp.ErrSmallBuffer
	var netErr net.Error
	ctx.SetConnectionClose()
	switch {
	case errors.As(err, &headerTooLarge):
		s.refusals.record(s.log, ctx.RemoteAddr(), refusedHead)
		writeError(ctx, "", request.Rejected(request.ReasonTooLarge), "the header is larger than the limit")
		ctx.SetStatusCode(fasthttp.StatusRequestHeaderFieldsTooLarge)
	case errors.As(err, &netErr) && netErr.Timeout():
		s.refusals.record(s.log, ctx.RemoteAddr(), refusedLate)
		writeError(ctx, "", request.Rejected(request.ReasonMalformed), "the request did not arrive in time")
		ctx.SetStatusCode(fasthttp.StatusRequestTimeout)
	default:
		writeError(ctx, "", request.Rejected(request.ReasonMalformed), "the request is not valid HTTP")
	}
}

package httpfront

import (
	"bytes"
	"context"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"almondstile/entry"
	"almondstile/header"
	"almondstile/httpconn"
	"almondstile/logging"
	"almondstile/request"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

// Dispatcher serves one request.
type Dispatcher interface {
	Do(ctx context.Context, in entry.IncomingRequest) (id string, result request.Result)
}

// Protocol translates between HTTP messages and requests and results. The
// default is almondstile's own.
type Protocol interface {
	// Incoming copies a request, because fasthttp reuses its buffers.
	ReadRequest(r *fasthttp.Request, arrived time.Time) entry.IncomingRequest
	// Write writes the response of a result; id is the request's ID.
	WriteResponse(ctx *fasthttp.RequestCtx, id string, result request.Result)
}

// Options bound what callers may send and how long they may take.
type Options struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	MaxConnections int
	// ReadTimeout bounds receiving one request, against slow senders.
	ReadTimeout time.Duration
	// WriteTimeout bounds sending one response, against slow readers.
	WriteTimeout time.Duration
	// IdleTimeout closes connections without requests.
	IdleTimeout time.Duration
	// Protocol is nil for almondstile's own.
	Protocol Protocol
}

// Server is the callers' listener.
type Server struct {
	dispatcher Dispatcher
	protocol   Protocol
	log        logging.Logger
	http       *fasthttp.Server
	watches    conc.WaitGroup
	draining   atomic.Bool
}

// New returns a server that hands requests to the dispatcher.
func New(dispatcher Dispatcher, options Options, log logging.Logger) *Server {
	s := &Server{dispatcher: dispatcher, protocol: options.Protocol, log: log}
	if s.protocol == nil {
		s.protocol = native{}
	}
	s.http = &fasthttp.Server{
		Handler:                       s.handle,
		ErrorHandler:                  s.handleParseError,
		ReadBufferSize:                options.MaxHeaderBytes,
		MaxRequestBodySize:            options.MaxBodyBytes,
		Concurrency:                   options.MaxConnections,
		ReadTimeout:                   options.ReadTimeout,
		WriteTimeout:                  options.WriteTimeout,
		IdleTimeout:                   options.IdleTimeout,
		NoDefaultServerHeader:         true,
		NoDefaultContentType:          true,
		DisablePreParseMultipartForm:  true,
		CloseOnShutdown:               true,
		DisableHeaderNamesNormalizing: false,
		Logger:                        logging.NoPrintf{},
	}
	return s
}

// Serve accepts connections until Shutdown.
func (s *Server) Serve(listener net.Listener) error {
	return errors.Wrap(s.http.Serve(listener), "serving callers")
}

// Drain asks callers to open their next connection elsewhere: each response from
// now on closes its connection. Connections that are closed between requests can
// cut a request that is just being sent, so this comes before Shutdown.
func (s *Server) Drain() { s.draining.Store(true) }

// Shutdown stops accepting and lets running requests finish, until the context
// ends.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.http.ShutdownWithContext(ctx)
	if err == nil {
		s.watches.Wait()
	}
	return errors.Wrap(err, "ending callers' connections")
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	arrived := time.Now()
	if fault := framingFault(&ctx.Request); fault != "" {
		ctx.SetConnectionClose()
		writeError(ctx, "", request.Rejected(request.ReasonMalformed), fault)
		return
	}
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	in := s.protocol.ReadRequest(&ctx.Request, arrived)
	stop := httpconn.WatchHangup(ctx.Conn(), s.watches.Go, cancel)
	id, result := s.dispatcher.Do(runCtx, in)
	stop()
	if s.draining.Load() {
		ctx.SetConnectionClose()
	}
	s.protocol.WriteResponse(ctx, id, result)
}

// native is almondstile's own protocol with callers.
type native struct{}

func (native) WriteResponse(ctx *fasthttp.RequestCtx, id string, result request.Result) {
	write(ctx, id, result)
}

func (native) ReadRequest(r *fasthttp.Request, arrived time.Time) entry.IncomingRequest {
	in := entry.IncomingRequest{
		Method:     string(r.Header.Method()),
		Path:       string(r.URI().Path()),
		Target:     string(r.URI().RequestURI()),
		Body:       append([]byte(nil), r.Body()...),
		Credential: credential(&r.Header),
		ReceivedAt: arrived,
	}
	for name, value := range r.Header.All() {
		in.Header = append(in.Header, request.HeaderField{Name: string(name), Value: string(value)})
	}
	return in
}

const bearer = "Bearer "

func credential(h *fasthttp.RequestHeader) string {
	if auth := string(h.Peek(header.Authorization)); len(auth) > len(bearer) && strings.EqualFold(auth[:len(bearer)], bearer) {
		return strings.TrimSpace(auth[len(bearer):])
	}
	return string(h.Peek(header.APIKey))
}

// framingFault finds requests whose end another HTTP implementation could see
// elsewhere. A backend server that disagrees about the end of a request would
// take the rest as a request of its own, without authorization.
func framingFault(r *fasthttp.Request) string {
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

// handleParseError answers requests that could not be parsed.
func (s *Server) handleParseError(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	var netErr net.Error
	ctx.SetConnectionClose()
	switch {
	case errors.As(err, &small):
		writeError(ctx, "", request.Rejected(request.ReasonTooLarge), "the header is larger than the limit")
		ctx.SetStatusCode(fasthttp.StatusRequestHeaderFieldsTooLarge)
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		writeError(ctx, "", request.Rejected(request.ReasonTooLarge), "the body is larger than the limit")
	case errors.As(err, &netErr) && netErr.Timeout():
		writeError(ctx, "", request.Rejected(request.ReasonMalformed), "the request did not arrive in time")
		ctx.SetStatusCode(fasthttp.StatusRequestTimeout)
	default:
		writeError(ctx, "", request.Rejected(request.ReasonMalformed), "the request is not valid HTTP")
	}
}

package forward

import (
	"context"
	"net"
	"time"

	"almondstile/httpconn"
	"almondstile/link"
	"almondstile/logging"
	"almondstile/request"
	"almondstile/shard"
	"almondstile/vm"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

// Members finds VMs by their ID.
type Members interface {
	List() vm.MemberList
}

// Server accepts requests from entry VMs.
type Server struct {
	self    vm.ID
	secret  link.Secret
	links   *link.Links
	members Members
	runner  Runner
	client  *Client
	relay   ExchangeRelay // nil if this VM relays no exchanges
	log     logging.Logger
	http    *fasthttp.Server
	wg      conc.WaitGroup
	// seen holds the IDs and attempts of recent requests, so that a message
	// that the network repeats does not run twice.
	seen shard.Map[string, time.Time]
}

// Options bound the server's connections.
type Options struct {
	// MaxMessageBytes bounds a request with its envelope.
	MaxMessageBytes int
	// IdleTimeout closes connections without requests. It is longer than the
	// idle timeout of the clients' pools, so that the clients close first.
	IdleTimeout time.Duration
}

// NewServer returns a server that hands requests to runner, and requests for
// other owners, once, to client.
func NewServer(self vm.ID, secret link.Secret, links *link.Links, members Members, runner Runner, client *Client, options Options, log logging.Logger) *Server {
	s := &Server{self: self, secret: secret, links: links, members: members, runner: runner, client: client, log: log}
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		MaxRequestBodySize:    options.MaxMessageBytes,
		IdleTimeout:           options.IdleTimeout,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		CloseOnShutdown:       true,
		Logger:                quietLogger{},
	}
	return s
}

// Serve accepts connections until Shutdown.
func (s *Server) Serve(listener net.Listener) error {
	return errors.Wrap(s.http.Serve(listener), "serving forwarded requests")
}

// Shutdown lets running requests finish, until the context ends.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.http.ShutdownWithContext(ctx)
	if err == nil {
		s.wg.Wait()
	}
	return errors.Wrap(err, "ending forwarded requests")
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	switch target := string(ctx.Path()); {
	case target == path:
		s.handleForward(ctx)
	case target == exchangePath && s.relay != nil:
		s.handleExchange(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (s *Server) handleForward(ctx *fasthttp.RequestCtx) {
	var envelope requestEnvelope
	message, body, ok := s.accept(ctx, nil, &envelope)
	if !ok {
		return
	}
	result := s.run(ctx, &envelope, envelope.request(time.Now(), body))
	s.reply(ctx, message, envelopeOfResult(&result), result.Body)
}

// accept opens a message of the given kind. If it is not authentic, too old or
// came before, it sets the status and returns false.
func (s *Server) accept(ctx *fasthttp.RequestCtx, kind []byte, envelope interface{ sender() (vm.ID, int64) }) (message, body []byte, ok bool) {
	now := time.Now()
	message = append([]byte(nil), ctx.PostBody()...)
	body, err := open(s.secret, kind, message, envelope)
	from, sentMillis := envelope.sender()
	if err != nil || !fresh(sentMillis, now) {
		s.log.WithError(err).WithField("remote", ctx.RemoteAddr()).Warn("Rejected a message.")
		ctx.SetStatusCode(fasthttp.StatusForbidden)
		return nil, nil, false
	}
	s.links.Heard(from, now)
	if s.repeated(message[:macBytes], now) {
		ctx.SetStatusCode(fasthttp.StatusConflict)
		return nil, nil, false
	}
	return message, body, true
}

// reply seals a reply to the message.
func (s *Server) reply(ctx *fasthttp.RequestCtx, message []byte, envelope any, body []byte) {
	sealed, err := seal(s.secret, message[:macBytes], envelope, body)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(sealed)
}

// repeated reports whether the same message, told by its MAC, came before.
func (s *Server) repeated(mac []byte, now time.Time) bool {
	repeated := false
	s.seen.Update(string(mac), func(_ time.Time, exists bool) (time.Time, bool) {
		repeated = exists
		return now, true
	})
	return repeated
}

// Forget drops records of messages that are too old to be accepted again. The
// daemon calls it every few seconds.
func (s *Server) DeleteExpired(now time.Time) {
	s.seen.Range(func(_ string, at time.Time) bool { return now.Sub(at) < 2*maxAge })
}

func (s *Server) run(ctx *fasthttp.RequestCtx, envelope *requestEnvelope, req *request.Request) request.Result {
	runCtx, cancel := context.WithDeadline(context.Background(), req.Deadline)
	defer cancel()
	stop := httpconn.WatchHangup(ctx.Conn(), s.wg.Go, cancel)
	defer stop()
	if envelope.To == s.self {
		return s.runner.Run(runCtx, req)
	}
	owner, ok := s.members.List().Find(envelope.To)
	if envelope.Relayed || !ok {
		return request.Rejected(request.ReasonNotOwner)
	}
	return s.client.send(runCtx, owner.ID, owner, true, req)
}

type quietLogger struct{}

func (quietLogger) Printf(string, ...any) {}

package forward

import (
	"context"
	"net"
	"time"

	"almondstile/inbound"
	"almondstile/link"
	"almondstile/logging"
	"almondstile/request"
	"almondstile/shard"
	"almondstile/vm"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

// Members provides the current member list, in which the server looks up the
// addresses of owners.
type Members interface {
	List() vm.MemberList
}

// Server accepts forwarded requests from entry VMs and relays, and exchange
// messages from owners.
type Server struct {
	self          vm.ID
	secret        link.Secret
	links         *link.Links
	members       Members
	runner        Runner
	client        *Client
	exchangeRelay ExchangeRelay // nil if this VM does not accept exchange messages
	log           logging.Logger
	server        *inbound.Server
	watches       conc.WaitGroup
	// seenMACs holds the MACs of recent messages and when each was last received,
	// so that a message that arrives twice is not executed twice.
	seenMACs shard.Map[string, time.Time]
}

// Options bound the server's connections.
type Options struct {
	// MaxMessageBytes bounds the size of a message: MAC, envelope and body.
	MaxMessageBytes int
	// IdleTimeout is how long the server keeps an idle connection. It must be
	// longer than the idle timeout of the clients' pools, so that the clients
	// close first.
	IdleTimeout time.Duration
}

// NewServer returns a server that passes requests for this VM's backend servers
// to runner. It relays requests for other owners through client, unless they
// were relayed before.
func NewServer(self vm.ID, secret link.Secret, links *link.Links, members Members, runner Runner, client *Client, options Options, log logging.Logger) *Server {
	s := &Server{self: self, secret: secret, links: links, members: members, runner: runner, client: client, log: log}
	s.server = inbound.NewServer(&fasthttp.Server{
		Handler:               s.handle,
		MaxRequestBodySize:    options.MaxMessageBytes,
		IdleTimeout:           options.IdleTimeout,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		CloseOnShutdown:       true,
		Logger:                logging.DiscardPrintf{},
	}, inbound.Options{}, log)
	return s
}

// Serve accepts connections until Shutdown.
func (s *Server) Serve(listener net.Listener) error {
	return errors.Wrap(s.server.Serve(listener), "serving forwarded requests")
}

// Shutdown stops accepting connections and waits until all requests in flight have
// finished. If the context ends before that, it cancels them and returns an error.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.server.Shutdown(ctx)
	if err == nil {
		s.watches.Wait()
	}
	return errors.Wrap(err, "shutting down the server for forwarded requests")
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	switch path := string(ctx.Path()); {
	case path == forwardPath:
		s.handleForward(ctx)
	case path == exchangePath && s.exchangeRelay != nil:
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
	result := s.run(ctx, &envelope, envelope.toRequest(time.Now(), body))
	s.reply(ctx, message, newResultEnvelope(&result), result.Body)
}

// accept opens the message in the request's body. If the message is invalid, too
// old or a duplicate, accept sets the response's status (403, or 409 for a
// duplicate) and returns false.
func (s *Server) accept(ctx *fasthttp.RequestCtx, macContext []byte, envelope interface{ sender() (vm.ID, int64) }) (message, body []byte, ok bool) {
	now := time.Now()
	message = ctx.Request.SwapBody(nil)
	body, err := open(s.secret, macContext, message, envelope)
	from, sentMillis := envelope.sender()
	if err != nil || !acceptableAge(sentMillis, now) {
		s.log.WithError(err).WithField("remote", ctx.RemoteAddr()).Warn("Rejected a message from another VM: it is invalid or too old.")
		ctx.SetStatusCode(fasthttp.StatusForbidden)
		return nil, nil, false
	}
	s.links.RecordMessage(from, now)
	if s.isDuplicate(message[:macBytes], now) {
		ctx.SetStatusCode(fasthttp.StatusConflict)
		return nil, nil, false
	}
	return message, body, true
}

// reply writes the sealed reply to the message.
func (s *Server) reply(ctx *fasthttp.RequestCtx, message []byte, envelope any, body []byte) {
	sealed, err := seal(s.secret, message[:macBytes], envelope, body)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(sealed)
}

// isDuplicate reports whether a message with this MAC was received before, and
// records the MAC.
func (s *Server) isDuplicate(mac []byte, now time.Time) bool {
	duplicate := false
	s.seenMACs.Update(string(mac), func(_ time.Time, exists bool) (time.Time, bool) {
		duplicate = exists
		return now, true
	})
	return duplicate
}

// DeleteExpired deletes the records of messages that are too old to be accepted
// again. The limit is twice maxMessageAge, because the sender's clock may be
// ahead by as much as maxMessageAge. The daemon calls it every few seconds.
func (s *Server) DeleteExpired(now time.Time) {
	s.seenMACs.Range(func(_ string, at time.Time) bool { return now.Sub(at) < 2*maxMessageAge })
}

// run executes the request if this VM owns the server, and otherwise relays it
// once to the owner. It cancels the request if the sender closes its connection.
func (s *Server) run(ctx *fasthttp.RequestCtx, envelope *requestEnvelope, req *request.Request) request.Result {
	runCtx, stop := s.runContext(ctx, req.Deadline)
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

// runContext returns a context that ends at the deadline, or when the sender closes its
// connection. The caller must call stop.
func (s *Server) runContext(ctx *fasthttp.RequestCtx, deadline time.Time) (_ context.Context, stop func()) {
	runCtx, cancel := context.WithDeadline(context.Background(), deadline)
	conn, ok := ctx.Conn().(*inbound.Conn)
	if !ok {
		return runCtx, cancel
	}
	stopWatch := conn.WatchHangup(s.watches.Go, cancel)
	return runCtx, func() {
		stopWatch()
		cancel()
	}
}

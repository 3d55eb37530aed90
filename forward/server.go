package forward

import (
	"bytes"
	"context"
	"io"
	"net"
	"time"

	"almondstile/inbound"
	"almondstile/link"
	"almondstile/logging"
	"almondstile/memory"
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
	options       Options
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
	// Budget bounds the bytes of all messages and replies. It may be nil. The server then
	// has one of defaultBudgetBytes.
	Budget *memory.Budget
}

const (
	// defaultBudgetBytes is the budget of a server that is given none.
	defaultBudgetBytes = 256 << 20
	// prefetchedBodyBytes is what the HTTP library reads of a message before the server does.
	prefetchedBodyBytes = 1
	// maxEnvelopeBytes bounds the envelope of a message for which there is no room.
	maxEnvelopeBytes = 256 << 10
	// refusedRetryAfter is the Retry-After time of a request for which there is no room.
	refusedRetryAfter = time.Second
)

// NewServer returns a server that passes requests for this VM's backend servers
// to runner. It relays requests for other owners through client, unless they
// were relayed before.
func NewServer(self vm.ID, secret link.Secret, links *link.Links, members Members, runner Runner, client *Client, options Options, log logging.Logger) *Server {
	s := &Server{self: self, secret: secret, links: links, members: members, runner: runner, client: client, options: options, log: log}
	if s.options.Budget == nil {
		s.options.Budget = memory.NewBudget(defaultBudgetBytes, time.Now, nil)
	}
	s.server = inbound.NewServer(&fasthttp.Server{
		Handler:               s.handle,
		StreamRequestBody:     true,
		MaxRequestBodySize:    prefetchedBodyBytes,
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
	m, ok := s.accept(ctx, nil, &envelope)
	if !ok {
		return
	}
	result := refusedForRoom()
	if !m.refused {
		result = s.run(ctx, &envelope, envelope.toRequest(time.Now(), m.body))
	}
	s.reply(ctx, m, newResultEnvelope(&result), result.Body)
}

// refusedForRoom is the result of a message for which there is no room.
func refusedForRoom() request.Result {
	result := request.Rejected(request.ReasonOverloaded)
	result.RetryAfter = refusedRetryAfter
	return result
}

// message is an authentic message of another VM, and what this VM holds for it.
type message struct {
	mac, body []byte
	// refused says that there was no room for the body, which was not kept.
	refused bool
	lease   *memory.Lease
	held    int64
}

// hold adds bytes that are held for the reply.
func (m *message) hold(n int) {
	m.lease.Charge(int64(n))
	m.held += int64(n)
}

// Close gives back what is held. It implements io.Closer.
func (m *message) Close() error {
	m.lease.GiveBack(m.held)
	m.held = 0
	return nil
}

// accept receives the message in the request's body. If the message is invalid, too
// old or a duplicate, accept sets the response's status (403, or 409 for a
// duplicate) and returns false. If there is no room for it, it is refused, but
// authenticated, so that the reply is believed. The caller has to reply to an accepted
// message.
func (s *Server) accept(ctx *fasthttp.RequestCtx, macContext []byte, envelope interface{ sender() (vm.ID, int64) }) (m *message, ok bool) {
	m = &message{lease: s.options.Budget.Open("", func() {})}
	defer func() {
		if !ok {
			_ = m.Close()
		}
	}()
	err := s.receive(ctx, m, macContext, envelope)
	now := time.Now()
	from, sentMillis := envelope.sender()
	if err != nil || !acceptableAge(sentMillis, now) {
		s.log.WithError(err).WithField("remote", ctx.RemoteAddr()).Warn("Rejected a message from another VM: it is invalid or too old.")
		ctx.SetStatusCode(fasthttp.StatusForbidden)
		return m, false
	}
	s.links.RecordMessage(from, now)
	if s.isDuplicate(m.mac, now) {
		ctx.SetStatusCode(fasthttp.StatusConflict)
		return m, false
	}
	if m.refused {
		s.log.WithField("from", from).WithField("bytes", ctx.Request.Header.ContentLength()).
			Info("Refused a message from another VM, because the budget of bytes is short.")
	}
	return m, true
}

// receive reads and authenticates a message. It takes room for it first.
func (s *Server) receive(ctx *fasthttp.RequestCtx, m *message, macContext []byte, envelope any) (err error) {
	size := ctx.Request.Header.ContentLength()
	if size < macBytes+lengthBytes || size > s.options.MaxMessageBytes {
		ctx.SetConnectionClose()
		return errors.Wrapf(ErrInvalidMessage, "a length of %d bytes", size)
	}
	m.lease.Begin(memory.Serving, 0) // is never turned away: its sender waits for it
	room := int64(size) + memory.RequestBytes(0)
	if m.lease.Take(room) != nil {
		m.refused = true
		m.mac, err = skip(s.secret, macContext, ctx.RequestBodyStream(), size, maxEnvelopeBytes, envelope)
		return err
	}
	m.held = room
	received := make([]byte, size)
	if _, err := io.ReadFull(ctx.RequestBodyStream(), received); err != nil {
		return errors.Mark(errors.Wrap(err, "reading the message"), ErrInvalidMessage)
	}
	m.mac = received[:macBytes]
	m.body, err = open(s.secret, macContext, received, envelope)
	return err
}

// reply writes the sealed reply to the message. What the message holds is given back when
// it is written.
func (s *Server) reply(ctx *fasthttp.RequestCtx, m *message, envelope any, body []byte) {
	m.hold(cap(body))
	sealed := memory.BodyOf(body)
	head, err := sealHead(s.secret, m.mac, envelope, sealed)
	if err != nil {
		_ = m.Close()
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBodyStream(&replyReader{io.MultiReader(bytes.NewReader(head), sealed.NewReader()), m}, len(head)+len(body))
}

// replyReader reads a reply. The HTTP library closes it when it is written.
type replyReader struct {
	io.Reader
	io.Closer
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

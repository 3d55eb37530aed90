package forward

import (
	"context"
	"time"

	"almondstile/contract"
	"almondstile/httpconn"
	"almondstile/link"
	"almondstile/request"
	"almondstile/upstream"
	"almondstile/vm"

	"github.com/valyala/fasthttp"
)

const (
	exchangePath = "/exchange"

	// clockTolerance is the difference between two VMs' clocks up to which a
	// message is not taken for one whose deadline has passed on the way.
	clockTolerance = 250 * time.Millisecond
)

// exchangeKind is part of the MAC of each exchange message. Without it a
// recorded one could be presented as a forward, which has no such part.
var exchangeKind = []byte("exchange")

// ExchangeRelay runs exchanges with backend servers for the VMs that own them.
type ExchangeRelay interface {
	// Exchange runs one attempt at the server that the request names, on behalf
	// of the VM from. ran is false if it did not try the server.
	Exchange(ctx context.Context, from vm.ID, req *request.Request) (e upstream.Exchange, ran bool)
}

// exchangeEnvelope is an exchange without the request's body. The server's
// address is not in it: the relay uses that of its own configuration. The key
// is not either: the owner has checked it.
type exchangeEnvelope struct {
	From            vm.ID                 `json:"from"`
	To              vm.ID                 `json:"to"`
	SentMillis      int64                 `json:"sent_ms"`
	RemainingMicros int64                 `json:"left_us"`
	ID              string                `json:"id"`
	Service         contract.ServiceID    `json:"service"`
	Server          contract.ServerID     `json:"server"`
	Team            contract.TeamID       `json:"team,omitempty"`
	Method          string                `json:"method"`
	Target          string                `json:"target"`
	Header          []request.HeaderField `json:"header,omitempty"`
}

// exchangedEnvelope is what became of an exchange.
type exchangedEnvelope struct {
	resultEnvelope
	Ran                   bool   `json:"ran,omitempty"`
	Instance              string `json:"instance,omitempty"`
	LatencyMicros         int64  `json:"latency_us,omitempty"`
	ConnectFailed         bool   `json:"connect_failed,omitempty"`
	ConnectionRefused     bool   `json:"refused,omitempty"`
	Silent                bool   `json:"silent,omitempty"`
	ClosedWithoutResponse bool   `json:"cut,omitempty"`
	Crashed               bool   `json:"crashed,omitempty"`
}

// ExchangeClient asks other VMs to run exchanges.
type ExchangeClient struct{ sender }

// NewExchangeClient returns a client with its own connections.
func NewExchangeClient(self vm.ID, secret link.Secret, links *link.Links, options httpconn.Options) *ExchangeClient {
	return &ExchangeClient{sender{self, secret, links, httpconn.NewPool(options)}}
}

// Exchange asks the relay to run one attempt until the request's deadline, and
// waits for the reply until the context ends. ran is false if the relay did not
// try the server or if its reply did not arrive: the outcome then is not-run
// only if nothing was written to the relay or the relay said so.
func (c *ExchangeClient) Exchange(ctx context.Context, relay vm.VM, req *request.Request) (e upstream.Exchange, ran bool) {
	message, err := seal(c.secret, exchangeKind, exchangeOf(c.self, relay.ID, req, time.Now()), req.Body)
	if err != nil {
		return upstream.Exchange{Result: request.Rejected(request.ReasonInternal)}, false
	}
	var reply exchangedEnvelope
	body, progress, err := c.post(ctx, relay, exchangePath, message, &reply)
	if err != nil {
		return upstream.Exchange{Result: request.Result{Outcome: request.Classify(progress, false), Reason: reasonOf(err)}}, false
	}
	return reply.exchange(body), reply.Ran
}

func exchangeOf(from, to vm.ID, req *request.Request, now time.Time) *exchangeEnvelope {
	return &exchangeEnvelope{
		From: from, To: to, SentMillis: now.UnixMilli(), RemainingMicros: req.Deadline.Sub(now).Microseconds(),
		ID: req.ID, Service: req.Service, Server: req.Server, Team: req.Team,
		Method: req.Method, Target: req.Target, Header: req.Header,
	}
}

// request returns the request with its deadline by this VM's clock, but not
// past the sender's: a message that was held up on the way must not run after
// the owner has given the slot to another request.
func (e *exchangeEnvelope) request(now time.Time, body []byte) *request.Request {
	left := time.Duration(e.RemainingMicros) * time.Microsecond
	deadline, limit := now.Add(left), time.UnixMilli(e.SentMillis).Add(left+clockTolerance)
	if limit.Before(deadline) {
		deadline = limit
	}
	return &request.Request{
		ID: e.ID, Service: e.Service, Server: e.Server, Team: e.Team,
		Method: e.Method, Target: e.Target, Header: e.Header, Body: body, Deadline: deadline,
	}
}

func envelopeOfExchange(e *upstream.Exchange, ran bool) *exchangedEnvelope {
	return &exchangedEnvelope{
		resultEnvelope: *envelopeOfResult(&e.Result), Ran: ran,
		Instance: e.Instance, LatencyMicros: e.Latency.Microseconds(),
		ConnectFailed: e.ConnectFailed, ConnectionRefused: e.ConnectionRefused, Silent: e.Silent, ClosedWithoutResponse: e.ClosedWithoutResponse, Crashed: e.Crashed,
	}
}

func (e *exchangedEnvelope) exchange(body []byte) upstream.Exchange {
	return upstream.Exchange{
		Result: e.result(body), Instance: e.Instance,
		Latency:       time.Duration(e.LatencyMicros) * time.Microsecond,
		ConnectFailed: e.ConnectFailed, ConnectionRefused: e.ConnectionRefused, Silent: e.Silent, ClosedWithoutResponse: e.ClosedWithoutResponse, Crashed: e.Crashed,
	}
}

// SetExchangeRelay lets the server accept exchanges for the relay. It must be
// called before Serve.
func (s *Server) SetExchangeRelay(relay ExchangeRelay) { s.relay = relay }

func (s *Server) handleExchange(ctx *fasthttp.RequestCtx) {
	var envelope exchangeEnvelope
	message, body, ok := s.accept(ctx, exchangeKind, &envelope)
	if !ok {
		return
	}
	var e upstream.Exchange
	ran := false
	if envelope.To == s.self {
		e, ran = s.relayExchange(ctx, &envelope, body)
	} else {
		e.Result = request.Rejected(request.ReasonNotOwner)
	}
	s.reply(ctx, message, envelopeOfExchange(&e, ran), e.Result.Body)
}

func (s *Server) relayExchange(ctx *fasthttp.RequestCtx, envelope *exchangeEnvelope, body []byte) (upstream.Exchange, bool) {
	req := envelope.request(time.Now(), body)
	runCtx, cancel := context.WithDeadline(context.Background(), req.Deadline)
	defer cancel()
	stop := httpconn.WatchHangup(ctx.Conn(), s.wg.Go, cancel)
	defer stop()
	return s.relay.Exchange(runCtx, envelope.From, req)
}

func (e *exchangeEnvelope) sender() (vm.ID, int64) { return e.From, e.SentMillis }

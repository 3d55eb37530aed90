package forward

import (
	"context"
	"time"

	"almondstile/contract"
	"almondstile/httpconn"
	"almondstile/link"
	"almondstile/memory"
	"almondstile/request"
	"almondstile/upstream"
	"almondstile/vm"

	"github.com/valyala/fasthttp"
)

const (
	exchangePath = "/exchange"

	// clockTolerance is added to the sender's deadline before a relay applies it
	// to its own clock. A clock difference between the two VMs up to this value
	// does not make a message late.
	clockTolerance = 250 * time.Millisecond
)

// exchangeMACContext is part of the MAC input of each exchange message.
// Forwarded requests have an empty context. Without the difference, a recorded
// exchange could be replayed as a forwarded request.
var exchangeMACContext = []byte("exchange")

// ExchangeRelay sends requests to backend servers for the VMs that own them.
type ExchangeRelay interface {
	// Exchange makes one attempt at the server that the request names, on behalf
	// of the VM from. ran is false if no attempt was made.
	Exchange(ctx context.Context, from vm.ID, req *request.Request) (e upstream.Exchange, ran bool)
}

// exchangeEnvelope is an exchange message without the request's body. It does
// not contain the server's address, because the relay uses the one in its own
// configuration. It does not contain the caller's key ID, because the owner has
// checked the key already. SentMillis is a time of the sender's wall clock;
// RemainingMicros is the time until the request's deadline.
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

// exchangeResultEnvelope is the reply to an exchange message, without the body
// of the server's response. Its fields correspond to those of upstream.Exchange.
type exchangeResultEnvelope struct {
	resultEnvelope
	Ran                   bool               `json:"ran,omitempty"`
	Instance              string             `json:"instance,omitempty"`
	Violation             httpconn.Violation `json:"violation,omitempty"`
	LatencyMicros         int64              `json:"latency_us,omitempty"`
	ConnectFailed         bool               `json:"connect_failed,omitempty"`
	ConnectionRefused     bool               `json:"refused,omitempty"`
	Silent                bool               `json:"silent,omitempty"`
	ClosedWithoutResponse bool               `json:"cut,omitempty"`
	Crashed               bool               `json:"crashed,omitempty"`
}

// ExchangeClient sends exchange messages to relays.
type ExchangeClient struct{ sender }

// NewExchangeClient returns a client with its own connection pool.
func NewExchangeClient(self vm.ID, secret link.Secret, links *link.Links, options httpconn.Options) *ExchangeClient {
	return &ExchangeClient{sender{self, secret, links, httpconn.NewPool(options)}}
}

// Exchange asks the relay to make one attempt at the request's server. The relay
// stops at the request's deadline; Exchange waits for the reply until the
// context ends. ran is false if the relay made no attempt or its reply did not
// arrive. The outcome is then not-run only if nothing was written to the relay
// or the relay replied that the request was not executed.
func (c *ExchangeClient) Exchange(ctx context.Context, relay vm.VM, req *request.Request) (e upstream.Exchange, ran bool) {
	if !req.Body.Retain() {
		return upstream.Exchange{Result: request.Rejected(request.ReasonCanceled)}, false // the request has ended
	}
	defer req.Body.Release()
	head, err := sealHead(c.secret, exchangeMACContext, newExchangeEnvelope(c.self, relay.ID, req, time.Now()), req.Body)
	if err != nil {
		return upstream.Exchange{Result: request.Rejected(request.ReasonInternal)}, false
	}
	var reply exchangeResultEnvelope
	body, progress, err := c.post(ctx, relay, exchangePath, head, req.Body, &reply)
	if err != nil {
		return upstream.Exchange{Result: request.Result{Outcome: request.Classify(progress, false), Reason: reasonOf(err)}}, false
	}
	return reply.toExchange(body), reply.Ran
}

func newExchangeEnvelope(from, to vm.ID, req *request.Request, now time.Time) *exchangeEnvelope {
	return &exchangeEnvelope{
		From: from, To: to, SentMillis: now.UnixMilli(), RemainingMicros: req.Deadline.Sub(now).Microseconds(),
		ID: req.ID, Service: req.Service, Server: req.Server, Team: req.Team,
		Method: req.Method, Target: req.Target, Header: req.Header,
	}
}

// toRequest returns the request with a deadline on this VM's clock. The remaining
// time counts from now, but the deadline is never later than the sender's own
// deadline plus clockTolerance. A message that the network delayed must not be
// executed after the owner has given the slot to another request.
func (e *exchangeEnvelope) toRequest(now time.Time, body []byte) *request.Request {
	remaining := time.Duration(e.RemainingMicros) * time.Microsecond
	deadline, latest := now.Add(remaining), time.UnixMilli(e.SentMillis).Add(remaining+clockTolerance)
	if latest.Before(deadline) {
		deadline = latest
	}
	return &request.Request{
		ID: e.ID, Service: e.Service, Server: e.Server, Team: e.Team,
		Method: e.Method, Target: e.Target, Header: e.Header, Body: memory.BodyOf(body), Deadline: deadline,
	}
}

func newExchangeResultEnvelope(e *upstream.Exchange, ran bool) *exchangeResultEnvelope {
	return &exchangeResultEnvelope{
		resultEnvelope: *newResultEnvelope(&e.Result), Ran: ran,
		Instance: e.Instance, Violation: e.Violation, LatencyMicros: e.Latency.Microseconds(),
		ConnectFailed: e.ConnectFailed, ConnectionRefused: e.ConnectionRefused, Silent: e.Silent, ClosedWithoutResponse: e.ClosedWithoutResponse, Crashed: e.Crashed,
	}
}

func (e *exchangeResultEnvelope) toExchange(body []byte) upstream.Exchange {
	return upstream.Exchange{
		Result: e.toResult(body), Instance: e.Instance, Violation: e.Violation,
		Latency:       time.Duration(e.LatencyMicros) * time.Microsecond,
		ConnectFailed: e.ConnectFailed, ConnectionRefused: e.ConnectionRefused, Silent: e.Silent, ClosedWithoutResponse: e.ClosedWithoutResponse, Crashed: e.Crashed,
	}
}

// SetExchangeRelay makes the server accept exchange messages and pass them to
// the relay. It must be called before Serve.
func (s *Server) SetExchangeRelay(relay ExchangeRelay) { s.exchangeRelay = relay }

func (s *Server) handleExchange(ctx *fasthttp.RequestCtx) {
	var envelope exchangeEnvelope
	m, ok := s.accept(ctx, exchangeMACContext, &envelope)
	if !ok {
		return
	}
	var e upstream.Exchange
	ran := false
	switch {
	case m.refused:
		e.Result = refusedForRoom()
	case envelope.To == s.self:
		e, ran = s.relayExchange(ctx, &envelope, m.body)
	default:
		e.Result = request.Rejected(request.ReasonNotOwner)
	}
	s.reply(ctx, m, newExchangeResultEnvelope(&e, ran), e.Result.Body)
}

// relayExchange passes the exchange to the relay. It cancels the exchange if the
// owner closes its connection.
func (s *Server) relayExchange(ctx *fasthttp.RequestCtx, envelope *exchangeEnvelope, body []byte) (upstream.Exchange, bool) {
	req := envelope.toRequest(time.Now(), body)
	runCtx, stop := s.runContext(ctx, req.Deadline)
	defer stop()
	return s.exchangeRelay.Exchange(runCtx, envelope.From, req)
}

func (e *exchangeEnvelope) sender() (vm.ID, int64) { return e.From, e.SentMillis }

package forward

import (
	"encoding/binary"
	"encoding/json"
	"time"

	"almondstile/contract"
	"almondstile/link"
	"almondstile/request"
	"almondstile/vm"

	"github.com/cockroachdb/errors"
)

// ErrInvalidMessage says that a message is malformed or fails authentication.
var ErrInvalidMessage = errors.New("forward: the message is malformed or not authentic")

const (
	path = "/forward"

	// maxAge bounds the age of a request by the sender's wall clock, so that a
	// recorded message cannot be sent again later. VM clocks are synchronized
	// to well within it.
	maxAge = 30 * time.Second

	macBytes    = 32
	lengthBytes = 4
)

// requestEnvelope is a request without its body.
type requestEnvelope struct {
	From            vm.ID                 `json:"from"`
	To              vm.ID                 `json:"to"`
	SentMillis      int64                 `json:"sent_ms"`
	RemainingMicros int64                 `json:"left_us"`
	ID              string                `json:"id"`
	Route           contract.RouteID      `json:"route"`
	Service         contract.ServiceID    `json:"service"`
	Server          contract.ServerID     `json:"server"`
	Team            contract.TeamID       `json:"team,omitempty"`
	Key             contract.KeyID        `json:"key,omitempty"`
	Weight          int                   `json:"weight"`
	Method          string                `json:"method"`
	Target          string                `json:"target"`
	Header          []request.HeaderField `json:"header,omitempty"`
	Idempotent      bool                  `json:"idempotent,omitempty"`
	NoQueue         bool                  `json:"no_queue,omitempty"`
	// Relayed messages are not relayed again.
	Relayed bool `json:"relayed,omitempty"`
}

// resultEnvelope is a result without its body.
type resultEnvelope struct {
	Outcome          request.Outcome       `json:"outcome"`
	Reason           request.Reason        `json:"reason,omitempty"`
	Status           int                   `json:"status,omitempty"`
	Header           []request.HeaderField `json:"header,omitempty"`
	RetryAfterMicros int64                 `json:"retry_after_us,omitempty"`
	ServiceState     []byte                `json:"service_state,omitempty"`
}

// seal encodes an envelope and a body as MAC, length, envelope, body. context
// ties a result to its request.
func seal(secret link.Secret, context []byte, envelope any, body []byte) ([]byte, error) {
	head, err := json.Marshal(envelope)
	if err != nil {
		return nil, errors.Wrap(err, "encoding the envelope")
	}
	message := make([]byte, 0, macBytes+lengthBytes+len(head)+len(body))
	message = append(message, secret.MAC(context, head, body)...)
	message = binary.BigEndian.AppendUint32(message, uint32(len(head)))
	message = append(message, head...)
	return append(message, body...), nil
}

// open checks and decodes a message of seal. The body shares its memory.
func open(secret link.Secret, context, message []byte, envelope any) (body []byte, err error) {
	if len(message) < macBytes+lengthBytes {
		return nil, errors.Wrap(ErrInvalidMessage, "too short")
	}
	mac, rest := message[:macBytes], message[macBytes:]
	size := int64(binary.BigEndian.Uint32(rest))
	rest = rest[lengthBytes:]
	if size > int64(len(rest)) {
		return nil, errors.Wrap(ErrInvalidMessage, "envelope length")
	}
	head, body := rest[:size], rest[size:]
	if !secret.Verify(mac, context, head, body) {
		return nil, errors.Wrap(ErrInvalidMessage, "authentication code")
	}
	if err := json.Unmarshal(head, envelope); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decoding the envelope"), ErrInvalidMessage)
	}
	return body, nil
}

func fresh(sentMillis int64, now time.Time) bool {
	age := now.Sub(time.UnixMilli(sentMillis))
	return age < maxAge && age > -maxAge
}

func (e *requestEnvelope) sender() (vm.ID, int64) { return e.From, e.SentMillis }

func (e *requestEnvelope) request(now time.Time, body []byte) *request.Request {
	return &request.Request{
		ID: e.ID, Route: e.Route, Service: e.Service, Server: e.Server,
		Team: e.Team, Key: e.Key, Weight: e.Weight,
		Method: e.Method, Target: e.Target, Header: e.Header, Body: body,
		Idempotent: e.Idempotent, NoQueue: e.NoQueue,
		Deadline: now.Add(time.Duration(e.RemainingMicros) * time.Microsecond),
	}
}

func envelopeOf(from, to vm.ID, req *request.Request, now time.Time, relayed bool) *requestEnvelope {
	return &requestEnvelope{
		From: from, To: to, SentMillis: now.UnixMilli(),
		RemainingMicros: req.Deadline.Sub(now).Microseconds(),
		ID:              req.ID, Route: req.Route, Service: req.Service, Server: req.Server,
		Team: req.Team, Key: req.Key, Weight: req.Weight,
		Method: req.Method, Target: req.Target, Header: req.Header,
		Idempotent: req.Idempotent, NoQueue: req.NoQueue, Relayed: relayed,
	}
}

func (e *resultEnvelope) result(body []byte) request.Result {
	return request.Result{
		Outcome: e.Outcome, Reason: e.Reason, Status: e.Status, Header: e.Header, Body: body,
		RetryAfter:   time.Duration(e.RetryAfterMicros) * time.Microsecond,
		ServiceState: e.ServiceState,
	}
}

func envelopeOfResult(r *request.Result) *resultEnvelope {
	return &resultEnvelope{
		Outcome: r.Outcome, Reason: r.Reason, Status: r.Status, Header: r.Header,
		RetryAfterMicros: r.RetryAfter.Microseconds(), ServiceState: r.ServiceState,
	}
}

package forward

import (
	"crypto/hmac"
	"encoding/binary"
	"encoding/json"
	"io"
	"time"

	"almondstile/contract"
	"almondstile/link"
	"almondstile/memory"
	"almondstile/request"
	"almondstile/vm"

	"github.com/cockroachdb/errors"
)

// ErrInvalidMessage means that a message is malformed or fails authentication.
var ErrInvalidMessage = errors.New("forward: the message is malformed or not authentic")

const (
	forwardPath = "/forward"

	// maxMessageAge bounds the age of a message, measured from the sender's wall
	// clock, so that a recorded message cannot be replayed later. VM clocks
	// differ by much less.
	maxMessageAge = 30 * time.Second

	macBytes    = 32 // HMAC-SHA256
	lengthBytes = 4
)

// requestEnvelope is a forwarded request without its body. SentMillis is a time of
// the sender's wall clock; RemainingMicros is the time until the request's
// deadline.
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
	// Relayed is true if a relay sent the message. The receiver does not relay
	// it again.
	Relayed bool `json:"relayed,omitempty"`
}

// resultEnvelope is the result of a forwarded request without its body.
type resultEnvelope struct {
	Outcome          request.Outcome       `json:"outcome"`
	Reason           request.Reason        `json:"reason,omitempty"`
	Status           int                   `json:"status,omitempty"`
	Header           []request.HeaderField `json:"header,omitempty"`
	RetryAfterMicros int64                 `json:"retry_after_us,omitempty"`
	ServiceState     []byte                `json:"service_state,omitempty"`
}

// sealHead encodes what stands before the body of a message: MAC (32 bytes), length of the
// envelope (4 bytes, big-endian), envelope (JSON). The body follows unchanged, so that it is
// not copied. The MAC covers macContext, the envelope and the body. In a request, macContext
// is the kind of the message: nil for a forwarded request, exchangeMACContext for an
// exchange. In a reply, it is the MAC of the request, so that the reply is valid only for
// this request.
func sealHead(secret link.Secret, macContext []byte, envelope any, body *memory.Body) ([]byte, error) {
	encoded, err := json.Marshal(envelope)
	if err != nil {
		return nil, errors.Wrap(err, "encoding the message envelope")
	}
	mac, err := secret.MACOfStream(body.NewReader(), body.Len(), macContext, encoded)
	if err != nil {
		return nil, errors.Wrap(err, "authenticating the message")
	}
	head := make([]byte, 0, macBytes+lengthBytes+len(encoded))
	head = append(head, mac...)
	head = binary.BigEndian.AppendUint32(head, uint32(len(encoded)))
	return append(head, encoded...), nil
}

// open authenticates and decodes a message. The returned body is a slice of message. Errors
// are marked with ErrInvalidMessage.
func open(secret link.Secret, macContext, message []byte, envelope any) (body []byte, err error) {
	if len(message) < macBytes+lengthBytes {
		return nil, errors.Wrap(ErrInvalidMessage, "the message is shorter than its MAC and length field")
	}
	mac, rest := message[:macBytes], message[macBytes:]
	size := int64(binary.BigEndian.Uint32(rest))
	rest = rest[lengthBytes:]
	if size > int64(len(rest)) {
		return nil, errors.Wrap(ErrInvalidMessage, "the envelope length exceeds the message")
	}
	encoded, body := rest[:size], rest[size:]
	if !secret.Verify(mac, macContext, encoded, body) {
		return nil, errors.Wrap(ErrInvalidMessage, "the MAC does not match")
	}
	if err := json.Unmarshal(encoded, envelope); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decoding the message envelope"), ErrInvalidMessage)
	}
	return body, nil
}

// skip authenticates a message of the given size like open, and decodes its envelope, but
// does not hold its body.
func skip(secret link.Secret, macContext []byte, message io.Reader, size, maxEnvelopeBytes int, envelope any) (mac []byte, err error) {
	var head [macBytes + lengthBytes]byte
	if _, err := io.ReadFull(message, head[:]); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "reading the MAC"), ErrInvalidMessage)
	}
	encodedSize := int64(binary.BigEndian.Uint32(head[macBytes:]))
	if encodedSize > int64(min(size-len(head), maxEnvelopeBytes)) {
		return nil, errors.Wrap(ErrInvalidMessage, "the envelope length exceeds the message or its limit")
	}
	encoded := make([]byte, encodedSize)
	if _, err := io.ReadFull(message, encoded); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "reading the envelope"), ErrInvalidMessage)
	}
	mac, err = secret.MACOfStream(message, size-len(head)-len(encoded), macContext, encoded)
	switch {
	case err != nil:
		return nil, errors.Mark(errors.Wrap(err, "reading the body"), ErrInvalidMessage)
	case !hmac.Equal(mac, head[:macBytes]):
		return nil, errors.Wrap(ErrInvalidMessage, "the MAC does not match")
	}
	if err := json.Unmarshal(encoded, envelope); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decoding the message envelope"), ErrInvalidMessage)
	}
	return mac, nil
}

// acceptableAge reports whether the sent time is less than maxMessageAge before
// or after now.
func acceptableAge(sentMillis int64, now time.Time) bool {
	age := now.Sub(time.UnixMilli(sentMillis))
	return age < maxMessageAge && age > -maxMessageAge
}

func (e *requestEnvelope) sender() (vm.ID, int64) { return e.From, e.SentMillis }

// toRequest returns the request with a deadline on this VM's clock.
func (e *requestEnvelope) toRequest(now time.Time, body []byte) *request.Request {
	return &request.Request{
		ID: e.ID, Route: e.Route, Service: e.Service, Server: e.Server,
		Team: e.Team, Key: e.Key, Weight: e.Weight,
		Method: e.Method, Target: e.Target, Header: e.Header, Body: memory.BodyOf(body),
		Idempotent: e.Idempotent, NoQueue: e.NoQueue,
		Deadline: now.Add(time.Duration(e.RemainingMicros) * time.Microsecond),
	}
}

func newRequestEnvelope(from, to vm.ID, req *request.Request, now time.Time, relayed bool) *requestEnvelope {
	return &requestEnvelope{
		From: from, To: to, SentMillis: now.UnixMilli(),
		RemainingMicros: req.Deadline.Sub(now).Microseconds(),
		ID:              req.ID, Route: req.Route, Service: req.Service, Server: req.Server,
		Team: req.Team, Key: req.Key, Weight: req.Weight,
		Method: req.Method, Target: req.Target, Header: req.Header,
		Idempotent: req.Idempotent, NoQueue: req.NoQueue, Relayed: relayed,
	}
}

func (e *resultEnvelope) toResult(body []byte) request.Result {
	return request.Result{
		Outcome: e.Outcome, Reason: e.Reason, Status: e.Status, Header: e.Header, Body: body,
		RetryAfter:   time.Duration(e.RetryAfterMicros) * time.Microsecond,
		ServiceState: e.ServiceState,
	}
}

func newResultEnvelope(r *request.Result) *resultEnvelope {
	return &resultEnvelope{
		Outcome: r.Outcome, Reason: r.Reason, Status: r.Status, Header: r.Header,
		RetryAfterMicros: r.RetryAfter.Microseconds(), ServiceState: r.ServiceState,
	}
}

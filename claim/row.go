package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"strings"
	"time"

	"almondstile/contract"
	"almondstile/memory"
	"almondstile/request"

	"github.com/cockroachdb/errors"
)

const (
	// keyPrefix is the key prefix of all claim rows.
	keyPrefix = "claim/"
	// MaxReplayBytes is the largest response body that is recorded, in bytes. It
	// keeps a row well below the item size limit of table services.
	MaxReplayBytes = 32 << 10
	// maxReplayHeaderBytes is the largest total size of the recorded header
	// fields, in bytes, for the same reason.
	maxReplayHeaderBytes = 8 << 10
)

// state is the state of a claim row. The package documentation lists what a later
// request with the same key gets in each state.
type state string

const (
	stateOpen     state = "open"
	stateUnknown  state = "unknown"
	stateDone     state = "done"
	stateReleased state = "released"
)

// row is the value of a claim row, stored as JSON.
type row struct {
	// Owner is the ID of the request that holds the claim.
	Owner string `json:"owner"`
	// Fingerprint is a hash of the owner's method, target and body.
	Fingerprint string `json:"fingerprint"`
	State       state  `json:"state"`
	// CreatedMillis is the creation time of the claim by the wall clock of the
	// VM that wrote it, in Unix milliseconds.
	CreatedMillis int64 `json:"created_ms"`
	// OpenUntilMillis is the deadline of the owner, in Unix milliseconds. It only
	// decides whether a repeated request gets "in progress" or "outcome unknown"
	// while the claim is open.
	OpenUntilMillis int64     `json:"open_until_ms"`
	Response        *response `json:"response,omitempty"`
}

// response is the recorded part of a response.
type response struct {
	Status int                   `json:"status"`
	Header []request.HeaderField `json:"header,omitempty"`
	Body   []byte                `json:"body,omitempty"`
	// TooLarge says that the header fields or the body were too large to be
	// recorded. Only the status is recorded then.
	TooLarge bool `json:"too_large,omitempty"`
}

// rowKey returns the key of the claim row. The idempotency key is hashed because
// callers choose its content and length freely.
func rowKey(team contract.TeamID, idempotencyKey string) string {
	sum := sha256.Sum256([]byte(idempotencyKey))
	return keyPrefix + string(team) + "/" + hex.EncodeToString(sum[:])
}

// fingerprint returns a hash of the request's method, target and body. It detects
// that an idempotency key is reused for a different request.
func fingerprint(r *request.Request) string {
	h := sha256.New()
	for _, part := range []*memory.Body{memory.BodyOf([]byte(r.Method)), memory.BodyOf([]byte(r.Target)), r.Body} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(part.Len()))
		h.Write(size[:])
		_, _ = part.WriteTo(h) // a hash returns no error
	}
	return hex.EncodeToString(h.Sum(nil))
}

func (r row) encode() []byte {
	raw, err := json.Marshal(r)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encoding a claim row"))
	}
	return raw
}

func decodeRow(raw []byte) (row, error) {
	var r row
	err := json.Unmarshal(raw, &r)
	return r, errors.Wrap(err, "decoding a claim row")
}

// resultForRepeat returns the result of a later request that has the key of this
// row and the given fingerprint. The row must belong to another request and must
// not be released.
func (r row) resultForRepeat(now time.Time, fingerprint string) request.Result {
	switch {
	case r.Fingerprint != fingerprint:
		return request.Rejected(request.ReasonIdempotencyKeyReused)
	case r.State == stateDone && r.Response != nil:
		return r.Response.replay()
	case r.State == stateOpen && now.UnixMilli() < r.OpenUntilMillis:
		result := request.UnknownResult(request.ReasonInProgress)
		result.RetryAfter = time.Duration(r.OpenUntilMillis-now.UnixMilli()) * time.Millisecond
		return result
	default:
		return request.UnknownResult(request.ReasonDuplicate)
	}
}

// replay returns the recorded response as the result of a repeated request. If the
// response was too large to be recorded, the outcome is unknown.
func (r *response) replay() request.Result {
	if r.TooLarge {
		result := request.UnknownResult(request.ReasonResponseTooLarge)
		result.Status = r.Status
		return result
	}
	return request.Result{Outcome: request.Answered, Status: r.Status, Header: r.Header, Body: r.Body}
}

// replayedFields holds the lower-case names of the header fields that are
// recorded. Cookies and fields about the connection or the time of the response
// are left out, because they apply only to the first caller's exchange.
var replayedFields = map[string]bool{
	"cache-control": true, "content-disposition": true, "content-encoding": true,
	"content-language": true, "content-type": true, "etag": true,
	"last-modified": true, "link": true, "location": true, "vary": true,
}

// recordResponse returns the part of a result with a response that is recorded for
// replay.
func recordResponse(result request.Result) *response {
	out := &response{Status: result.Status}
	size := 0
	for _, field := range result.Header {
		if replayedFields[strings.ToLower(field.Name)] {
			out.Header = append(out.Header, field)
			size += len(field.Name) + len(field.Value)
		}
	}
	if len(result.Body) > MaxReplayBytes || size > maxReplayHeaderBytes {
		return &response{Status: result.Status, TooLarge: true}
	}
	out.Body = result.Body
	return out
}

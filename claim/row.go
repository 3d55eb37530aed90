package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"strings"
	"time"

	"almondstile/contract"
	"almondstile/request"

	"github.com/cockroachdb/errors"
)

const (
	keyPrefix = "claim/"
	// MaxReplayBytes is the largest response body that is recorded. It keeps a
	// row well below the item size limit of table services.
	MaxReplayBytes = 32 << 10
	// maxReplayHeaderBytes bounds the recorded header fields in the same way.
	maxReplayHeaderBytes = 8 << 10
)

type state string

const (
	stateOpen     state = "open"
	stateUnknown  state = "unknown"
	stateDone     state = "done"
	stateReleased state = "released"
)

// row is the value of a claim's row.
type row struct {
	// Owner is the ID of the request that wrote the claim.
	Owner       string `json:"owner"`
	Fingerprint string `json:"fingerprint"`
	State       state  `json:"state"`
	// CreatedMillis is the time of the claim on the owner's wall clock.
	CreatedMillis int64 `json:"created_ms"`
	// OpenUntilMillis is the deadline of the owner's request. It only decides
	// whether a repeated request hears "in progress" or "outcome unknown".
	OpenUntilMillis int64     `json:"open_until_ms"`
	Response        *response `json:"response,omitempty"`
}

// response is a recorded response.
type response struct {
	Status int                   `json:"status"`
	Header []request.HeaderField `json:"header,omitempty"`
	Body   []byte                `json:"body,omitempty"`
	// TooLarge says that header and body were too large to be recorded.
	TooLarge bool `json:"too_large,omitempty"`
}

// rowKey names the row. The key is hashed because callers choose its bytes.
func rowKey(team contract.TeamID, idempotencyKey string) string {
	sum := sha256.Sum256([]byte(idempotencyKey))
	return keyPrefix + string(team) + "/" + hex.EncodeToString(sum[:])
}

// fingerprint tells different requests with the same key apart.
func fingerprint(r *request.Request) string {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(r.Method), []byte(r.Target), r.Body} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write(part)
	}
	return hex.EncodeToString(h.Sum(nil))
}

func (r row) encode() []byte {
	raw, err := json.Marshal(r)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encoding a claim"))
	}
	return raw
}

func decodeRow(raw []byte) (row, error) {
	var r row
	err := json.Unmarshal(raw, &r)
	return r, errors.Wrap(err, "decoding a claim")
}

// answer returns what a request with the key of this row gets. The row belongs
// to another request and is not released.
func (r row) answer(now time.Time, fingerprint string) request.Result {
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

func (r *response) replay() request.Result {
	if r.TooLarge {
		result := request.UnknownResult(request.ReasonResponseTooLarge)
		result.Status = r.Status
		return result
	}
	return request.Result{Outcome: request.Answered, Status: r.Status, Header: r.Header, Body: r.Body}
}

// replayedFields are the header fields that are recorded. Cookies and fields
// about the connection or the moment belong to the first caller's exchange.
var replayedFields = map[string]bool{
	"cache-control": true, "content-disposition": true, "content-encoding": true,
	"content-language": true, "content-type": true, "etag": true,
	"last-modified": true, "link": true, "location": true, "vary": true,
}

// recordResponse returns what is kept of an answered result.
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

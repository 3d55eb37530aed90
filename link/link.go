package link

import (
	"context"
	"encoding/json"

	"almondstile/vm"

	"github.com/cockroachdb/errors"
)

// Errors of calls over a link. All control messages are safe to repeat.
var (
	// ErrUnreachable says that the peer did not get the message.
	ErrUnreachable = errors.New("link: the peer cannot be reached")
	// ErrNoReply says that the peer may have acted on the message.
	ErrNoReply = errors.New("link: no reply from the peer")
	// ErrRejected says that the peer's handler returned an error.
	ErrRejected = errors.New("link: the peer rejected the call")
)

// Caller sends control messages to other VMs, or to this VM itself without a
// network. The context's deadline bounds the call.
type Caller interface {
	// Call sends params as JSON and decodes the reply into result.
	Call(ctx context.Context, to vm.VM, method string, params, result any) error
}

// Handler serves one method. from is the authenticated ID of the calling VM.
type Handler func(ctx context.Context, from vm.ID, params json.RawMessage) (result any, err error)

// Handle decodes the parameters of a typed handler.
func Handle[P, R any](fn func(ctx context.Context, from vm.ID, params P) (R, error)) Handler {
	return func(ctx context.Context, from vm.ID, raw json.RawMessage) (any, error) {
		var params P
		if err := json.Unmarshal(raw, &params); err != nil {
			return nil, errors.Wrap(err, "decoding parameters")
		}
		return fn(ctx, from, params)
	}
}

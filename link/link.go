package link

import (
	"context"
	"encoding/json"

	"almondstile/vm"

	"github.com/cockroachdb/errors"
)

// Errors of calls over a link, to be tested with errors.Is. All control messages
// may be retried safely.
var (
	// ErrUnreachable means that the peer did not receive the message.
	ErrUnreachable = errors.New("link: the peer cannot be reached")
	// ErrNoReply means that no reply arrived. The peer may have processed the
	// message.
	ErrNoReply = errors.New("link: no reply from the peer")
	// ErrRejected means that the peer replied with an error.
	ErrRejected = errors.New("link: the peer rejected the call")
)

// Caller calls methods of other VMs by control messages. Calls to this VM itself
// use no network. The context's deadline limits the call.
type Caller interface {
	// Call sends params as JSON and decodes the JSON reply into result.
	Call(ctx context.Context, to vm.VM, method string, params, result any) error
}

// Handler serves calls of one method. from is the authenticated ID of the VM that
// sent the call. result is sent back as JSON.
type Handler func(ctx context.Context, from vm.ID, params json.RawMessage) (result any, err error)

// Handle returns a Handler that decodes the JSON parameters into P and calls fn.
func Handle[P, R any](fn func(ctx context.Context, from vm.ID, params P) (R, error)) Handler {
	return func(ctx context.Context, from vm.ID, raw json.RawMessage) (any, error) {
		var params P
		if err := json.Unmarshal(raw, &params); err != nil {
			return nil, errors.Wrap(err, "decoding parameters")
		}
		return fn(ctx, from, params)
	}
}

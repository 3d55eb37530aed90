package load

import (
	"context"
	"net"
	"slices"
	"time"

	"almondstile/shard"
	"almondstile/vm"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// ErrNoVM is the error of a call for which the balancer has no VM in rotation.
var ErrNoVM = errors.New("load: no VM accepts calls")

const (
	dialTimeout = time.Second
	// idleTimeout is shorter than the idle timeout of the VMs' listeners, so that
	// no call is sent on a connection that the VM is about to close.
	idleTimeout      = 3 * time.Second
	connectionsPerVM = 512
)

// Balancer simulates the load balancer between the callers and the VMs. It sends
// calls only to VMs in rotation. If it cannot connect to a VM, it tries another one,
// which is safe because nothing was sent. It does not retry after other errors.
type Balancer struct {
	ids     []vm.ID
	targets shard.Map[vm.ID, *vmTarget]
}

// vmTarget is the connection pool to a VM and whether the VM is out of rotation.
type vmTarget struct {
	client        *fasthttp.HostClient
	outOfRotation bool
}

// dialError wraps an error of connecting to a VM. No byte of the request was sent.
type dialError struct{ cause error }

func (e *dialError) Error() string { return "dial: " + e.cause.Error() }
func (e *dialError) Unwrap() error { return e.cause }

// NewBalancer returns a balancer with all VMs in rotation. addresses holds the
// address on which each VM accepts calls.
func NewBalancer(addresses map[vm.ID]string) *Balancer {
	b := &Balancer{}
	for id, address := range addresses {
		b.ids = append(b.ids, id)
		b.targets.Store(id, &vmTarget{client: newClient(address)})
	}
	slices.Sort(b.ids)
	return b
}

func newClient(address string) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                     address,
		MaxConns:                 connectionsPerVM,
		MaxIdleConnDuration:      idleTimeout,
		NoDefaultUserAgentHeader: true,
		// The HTTP client must not retry: a second execution caused by its retry
		// would be counted as a duplicate execution by the fleet.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial: func(address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
			defer cancel()
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			if err != nil {
				return nil, &dialError{err}
			}
			return conn, nil
		},
	}
}

// SetOut takes a VM out of rotation if out is true and puts it back otherwise.
func (b *Balancer) SetOut(id vm.ID, out bool) {
	b.targets.DoExisting(id, func(t *vmTarget) { t.outOfRotation = out })
}

// VMs returns the IDs of all VMs in ascending order.
func (b *Balancer) VMs() []vm.ID { return b.ids }

// candidates returns the VMs in rotation, ordered by ID and rotated so that the
// list starts at position pick modulo its length.
func (b *Balancer) candidates(pick uint64) []vm.ID {
	var inRotation []vm.ID
	for _, id := range b.ids {
		b.targets.DoExisting(id, func(t *vmTarget) {
			if !t.outOfRotation {
				inRotation = append(inRotation, id)
			}
		})
	}
	if len(inRotation) == 0 {
		return nil
	}
	first := int(pick % uint64(len(inRotation)))
	return append(inRotation[first:], inRotation[:first]...)
}

// maxVMsPerCall limits the VMs that are tried for one attempt.
const maxVMsPerCall = 3

// send sends a request to the first candidate that accepts a connection and returns
// that VM, also if the request fails there. If no candidate accepts one, it returns
// the last dialError, or ErrNoVM if there is no candidate.
func (b *Balancer) send(pick uint64, req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) (vm.ID, error) {
	candidates := b.candidates(pick)
	if len(candidates) > maxVMsPerCall {
		candidates = candidates[:maxVMsPerCall]
	}
	lastErr := error(ErrNoVM)
	for _, id := range candidates {
		t, ok := b.targets.Load(id)
		if !ok {
			continue
		}
		err := t.client.DoDeadline(req, resp, deadline)
		var dialErr *dialError
		if !errors.As(err, &dialErr) {
			return id, err
		}
		lastErr = err
	}
	return "", lastErr
}

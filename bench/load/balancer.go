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

// ErrNoVM says that the balancer has no VM to send a call to.
var ErrNoVM = errors.New("load: no VM accepts calls")

const (
	dialTimeout = time.Second
	// idleTimeout is below that of the VMs' listeners, so that a call is not
	// sent on a connection that the VM is about to close.
	idleTimeout      = 3 * time.Second
	connectionsPerVM = 512
)

// Balancer stands for the callers' load balancer: it knows the VMs' addresses
// for callers, passes a VM over that is out of rotation, and tries another VM
// if a connection is refused, because then nothing was sent.
type Balancer struct {
	ids     []vm.ID
	targets shard.Map[vm.ID, *target]
}

type target struct {
	client *fasthttp.HostClient
	out    bool
}

// dialError marks an error before any byte of the request was sent.
type dialError struct{ cause error }

func (e *dialError) Error() string { return "dial: " + e.cause.Error() }
func (e *dialError) Unwrap() error { return e.cause }

// NewBalancer returns a balancer with all VMs in rotation.
func NewBalancer(addresses map[vm.ID]string) *Balancer {
	b := &Balancer{}
	for id, address := range addresses {
		b.ids = append(b.ids, id)
		b.targets.Store(id, &target{client: newClient(address)})
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
		// A repeat by the client would look like a duplicate by the fleet.
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

// SetOut takes a VM out of rotation or brings it back.
func (b *Balancer) SetOut(id vm.ID, out bool) {
	b.targets.DoExisting(id, func(t *target) { t.out = out })
}

// VMs returns the IDs of all VMs.
func (b *Balancer) VMs() []vm.ID { return b.ids }

// candidates returns the VMs in rotation, starting with the one that pick
// selects.
func (b *Balancer) candidates(pick uint64) []vm.ID {
	var in []vm.ID
	for _, id := range b.ids {
		b.targets.DoExisting(id, func(t *target) {
			if !t.out {
				in = append(in, id)
			}
		})
	}
	if len(in) == 0 {
		return nil
	}
	first := int(pick % uint64(len(in)))
	return append(in[first:], in[:first]...)
}

// maxVMsTried bounds the VMs that one call is offered to.
const maxVMsTried = 3

// send sends a request to the first VM that accepts the connection and returns
// that VM.
func (b *Balancer) send(pick uint64, req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) (vm.ID, error) {
	candidates := b.candidates(pick)
	if len(candidates) > maxVMsTried {
		candidates = candidates[:maxVMsTried]
	}
	last := error(ErrNoVM)
	for _, id := range candidates {
		t, ok := b.targets.Load(id)
		if !ok {
			continue
		}
		err := t.client.DoDeadline(req, resp, deadline)
		var dial *dialError
		if !errors.As(err, &dial) {
			return id, err
		}
		last = err
	}
	return "", last
}

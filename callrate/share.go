package callrate

import (
	"context"
	"math"
	"sync"
	"time"

	"almondstile/wait"

	"github.com/cockroachdb/errors"
)

// ErrNoShare is returned for a call for which the VM's share leaves no room before the
// call's deadline. The call was not made.
var ErrNoShare = errors.New("callrate: the VM's share of the calls to the store is used up")

// Kind is a kind of call, each with a limit of its own.
type Kind int

// The kinds of calls.
const (
	Read Kind = iota
	Write
	kindCount
)

const (
	// fleetPart is the part of the limits that the VMs divide among themselves. The rest
	// is for bursts.
	fleetPart = 0.5
	// maxReadsPerSecond and maxWritesPerSecond bound the share of a VM that does not know
	// the others yet, or of a fleet whose limits are not stated.
	maxReadsPerSecond  = 25.0
	maxWritesPerSecond = 5.0
	// minPerSecond is the least share.
	minPerSecond = 0.5
)

// Limits are the calls per second that the store grants all VMs together. A limit of 0 is
// not known.
type Limits struct {
	ReadsPerSecond, WritesPerSecond float64
}

// Share limits the calls of one VM. It is safe for concurrent use.
type Share struct {
	limits    Limits
	fleetSize func() int
	clock     func() time.Duration
	kinds     [kindCount]kindBucket
}

// kindBucket is the bucket of one kind of call with its lock.
type kindBucket struct {
	mu sync.Mutex
	bucket
}

// NewShare returns a full share. fleetSize returns the number of known VMs, this one
// included, and clock the local time.
func NewShare(limits Limits, fleetSize func() int, clock func() time.Duration) *Share {
	return &Share{limits: limits, fleetSize: fleetSize, clock: clock}
}

// perSecond returns the VM's share of the calls of a kind.
func (s *Share) perSecond(k Kind) float64 {
	limit, most := s.limits.ReadsPerSecond, maxReadsPerSecond
	if k == Write {
		limit, most = s.limits.WritesPerSecond, maxWritesPerSecond
	}
	if limit <= 0 {
		return most
	}
	return min(most, max(minPerSecond, fleetPart*limit/float64(max(s.fleetSize(), 1))))
}

// Wait blocks until a call may be made. It returns ErrNoShare, without waiting, if that
// is after the deadline of the context, and the error of the context if it ends first.
func (s *Share) Wait(ctx context.Context, k Kind) error {
	maxDelay := time.Duration(math.MaxInt64)
	if deadline, ok := ctx.Deadline(); ok {
		maxDelay = time.Until(deadline)
	}
	b := &s.kinds[k]
	b.mu.Lock()
	delay, ok := b.reserve(s.clock(), s.perSecond(k), maxDelay)
	b.mu.Unlock()
	if !ok {
		return ErrNoShare
	}
	if delay > 0 && !wait.For(ctx, delay) {
		return errors.Wrap(ctx.Err(), "waiting for the VM's share of the calls to the store")
	}
	return nil
}

// RecordOverload records that the store rejected a call because of the rate of calls.
func (s *Share) RecordOverload(k Kind) {
	b := &s.kinds[k]
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reduce(s.clock(), s.perSecond(k))
}

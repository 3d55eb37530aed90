package configstore

import (
	"context"
	"math/rand/v2"
	"time"

	"almondstile/contract"

	"github.com/cockroachdb/errors"
)

const (
	// wholeReadSpacing is the range of the random delay before a VM reads the store's
	// whole history, for each VM of the fleet. All VMs find another history within one
	// poll. Each reads up to maxDeltasBeforeSnapshot rows, so that a fleet of any size
	// reads about 1,100 a second. Meanwhile most VMs load the configuration from a peer.
	wholeReadSpacing = 35 * time.Millisecond
	// wholeReadPause is the time between two reads of rows of the whole history.
	wholeReadPause = 100 * time.Millisecond
	// wholeReadInterval is the least time between two reads of the whole history, if the
	// first one gives no configuration.
	wholeReadInterval = 10 * time.Second
)

// wholeRead is a read of the store's whole history that a VM with a configuration of
// another history has to do.
type wholeRead struct {
	inForce uint64 // the version of the configuration that the history does not contain
	at      time.Time
}

// newerConfiguration returns the configuration of a head that is newer than the one in
// force, and the deltas to it if it continues the one in force. If it does not, the
// VM reads the whole history after a random delay. Until then the configuration is nil.
func (f *Follower) newerConfiguration(ctx context.Context, current *view, h head) (*contract.Configuration, []contract.Delta, error) {
	inForce := current.index.Configuration()
	due := f.whole.Load()
	if due == nil || due.inForce != inForce.Version {
		c, deltas, err := f.continued(ctx, inForce, h)
		if inForce.Version == 0 || !errors.Is(err, ErrInconsistent) {
			return c, deltas, err
		}
		f.logOtherHistory(err, inForce, h)
		due = f.scheduleWholeRead(inForce.Version, 0)
	}
	if time.Now().Before(due.at) {
		return nil, nil, nil
	}
	f.scheduleWholeRead(inForce.Version, wholeReadInterval) // in case that this one fails
	c, err := f.wholeConfiguration(ctx, h, f.wholeReadPause)
	if err == nil {
		f.whole.Store(nil)
	}
	return c, nil, err
}

// scheduleWholeRead sets the time of the next read of the whole history: a random delay
// after the least one.
func (f *Follower) scheduleWholeRead(inForce uint64, least time.Duration) *wholeRead {
	spread := f.wholeReadSpacing * time.Duration(len(f.peers.Peers())+1)
	next := &wholeRead{inForce: inForce, at: time.Now().Add(least + rand.N(spread+1))}
	f.whole.Store(next)
	return next
}

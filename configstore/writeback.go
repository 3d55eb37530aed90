package configstore

import (
	"context"
	"math/rand/v2"
	"time"

	"almondstile/store"

	"github.com/cockroachdb/errors"
)

// writeBackSpread is the range of the random delay after which a VM writes lost
// versions back. All VMs notice the loss within one poll, and one of them suffices.
const writeBackSpread = 2 * time.Second

// checkDigestInForce logs once if the store's configuration of the version in force is
// another one. The one in force stays: versions only rise, so a change by an operator,
// which creates the next version, replaces both.
func (f *Follower) checkDigestInForce(inForce *view, h head) error {
	digest, err := inForce.digest()
	if err == nil && !sameDigest(digest, h.Digest) && f.loggedMismatch.Swap(h.Version) != h.Version {
		f.log.WithField("version", h.Version).Error("The store has another configuration of the version in force; make a change to replace both.")
	}
	return err
}

// writeBackWhenDue handles a head below the version in force. The first poll that
// reads such a head chooses a random time, and the first poll after it writes the lost
// versions back.
func (f *Follower) writeBackWhenDue(ctx context.Context, inForce *view, h head) error {
	now := time.Now()
	f.recordGap(h, now)
	at := f.writeBackAt.Load()
	if at == nil {
		f.log.WithField("head", h.Version).WithField("in_force", inForce.index.Version()).
			Warn("The store has lost versions of the configuration; the one in force stays.")
		due := now.Add(rand.N(f.writeBackSpread))
		f.writeBackAt.Store(&due)
		return nil
	}
	if now.Before(*at) {
		return nil
	}
	f.writeBackAt.Store(nil) // after a failure, the next poll starts a new delay
	return f.writeBack(ctx, inForce, h)
}

// writeBack writes the versions that the store has lost, so that operators can go
// on from the version in force. It writes nothing if the store's head is not part of
// the history in force, or if this VM does not have all lost versions.
func (f *Follower) writeBack(ctx context.Context, inForce *view, h head) error {
	lost, ok := inForce.deltasAfter(h)
	if !ok {
		f.log.WithField("head", h.Version).WithField("in_force", inForce.index.Version()).
			Error("The store has lost versions of the configuration that this VM cannot write back.")
		return nil
	}
	for _, delta := range lost {
		next := head{Version: delta.Version, Snapshots: h.Snapshots, Digest: delta.Digest, Settled: h.Settled}
		writes, err := versionWrites(h, next, delta)
		if err == nil {
			err = f.transact(ctx, writes...)
		}
		if errors.Is(err, store.ErrConditionFailed) {
			return nil // another VM writes them back
		}
		if err != nil {
			return markUnavailable(err, "writing a lost version back")
		}
		f.log.WithField("version", delta.Version).Info("A version that the store had lost is written back.")
		// The condition of the next write needs the new version of the head row. If the
		// head has another version by now, the next poll handles it.
		if h, err = f.head(ctx); err != nil || h.Version != delta.Version {
			return err
		}
	}
	return nil
}

package configstore

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"almondstile/contract"
	"almondstile/store"

	"github.com/cockroachdb/errors"
)

// writeBackSpread is the range of the random delay after which a VM writes lost
// versions back. All VMs notice the loss within one poll, and one of them suffices.
const writeBackSpread = 2 * time.Second

// handleHeadInForce handles a head that is not newer than the version in force.
func (f *Follower) handleHeadInForce(ctx context.Context, current *view, h head) error {
	f.whole.Store(nil)
	if h.Version == current.index.Version() {
		f.writeBackAt.Store(nil)
		f.gap.Store(nil)
		digest, err := current.digest()
		if err == nil && !sameDigest(digest, h.Digest) && f.loggedMismatch.Swap(h.Version) != h.Version {
			f.log.WithField("version", h.Version).Error("The store has another configuration of the version in force; make a change to replace both.")
		}
		return err
	}
	now := time.Now()
	f.recordGap(h, now)
	at := f.writeBackAt.Load()
	if at == nil {
		f.log.WithField("head", h.Version).WithField("in_force", current.index.Version()).
			Warn("The store has lost versions of the configuration; the one in force stays.")
		due := now.Add(rand.N(f.writeBackSpread))
		f.writeBackAt.Store(&due)
		return nil
	}
	if now.Before(*at) {
		return nil
	}
	f.writeBackAt.Store(nil) // after a failure, the next poll starts a new delay
	return f.writeBack(ctx, current, h)
}

// writeBack writes the versions that the store has lost, so that operators can go
// on from the version in force. It writes nothing if the store's head is not part of
// the history in force, or if this VM does not have all lost versions.
func (f *Follower) writeBack(ctx context.Context, current *view, h head) error {
	lost, ok := current.deltasAfter(h)
	if !ok {
		f.log.WithField("head", h.Version).WithField("in_force", current.index.Version()).
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
		if h, err = f.head(ctx); err != nil || h.Version != delta.Version {
			return err
		}
	}
	return nil
}

// keepWithdrawals returns the next configuration with the keys withdrawn that are
// withdrawn in the one in force. They differ only if the store has lost the
// withdrawal and its versions were given out again.
func (f *Follower) keepWithdrawals(inForce, next *contract.Configuration) *contract.Configuration {
	withdrawn := make(map[contract.KeyID]string)
	for _, k := range inForce.Keys {
		if k.Withdrawn {
			withdrawn[k.ID] = k.SecretHash
		}
	}
	var keys []contract.Key // a copy of next.Keys once one of them differs
	for i, k := range next.Keys {
		if hash, ok := withdrawn[k.ID]; !ok || k.Withdrawn || hash != k.SecretHash {
			continue
		}
		if keys == nil {
			keys = slices.Clone(next.Keys)
		}
		keys[i].Withdrawn = true
		f.log.WithField("key", k.ID).Error("The store has lost the withdrawal of a key; it stays withdrawn here. Withdraw it again.")
	}
	if keys == nil {
		return next
	}
	kept := *next
	kept.Keys = keys
	return &kept
}

// deltasAfter returns the deltas from the head's version to the version in force. ok
// is false if some of them are not kept, or if the view does not know the digest of
// the head's version, or knows another one.
func (v *view) deltasAfter(h head) (lost []contract.Delta, ok bool) {
	known := v.baseDigest
	for i, d := range v.deltas {
		if d.Version == h.Version+1 {
			return v.deltas[i:], known != "" && known == h.digest()
		}
		known = d.Digest
	}
	return nil, false
}

// digest returns the digest of the head's version. A missing head row stands for
// the empty configuration.
func (h head) digest() string {
	if h.Version > 0 {
		return h.Digest
	}
	digest, err := contract.Digest(&contract.Configuration{})
	if err != nil {
		return ""
	}
	return digest
}

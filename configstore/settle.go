package configstore

import (
	"context"
	"fmt"
	"time"

	"almondstile/contract"
	"almondstile/vm"

	"github.com/cockroachdb/errors"
)

// gapWait is the time after which an operator may settle versions that the store has
// lost. A VM that has all of them writes them back within writeBackSpread and two
// polls, even if one of its calls fails.
const gapWait = 10 * time.Second

// errVersionsLost says that the head's version is lower than one in force. It is
// always marked as ErrInconsistent.
var errVersionsLost = errors.New("configstore: the store has lost versions that are in force")

// versionsLost returns an errVersionsLost with the two versions.
func versionsLost(inForce, stored uint64) error {
	return errors.Mark(errors.Wrapf(errVersionsLost, "version %d is in force, the store has version %d", inForce, stored), ErrInconsistent)
}

// gap is a head, seen by this VM, that is lower than the version in force.
type gap struct {
	version uint64
	digest  string
	since   time.Time
}

// recordGap records that the head is lower than the version in force. The time
// stays that of the first read with the same head.
func (f *Follower) recordGap(h head, now time.Time) {
	if g := f.gap.Load(); g == nil || g.version != h.Version || g.digest != h.Digest {
		f.gap.Store(&gap{version: h.Version, digest: h.Digest, since: now})
	}
}

// gapBase returns the configuration in force if an operator's plan on it may settle
// the versions that the store has lost after the head. ok is false if a VM may still
// write them back, or if another VM from which a message came in the last five minutes
// (silentPeerRetention) has a newer version in force.
func (f *Follower) gapBase(h head, now time.Time) (c *contract.Configuration, ok bool) {
	current, g := f.view.Load(), f.gap.Load()
	if g == nil || g.version != h.Version || g.digest != h.Digest || now.Sub(g.since) < gapWait {
		return nil, false
	}
	if _, ok := current.deltasAfter(h); ok || f.newestKnownVersion() > current.index.Version() {
		return nil, false
	}
	return current.index.Configuration(), current.index.Version() > h.Version
}

// newestKnownVersion returns the newest version that is in force here or was
// reported by a VM in the last five minutes (silentPeerRetention).
func (f *Follower) newestKnownVersion() uint64 {
	newest := f.Index().Version()
	f.peerVersions.Range(func(_ vm.ID, v VMVersion) bool {
		newest = max(newest, v.Version)
		return true
	})
	return newest
}

// settlement, in the head row, says that the store has no deltas up to a version,
// because it has lost them. It names the object with that version's whole
// configuration. Each plan has an object of its own, since VMs may hold different
// configurations of the last lost version.
type settlement struct {
	Version uint64 `json:"version"`
	Object  string `json:"object"`
}

// snapshotObject returns the name of the object that holds a version of the head's
// list of snapshots.
func (h head) snapshotObject(version uint64) string {
	if h.Settled != nil && h.Settled.Version == version {
		return h.Settled.Object
	}
	return SnapshotName(version)
}

// lacksDeltasAfter reports whether the store has lost deltas that follow the version.
func (h head) lacksDeltasAfter(version uint64) bool {
	return h.Settled != nil && version < h.Settled.Version
}

// settledHead is the part of a plan that says which head the plan replaces, if it
// settles lost versions.
type settledHead struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest,omitempty"`
	// Object names the object with the whole configuration of the plan's base.
	Object string `json:"object"`
}

// follows reports whether the plan can be accepted while the store has the head.
func (s StoredPlan) follows(h head) bool {
	if s.Settles != nil {
		return h.Version == s.Settles.Version && h.Digest == s.Settles.Digest
	}
	return h.Version == s.BaseVersion && sameDigest(h.Digest, s.BaseDigest)
}

// planBase returns the head and the configuration that a new plan changes: that of
// the head or, if the store has lost versions that nobody can write back, the one in
// force.
func (p *Planner) planBase(ctx context.Context) (head, *contract.Configuration, error) {
	h, c, err := p.headConfiguration(ctx)
	if !errors.Is(err, errVersionsLost) {
		return h, c, err
	}
	inForce, ok := p.follower.gapBase(h, p.now())
	if !ok {
		return h, nil, err
	}
	return h, inForce, nil
}

// newestInForce returns the newest version in force that a confirm of the plan must
// not be below. For a plan that settles lost versions, older reports count, too.
func (p *Planner) newestInForce(stored StoredPlan) uint64 {
	if stored.Settles != nil {
		return p.follower.newestKnownVersion()
	}
	return max(p.follower.Index().Version(), p.follower.newestReportedVersion(p.now()))
}

// settleWith makes a plan on base settle the versions that the store has lost after
// the head. It writes base to an object first, because VMs that do not have it in
// force need it once the plan is accepted. The head does not change yet.
func (p *Planner) settleWith(ctx context.Context, stored *StoredPlan, base *contract.Configuration, h head) error {
	data, err := contract.EncodeSnapshot(base)
	if err != nil {
		return err
	}
	object := "config/settled/" + stored.ID
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	if err := p.objects.Put(ctx, object, data); err != nil {
		return markUnavailable(err, "writing the configuration in force")
	}
	stored.Settles = &settledHead{Version: h.Version, Digest: h.Digest, Object: object}
	stored.BaseDigest = ""
	return nil
}

// warnOfSettlement adds a warning to the effect of a plan that settles lost versions.
func warnOfSettlement(plan *contract.Plan, h head) {
	plan.Effect.Warnings = append(plan.Effect.Warnings, fmt.Sprintf(
		"the store has lost versions up to %d; this plan replaces its version %d by the configuration in force at this VM, with the change",
		plan.BaseVersion, h.Version))
}

package configstore

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"almondstile/contract"
	"almondstile/link"
	"almondstile/vm"
	"almondstile/wait"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"
)

// catchUpPause is the shortest time between two requests of catchUpLoop. Each
// heartbeat may report a newer version that the peer then does not send.
const catchUpPause = 100 * time.Millisecond

// MethodDeltas is the control method by which a VM loads newer versions from a peer.
const MethodDeltas = "config.deltas"

// DeltasRequest requests all changes after a version.
type DeltasRequest struct {
	AfterVersion uint64 `json:"from"`
	// Loaded is false if the requesting VM has not read any configuration yet, not
	// even the empty one of a new fleet.
	Loaded bool `json:"loaded"`
}

// DeltasReply holds the deltas after the requested version, or a snapshot if the
// replying VM does not have all of these deltas. Neither is set if the requesting
// VM is up to date.
type DeltasReply struct {
	// Loaded is false if the replying VM has no configuration itself. The reply is
	// empty then.
	Loaded bool `json:"loaded"`
	// Version is the version in force at the replying VM.
	Version uint64 `json:"version"`
	// Digest is the digest of the configuration of Version.
	Digest   string           `json:"digest,omitempty"`
	Deltas   []contract.Delta `json:"deltas,omitempty"`
	Snapshot []byte           `json:"snapshot,omitempty"`
}

// DeltasHandler returns the handler of MethodDeltas.
func (f *Follower) DeltasHandler() link.Handler {
	return link.Handle(func(_ context.Context, _ vm.ID, request DeltasRequest) (DeltasReply, error) {
		return f.view.Load().reply(request)
	})
}

// reply returns the reply to a request of a peer.
func (v *view) reply(request DeltasRequest) (DeltasReply, error) {
	reply := DeltasReply{Loaded: v.loaded, Version: v.index.Version()}
	if !v.loaded || (request.Loaded && request.AfterVersion >= reply.Version) {
		return reply, nil
	}
	digest, err := v.digest()
	if err != nil {
		return DeltasReply{}, err
	}
	reply.Digest = digest
	first := slices.IndexFunc(v.deltas, func(d contract.Delta) bool { return d.Version == request.AfterVersion+1 })
	if first >= 0 {
		reply.Deltas = v.deltas[first:]
		return reply, nil
	}
	snapshot, err := v.encodedSnapshot()
	reply.Snapshot = snapshot
	return reply, err
}

// RecordPeerVersion records the version that a peer reported in a heartbeat. If it
// is newer than the one in force, the follower loads the missing versions from a
// peer that reported the newest one, without waiting for the next poll.
func (f *Follower) RecordPeerVersion(from vm.VM, version uint64, now time.Time) {
	f.peerVersions.Store(from.ID, VMVersion{VM: from.ID, Version: version, ReceivedAt: now, Known: true})
	if version <= f.Index().Version() {
		return
	}
	if old := f.pendingReport.Load(); old == nil || version > old.version || !f.Loaded() {
		f.pendingReport.Store(&versionReport{from: from, version: version})
	}
	wake(f.wakeCatchUp)
}

// catchUpLoop loads newer versions from the peers that reported them, until the
// context ends.
func (f *Follower) catchUpLoop(ctx context.Context) {
	for {
		select {
		case <-f.wakeCatchUp:
		case <-ctx.Done():
			return
		}
		// The report is cleared before the request. If the peer does not answer,
		// the next peer that reports a newer version is used instead.
		report := f.pendingReport.Swap(nil)
		if report == nil || report.version <= f.Index().Version() {
			continue
		}
		if err := f.catchUpFrom(ctx, report.from); err != nil && ctx.Err() == nil {
			f.log.WithError(err).WithField("peer", report.from.ID).Warn("Newer configuration versions could not be loaded from a peer.")
		}
		if !wait.For(ctx, catchUpPause) {
			return
		}
	}
}

// catchUpFrom requests the missing versions from a peer and activates them. If they
// do not continue the configuration in force, it requests the whole one.
func (f *Follower) catchUpFrom(ctx context.Context, peer vm.VM) error {
	current := f.view.Load()
	reply, err := f.requestMissing(ctx, peer)
	if err != nil {
		return err
	}
	err = f.applyReply(reply, current.index.Configuration())
	if !errors.Is(err, ErrInconsistent) || !current.loaded {
		return err
	}
	reply, err = f.requestDeltas(ctx, peer, DeltasRequest{})
	if err != nil {
		return err
	}
	return f.applyReply(reply, &contract.Configuration{})
}

// requestMissing requests the versions after the one in force from a peer.
func (f *Follower) requestMissing(ctx context.Context, peer vm.VM) (DeltasReply, error) {
	current := f.view.Load()
	return f.requestDeltas(ctx, peer, DeltasRequest{AfterVersion: current.index.Version(), Loaded: current.loaded})
}

// requestDeltas sends a DeltasRequest to a peer and waits for the reply.
func (f *Follower) requestDeltas(ctx context.Context, peer vm.VM, request DeltasRequest) (DeltasReply, error) {
	ctx, cancel := context.WithTimeout(ctx, f.opts.CallTimeout)
	defer cancel()
	var reply DeltasReply
	err := f.caller.Call(ctx, peer, MethodDeltas, request, &reply)
	return reply, errors.Wrapf(err, "requesting deltas from VM %s", peer.ID)
}

// applyReply activates the version that a peer sent, unless this or a newer version
// has come into force in the meantime. Deltas are applied to base. The error is
// ErrInconsistent if they do not lead to the peer's configuration.
func (f *Follower) applyReply(reply DeltasReply, base *contract.Configuration) error {
	current := f.view.Load()
	if !reply.Loaded || (current.loaded && reply.Version <= current.index.Version()) {
		return nil
	}
	c := base
	if len(reply.Snapshot) > 0 {
		decoded, err := contract.DecodeSnapshot(reply.Snapshot)
		if err != nil {
			return err
		}
		c = decoded
	}
	var applied []contract.Delta
	for _, d := range reply.Deltas {
		if d.Version <= c.Version {
			continue // it came into force during the request
		}
		next, err := contract.ApplyDelta(c, d)
		if err != nil {
			return errors.Mark(errors.Wrapf(err, "applying delta %d of a peer", d.Version), ErrInconsistent)
		}
		c = next
		applied = append(applied, d)
	}
	if c.Version != reply.Version {
		return errors.Newf("the peer's reply leads to version %d, want version %d", c.Version, reply.Version)
	}
	if err := checkDigest(c, reply.Digest); err != nil {
		return err
	}
	f.activate(c, applied)
	return nil
}

// loadFromPeers sends requests to up to MaxPeerRequests random peers at once and
// activates the newest version among the replies. Replies of peers that have no
// configuration themselves are ignored.
func (f *Follower) loadFromPeers(ctx context.Context) {
	peers := slices.Clone(f.peers.Peers())
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	peers = peers[:min(len(peers), f.opts.MaxPeerRequests)]
	var newest atomic.Pointer[DeltasReply]
	requests := pool.New().WithMaxGoroutines(max(1, len(peers)))
	for _, peer := range peers {
		requests.Go(func() {
			reply, err := f.requestMissing(ctx, peer)
			if err == nil && reply.Loaded {
				keepNewest(&newest, &reply)
			}
		})
	}
	requests.Wait()
	reply := newest.Load()
	if reply == nil {
		return
	}
	if err := f.applyReply(*reply, f.Index().Configuration()); err != nil {
		f.log.WithError(err).Warn("The configuration that a peer sent is invalid and is ignored.")
	}
}

// keepNewest replaces the newest reply if the given one has a newer version. It is
// safe for concurrent use.
func keepNewest(newest *atomic.Pointer[DeltasReply], reply *DeltasReply) {
	for {
		old := newest.Load()
		if old != nil && old.Version >= reply.Version {
			return
		}
		if newest.CompareAndSwap(old, reply) {
			return
		}
	}
}

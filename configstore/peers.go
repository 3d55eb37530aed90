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

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"
)

// MethodDeltas is the control message by which a VM catches up from a peer.
const MethodDeltas = "config.deltas"

// DeltasRequest asks for everything after a version.
type DeltasRequest struct {
	AfterVersion uint64 `json:"from"`
	// Loaded is false if the caller has no configuration at all, not even the
	// empty one of a new fleet.
	Loaded bool `json:"loaded"`
}

// DeltasReply carries the deltas after the asked version, or a snapshot if the
// peer does not have all of them. Neither is set if the caller is up to date.
type DeltasReply struct {
	Loaded   bool             `json:"loaded"`
	Version  uint64           `json:"version"`
	Deltas   []contract.Delta `json:"deltas,omitempty"`
	Snapshot []byte           `json:"snapshot,omitempty"`
}

// DeltasHandler serves MethodDeltas.
func (f *Follower) DeltasHandler() link.Handler {
	return link.Handle(func(_ context.Context, _ vm.ID, request DeltasRequest) (DeltasReply, error) {
		return f.view.Load().reply(request)
	})
}

func (v *view) reply(request DeltasRequest) (DeltasReply, error) {
	reply := DeltasReply{Loaded: v.loaded, Version: v.index.Version()}
	if !v.loaded || (request.Loaded && request.AfterVersion >= reply.Version) {
		return reply, nil
	}
	first := slices.IndexFunc(v.deltas, func(d contract.Delta) bool { return d.Version == request.AfterVersion+1 })
	if first >= 0 {
		reply.Deltas = v.deltas[first:]
		return reply, nil
	}
	snapshot, err := v.snapshot()
	reply.Snapshot = snapshot
	return reply, err
}

// Heard records the version that a peer reported in a heartbeat. If it is newer
// than the one in force, the follower catches up from that peer.
func (f *Follower) RecordPeerVersion(from vm.VM, version uint64, now time.Time) {
	f.heard.Store(from.ID, VMVersion{VM: from.ID, Version: version, ReceivedAt: now, Known: true})
	if version <= f.Index().Version() {
		return
	}
	if old := f.hint.Load(); old == nil || version > old.version || !f.Loaded() {
		f.hint.Store(&hint{from: from, version: version})
	}
	wake(f.wakeCatchUp)
}

func (f *Follower) catchUpLoop(ctx context.Context) {
	for {
		select {
		case <-f.wakeCatchUp:
		case <-ctx.Done():
			return
		}
		// The hint is taken, so that a peer that does not answer is replaced by
		// the next one that reports a newer version.
		h := f.hint.Swap(nil)
		if h == nil || h.version <= f.Index().Version() {
			continue
		}
		if err := f.catchUpFrom(ctx, h.from); err != nil && ctx.Err() == nil {
			f.log.WithError(err).WithField("peer", h.from.ID).Warn("not caught up from a peer")
		}
	}
}

func (f *Follower) catchUpFrom(ctx context.Context, peer vm.VM) error {
	reply, err := f.ask(ctx, peer)
	if err != nil {
		return err
	}
	return f.take(reply)
}

func (f *Follower) ask(ctx context.Context, peer vm.VM) (DeltasReply, error) {
	now := f.view.Load()
	return f.request(ctx, peer, DeltasRequest{AfterVersion: now.index.Version(), Loaded: now.loaded})
}

func (f *Follower) request(ctx context.Context, peer vm.VM, request DeltasRequest) (DeltasReply, error) {
	ctx, cancel := context.WithTimeout(ctx, f.opts.CallTimeout)
	defer cancel()
	var reply DeltasReply
	err := f.caller.Call(ctx, peer, MethodDeltas, request, &reply)
	return reply, errors.Wrapf(err, "asking VM %s for deltas", peer.ID)
}

// take brings what a peer sent into force, unless it is not newer by now.
func (f *Follower) take(reply DeltasReply) error {
	now := f.view.Load()
	if !reply.Loaded || (now.loaded && reply.Version <= now.index.Version()) {
		return nil
	}
	c := now.index.Configuration()
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
			continue // came into force while the peer was asked
		}
		next, err := contract.ApplyDelta(c, d)
		if err != nil {
			return err
		}
		c = next
		applied = append(applied, d)
	}
	if c.Version != reply.Version {
		return errors.Newf("the reply leads to version %d instead of %d", c.Version, reply.Version)
	}
	f.bringIntoForce(c, applied)
	return nil
}

// askPeers asks several peers at once and takes the newest reply. Peers that
// have no configuration themselves do not count.
func (f *Follower) askPeers(ctx context.Context) {
	peers := slices.Clone(f.peers.Peers())
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	peers = peers[:min(len(peers), f.opts.MaxPeersToAsk)]
	var newest atomic.Pointer[DeltasReply]
	asking := pool.New().WithMaxGoroutines(max(1, len(peers)))
	for _, peer := range peers {
		asking.Go(func() {
			reply, err := f.ask(ctx, peer)
			if err == nil && reply.Loaded {
				keepNewest(&newest, &reply)
			}
		})
	}
	asking.Wait()
	reply := newest.Load()
	if reply == nil {
		return
	}
	if err := f.take(*reply); err != nil {
		f.log.WithError(err).Warn("a peer's configuration was refused")
	}
}

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

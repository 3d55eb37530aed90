package configstore

import (
	"sync"

	"almondstile/contract"
)

// view is an immutable state of a Follower.
type view struct {
	index *contract.Index
	// loaded is false until a configuration was read. The empty configuration of a
	// new fleet, version 0, counts as read.
	loaded bool
	// deltas are the newest deltas up to the version in force, without gaps. There
	// are at most maxKeptDeltas.
	deltas []contract.Delta
	// baseDigest is the digest of the configuration before the first of deltas, or
	// "" if it is not known.
	baseDigest string
	// digest returns the digest of the configuration.
	digest func() (string, error)
	// encodedSnapshot returns the encoded configuration. It is encoded once, at the
	// first request of a peer.
	encodedSnapshot func() ([]byte, error)
}

// newView returns a view of a configuration. It keeps the newest maxKeptDeltas of
// the deltas. baseDigest is the digest of the configuration before all of them.
func newView(c *contract.Configuration, loaded bool, deltas []contract.Delta, baseDigest string) *view {
	if dropped := len(deltas) - maxKeptDeltas; dropped > 0 {
		baseDigest = deltas[dropped-1].Digest
		deltas = deltas[dropped:]
	}
	return &view{
		index:           contract.NewIndex(c),
		loaded:          loaded,
		deltas:          deltas,
		baseDigest:      baseDigest,
		digest:          sync.OnceValues(func() (string, error) { return contract.Digest(c) }),
		encodedSnapshot: sync.OnceValues(func() ([]byte, error) { return contract.EncodeSnapshot(c) }),
	}
}

// next returns the view after a newer configuration is activated. It keeps the
// older deltas if the new ones follow them in the same history.
func (v *view) next(c *contract.Configuration, deltas []contract.Delta) *view {
	if len(deltas) == 0 || deltas[0].Version != v.index.Version()+1 {
		return newView(c, true, deltas, "")
	}
	if len(v.deltas) == 0 {
		digest, err := v.digest()
		if err != nil {
			digest = "" // unknown; the deltas are then not written back
		}
		return newView(c, true, deltas, digest)
	}
	kept := append(append([]contract.Delta(nil), v.deltas...), deltas...)
	return newView(c, true, kept, v.baseDigest)
}

// deltasAfter returns the deltas from the head's version to the version in force. ok
// is false if some of them are not kept, or if the view does not know the digest of
// the head's version, or knows another one.
func (v *view) deltasAfter(h head) (lost []contract.Delta, ok bool) {
	known := v.baseDigest
	for i, d := range v.deltas {
		if d.Version == h.Version+1 {
			return v.deltas[i:], known != "" && known == h.knownDigest()
		}
		known = d.Digest
	}
	return nil, false
}

package configstore

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"almondstile/contract"
	"almondstile/link"
	"almondstile/logging"
	"almondstile/shard"
	"almondstile/store"
	"almondstile/vm"

	"github.com/sourcegraph/conc"
)

// maxKeptDeltas is the number of newest deltas that a VM keeps to send to peers
// with an older version. A peer with a still older version gets a snapshot.
const maxKeptDeltas = maxDeltasBeforeSnapshot

// Peers lists the VMs from which a Follower may load the configuration. The order
// does not matter.
type Peers interface {
	Peers() []vm.VM
}

// Options configures a Follower. Fields that are zero get their defaults.
type Options struct {
	// PollInterval is the time between two reads of the head row, 1 s by default.
	PollInterval time.Duration
	// CallTimeout limits one call to the platform or to a peer, 2 s by default.
	CallTimeout time.Duration
	// MaxPeerRequests limits the number of peers from which a VM without a
	// configuration requests one while the store is unavailable, 5 by default.
	MaxPeerRequests int
	// Observer, if set, is notified of each activated configuration.
	Observer Observer
}

// Observer is notified of activated configurations.
type Observer interface {
	// ConfigurationActivated is called after a version came into force. It must
	// not block.
	ConfigurationActivated(version uint64)
}

func (o Options) withDefaults() Options {
	if o.PollInterval <= 0 {
		o.PollInterval = time.Second
	}
	if o.CallTimeout <= 0 {
		o.CallTimeout = callTimeout
	}
	if o.MaxPeerRequests <= 0 {
		o.MaxPeerRequests = 5
	}
	return o
}

// Follower holds the configuration that is in force at this VM and activates newer
// versions. It reads them from the store or, if a peer reports a newer version or
// the store is unavailable at startup, from peers.
type Follower struct {
	loader
	caller link.Caller
	peers  Peers
	opts   Options

	view atomic.Pointer[view]
	// pendingReport is the newest report of a newer version that catchUpLoop has
	// not taken yet; nil if there is none.
	pendingReport    atomic.Pointer[versionReport]
	wakePoll         chan struct{}
	wakeCatchUp      chan struct{}
	subscribers      shard.Map[string, chan *contract.Index]
	nextSubscriberID atomic.Uint64
	lastReadFailed   atomic.Bool // the last read from the store failed
	// writeBackAt is the earliest time at which this VM writes versions back that
	// the store has lost; nil if no write-back is planned. writeBackSpread is the
	// range of the random delay before it, which tests shorten.
	writeBackAt     atomic.Pointer[time.Time]
	writeBackSpread time.Duration
	gap             atomic.Pointer[gap] // nil if the head is not lower than the version in force
	// whole is the next read of the store's whole history; nil if none is needed.
	// wholeReadSpacing is the delay before it for each VM of the fleet, and
	// wholeReadPause the time between two of its reads.
	whole                            atomic.Pointer[wholeRead]
	wholeReadSpacing, wholeReadPause time.Duration
	// loggedMismatch is the last version for which it was logged that the store has
	// another configuration of it.
	loggedMismatch atomic.Uint64
	// peerVersions holds the last version that each peer reported.
	peerVersions shard.Map[vm.ID, VMVersion]
}

// versionReport is a version, newer than the one in force, that a peer reported.
type versionReport struct {
	from    vm.VM
	version uint64
}

// NewFollower returns a follower with the empty configuration. Loaded is false
// until Run has read a configuration.
func NewFollower(table store.Table, objects store.ObjectStore, caller link.Caller, peers Peers,
	log logging.Logger, opts Options) *Follower {
	opts = opts.withDefaults()
	f := &Follower{
		loader:      loader{table: table, objects: objects, timeout: opts.CallTimeout, log: log},
		caller:      caller,
		peers:       peers,
		opts:        opts,
		wakePoll:    make(chan struct{}, 1),
		wakeCatchUp: make(chan struct{}, 1),

		writeBackSpread:  writeBackSpread,
		wholeReadSpacing: wholeReadSpacing,
		wholeReadPause:   wholeReadPause,
	}
	f.view.Store(newView(&contract.Configuration{}, false, nil, ""))
	return f
}

// Index returns the index of the configuration in force. The configuration is
// empty until Loaded is true.
func (f *Follower) Index() *contract.Index { return f.view.Load().index }

// Loaded reports whether a configuration was read since the start. Until then the
// VM must not accept requests, because it would answer "no route" to all of them.
func (f *Follower) Loaded() bool { return f.view.Load().loaded }

// PollNow makes the follower read the head row now. It does not wait for the read.
func (f *Follower) PollNow() { wake(f.wakePoll) }

// wake signals a channel of capacity 1 without blocking.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default: // a signal is pending already
	}
}

// Run keeps the configuration up to date until the context ends. Polling the store
// and catching up from peers run in goroutines of their own, so that a store that
// hangs does not delay the catching up.
func (f *Follower) Run(ctx context.Context) {
	var wg conc.WaitGroup
	wg.Go(func() { f.pollLoop(ctx) })
	wg.Go(func() { f.catchUpLoop(ctx) })
	wg.Wait()
}

// pollLoop reads the head row once per PollInterval. Each interval is shortened by
// a random part of up to a tenth, so that VMs that started together don't read at
// the same moment.
func (f *Follower) pollLoop(ctx context.Context) {
	for ctx.Err() == nil {
		f.poll(ctx)
		f.deleteSilentPeers(time.Now())
		timer := time.NewTimer(f.opts.PollInterval - rand.N(f.opts.PollInterval/10+1))
		select {
		case <-timer.C:
		case <-f.wakePoll:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// poll reads the head's version from the store and activates it. If the store
// cannot be read and this VM has no configuration yet, it loads one from peers.
func (f *Follower) poll(ctx context.Context) {
	err := f.readFromStore(ctx)
	if ctx.Err() != nil {
		return
	}
	// An outage of the store may last for hours, so only its start and its end are
	// logged.
	if failed := f.lastReadFailed.Swap(err != nil); err != nil && !failed {
		f.log.WithError(err).Warn("The configuration cannot be read from the store.")
	} else if err == nil && failed {
		f.log.Info("The configuration can be read from the store again.")
	}
	if err == nil {
		return
	}
	if !f.Loaded() {
		f.loadFromPeers(ctx)
	}
}

// readFromStore reads the head row and activates its version if it is newer than
// the one in force. If it is lower, the store has lost versions, which this VM
// writes back. If it has another digest, the store gave the version out again; the
// one in force stays until the store has a newer one.
func (f *Follower) readFromStore(ctx context.Context) error {
	h, err := f.head(ctx)
	if err != nil {
		return err
	}
	inForce := f.view.Load()
	switch {
	case inForce.loaded && h.Version < inForce.index.Version():
		f.whole.Store(nil)
		return f.writeBackWhenDue(ctx, inForce, h)
	case inForce.loaded && h.Version == inForce.index.Version():
		f.whole.Store(nil)
		f.writeBackAt.Store(nil)
		f.gap.Store(nil)
		return f.checkDigestInForce(inForce, h)
	}
	f.writeBackAt.Store(nil)
	f.gap.Store(nil)
	c, deltas, err := f.newerConfiguration(ctx, inForce, h)
	if err != nil || c == nil {
		return err
	}
	f.activate(c, deltas)
	return nil
}

// activate puts a configuration into force unless this version or a newer one is
// in force already. The deltas are those that led to the configuration. It is safe
// for concurrent use.
func (f *Follower) activate(c *contract.Configuration, deltas []contract.Delta) {
	for {
		old := f.view.Load()
		if old.loaded && c.Version <= old.index.Version() {
			return
		}
		next := f.keepWithdrawals(old.index.Configuration(), c)
		if f.view.CompareAndSwap(old, old.next(next, deltas)) {
			f.log.WithField("version", next.Version).Info("A new configuration is in force.")
			if f.opts.Observer != nil {
				f.opts.Observer.ConfigurationActivated(next.Version)
			}
			f.notify()
			return
		}
	}
}

// notify sends the index to all subscribers. It loads the index while Range holds
// the lock of the subscriber's shard, so that a channel never gets an older index
// after a newer one.
func (f *Follower) notify() {
	f.subscribers.Range(func(_ string, c chan *contract.Index) bool {
		select {
		case <-c: // discard an older index that the subscriber has not read
		default:
		}
		c <- f.Index()
		return true
	})
}

// Subscribe returns a channel that receives the index of each newer configuration,
// and a function that ends the subscription. The channel holds one index: if the
// subscriber is slow, it gets only the newest.
func (f *Follower) Subscribe() (<-chan *contract.Index, func()) {
	id := strconv.FormatUint(f.nextSubscriberID.Add(1), 10)
	c := make(chan *contract.Index, 1)
	f.subscribers.Store(id, c)
	return c, func() { f.subscribers.Delete(id) }
}

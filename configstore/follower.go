package configstore

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
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

// keptDeltas is the number of deltas that a VM keeps for peers that are behind.
// A peer that is further behind gets a snapshot.
const keptDeltas = maxDeltasBeforeSnapshot

// Peers names the VMs that a follower may ask. The order does not matter.
type Peers interface {
	Peers() []vm.VM
}

// Options are the times of a Follower. Zero values are replaced by defaults.
type Options struct {
	// Poll is the time between two reads of the head, 1 s by default.
	PollInterval time.Duration
	// CallTimeout bounds one call to the platform or to a peer, 2 s by default.
	CallTimeout time.Duration
	// MaxPeersToAsk is the number of peers that are asked while the store is
	// unavailable, 5 by default.
	MaxPeersToAsk int
	// Observer, if set, counts the configurations brought into force.
	Observer Observer
}

// Observer counts configurations. It must not block.
type Observer interface {
	ConfigurationActivated(version uint64)
}

func (o Options) withDefaults() Options {
	if o.PollInterval <= 0 {
		o.PollInterval = time.Second
	}
	if o.CallTimeout <= 0 {
		o.CallTimeout = callTimeout
	}
	if o.MaxPeersToAsk <= 0 {
		o.MaxPeersToAsk = 5
	}
	return o
}

// Follower holds the configuration that is in force at this VM and brings newer
// ones into force.
type Follower struct {
	loader
	caller link.Caller
	peers  Peers
	opts   Options

	view        atomic.Pointer[view]
	hint        atomic.Pointer[hint]
	wakePoll    chan struct{}
	wakeCatchUp chan struct{}
	subscribers shard.Map[string, chan *contract.Index]
	nextID      atomic.Uint64
	failing     atomic.Bool // the last read from the store failed
	heard       shard.Map[vm.ID, VMVersion]
}

// view is one immutable state of a Follower.
type view struct {
	index *contract.Index
	// loaded is false until the first configuration was read. Version 0 of a
	// new fleet is loaded too.
	loaded bool
	// deltas are the last ones that led to the version, without gaps.
	deltas []contract.Delta
	// snapshot encodes the configuration once for all peers that ask for it.
	snapshot func() ([]byte, error)
}

func newView(c *contract.Configuration, loaded bool, deltas []contract.Delta) *view {
	return &view{
		index:    contract.NewIndex(c),
		loaded:   loaded,
		deltas:   deltas[max(0, len(deltas)-keptDeltas):],
		snapshot: sync.OnceValues(func() ([]byte, error) { return contract.EncodeSnapshot(c) }),
	}
}

// hint is a newer version that a peer has reported.
type hint struct {
	from    vm.VM
	version uint64
}

// NewFollower returns a follower with the empty configuration, not yet loaded.
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
	}
	f.view.Store(newView(&contract.Configuration{}, false, nil))
	return f
}

// Index returns the configuration in force. Before the first load it is empty.
func (f *Follower) Index() *contract.Index { return f.view.Load().index }

// Loaded reports whether a configuration was read since the start. Until then
// the VM must not take requests: it would answer "no route" to all of them.
func (f *Follower) Loaded() bool { return f.view.Load().loaded }

// Nudge makes the follower read the head now.
func (f *Follower) PollNow() { wake(f.wakePoll) }

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default: // a wake-up is pending already
	}
}

// Run follows the configuration until the context ends. Polling and catching up
// from peers run apart, so that a store that hangs does not delay the peers.
func (f *Follower) Run(ctx context.Context) {
	var wg conc.WaitGroup
	wg.Go(func() { f.pollLoop(ctx) })
	wg.Go(func() { f.catchUpLoop(ctx) })
	wg.Wait()
}

// pollLoop reads the head in each interval. The random part keeps VMs that
// started together from reading at the same moment.
func (f *Follower) pollLoop(ctx context.Context) {
	for ctx.Err() == nil {
		f.poll(ctx)
		f.forgetSilent(time.Now())
		timer := time.NewTimer(f.opts.PollInterval - rand.N(f.opts.PollInterval/10+1))
		select {
		case <-timer.C:
		case <-f.wakePoll:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// poll brings the head's version into force. If the store cannot be used and
// this VM has no configuration yet, it asks peers.
func (f *Follower) poll(ctx context.Context) {
	err := f.pull(ctx)
	if ctx.Err() != nil {
		return
	}
	// An outage may last for hours, so only its start and its end are logged.
	if failed := f.failing.Swap(err != nil); err != nil && !failed {
		f.log.WithError(err).Warn("configuration cannot be read from the store")
	} else if err == nil && failed {
		f.log.Info("configuration is read from the store again")
	}
	if err == nil {
		return
	}
	if !f.Loaded() {
		f.askPeers(ctx)
	}
}

func (f *Follower) pull(ctx context.Context) error {
	h, err := f.head(ctx)
	if err != nil {
		return err
	}
	now := f.view.Load()
	if now.loaded && h.Version <= now.index.Version() {
		if h.Version < now.index.Version() {
			f.log.WithField("head", h.Version).WithField("in_force", now.index.Version()).
				Warn("the store's version is lower than the one in force and is ignored")
		}
		return nil
	}
	c, deltas, err := f.bring(ctx, now.index.Configuration(), h)
	if err != nil {
		return err
	}
	f.bringIntoForce(c, deltas)
	return nil
}

// bringIntoForce replaces the view unless it already holds this version or a
// newer one. It may be called by several goroutines at once.
func (f *Follower) bringIntoForce(c *contract.Configuration, deltas []contract.Delta) {
	for {
		old := f.view.Load()
		if old.loaded && c.Version <= old.index.Version() {
			return
		}
		kept := deltas
		if len(deltas) > 0 && deltas[0].Version == old.index.Version()+1 {
			kept = append(append([]contract.Delta(nil), old.deltas...), deltas...)
		}
		if f.view.CompareAndSwap(old, newView(c, true, kept)) {
			f.log.WithField("version", c.Version).Info("configuration in force")
			if f.opts.Observer != nil {
				f.opts.Observer.ConfigurationActivated(c.Version)
			}
			f.notify()
			return
		}
	}
}

// notify loads the index under each subscriber's lock, so that a channel never
// gets an older index after a newer one.
func (f *Follower) notify() {
	f.subscribers.Range(func(_ string, c chan *contract.Index) bool {
		select {
		case <-c: // drop an index that was not read yet
		default:
		}
		c <- f.Index()
		return true
	})
}

// Subscribe returns a channel that gets each newer index, and only the newest
// if the reader is slow. The function ends the subscription.
func (f *Follower) Subscribe() (<-chan *contract.Index, func()) {
	id := strconv.FormatUint(f.nextID.Add(1), 10)
	c := make(chan *contract.Index, 1)
	f.subscribers.Store(id, c)
	return c, func() { f.subscribers.Delete(id) }
}

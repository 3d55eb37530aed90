package platformsim

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"almondstile/shard"
	"almondstile/store"

	"github.com/cockroachdb/errors"
)

// Counters holds the numbers of calls received since the start, including calls
// that failed because of a fault. Invalid transactions are not counted.
type Counters struct {
	// Writes counts the rows of all transactions, including deletes and checks.
	Writes int64 `json:"writes"`
	// Transactions counts calls of Transact.
	Transactions int64 `json:"transactions"`
	// Reads counts calls of Get and Query. RowsRead counts the rows that they
	// returned.
	Reads    int64 `json:"reads"`
	RowsRead int64 `json:"rows_read"`
	// ObjectWrites and ObjectReads count calls of Put and Get on the object
	// store.
	ObjectWrites int64 `json:"object_writes"`
	ObjectReads  int64 `json:"object_reads"`
	// Throttled counts calls rejected by WritesPerSecond or ReadsPerSecond of
	// Faults.
	Throttled int64 `json:"throttled"`
}

// Platform holds the data, faults and counters of the stand-in. The zero value
// is an empty platform without faults. It is safe for concurrent use.
type Platform struct {
	rows         rowTable
	objects      shard.Map[string, []byte]
	faults       shard.Map[string, Faults]
	readLimiter  rateLimiter
	writeLimiter rateLimiter
	vmHistory    vmListHistory
	// Now, if set, replaces time.Now in tests with simulated time. It must be
	// set before the first call. Faults.DelayMillis still takes real time.
	Now func() time.Time

	writeCount, transactions, readCount, rowsRead atomic.Int64
	objectWrites, objectReads, throttled          atomic.Int64
}

// New returns an empty platform.
func New() *Platform { return &Platform{} }

// allClients is the client ID under which the faults of all clients are stored.
const allClients = ""

// SetFaults replaces the faults that apply to all clients.
func (p *Platform) SetFaults(f Faults) { p.faults.Store(allClients, f) }

// SetClientFaults replaces the faults that apply only to the client with the
// given ID, in addition to those for all clients.
func (p *Platform) SetClientFaults(client string, f Faults) { p.faults.Store(client, f) }

// Counters returns the current values of the counters.
func (p *Platform) Counters() Counters {
	return Counters{
		Writes: p.writeCount.Load(), Transactions: p.transactions.Load(),
		Reads: p.readCount.Load(), RowsRead: p.rowsRead.Load(),
		ObjectWrites: p.objectWrites.Load(), ObjectReads: p.objectReads.Load(),
		Throttled: p.throttled.Load(),
	}
}

// TableCopy is a copy of the table's rows and their versions.
type TableCopy struct {
	rows [rowShardCount]map[string]store.Item
}

// CopyTable returns a copy of the table as it is now.
func (p *Platform) CopyTable() TableCopy { return TableCopy{p.rows.clone()} }

// RestoreTable puts the table back to an earlier copy: all writes since are lost,
// and their versions are given out again. Objects and the VM list stay.
func (p *Platform) RestoreTable(c TableCopy) { p.rows.replace(c.rows) }

// SetVMs replaces the platform's VM list. The old list is kept for
// Faults.ListLagMillis.
func (p *Platform) SetVMs(vms []store.ListedVM) { p.vmHistory.set(p.now(), vms) }

// Client returns an in-process client with the given ID, which selects the
// faults that apply to it.
func (p *Platform) Client(id string) *Client { return &Client{platform: p, id: id} }

func (p *Platform) now() time.Time {
	if p.Now != nil {
		return p.Now()
	}
	return time.Now()
}

// faultsFor returns the faults for all clients combined with those of one
// client. The larger delay and lag apply. The rate limits come from the faults
// for all clients only.
func (p *Platform) faultsFor(client string) Faults {
	f, _ := p.faults.Load(allClients)
	if client == allClients {
		return f
	}
	clientFaults, _ := p.faults.Load(client)
	f.Unavailable = f.Unavailable || clientFaults.Unavailable
	f.LoseResponses = f.LoseResponses || clientFaults.LoseResponses
	f.DelayMillis = max(f.DelayMillis, clientFaults.DelayMillis)
	f.ListLagMillis = max(f.ListLagMillis, clientFaults.ListLagMillis)
	return f
}

// Client implements store.Table and store.VMList in the same process. Objects
// returns its store.ObjectStore.
type Client struct {
	platform *Platform
	id       string
}

// beforeRead applies the client's faults to a read. Its errors wrap
// store.ErrNotDone, because a read has no effect that could be unknown.
func (c *Client) beforeRead(ctx context.Context) error {
	p := c.platform
	f := p.faultsFor(c.id)
	if err := f.wait(ctx); err != nil {
		return errors.Wrap(store.ErrNotDone, err.Error())
	}
	if f.Unavailable {
		return errUnavailable
	}
	if !p.readLimiter.take(p.now(), f.ReadsPerSecond, 1) {
		p.throttled.Add(1)
		return errThrottled
	}
	return nil
}

// write applies the client's faults to a write of n rows and calls apply to
// execute it. If ctx ends during the delay, apply still runs and write returns
// store.ErrUnknownOutcome.
func (c *Client) write(ctx context.Context, n int, apply func() error) error {
	p := c.platform
	f := p.faultsFor(c.id)
	if f.Unavailable {
		return errUnavailable
	}
	if !p.writeLimiter.take(p.now(), f.WritesPerSecond, n) {
		p.throttled.Add(1)
		return errThrottled
	}
	waitErr := f.wait(ctx)
	err := apply()
	switch {
	case waitErr != nil:
		return errors.Wrap(store.ErrUnknownOutcome, waitErr.Error())
	case f.LoseResponses:
		return errResponseLost
	default:
		return err
	}
}

// Get implements store.Table.
func (c *Client) Get(ctx context.Context, key string) (store.Item, error) {
	c.platform.readCount.Add(1)
	if err := c.beforeRead(ctx); err != nil {
		return store.Item{}, err
	}
	item, err := c.platform.rows.get(key)
	if err == nil {
		c.platform.rowsRead.Add(1)
	}
	return item, err
}

// Query implements store.Table.
func (c *Client) Query(ctx context.Context, prefix string) ([]store.Item, error) {
	c.platform.readCount.Add(1)
	if err := c.beforeRead(ctx); err != nil {
		return nil, err
	}
	found := c.platform.rows.query(prefix)
	c.platform.rowsRead.Add(int64(len(found)))
	return found, nil
}

// Transact implements store.Table.
func (c *Client) Transact(ctx context.Context, writes []store.Write) error {
	_, err := c.transact(ctx, writes)
	return err
}

// transact executes a transaction like Transact and also returns which conditions
// failed. failed has one entry per write, or is nil if the transaction was not
// executed.
func (c *Client) transact(ctx context.Context, writes []store.Write) (failed []bool, err error) {
	if err := validate(writes); err != nil {
		return nil, err
	}
	c.platform.transactions.Add(1)
	c.platform.writeCount.Add(int64(len(writes)))
	err = c.write(ctx, len(writes), func() (err error) {
		failed, err = c.platform.rows.transact(writes)
		return err
	})
	return failed, err
}

// Objects returns a client of the object store, with the same client ID.
func (c *Client) Objects() *ObjectClient { return &ObjectClient{client: c} }

// ObjectClient implements store.ObjectStore with the faults of its client.
type ObjectClient struct{ client *Client }

// Put implements store.ObjectStore.
func (o *ObjectClient) Put(ctx context.Context, name string, data []byte) error {
	o.client.platform.objectWrites.Add(1)
	return o.client.write(ctx, 1, func() error {
		o.client.platform.objects.Store(name, slices.Clone(data))
		return nil
	})
}

// Get implements store.ObjectStore.
func (o *ObjectClient) Get(ctx context.Context, name string) ([]byte, error) {
	o.client.platform.objectReads.Add(1)
	if err := o.client.beforeRead(ctx); err != nil {
		return nil, err
	}
	data, ok := o.client.platform.objects.Load(name)
	if !ok {
		return nil, errors.Wrapf(store.ErrNotFound, "object %q", name)
	}
	return slices.Clone(data), nil
}

// List implements store.VMList. It returns the list as it was ListLagMillis ago,
// or nil if no list was set by then.
func (c *Client) List(ctx context.Context) ([]store.ListedVM, error) {
	f := c.platform.faultsFor(c.id)
	if err := c.beforeRead(ctx); err != nil {
		return nil, err
	}
	lag := time.Duration(f.ListLagMillis) * time.Millisecond
	return c.platform.vmHistory.at(c.platform.now().Add(-lag)), nil
}

// vmListHistory keeps earlier states of the VM list, from which a lagging list
// is returned.
type vmListHistory struct {
	mu     sync.Mutex
	states []vmListState
}

// vmListState is a VM list and the time at which it was set.
type vmListState struct {
	since time.Time
	vms   []store.ListedVM
}

// maxVMListStates bounds the memory that the history uses in a long run. The
// older half is deleted when the history is full.
const maxVMListStates = 1000

func (h *vmListHistory) set(now time.Time, vms []store.ListedVM) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.states) == maxVMListStates {
		h.states = slices.Delete(h.states, 0, maxVMListStates/2)
	}
	h.states = append(h.states, vmListState{now, slices.Clone(vms)})
}

// at returns the VM list that was current at the given moment, or nil if none is
// known.
func (h *vmListHistory) at(moment time.Time) []store.ListedVM {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := len(h.states) - 1; i >= 0; i-- {
		if !h.states[i].since.After(moment) {
			return slices.Clone(h.states[i].vms)
		}
	}
	return nil
}

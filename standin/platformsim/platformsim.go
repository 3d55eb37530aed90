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

// Counters counts the calls that reached the platform, refused ones included.
type Counters struct {
	// Writes counts the rows of transactions.
	Writes int64 `json:"writes"`
	// Transactions counts calls of Transact.
	Transactions int64 `json:"transactions"`
	// Reads counts calls of Get and Query; RowsRead the rows returned.
	Reads    int64 `json:"reads"`
	RowsRead int64 `json:"rows_read"`
	// ObjectWrites and ObjectReads count calls of the object store.
	ObjectWrites int64 `json:"object_writes"`
	ObjectReads  int64 `json:"object_reads"`
	// Throttled counts calls refused by a rate limit.
	Throttled int64 `json:"throttled"`
}

// Platform is the state of the stand-in. The zero value is ready to use.
type Platform struct {
	rows    rows
	objects shard.Map[string, []byte]
	faults  shard.Map[string, Faults]
	reads   meter
	writes  meter
	vms     vmHistory
	// Now replaces time.Now, for tests in simulated time.
	Now func() time.Time

	writeCount, transactions, readCount, rowsRead atomic.Int64
	objectWrites, objectReads, throttled          atomic.Int64
}

// New returns an empty platform.
func New() *Platform { return &Platform{} }

// allClients is the client ID whose faults hit every client.
const allClients = ""

// SetFaults replaces the faults that every client meets.
func (p *Platform) SetFaults(f Faults) { p.faults.Store(allClients, f) }

// SetClientFaults replaces the faults that only one client meets.
func (p *Platform) SetClientFaults(client string, f Faults) { p.faults.Store(client, f) }

// Counters returns the counters so far.
func (p *Platform) Counters() Counters {
	return Counters{
		Writes: p.writeCount.Load(), Transactions: p.transactions.Load(),
		Reads: p.readCount.Load(), RowsRead: p.rowsRead.Load(),
		ObjectWrites: p.objectWrites.Load(), ObjectReads: p.objectReads.Load(),
		Throttled: p.throttled.Load(),
	}
}

// SetVMs replaces the platform's VM list.
func (p *Platform) SetVMs(vms []store.ListedVM) { p.vms.set(p.now(), vms) }

// Client returns the platform as one client sees it.
func (p *Platform) Client(id string) *Client { return &Client{platform: p, id: id} }

func (p *Platform) now() time.Time {
	if p.Now != nil {
		return p.Now()
	}
	return time.Now()
}

// faultsFor merges the faults of one client into those of all.
func (p *Platform) faultsFor(client string) Faults {
	f, _ := p.faults.Load(allClients)
	if client == allClients {
		return f
	}
	own, _ := p.faults.Load(client)
	f.Unavailable = f.Unavailable || own.Unavailable
	f.LoseResponses = f.LoseResponses || own.LoseResponses
	f.DelayMillis = max(f.DelayMillis, own.DelayMillis)
	f.ListLagMillis = max(f.ListLagMillis, own.ListLagMillis)
	return f
}

// Client implements store.Table, store.ObjectStore and store.VMList
// in-process.
type Client struct {
	platform *Platform
	id       string
}

// beforeRead applies the faults of a read, which never has an effect.
func (c *Client) beforeRead(ctx context.Context) error {
	p := c.platform
	f := p.faultsFor(c.id)
	if err := f.wait(ctx); err != nil {
		return errors.Wrap(store.ErrNotDone, err.Error())
	}
	if f.Unavailable {
		return errUnavailable
	}
	if !p.reads.take(p.now(), f.ReadsPerSecond, 1) {
		p.throttled.Add(1)
		return errThrottled
	}
	return nil
}

// write runs apply under the faults of a write of n rows.
func (c *Client) write(ctx context.Context, n int, apply func() error) error {
	p := c.platform
	f := p.faultsFor(c.id)
	if f.Unavailable {
		return errUnavailable
	}
	if !p.writes.take(p.now(), f.WritesPerSecond, n) {
		p.throttled.Add(1)
		return errThrottled
	}
	gaveUp := f.wait(ctx)
	err := apply()
	switch {
	case gaveUp != nil:
		return errors.Wrap(store.ErrUnknownOutcome, gaveUp.Error())
	case f.LoseResponses:
		return errLost
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

// Objects returns the client's view of the object store.
func (c *Client) Objects() *ObjectClient { return &ObjectClient{client: c} }

// ObjectClient implements store.ObjectStore.
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

// List implements store.VMList.
func (c *Client) List(ctx context.Context) ([]store.ListedVM, error) {
	f := c.platform.faultsFor(c.id)
	if err := c.beforeRead(ctx); err != nil {
		return nil, err
	}
	lag := time.Duration(f.ListLagMillis) * time.Millisecond
	return c.platform.vms.at(c.platform.now().Add(-lag)), nil
}

// vmHistory keeps the states of the VM list, so that an old one can be served.
type vmHistory struct {
	mu     sync.Mutex
	states []vmState
}

type vmState struct {
	since time.Time
	vms   []store.ListedVM
}

// maxVMStates bounds the memory of a long run.
const maxVMStates = 1000

func (h *vmHistory) set(now time.Time, vms []store.ListedVM) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.states) == maxVMStates {
		h.states = slices.Delete(h.states, 0, maxVMStates/2)
	}
	h.states = append(h.states, vmState{now, slices.Clone(vms)})
}

func (h *vmHistory) at(moment time.Time) []store.ListedVM {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := len(h.states) - 1; i >= 0; i-- {
		if !h.states[i].since.After(moment) {
			return slices.Clone(h.states[i].vms)
		}
	}
	return nil
}

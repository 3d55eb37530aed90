package configstore

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"almondstile/contract"
	"almondstile/link"
	"almondstile/logging"
	"almondstile/store"
	"almondstile/vm"
	"almondstile/zone"
)

// fault is a failure that fakeStore injects into one transaction.
type fault int

const (
	noFault fault = iota
	failBeforeWrite
	loseResponse // the transaction is executed and its response is lost
	delayWrite   // the response is lost and the transaction is executed with a later call
)

// fakeStore implements store.Table in memory and holds the objects of
// fakeObjectStore.
type fakeStore struct {
	mu          sync.Mutex
	rows        map[string]store.Item
	objects     map[string][]byte
	unavailable bool
	// faults holds one fault for each of the next transactions, in order.
	faults  []fault
	delayed [][]store.Write
	// beforeTransact, if set, is called once before the next transaction, without
	// the lock.
	beforeTransact func()
}

func newFakeStore() *fakeStore {
	return &fakeStore{rows: map[string]store.Item{}, objects: map[string][]byte{}}
}

func (s *fakeStore) Get(_ context.Context, key string) (store.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return store.Item{}, store.ErrNotDone
	}
	item, ok := s.rows[key]
	if !ok {
		return store.Item{}, store.ErrNotFound
	}
	return item, nil
}

func (s *fakeStore) Query(_ context.Context, prefix string) ([]store.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var items []store.Item
	for key, item := range s.rows {
		if strings.HasPrefix(key, prefix) {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(a, b store.Item) int { return strings.Compare(a.Key, b.Key) })
	return items, nil
}

func (s *fakeStore) Transact(_ context.Context, writes []store.Write) error {
	s.mu.Lock()
	hook := s.beforeTransact
	s.beforeTransact = nil
	s.mu.Unlock()
	if hook != nil {
		hook()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	injected := noFault
	if len(s.faults) > 0 {
		injected, s.faults = s.faults[0], s.faults[1:]
	}
	if s.unavailable || injected == failBeforeWrite {
		return store.ErrNotDone
	}
	if injected == delayWrite {
		s.delayed = append(s.delayed, writes)
		return store.ErrUnknownOutcome
	}
	for _, earlier := range s.delayed {
		_ = s.apply(earlier) // its caller got ErrUnknownOutcome already
	}
	s.delayed = nil
	err := s.apply(writes)
	if injected == loseResponse {
		return store.ErrUnknownOutcome
	}
	return err
}

func (s *fakeStore) apply(writes []store.Write) error {
	for _, w := range writes {
		item, exists := s.rows[w.Key]
		if (w.Condition.Kind == store.Absent && exists) ||
			(w.Condition.Kind == store.VersionIs && (!exists || item.Version != w.Condition.Version)) {
			return store.ErrConditionFailed
		}
	}
	for _, w := range writes {
		switch w.Kind {
		case store.Put:
			s.rows[w.Key] = store.Item{Key: w.Key, Version: s.rows[w.Key].Version + 1, Value: w.Value}
		case store.Delete:
			delete(s.rows, w.Key)
		}
	}
	return nil
}

// fakeObjectStore implements store.ObjectStore on a fakeStore.
type fakeObjectStore struct{ *fakeStore }

func (s fakeObjectStore) Put(_ context.Context, name string, data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[name] = data
	return nil
}

func (s fakeObjectStore) Get(_ context.Context, name string) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if data, ok := s.objects[name]; ok && !s.unavailable {
		return data, nil
	}
	return nil, store.ErrNotFound
}

// fakeFleet is a set of VMs with one store. It implements link.Caller and Peers.
// Control messages are encoded as JSON and decoded again, as between processes.
type fakeFleet struct {
	store     *fakeStore
	followers map[vm.ID]*Follower
	vms       []vm.VM
}

func newFakeFleet(ids ...vm.ID) *fakeFleet {
	fleet := &fakeFleet{store: newFakeStore(), followers: map[vm.ID]*Follower{}}
	for _, id := range ids {
		fleet.vms = append(fleet.vms, vm.VM{ID: id})
		fleet.start(id)
	}
	return fleet
}

// start gives a VM a new follower, as after a restart.
func (f *fakeFleet) start(id vm.ID) *Follower {
	f.followers[id] = NewFollower(f.store, fakeObjectStore{f.store}, f, f, logging.Discard().Part("config"), Options{})
	// TestWholeReadsAreSpread has the delays.
	f.followers[id].wholeReadSpacing, f.followers[id].wholeReadPause = 0, 0
	return f.followers[id]
}

func (f *fakeFleet) planner(id vm.ID) *Planner {
	p := NewPlanner(f.store, fakeObjectStore{f.store}, f.followers[id], logging.Discard().Part("config"))
	p.retryPause = time.Microsecond
	return p
}

func (f *fakeFleet) Peers() []vm.VM { return f.vms }

func (f *fakeFleet) Call(ctx context.Context, to vm.VM, method string, params, result any) error {
	follower, ok := f.followers[to.ID]
	if !ok || method != MethodDeltas {
		return link.ErrUnreachable
	}
	raw, _ := json.Marshal(params)
	reply, err := follower.DeltasHandler()(ctx, "caller", raw)
	if err != nil {
		return link.ErrRejected
	}
	raw, _ = json.Marshal(reply)
	return json.Unmarshal(raw, result)
}

// setZone returns an intent that sets the region of zone "a", the only zone.
func setZone(region string) contract.Intent {
	return contract.NewIntent(contract.SetZone{ID: zone.ID("a"), Region: region})
}

// brokenObjects is an object store that executes no write and has no object.
type brokenObjects struct{}

func (brokenObjects) Put(context.Context, string, []byte) error { return store.ErrNotDone }

func (brokenObjects) Get(context.Context, string) ([]byte, error) { return nil, store.ErrNotFound }

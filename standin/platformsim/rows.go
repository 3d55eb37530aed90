package platformsim

import (
	"slices"
	"strings"
	"sync"

	"almondstile/store"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

const rowShardCount = 16

// rows is the table. Shard i holds the partitions whose names hash to i.
type rows struct {
	shards [rowShardCount]rowShard
}

type rowShard struct {
	mu    sync.Mutex
	items map[string]store.Item
}

func partitionOf(key string) string {
	partition, _, _ := strings.Cut(key, "/")
	return partition
}

func shardIndex(key string) int {
	return int(xxhash.Sum64String(partitionOf(key)) % rowShardCount)
}

func (r *rows) get(key string) (store.Item, error) {
	s := &r.shards[shardIndex(key)]
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.items[key]
	if !ok {
		return store.Item{}, errors.Wrapf(store.ErrNotFound, "row %q", key)
	}
	return item, nil
}

func (r *rows) query(prefix string) []store.Item {
	s := &r.shards[shardIndex(prefix)]
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []store.Item
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) {
			found = append(found, item)
		}
	}
	slices.SortFunc(found, func(a, b store.Item) int { return strings.Compare(a.Key, b.Key) })
	return found
}

// lock locks the shards of all writes in ascending order, which excludes a
// deadlock between two transactions, and returns the function that unlocks.
func (r *rows) lock(writes []store.Write) (unlock func()) {
	var touched [rowShardCount]bool
	for i := range writes {
		touched[shardIndex(writes[i].Key)] = true
	}
	for i := range touched {
		if touched[i] {
			r.shards[i].mu.Lock()
		}
	}
	return func() {
		for i := range touched {
			if touched[i] {
				r.shards[i].mu.Unlock()
			}
		}
	}
}

// transact applies all writes or none. failed has one entry for each write and
// says whether its condition failed.
func (r *rows) transact(writes []store.Write) (failed []bool, err error) {
	defer r.lock(writes)()
	failed = make([]bool, len(writes))
	for i, w := range writes {
		item, exists := r.shards[shardIndex(w.Key)].items[w.Key]
		if !holds(w.Condition, item, exists) {
			failed[i] = true
			err = errors.Wrapf(store.ErrConditionFailed, "row %q", w.Key)
		}
	}
	if err != nil {
		return failed, err
	}
	for _, w := range writes {
		r.shards[shardIndex(w.Key)].apply(w)
	}
	return failed, nil
}

func holds(c store.Condition, item store.Item, exists bool) bool {
	switch c.Kind {
	case store.Absent:
		return !exists
	case store.VersionIs:
		return exists && item.Version == c.Version
	default:
		return true
	}
}

func (s *rowShard) apply(w store.Write) {
	switch w.Kind {
	case store.Delete:
		delete(s.items, w.Key)
	case store.Put:
		if s.items == nil {
			s.items = make(map[string]store.Item)
		}
		version := s.items[w.Key].Version + 1
		s.items[w.Key] = store.Item{Key: w.Key, Version: version, Value: slices.Clone(w.Value)}
	}
}

func validate(writes []store.Write) error {
	if len(writes) == 0 || len(writes) > store.MaxTransactionWrites {
		return errors.Wrapf(errInvalid, "a transaction of %d writes", len(writes))
	}
	seen := make(map[string]bool, len(writes))
	for i := range writes {
		if seen[writes[i].Key] {
			return errors.Wrapf(errInvalid, "row %q is written twice", writes[i].Key)
		}
		seen[writes[i].Key] = true
	}
	return nil
}

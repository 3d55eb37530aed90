package platformsim

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"almondstile/store"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// rowShardCount is the number of table shards, each with its own lock.
const rowShardCount = 16

// rowTable holds the rows of the table. Shard i holds the partitions whose names
// have the hash i modulo rowShardCount.
type rowTable struct {
	shards [rowShardCount]rowShard
}

// rowShard holds rows by their full key. Its mutex guards the rows.
type rowShard struct {
	mu    sync.Mutex
	items map[string]store.Item
}

// partitionOf returns the first segment of a key.
func partitionOf(key string) string {
	partition, _, _ := strings.Cut(key, "/")
	return partition
}

func shardIndex(key string) int {
	return int(xxhash.Sum64String(partitionOf(key)) % rowShardCount)
}

func (r *rowTable) get(key string) (store.Item, error) {
	s := &r.shards[shardIndex(key)]
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.items[key]
	if !ok {
		return store.Item{}, errors.Wrapf(store.ErrNotFound, "row %q", key)
	}
	return item, nil
}

// query returns the rows whose keys start with prefix, sorted by key. The prefix
// must contain the whole partition name, because only one shard is searched.
func (r *rowTable) query(prefix string) []store.Item {
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

// lockShards locks the shards of all writes and returns the function that unlocks
// them. It locks in ascending order, so two transactions cannot deadlock.
func (r *rowTable) lockShards(writes []store.Write) (unlock func()) {
	var locked [rowShardCount]bool
	for i := range writes {
		locked[shardIndex(writes[i].Key)] = true
	}
	for i := range locked {
		if locked[i] {
			r.shards[i].mu.Lock()
		}
	}
	return func() {
		for i := range locked {
			if locked[i] {
				r.shards[i].mu.Unlock()
			}
		}
	}
}

// transact applies all writes, or none if a condition fails. failed has one entry
// per write, true if the write's condition failed. If any failed, the error wraps
// store.ErrConditionFailed and names the row of the last failed condition.
func (r *rowTable) transact(writes []store.Write) (failed []bool, err error) {
	defer r.lockShards(writes)()
	failed = make([]bool, len(writes))
	for i, w := range writes {
		item, exists := r.shards[shardIndex(w.Key)].items[w.Key]
		if !conditionHolds(w.Condition, item, exists) {
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

// conditionHolds reports whether a row meets a write's condition. item is the
// row before the transaction if exists is true.
func conditionHolds(c store.Condition, item store.Item, exists bool) bool {
	switch c.Kind {
	case store.Absent:
		return !exists
	case store.VersionIs:
		return exists && item.Version == c.Version
	default:
		return true
	}
}

// apply executes a write whose condition holds. The caller holds the shard's
// lock. A Put increments the version, which starts at 1 for a new row.
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

// clone returns copies of the shards' rows. It locks all shards, so that no
// transaction is in it halfway.
func (r *rowTable) clone() (rows [rowShardCount]map[string]store.Item) {
	defer r.lockAll()()
	for i := range r.shards {
		rows[i] = maps.Clone(r.shards[i].items)
	}
	return rows
}

// replace replaces all rows by those of an earlier clone.
func (r *rowTable) replace(rows [rowShardCount]map[string]store.Item) {
	defer r.lockAll()()
	for i := range r.shards {
		r.shards[i].items = maps.Clone(rows[i])
	}
}

// lockAll locks all shards in the order of lockShards and returns the function
// that unlocks them.
func (r *rowTable) lockAll() (unlock func()) {
	for i := range r.shards {
		r.shards[i].mu.Lock()
	}
	return func() {
		for i := range r.shards {
			r.shards[i].mu.Unlock()
		}
	}
}

// validate returns errInvalid if the number of writes is not between 1 and
// store.MaxTransactionWrites, or if two writes have the same key.
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

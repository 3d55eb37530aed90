package shard

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// shardCount is a power of two well above the number of cores of an entry VM,
// so that two busy goroutines rarely meet in the same shard.
const shardCount = 64

// Map is a map split into shards by a hash of the key. The zero value is
// ready to use. A Map must not be copied after its first use.
type Map[K ~string, V any] struct {
	shards [shardCount]bucket[K, V]
}

type bucket[K ~string, V any] struct {
	mu      sync.Mutex
	entries map[K]V
}

func (m *Map[K, V]) bucketOf(key K) *bucket[K, V] {
	return &m.shards[xxhash.Sum64String(string(key))%shardCount]
}

// Load returns a copy of the value stored under key.
func (m *Map[K, V]) Load(key K) (V, bool) {
	b := m.bucketOf(key)
	b.mu.Lock()
	defer b.mu.Unlock()
	value, ok := b.entries[key]
	return value, ok
}

// Store replaces the value stored under key.
func (m *Map[K, V]) Store(key K, value V) {
	m.Update(key, func(V, bool) (V, bool) { return value, true })
}

// Delete removes key.
func (m *Map[K, V]) Delete(key K) {
	b := m.bucketOf(key)
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.entries, key)
}

// Update calls fn with the value under key and whether it exists, and stores
// what fn returns; if the second result is false, the key is removed.
func (m *Map[K, V]) Update(key K, fn func(value V, exists bool) (V, bool)) {
	b := m.bucketOf(key)
	b.mu.Lock()
	defer b.mu.Unlock()
	value, exists := b.entries[key]
	value, keep := fn(value, exists)
	if !keep {
		delete(b.entries, key)
		return
	}
	if b.entries == nil {
		b.entries = make(map[K]V)
	}
	b.entries[key] = value
}

// Do calls fn with the value under key, which create makes if it is missing.
// V is usually a pointer: what it points to is guarded by the shard's lock and
// must not be used after fn returns.
func (m *Map[K, V]) Do(key K, create func() V, fn func(value V)) {
	m.Update(key, func(value V, exists bool) (V, bool) {
		if !exists {
			value = create()
		}
		fn(value)
		return value, true
	})
}

// DoExisting calls fn with the value under key and reports whether it exists.
func (m *Map[K, V]) DoExisting(key K, fn func(value V)) bool {
	b := m.bucketOf(key)
	b.mu.Lock()
	defer b.mu.Unlock()
	value, exists := b.entries[key]
	if exists {
		fn(value)
	}
	return exists
}

// Range calls fn for each entry, one shard locked at a time; entries for which
// fn returns false are removed. The view is not a snapshot of the whole map.
func (m *Map[K, V]) Range(fn func(key K, value V) (keep bool)) {
	for i := range m.shards {
		m.shards[i].retain(fn)
	}
}

func (b *bucket[K, V]) retain(fn func(key K, value V) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, value := range b.entries {
		if !fn(key, value) {
			delete(b.entries, key)
		}
	}
}

// Len returns the number of entries, counted one shard at a time.
func (m *Map[K, V]) Len() int {
	total := 0
	for i := range m.shards {
		m.shards[i].mu.Lock()
		total += len(m.shards[i].entries)
		m.shards[i].mu.Unlock()
	}
	return total
}

package shard

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// shardCount is the number of shards of a Map. It is a power of two well above
// the number of cores of an entry VM, so that two running goroutines rarely need
// the same shard.
const shardCount = 64

// Map is a map split into shards by a hash of the key. The zero value is
// ready to use. A Map must not be copied after its first use.
type Map[K ~string, V any] struct {
	shards [shardCount]mapShard[K, V]
}

type mapShard[K ~string, V any] struct {
	mu      sync.Mutex
	entries map[K]V
}

func (m *Map[K, V]) shardFor(key K) *mapShard[K, V] {
	return &m.shards[xxhash.Sum64String(string(key))%shardCount]
}

// Load returns a copy of the value stored under key and whether it exists.
func (m *Map[K, V]) Load(key K) (V, bool) {
	s := m.shardFor(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	value, ok := s.entries[key]
	return value, ok
}

// Store replaces the value stored under key.
func (m *Map[K, V]) Store(key K, value V) {
	m.Update(key, func(V, bool) (V, bool) { return value, true })
}

// Delete removes key.
func (m *Map[K, V]) Delete(key K) {
	s := m.shardFor(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.entries, key)
}

// Update calls fn with the value under key and whether it exists, and stores the
// value that fn returns. If fn's second result is false, the key is removed
// instead. No other call changes the key meanwhile.
func (m *Map[K, V]) Update(key K, fn func(value V, exists bool) (V, bool)) {
	s := m.shardFor(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	value, exists := s.entries[key]
	value, keep := fn(value, exists)
	if !keep {
		delete(s.entries, key)
		return
	}
	if s.entries == nil {
		s.entries = make(map[K]V)
	}
	s.entries[key] = value
}

// Do calls fn with the value under key. If the key is missing, it first stores
// the result of create. V is usually a pointer; the data behind it is guarded by
// the shard's lock and must not be used after fn returns.
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
	s := m.shardFor(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	value, exists := s.entries[key]
	if exists {
		fn(value)
	}
	return exists
}

// Range calls fn for each entry and removes the entries for which fn returns
// false. Only one shard is locked at a time, so the entries seen are not a
// snapshot of the whole map.
func (m *Map[K, V]) Range(fn func(key K, value V) (keep bool)) {
	for i := range m.shards {
		m.shards[i].retain(fn)
	}
}

func (s *mapShard[K, V]) retain(fn func(key K, value V) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, value := range s.entries {
		if !fn(key, value) {
			delete(s.entries, key)
		}
	}
}

// Len returns the number of entries. Only one shard is locked at a time, so the
// result can be off while other goroutines change the map.
func (m *Map[K, V]) Len() int {
	total := 0
	for i := range m.shards {
		m.shards[i].mu.Lock()
		total += len(m.shards[i].entries)
		m.shards[i].mu.Unlock()
	}
	return total
}

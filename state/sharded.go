package state

import "sync"

// ShardCount is the number of shards of a ShardedMap; it must be a power of two.
const ShardCount = 32

type shard[K comparable, V any] struct {
	mu    sync.Mutex
	items map[K]V
}

// ShardedMap is a map split into shards that each have their own lock.
type ShardedMap[K comparable, V any] struct {
	hash   func(K) uint64
	shards [ShardCount]shard[K, V]
}

// NewShardedMap returns an empty map that assigns keys to shards by the given hash.
func NewShardedMap[K comparable, V any](hash func(K) uint64) *ShardedMap[K, V] {
	s := &ShardedMap[K, V]{hash: hash}
	for i := range s.shards {
		s.shards[i].items = map[K]V{}
	}
	return s
}

// With calls a function with the key's shard while holding its lock.
func (s *ShardedMap[K, V]) With(key K, fn func(items map[K]V)) {
	sh := &s.shards[s.hash(key)%ShardCount]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	fn(sh.items)
}

// Get returns the value of a key.
func (s *ShardedMap[K, V]) Get(key K) (V, bool) {
	sh := &s.shards[s.hash(key)%ShardCount]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	v, ok := sh.items[key]
	return v, ok
}

// Put sets the value of a key.
func (s *ShardedMap[K, V]) Put(key K, value V) {
	s.With(key, func(items map[K]V) { items[key] = value })
}

// Delete removes a key.
func (s *ShardedMap[K, V]) Delete(key K) {
	s.With(key, func(items map[K]V) { delete(items, key) })
}

// Len returns the number of keys, counted shard by shard.
func (s *ShardedMap[K, V]) Len() int {
	n := 0
	s.EachShard(func(items map[K]V) { n += len(items) })
	return n
}

// EachShard calls a function with every shard in turn, each under its lock.
func (s *ShardedMap[K, V]) EachShard(fn func(items map[K]V)) {
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		fn(sh.items)
		sh.mu.Unlock()
	}
}

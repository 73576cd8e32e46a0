package release

import (
	"iter"
	"maps"

	"github.com/cespare/xxhash/v2"
)

// shardMap is an immutable map; a changed version copies one shard and shares the others.
type shardMap[V any] struct {
	shards *[shardCount]map[string]V
	size   int
}

func newShardMap[V any]() shardMap[V] {
	return shardMap[V]{shards: new([shardCount]map[string]V)}
}

func shardOf(key string) int {
	return int(xxhash.Sum64String(key) % shardCount)
}

func (m shardMap[V]) get(key string) (V, bool) {
	value, ok := m.shards[shardOf(key)][key]
	return value, ok
}

func (m shardMap[V]) with(key string, value V) shardMap[V] {
	next := m.copyShard(shardOf(key))
	shard := next.shards[shardOf(key)]
	shard[key] = value
	next.size += len(shard) - len(m.shards[shardOf(key)])
	return next
}

func (m shardMap[V]) without(key string) shardMap[V] {
	if _, ok := m.get(key); !ok {
		return m
	}
	next := m.copyShard(shardOf(key))
	delete(next.shards[shardOf(key)], key)
	next.size--
	return next
}

func (m shardMap[V]) copyShard(index int) shardMap[V] {
	shards := *m.shards
	shard := maps.Clone(shards[index])
	if shard == nil {
		shard = map[string]V{}
	}
	shards[index] = shard
	return shardMap[V]{shards: &shards, size: m.size}
}

func (m shardMap[V]) all() iter.Seq2[string, V] {
	return func(yield func(string, V) bool) {
		for _, shard := range m.shards {
			for key, value := range shard {
				if !yield(key, value) {
					return
				}
			}
		}
	}
}

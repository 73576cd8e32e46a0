package follow

import (
	"context"

	"github.com/bergamotgrade/bergamotgrade"
)

// homesStore makes the calls of a MonitoredStore that carry data with homes.
type homesStore struct {
	*MonitoredStore
	homes bergamotgrade.Homes
}

var _ bergamotgrade.KeyValue = (*homesStore)(nil)

// Within returns the store for calls with data that only VMs in the homes, and those near this one,
// may see: reads and commits that go through a peer use only such peers. Without one they are made
// directly, and fail. The other methods carry no values.
func (s *MonitoredStore) Within(homes bergamotgrade.Homes) bergamotgrade.KeyValue {
	if homes.IsAny() {
		return s
	}
	return &homesStore{s, homes}
}

// Read implements bergamotgrade.KeyValue.
func (s *homesStore) Read(ctx context.Context, key string, stale bool) (bergamotgrade.Entry, error) {
	return s.readWithin(ctx, s.homes, key, stale)
}

// Range implements bergamotgrade.KeyValue.
func (s *homesStore) Range(ctx context.Context, prefix string, stale bool) ([]bergamotgrade.Entry, int64, error) {
	return s.rangeWithin(ctx, s.homes, prefix, stale)
}

// Commit implements bergamotgrade.KeyValue.
func (s *homesStore) Commit(ctx context.Context, commit bergamotgrade.KeyCommit) (bergamotgrade.CommitResult, error) {
	return s.commitWithin(ctx, s.homes, commit)
}

func (s *MonitoredStore) readWithin(ctx context.Context, homes bergamotgrade.Homes, key string, stale bool) (bergamotgrade.Entry, error) {
	return callStore(ctx, s, callOptions{homes: homes, patience: patienceFor(0)}, func(ctx context.Context, kv bergamotgrade.KeyValue) (bergamotgrade.Entry, error) {
		return kv.Read(ctx, key, stale)
	})
}

func (s *MonitoredStore) rangeWithin(ctx context.Context, homes bergamotgrade.Homes, prefix string, stale bool) ([]bergamotgrade.Entry, int64, error) {
	answer, err := callStore(ctx, s, callOptions{homes: homes}, func(ctx context.Context, kv bergamotgrade.KeyValue) (rangeResult, error) {
		entries, revision, err := kv.Range(ctx, prefix, stale)
		return rangeResult{entries, revision}, err
	})
	return answer.entries, answer.revision, err
}

func (s *MonitoredStore) commitWithin(ctx context.Context, homes bergamotgrade.Homes, commit bergamotgrade.KeyCommit) (bergamotgrade.CommitResult, error) {
	return callStore(ctx, s, callOptions{homes: homes, patience: patienceFor(commitBytes(commit))}, func(ctx context.Context, kv bergamotgrade.KeyValue) (bergamotgrade.CommitResult, error) {
		return kv.Commit(ctx, commit)
	})
}

// Package standin holds small stand-ins for the systems around the VMs: the
// platform's key-value service, a model engine, a plain service, and a TCP
// proxy that injects faults. They serve tests and the demonstration.
package standin

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/bergamotgrade/bergamotgrade"
)

// KeyValue is the platform's service in memory; it implements
// bergamotgrade.Platform.
type KeyValue struct {
	mu       sync.Mutex
	revision int64
	entries  map[string]stored
	leases   map[string]lease
	changed  chan struct{}
}

type stored struct {
	entry   bergamotgrade.Entry
	leaseID string
}

type lease struct {
	term     time.Duration
	deadline time.Time
}

var _ bergamotgrade.Platform = (*KeyValue)(nil)

// NewKeyValue returns an empty service.
func NewKeyValue() *KeyValue {
	return &KeyValue{entries: map[string]stored{}, leases: map[string]lease{}, changed: make(chan struct{})}
}

func conflict(message string) error {
	return bergamotgrade.NewError(bergamotgrade.KindConflict, message, "read the entry again")
}

// notify wakes all watches; the caller holds the lock.
func (s *KeyValue) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire drops lapsed leases with their entries; the caller holds the lock.
func (s *KeyValue) expire() {
	now := time.Now()
	for id, held := range s.leases {
		if now.After(held.deadline) {
			s.drop(id)
		}
	}
}

func (s *KeyValue) drop(leaseID string) {
	delete(s.leases, leaseID)
	for key, kept := range s.entries {
		if kept.leaseID == leaseID {
			delete(s.entries, key)
			s.revision++
		}
	}
	s.notify()
}

// Get implements bergamotgrade.Platform.
func (s *KeyValue) Get(_ context.Context, key string) (bergamotgrade.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	kept, ok := s.entries[key]
	if !ok {
		return bergamotgrade.Entry{Key: key}, nil
	}
	return kept.entry, nil
}

// List implements bergamotgrade.Platform.
func (s *KeyValue) List(_ context.Context, prefix string) ([]bergamotgrade.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	return s.above(prefix, 0), nil
}

// above returns the entries below the prefix that are newer than the revision;
// the caller holds the lock.
func (s *KeyValue) above(prefix string, revision int64) []bergamotgrade.Entry {
	var found []bergamotgrade.Entry
	for key, kept := range s.entries {
		if strings.HasPrefix(key, prefix) && kept.entry.Revision > revision {
			found = append(found, kept.entry)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found
}

// CompareAndSwap implements bergamotgrade.Platform.
func (s *KeyValue) CompareAndSwap(_ context.Context, key string, value []byte, expected int64, leaseID string) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if s.entries[key].entry.Revision != expected {
		return 0, conflict("the entry has another revision")
	}
	if _, ok := s.leases[leaseID]; leaseID != "" && !ok {
		return 0, conflict("the lease has lapsed")
	}
	s.revision++
	s.entries[key] = stored{entry: bergamotgrade.Entry{Key: key, Value: value, Revision: s.revision}, leaseID: leaseID}
	s.notify()
	return s.revision, nil
}

// Delete implements bergamotgrade.Platform.
func (s *KeyValue) Delete(_ context.Context, key string, expected int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[key].entry.Revision != expected {
		return conflict("the entry has another revision")
	}
	delete(s.entries, key)
	s.revision++
	s.notify()
	return nil
}

// Watch implements bergamotgrade.Platform.
func (s *KeyValue) Watch(ctx context.Context, prefix string, after int64) ([]bergamotgrade.Entry, error) {
	for {
		s.mu.Lock()
		found := s.above(prefix, after)
		changed := s.changed
		s.mu.Unlock()
		if len(found) > 0 {
			return found, nil
		}
		select {
		case <-ctx.Done():
			return nil, nil
		case <-changed:
		}
	}
}

// GrantLease implements bergamotgrade.Platform.
func (s *KeyValue) GrantLease(_ context.Context, leaseID string, term time.Duration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	s.leases[leaseID] = lease{term: term, deadline: time.Now().Add(term)}
	return nil
}

// RenewLease implements bergamotgrade.Platform.
func (s *KeyValue) RenewLease(_ context.Context, leaseID string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	held, ok := s.leases[leaseID]
	if !ok {
		return conflict("the lease has lapsed")
	}
	held.deadline = time.Now().Add(held.term)
	s.leases[leaseID] = held
	return nil
}

// RevokeLease implements bergamotgrade.Platform.
func (s *KeyValue) RevokeLease(_ context.Context, leaseID string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(leaseID)
	return nil
}

// Package follow keeps copies of parts of the platform's store that stay usable
// while the store is away.
package follow

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bergamotgrade/bergamotgrade"
)

const (
	// watchWait is how long one call waits for changes. A watch whose connection
	// has gone silent is found out after it.
	watchWait = 5 * time.Second
	// gather is the pause between two watches, in which changes gather; it bounds
	// the calls of a busy prefix.
	gather = 250 * time.Millisecond
	// firstBackoff and maxBackoff bound the pause after a failed call.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 800 * time.Millisecond
	// peerInterval is the pause between two questions to peers while the store
	// is away.
	peerInterval = 500 * time.Millisecond
	// outageAfter is how long calls fail until the store counts as away.
	outageAfter = time.Second
	// returnGrace is how long after the store's return missing entries are kept:
	// their owners have about two seconds to write them again.
	returnGrace = 2200 * time.Millisecond
)

// Mirror is a copy of all entries below a prefix.
type Mirror struct {
	kv     *Reach
	clock  bergamotgrade.Clock
	prefix string
	// onChange gets a whole new copy after each change.
	onChange func(map[string]bergamotgrade.Entry)
	// peers returns a newer copy that another VM holds, or false.
	peers PeerCopies
	log   *slog.Logger
	// nudged is signalled when a peer is known to have a newer copy.
	nudged chan struct{}

	mu       sync.Mutex
	revision int64
	entries  map[string]bergamotgrade.Entry
	loaded   bool
	// missing holds the entries that may have lapsed while the store was away.
	missing map[string]bool
}

// Copy is one VM's copy of a prefix as of a revision of the store.
type Copy struct {
	Revision int64                 `json:"revision"`
	Entries  []bergamotgrade.Entry `json:"entries,omitempty"`
}

// PeerCopies asks other VMs for a copy of the prefix that is newer than the
// revision.
type PeerCopies func(ctx context.Context, prefix string, above int64) (Copy, bool)

// NewMirror returns an empty copy of the prefix; Run keeps it up to date.
func NewMirror(kv *Reach, clock bergamotgrade.Clock, prefix string, peers PeerCopies, onChange func(map[string]bergamotgrade.Entry), log *slog.Logger) *Mirror {
	return &Mirror{
		kv: kv, clock: clock, prefix: prefix, peers: peers, onChange: onChange, log: log, nudged: make(chan struct{}, 1),
		entries: map[string]bergamotgrade.Entry{}, missing: map[string]bool{},
	}
}

// Loaded reports whether the copy has ever been read.
func (m *Mirror) Loaded() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.loaded
}

// Nudge has a newer copy fetched from a peer.
func (m *Mirror) Nudge() {
	select {
	case m.nudged <- struct{}{}:
	default:
	}
}

// Copy returns this VM's copy if it is newer than the revision.
func (m *Mirror) Copy(above int64) (Copy, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.loaded || m.revision <= above {
		return Copy{}, false
	}
	copied := Copy{Revision: m.revision, Entries: make([]bergamotgrade.Entry, 0, len(m.entries))}
	for _, entry := range m.entries {
		copied.Entries = append(copied.Entries, entry)
	}
	return copied, true
}

// RunNudged fetches newer copies from peers when nudged, and at times while the
// store is away from this VM; others may still reach it.
func (m *Mirror) RunNudged(ctx context.Context) {
	ticker := time.NewTicker(peerInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.nudged:
		case <-ticker.C:
			if m.Loaded() && !m.kv.Away() {
				continue
			}
		}
		m.mu.Lock()
		above := m.revision
		m.mu.Unlock()
		if copied, ok := m.peers(ctx, m.prefix, above); ok {
			m.log.Info("newer copy taken from a peer", "prefix", m.prefix, "revision", copied.Revision, "own_revision", above)
			m.take(copied.Entries, copied.Revision)
		}
	}
}

// Run follows the prefix until the context ends.
func (m *Mirror) Run(ctx context.Context) {
	backoff := firstBackoff
	revision, listed := int64(0), false
	for ctx.Err() == nil {
		var err error
		if listed {
			revision, err = m.watch(ctx, revision)
		} else {
			revision, err = m.list(ctx)
			listed = err == nil
		}
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			backoff = firstBackoff
			if !bergamotgrade.Sleep(ctx, gather) {
				return
			}
		case errors.Is(err, bergamotgrade.ErrHistoryLost):
			m.log.Info("history of the store lost; listing again", "prefix", m.prefix)
			listed = false
		default:
			if !bergamotgrade.Sleep(ctx, backoff) {
				return
			}
			backoff = min(maxBackoff, 2*backoff)
		}
	}
}

func (m *Mirror) list(ctx context.Context) (int64, error) {
	entries, revision, err := m.kv.Range(ctx, m.prefix, false)
	if err != nil {
		return 0, err
	}
	m.take(entries, revision)
	return revision, nil
}

// take replaces the copy by a whole one, unless it is older.
func (m *Mirror) take(entries []bergamotgrade.Entry, revision int64) {
	m.mu.Lock()
	if revision < m.revision {
		m.mu.Unlock()
		return
	}
	m.revision = revision
	now := m.clock.Now()
	seen := make(map[string]bool, len(entries))
	for _, entry := range entries {
		seen[entry.Key] = true
		m.put(entry)
	}
	for key := range m.entries {
		if !seen[key] {
			m.remove(now, key)
		}
	}
	m.loaded = true
	m.mu.Unlock()
	m.publish()
}

func (m *Mirror) watch(ctx context.Context, after int64) (int64, error) {
	wait := watchWait
	m.mu.Lock()
	if len(m.missing) > 0 {
		wait = returnGrace / 4
	}
	m.mu.Unlock()
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	// A watch that has waited through an outage may wait on a dead connection.
	go m.runUntil(watchCtx, cancel, m.kv.Regained())
	changes, revision, err := m.kv.Changes(watchCtx, m.prefix, after, wait)
	if watchCtx.Err() != nil {
		return after, nil
	}
	if err != nil {
		return after, err
	}
	m.mu.Lock()
	m.revision = max(m.revision, revision)
	now := m.clock.Now()
	changed := m.purge(now)
	for _, change := range changes {
		changed = true
		if change.Removed {
			if known := m.entries[change.Key]; known.Revision < change.Revision {
				m.remove(now, change.Key)
			}
			continue
		}
		m.put(change.Entry)
	}
	m.mu.Unlock()
	if changed {
		m.publish()
	}
	return revision, nil
}

// runUntil cancels a watch when the store is back after an outage.
func (m *Mirror) runUntil(ctx context.Context, cancel context.CancelFunc, regained <-chan struct{}) {
	select {
	case <-regained:
		cancel()
	case <-ctx.Done():
	}
}

// put and remove change the copy; the caller holds the lock.
func (m *Mirror) put(entry bergamotgrade.Entry) {
	delete(m.missing, entry.Key)
	if known, ok := m.entries[entry.Key]; ok && known.Revision > entry.Revision {
		return
	}
	m.entries[entry.Key] = entry
}

func (m *Mirror) remove(now time.Time, key string) {
	if m.kv.InGrace(now) {
		m.missing[key] = true
		return
	}
	delete(m.entries, key)
}

// purge drops the entries that are still missing when their time is over.
func (m *Mirror) purge(now time.Time) bool {
	if len(m.missing) == 0 || m.kv.InGrace(now) {
		return false
	}
	for key := range m.missing {
		delete(m.entries, key)
	}
	clear(m.missing)
	return true
}

func (m *Mirror) publish() {
	m.mu.Lock()
	entries := make(map[string]bergamotgrade.Entry, len(m.entries))
	for key, entry := range m.entries {
		entries[key] = entry
	}
	m.mu.Unlock()
	m.onChange(entries)
}

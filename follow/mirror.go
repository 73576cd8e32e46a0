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
	// watchWait is how long one call waits for changes. A waiting watch may miss
	// changes that the store drops with its history, and hears of it after the wait.
	watchWait = 4 * time.Second
	// historyPause is the shortest pause between two rounds of new watches for a
	// dropped history.
	historyPause = time.Second
	// WatcherWait is how long a watcher holds a question of another VM, and
	// watcherTimeout how long that VM waits for the answer. A dead watcher must be
	// found out well before the two seconds in which changes have to be known.
	WatcherWait    = 800 * time.Millisecond
	watcherTimeout = 1100 * time.Millisecond
	// watcherAvoided is how long a watcher that did not answer is not asked.
	watcherAvoided = 3 * time.Second
	// watcherPatience is how long a follower waits for a watcher that reaches the
	// store, or for another one in its place, before it watches by itself: news of
	// watchers takes less, and all followers at once are a burst of calls.
	watcherPatience = 300 * time.Millisecond
	// watcherRetry is the pause between two questions in that time.
	watcherRetry = 100 * time.Millisecond
	// awayRetry is how long a mirror waits for news of the store's return, which
	// probes bring, before it tries by itself.
	awayRetry = 1500 * time.Millisecond
	// returnPause is the pause after the store's return in which VMs learn which of
	// them reach it, so that not all of them watch it.
	returnPause = 200 * time.Millisecond
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
	peers    Peers
	log      *slog.Logger
	// nudged is signalled when a peer is known to have a newer copy.
	nudged chan struct{}

	mu       sync.Mutex
	revision int64
	entries  map[string]bergamotgrade.Entry
	loaded   bool
	// listedAt is the revision of the last whole copy. Watches may have missed
	// changes before it.
	listedAt int64
	// direct is set while this VM hears of changes from the store itself.
	direct bool
	// changed is closed and replaced at each change of the copy.
	changed chan struct{}
	// missing holds the entries that may have lapsed while the store was away.
	missing map[string]bool
}

// Copy is one VM's copy of a prefix as of a revision of the store, without the
// entries that the asking VM has already.
type Copy struct {
	Revision int64 `json:"revision"`
	// ListedAt is the revision of the last whole copy behind this one.
	ListedAt int64                 `json:"listed_at"`
	Entries  []bergamotgrade.Entry `json:"entries,omitempty"`
	// Keys lists the keys of all entries.
	Keys []string `json:"keys,omitempty"`
	// Direct is set where the VM itself hears of changes from the store.
	Direct bool `json:"direct,omitempty"`
}

// Peers are the other VMs as sources of copies.
type Peers interface {
	// Copy asks other VMs for a copy of the prefix that is newer than the
	// revision.
	Copy(ctx context.Context, prefix string, above int64) (Copy, bool)
	// Watcher returns the address of the VM that watches the store for this data
	// centre; false means that it is this VM.
	Watcher() (address string, ok bool)
	// WatchAt waits at a watcher for changes after the revision.
	WatchAt(ctx context.Context, address, prefix string, above int64) (Copy, error)
}

// errIndirect is the failure of a watcher that does not reach the store.
var errIndirect = errors.New("it does not watch the store itself")

// NewMirror returns an empty copy of the prefix; Run keeps it up to date.
func NewMirror(kv *Reach, clock bergamotgrade.Clock, prefix string, peers Peers, onChange func(map[string]bergamotgrade.Entry), log *slog.Logger) *Mirror {
	return &Mirror{
		kv: kv, clock: clock, prefix: prefix, peers: peers, onChange: onChange, log: log, nudged: make(chan struct{}, 1), changed: make(chan struct{}),
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

// Copy returns this VM's copy without the entries up to the revision.
func (m *Mirror) Copy(above int64) Copy {
	m.mu.Lock()
	defer m.mu.Unlock()
	copied := Copy{Direct: m.direct && !m.kv.Away()}
	if !m.loaded || m.revision <= above {
		return copied
	}
	copied.Revision, copied.ListedAt = m.revision, m.listedAt
	for key, entry := range m.entries {
		copied.Keys = append(copied.Keys, key)
		if entry.Revision > above || above < m.listedAt {
			copied.Entries = append(copied.Entries, entry)
		}
	}
	return copied
}

// Await returns this VM's copy once it has changed after the revision, or as it
// is after the wait.
func (m *Mirror) Await(ctx context.Context, above int64, wait time.Duration) Copy {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		turned := m.kv.Turned()
		m.mu.Lock()
		changed := m.changed
		waits := m.direct && m.revision <= above
		m.mu.Unlock()
		if !waits || m.kv.Away() {
			return m.Copy(above)
		}
		select {
		case <-changed:
		case <-turned:
		case <-timer.C:
			return m.Copy(above)
		case <-ctx.Done():
			return m.Copy(above)
		}
	}
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
		if copied, ok := m.peers.Copy(ctx, m.prefix, above); ok {
			m.log.Info("newer copy taken from a peer", "prefix", m.prefix, "revision", copied.Revision, "own_revision", above)
			m.take(copied, m.drop)
		}
	}
}

// Run follows the prefix until the context ends: at the watcher of the data
// centre where there is one, else at the store.
func (m *Mirror) Run(ctx context.Context) {
	backoff, listed := firstBackoff, false
	var avoidUntil, indirectSince time.Time
	for ctx.Err() == nil {
		m.awaitReturn(ctx)
		now := m.clock.Now()
		if address, ok := m.peers.Watcher(); ok && listed && now.After(avoidUntil) {
			err := m.watchAt(ctx, address)
			now = m.clock.Now()
			switch {
			case err == nil:
				indirectSince = time.Time{}
			case errors.Is(err, errIndirect) && (indirectSince.IsZero() || now.Sub(indirectSince) < watcherPatience):
				if indirectSince.IsZero() {
					indirectSince = now
				}
				bergamotgrade.Sleep(ctx, watcherRetry)
			default:
				m.log.Info("watcher of the data centre does not answer; watching the store", "prefix", m.prefix, "watcher", address, "cause", err.Error())
				indirectSince, avoidUntil = time.Time{}, now.Add(watcherAvoided)
			}
			continue
		}
		var err error
		if listed {
			// Followers need not wait for the first change.
			m.setDirect(!m.kv.Away())
			err = m.watch(ctx)
		} else {
			err = m.list(ctx)
			listed = err == nil
		}
		m.setDirect(err == nil)
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

// awaitReturn waits while the store is away, for a while.
func (m *Mirror) awaitReturn(ctx context.Context) {
	turned := m.kv.Turned()
	if !m.kv.Away() {
		return
	}
	m.setDirect(false)
	timer := time.NewTimer(awayRetry)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-turned:
		bergamotgrade.Sleep(ctx, returnPause)
	}
}

func (m *Mirror) setDirect(direct bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.direct = direct
}

func (m *Mirror) list(ctx context.Context) error {
	entries, revision, err := m.kv.Range(ctx, m.prefix, false)
	if err != nil {
		return err
	}
	copied := Copy{Revision: revision, ListedAt: revision, Entries: entries}
	for _, entry := range entries {
		copied.Keys = append(copied.Keys, entry.Key)
	}
	m.take(copied, m.remove)
	return nil
}

// watchAt follows the watcher of the data centre for a while.
func (m *Mirror) watchAt(ctx context.Context, address string) error {
	m.mu.Lock()
	m.direct = false
	above := m.revision
	m.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, watcherTimeout)
	defer cancel()
	copied, err := m.peers.WatchAt(callCtx, address, m.prefix, above)
	switch {
	case err != nil:
		return err
	case !copied.Direct:
		return errIndirect
	case copied.Revision > above:
		m.take(copied, m.drop)
	}
	return nil
}

// take replaces the copy by a whole one, unless it is older. missing is called
// for entries that are not in it: a peer has already kept those that may come
// back.
func (m *Mirror) take(copied Copy, missing func(now time.Time, key string)) {
	m.mu.Lock()
	if copied.Revision < m.revision {
		m.mu.Unlock()
		return
	}
	m.revision = copied.Revision
	m.listedAt = max(m.listedAt, copied.ListedAt)
	now := m.clock.Now()
	m.purge(now)
	for _, entry := range copied.Entries {
		m.put(entry)
	}
	listed := make(map[string]bool, len(copied.Keys))
	for _, key := range copied.Keys {
		listed[key] = true
	}
	for key := range m.entries {
		if !listed[key] {
			missing(now, key)
		}
	}
	m.loaded = true
	m.mu.Unlock()
	m.publish()
}

// watch waits at the store for changes.
func (m *Mirror) watch(ctx context.Context) error {
	wait := watchWait
	m.mu.Lock()
	if len(m.missing) > 0 {
		wait = returnGrace / 4
	}
	after := m.revision
	m.mu.Unlock()
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	// A watch that waits while other calls fail may wait on a dead connection.
	go m.runUntil(watchCtx, cancel, m.kv.Turned())
	changes, revision, err := m.kv.Changes(watchCtx, m.prefix, after, wait)
	if watchCtx.Err() != nil {
		return nil
	}
	if err != nil {
		return err
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
	return nil
}

// runUntil cancels a watch when the store's reach turns.
func (m *Mirror) runUntil(ctx context.Context, cancel context.CancelFunc, turned <-chan struct{}) {
	select {
	case <-turned:
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

func (m *Mirror) drop(_ time.Time, key string) {
	delete(m.missing, key)
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
	close(m.changed)
	m.changed = make(chan struct{})
	entries := make(map[string]bergamotgrade.Entry, len(m.entries))
	for key, entry := range m.entries {
		entries[key] = entry
	}
	m.mu.Unlock()
	m.onChange(entries)
}

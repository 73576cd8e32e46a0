// Package follow mirrors prefixes of the platform's key-value store in memory. A
// mirror stays readable while the store is unreachable. In each data centre one VM, the
// watcher, watches the store; the other VMs, its followers, receive the changes from it
// by long polls.
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
	// storeWatchWait is the longest wait of one watch call to the store. A waiting watch
	// may miss changes that the store discards with its history; it learns of the loss
	// only when the wait ends.
	storeWatchWait = 4 * time.Second
	// historyLostInterval is the shortest time between two restarts of all watches
	// because the store discarded its history.
	historyLostInterval = time.Second
	// LongPollWait is how long a watcher holds a long poll of a follower, and
	// longPollTimeout is how long the follower waits for the reply. A follower must
	// detect a dead watcher well within the two seconds in which every VM has to know a
	// change.
	LongPollWait    = 800 * time.Millisecond
	longPollTimeout = 1100 * time.Millisecond
	// watcherBackoff is how long a follower sends no polls after its watcher failed.
	watcherBackoff = 3 * time.Second
	// watcherHandoverWait is how long a follower whose watcher cannot reach the store
	// waits for the watcher to recover or be replaced before it watches the store
	// itself. Gossip announces a replacement sooner than that, and if all followers
	// turned to the store at the same time, the store would receive a burst of calls.
	watcherHandoverWait = 300 * time.Millisecond
	// watcherRetryInterval is the pause between two polls during that wait.
	watcherRetryInterval = 100 * time.Millisecond
	// unreachableRetryWait is how long a mirror leaves it to the probes to detect that
	// the store is reachable again before the mirror calls the store itself.
	unreachableRetryWait = 1500 * time.Millisecond
	// recoveryPause is the pause after the store becomes reachable again. During it the
	// VMs learn which of them reach the store, so that not all of them watch it.
	recoveryPause = 200 * time.Millisecond
	// watchInterval is the pause between two watch calls. The store batches the changes
	// of the pause into one reply, which limits the call rate of a busy prefix.
	watchInterval = 250 * time.Millisecond
	// minBackoff and maxBackoff bound the exponential backoff after a failed call.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// peerFetchInterval is the time between two fetches from peers while the store is
	// unreachable.
	peerFetchInterval = 500 * time.Millisecond
	// outageThreshold is how long calls must fail for an outage of the store to open a
	// grace period for expired entries.
	outageThreshold = time.Second
	// recoveryGracePeriod is how long mirrors keep removed entries after an outage:
	// entries whose leases expired during it are written again by their owners within
	// about two seconds.
	recoveryGracePeriod = 2200 * time.Millisecond
)

// Mirror is an in-memory copy of all entries below a prefix. Its methods are safe for
// concurrent use.
type Mirror struct {
	kv     *MonitoredStore
	clock  bergamotgrade.Clock
	prefix string
	// onChange receives a new map of all entries after each change.
	onChange func(map[string]bergamotgrade.Entry)
	peers    Peers
	log      *slog.Logger
	// fetchRequested is signalled when a peer is known to have a newer copy.
	fetchRequested chan struct{}

	mu       sync.Mutex
	revision int64
	entries  map[string]bergamotgrade.Entry
	loaded   bool
	// listRevision is the revision of the last complete listing. Watches may have
	// missed changes before it.
	listRevision int64
	// watchesStore is set while this VM receives changes from the store itself.
	watchesStore bool
	// changed is closed and replaced on each change of the copy.
	changed chan struct{}
	// pendingRemoval holds the keys of entries that the store has removed, probably
	// because their leases expired during an outage. The entries stay readable until
	// the grace period ends.
	pendingRemoval map[string]bool
}

// Copy is one VM's copy of a prefix as of a revision of the store, without the
// entries that the requesting VM already has.
type Copy struct {
	Revision int64 `json:"revision"`
	// ListedAt is the revision of the last complete listing that this copy builds on.
	ListedAt int64                 `json:"listed_at"`
	Entries  []bergamotgrade.Entry `json:"entries,omitempty"`
	// Keys lists the keys of all entries.
	Keys []string `json:"keys,omitempty"`
	// Direct is set if the VM receives changes from the store itself.
	Direct bool `json:"direct,omitempty"`
}

// Peers fetches copies from the other VMs.
type Peers interface {
	// FetchCopy asks other VMs for a copy of the prefix newer than the revision; it returns
	// false if none has one.
	FetchCopy(ctx context.Context, prefix string, since int64) (Copy, bool)
	// Watcher returns the address of the VM that watches the store for this data
	// centre; false means that this VM has to watch the store itself.
	Watcher() (address string, ok bool)
	// WatchVia sends a long poll to the watcher for changes after the revision.
	WatchVia(ctx context.Context, address, prefix string, since int64) (Copy, error)
}

// errNotWatching reports that the VM polled as the watcher does not watch the store.
var errNotWatching = errors.New("the polled VM does not watch the store itself")

// NewMirror returns an empty mirror of the prefix; its Run methods keep it up to date.
func NewMirror(kv *MonitoredStore, clock bergamotgrade.Clock, prefix string, peers Peers, onChange func(map[string]bergamotgrade.Entry), log *slog.Logger) *Mirror {
	return &Mirror{
		kv: kv, clock: clock, prefix: prefix, peers: peers, onChange: onChange, log: log, fetchRequested: make(chan struct{}, 1), changed: make(chan struct{}),
		entries: map[string]bergamotgrade.Entry{}, pendingRemoval: map[string]bool{},
	}
}

// Loaded reports whether the mirror has received its first complete copy.
func (m *Mirror) Loaded() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.loaded
}

// TriggerPeerFetch triggers a fetch of a newer copy from a peer.
func (m *Mirror) TriggerPeerFetch() {
	select {
	case m.fetchRequested <- struct{}{}:
	default:
	}
}

// CopySince returns this VM's copy without the entries that a VM at the given revision has
// already; it has revision zero if there is nothing newer.
func (m *Mirror) CopySince(since int64) Copy {
	m.mu.Lock()
	defer m.mu.Unlock()
	copied := Copy{Direct: m.watchesStore && !m.kv.Unreachable()}
	if !m.loaded || m.revision <= since {
		return copied
	}
	copied.Revision, copied.ListedAt = m.revision, m.listRevision
	for key, entry := range m.entries {
		copied.Keys = append(copied.Keys, key)
		if entry.Revision > since || since < m.listRevision {
			copied.Entries = append(copied.Entries, entry)
		}
	}
	return copied
}

// AwaitChange waits until the mirror is newer than the revision and returns this VM's copy
// without the entries up to the revision. It returns early if this VM stops watching the
// store, when the wait is over or when the context ends.
func (m *Mirror) AwaitChange(ctx context.Context, since int64, wait time.Duration) Copy {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		stateChanged := m.kv.StateChanged()
		m.mu.Lock()
		changed := m.changed
		waiting := m.watchesStore && m.revision <= since
		m.mu.Unlock()
		if !waiting || m.kv.Unreachable() {
			return m.CopySince(since)
		}
		select {
		case <-changed:
		case <-stateChanged:
		case <-timer.C:
			return m.CopySince(since)
		case <-ctx.Done():
			return m.CopySince(since)
		}
	}
}

// RunPeerFetches fetches newer copies from peers until the context ends: whenever a fetch
// is triggered, and periodically while this VM cannot reach the store, which other VMs
// may still reach.
func (m *Mirror) RunPeerFetches(ctx context.Context) {
	ticker := time.NewTicker(peerFetchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.fetchRequested:
		case <-ticker.C:
			if m.Loaded() && !m.kv.Unreachable() {
				continue
			}
		}
		m.mu.Lock()
		since := m.revision
		m.mu.Unlock()
		if copied, ok := m.peers.FetchCopy(ctx, m.prefix, since); ok {
			m.log.Info("fetched a newer copy of the store prefix from a peer", "prefix", m.prefix, "revision", copied.Revision, "own_revision", since)
			m.applyCopy(copied, m.dropEntry)
		}
	}
}

// Run keeps the mirror up to date until the context ends: by long polls to the watcher
// of the data centre if another VM is the watcher, else by watches of the store.
func (m *Mirror) Run(ctx context.Context) {
	backoff, listed := minBackoff, false
	var avoidUntil, notWatchingSince time.Time
	for ctx.Err() == nil {
		m.awaitRecovery(ctx)
		now := m.clock.Now()
		if address, ok := m.peers.Watcher(); ok && listed && now.After(avoidUntil) {
			err := m.watchVia(ctx, address)
			now = m.clock.Now()
			switch {
			case err == nil:
				notWatchingSince = time.Time{}
			case errors.Is(err, errNotWatching) && (notWatchingSince.IsZero() || now.Sub(notWatchingSince) < watcherHandoverWait):
				if notWatchingSince.IsZero() {
					notWatchingSince = now
				}
				bergamotgrade.Sleep(ctx, watcherRetryInterval)
			default:
				m.log.Info("watcher of the data centre unavailable; watching the store directly", "prefix", m.prefix, "watcher", address, "cause", err.Error())
				notWatchingSince, avoidUntil = time.Time{}, now.Add(watcherBackoff)
			}
			continue
		}
		var err error
		if listed {
			// Set before the first watch returns, so that followers can poll this VM now.
			m.setWatchesStore(!m.kv.Unreachable())
			err = m.watch(ctx)
		} else {
			err = m.list(ctx)
			listed = err == nil
		}
		m.setWatchesStore(err == nil)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			backoff = minBackoff
			if !bergamotgrade.Sleep(ctx, watchInterval) {
				return
			}
		case errors.Is(err, bergamotgrade.ErrHistoryLost):
			m.log.Info("store has discarded the changes since the mirror's revision; listing the prefix again", "prefix", m.prefix)
			listed = false
		default:
			if !bergamotgrade.Sleep(ctx, backoff) {
				return
			}
			backoff = min(maxBackoff, 2*backoff)
		}
	}
}

// awaitRecovery waits while the store is unreachable, but no longer than
// unreachableRetryWait. After a state change of the store it waits for recoveryPause.
func (m *Mirror) awaitRecovery(ctx context.Context) {
	stateChanged := m.kv.StateChanged()
	if !m.kv.Unreachable() {
		return
	}
	m.setWatchesStore(false)
	timer := time.NewTimer(unreachableRetryWait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-stateChanged:
		bergamotgrade.Sleep(ctx, recoveryPause)
	}
}

func (m *Mirror) setWatchesStore(watchesStore bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.watchesStore = watchesStore
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
	m.applyCopy(copied, m.removeOrRetain)
	return nil
}

// watchVia sends one long poll to the watcher and applies the reply.
func (m *Mirror) watchVia(ctx context.Context, address string) error {
	m.mu.Lock()
	m.watchesStore = false
	since := m.revision
	m.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, longPollTimeout)
	defer cancel()
	copied, err := m.peers.WatchVia(callCtx, address, m.prefix, since)
	switch {
	case err != nil:
		return err
	case !copied.Direct:
		return errNotWatching
	case copied.Revision > since:
		m.applyCopy(copied, m.dropEntry)
	}
	return nil
}

// applyCopy brings the mirror to the state of a copy, unless the copy is older.
// onMissing is called for each entry that is not in the copy. For a copy from a peer it
// can drop the entry: the peer's copy still has the entries of a running grace period.
func (m *Mirror) applyCopy(copied Copy, onMissing func(now time.Time, key string)) {
	m.mu.Lock()
	if copied.Revision < m.revision {
		m.mu.Unlock()
		return
	}
	m.revision = copied.Revision
	m.listRevision = max(m.listRevision, copied.ListedAt)
	now := m.clock.Now()
	m.dropExpired(now)
	for _, entry := range copied.Entries {
		m.put(entry)
	}
	listed := make(map[string]bool, len(copied.Keys))
	for _, key := range copied.Keys {
		listed[key] = true
	}
	for key := range m.entries {
		if !listed[key] {
			onMissing(now, key)
		}
	}
	m.loaded = true
	m.mu.Unlock()
	m.publish()
}

// watch makes one watch call to the store and applies the changes. It returns nil if
// the call was cancelled.
func (m *Mirror) watch(ctx context.Context) error {
	wait := storeWatchWait
	m.mu.Lock()
	if len(m.pendingRemoval) > 0 {
		wait = recoveryGracePeriod / 4
	}
	after := m.revision
	m.mu.Unlock()
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	// If other calls fail meanwhile, the watch may be waiting on a dead connection.
	go m.cancelOnStateChange(watchCtx, cancel, m.kv.StateChanged())
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
	changed := m.dropExpired(now)
	for _, change := range changes {
		changed = true
		if change.Removed {
			if current := m.entries[change.Key]; current.Revision < change.Revision {
				m.removeOrRetain(now, change.Key)
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

// cancelOnStateChange cancels a watch when the reachability of the store changes or
// its history is lost.
func (m *Mirror) cancelOnStateChange(ctx context.Context, cancel context.CancelFunc, stateChanged <-chan struct{}) {
	select {
	case <-stateChanged:
		cancel()
	case <-ctx.Done():
	}
}

// put stores the entry unless the mirror has a newer one. The caller holds the lock.
func (m *Mirror) put(entry bergamotgrade.Entry) {
	delete(m.pendingRemoval, entry.Key)
	if current, ok := m.entries[entry.Key]; ok && current.Revision > entry.Revision {
		return
	}
	m.entries[entry.Key] = entry
}

// removeOrRetain deletes the entry or, during a grace period, marks it for later removal.
// The caller holds the lock.
func (m *Mirror) removeOrRetain(now time.Time, key string) {
	if m.kv.InGracePeriod(now) {
		m.pendingRemoval[key] = true
		return
	}
	delete(m.entries, key)
}

// dropEntry deletes the entry at once. The caller holds the lock.
func (m *Mirror) dropEntry(_ time.Time, key string) {
	delete(m.pendingRemoval, key)
	delete(m.entries, key)
}

// dropExpired deletes the entries that are still pending removal once the grace period
// is over, and reports whether there were any. The caller holds the lock.
func (m *Mirror) dropExpired(now time.Time) bool {
	if len(m.pendingRemoval) == 0 || m.kv.InGracePeriod(now) {
		return false
	}
	for key := range m.pendingRemoval {
		delete(m.entries, key)
	}
	clear(m.pendingRemoval)
	return true
}

// publish wakes all callers that wait for a change and passes all entries to onChange.
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

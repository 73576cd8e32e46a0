// Package follow mirrors prefixes of the platform's key-value store in memory. A
// mirror stays readable while the store is unreachable. One VM of the fleet watches the
// store; one VM of each other data centre fetches the changes from it, and all others fetch
// them from the VM of their data centre. Announcements of these VMs tell the others when
// there is something to fetch, so nobody polls.
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
	// LongWatchWait is the longest wait of one watch call to the store. A waiting watch may miss
	// changes that the store discards with its history; it learns of the loss only when the wait
	// ends. ShortWatchWait is for prefixes whose changes have to be known within two seconds
	// nevertheless; it costs more calls while nothing changes.
	LongWatchWait  = 4 * time.Second
	ShortWatchWait = 1500 * time.Millisecond
	// watchLateness is how much longer than its wait a watch may take: an answer that is later was probably
	// lost, and the changes since then are known by the next watch.
	watchLateness = 400 * time.Millisecond
	// historyLostInterval is the shortest time between two restarts of all watches
	// because the store discarded its history.
	historyLostInterval = time.Second
	// fetchTimeout bounds a fetch from the source. Every VM has to know a change within two
	// seconds, also if its source ends without a word.
	fetchTimeout = 600 * time.Millisecond
	// maxAnnouncementAge is the age up to which other VMs go by an announced copy. The calls
	// of a slow store take a good part of a second; a source that has ended is found sooner,
	// by gossip.
	maxAnnouncementAge = 1500 * time.Millisecond
	// sourceBackoff is how long a mirror goes without its source after it has failed.
	sourceBackoff = 3 * time.Second
	// sourceHandoverWait is how long a mirror whose source fails waits for it to recover or
	// be replaced before it watches the store itself. Gossip names a replacement sooner
	// than that, and if all VMs turned to the store at the same time, the store would
	// receive a burst of calls.
	sourceHandoverWait = 300 * time.Millisecond
	// sourceCheckInterval is the pause between two looks at the source without a signal,
	// sourceRetryInterval the one after a failure.
	sourceCheckInterval = 250 * time.Millisecond
	sourceRetryInterval = 50 * time.Millisecond
	// joinTimeout is how long a starting VM waits until it hears of other VMs. Without the
	// wait, all VMs of a fleet that starts would list the store.
	joinTimeout = time.Second
	// joinListInterval is the pause between two listings while the VM waits, of the prefix
	// that tells it of the other VMs.
	joinListInterval = 200 * time.Millisecond
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
	start  Start
	// fetchInterval is the shortest pause between two fetches from the source.
	fetchInterval time.Duration
	// watchWait is the longest wait of one watch call to the store.
	watchWait time.Duration
	// onChange receives a new map of all entries after each change.
	onChange func(map[string]bergamotgrade.Entry)
	peers    Peers
	log      *slog.Logger
	// fetchRequested is signalled when a peer is known to have a newer copy, announced when
	// the source may have one.
	fetchRequested, announced chan struct{}

	// publishing is held from the reading of the entries to the end of onChange, so that onChange never
	// receives older entries after newer ones.
	publishing sync.Mutex

	mu       sync.Mutex
	revision int64
	entries  map[string]bergamotgrade.Entry
	loaded   bool
	// listRevision is the revision of the last complete listing. Watches may have
	// missed changes before it.
	listRevision int64
	// watchesStore is set while this VM receives changes from the store itself.
	watchesStore bool
	// confirmedAt is when the copy was last known to be up to date.
	confirmedAt time.Time
	// changedAt is the revision of the copy at its last change.
	changedAt int64
	// removedAt is the revision of the copy at the last removal of an entry.
	removedAt int64
	// pendingRemoval holds the keys of entries that the store has removed, probably
	// because their leases expired during an outage. Each stays readable until its time, and
	// until the grace period of this VM ends.
	pendingRemoval map[string]time.Time
}

// Start is the way in which a mirror gets its first copy.
type Start int

const (
	// StartJoined waits until this VM hears of others, and fetches the copy from them.
	StartJoined Start = iota
	// StartDiscovering is for the prefix that tells of the other VMs: it is listed while the
	// VM waits, from reads that may be seconds old.
	StartDiscovering
	// StartAtOnce lists the store.
	StartAtOnce
)

// errSourceBehind reports that the source has an older copy than it has announced, as after
// a restart.
var errSourceBehind = errors.New("the source has an older copy than it has announced")

// errSourceSilent reports that the source has announced nothing recently.
var errSourceSilent = errors.New("the source has announced nothing recently")

// NewMirror returns an empty mirror of the prefix; its Run methods keep it up to date. With
// a source it makes at most one fetch in each fetchInterval; without one, each call that watches
// the store waits for watchWait at most.
func NewMirror(kv *MonitoredStore, clock bergamotgrade.Clock, prefix string, start Start, fetchInterval, watchWait time.Duration, peers Peers, onChange func(map[string]bergamotgrade.Entry), log *slog.Logger) *Mirror {
	return &Mirror{
		kv: kv, clock: clock, prefix: prefix, start: start, fetchInterval: fetchInterval, watchWait: watchWait, peers: peers, onChange: onChange, log: log, fetchRequested: make(chan struct{}, 1), announced: make(chan struct{}, 1),
		entries: map[string]bergamotgrade.Entry{}, pendingRemoval: map[string]time.Time{},
	}
}

// Loaded reports whether the mirror has received its first complete copy.
func (m *Mirror) Loaded() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.loaded
}

// TriggerPeerFetch triggers a fetch of a newer copy from a peer.
func (m *Mirror) TriggerPeerFetch() { signal(m.fetchRequested) }

// Announced tells the mirror that its source may have a newer copy. It never blocks.
func (m *Mirror) Announced() { signal(m.announced) }

func signal(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// Announcement returns the position of the copy, and how long ago it was up to date; ok is
// false if that is too long ago for other VMs to go by this one.
func (m *Mirror) Announcement() (position Position, age time.Duration, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	position = m.currentPosition()
	now := m.clock.Now()
	switch age = now.Sub(m.confirmedAt); {
	case !m.loaded:
		return position, 0, false
	case m.watchesStore:
		return position, m.kv.SinceSuccess(now), !m.kv.Unreachable()
	default:
		return position, age, age <= maxAnnouncementAge
	}
}

// position returns the position of the copy.
func (m *Mirror) position() Position {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.currentPosition()
}

// currentPosition returns the position of the copy. The caller holds the lock.
func (m *Mirror) currentPosition() Position {
	return Position{Revision: m.revision, ChangedAt: m.changedAt, ListedAt: m.listRevision}
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
		than := m.position()
		if copied, ok := m.peers.FetchCopy(ctx, m.prefix, than); ok {
			m.log.Info("fetched a newer copy of the store prefix from a peer", "prefix", m.prefix, "revision", copied.Revision, "own_revision", than.Revision)
			m.applyCopy(copied, m.dropEntry)
		}
	}
}

// Run keeps the mirror up to date until the context ends: from its source if it has one,
// else by watches of the store.
func (m *Mirror) Run(ctx context.Context) {
	m.awaitJoin(ctx)
	backoff, listed := minBackoff, false
	var avoidUntil, failingSince time.Time
	for ctx.Err() == nil {
		now := m.clock.Now()
		if source, ok := m.peers.Source(m.prefix); ok && now.After(avoidUntil) {
			m.setWatchesStore(false)
			fetched, err := m.follow(ctx, source)
			now = m.clock.Now()
			handoverWait := sourceHandoverWait
			if !m.Loaded() {
				handoverWait = joinTimeout // the source may have just started too
			}
			switch {
			case err == nil:
				failingSince, listed = time.Time{}, true
				if fetched {
					bergamotgrade.Sleep(ctx, m.fetchInterval)
				}
				m.awaitAnnouncement(ctx)
			case failingSince.IsZero() || now.Sub(failingSince) < handoverWait:
				if failingSince.IsZero() {
					failingSince = now
				}
				bergamotgrade.Sleep(ctx, sourceRetryInterval)
			default:
				m.log.Info("source of the mirror unavailable; watching the store directly", "prefix", m.prefix, "source", source.Address, "cause", err.Error())
				failingSince, avoidUntil = time.Time{}, now.Add(sourceBackoff)
			}
			continue
		}
		m.awaitRecovery(ctx)
		var err error
		if listed {
			// Set before the first watch returns, so that followers can fetch from this VM now.
			m.setWatchesStore(!m.kv.Unreachable())
			err = m.watch(ctx)
			if err == errWatchLate {
				m.log.Info("answer of a watch is overdue; watching again", "prefix", m.prefix)
				continue
			}
		} else {
			err = m.list(ctx, false)
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

// awaitJoin waits until this VM hears of other VMs, but not longer than joinTimeout.
func (m *Mirror) awaitJoin(ctx context.Context) {
	if m.start == StartAtOnce {
		return
	}
	deadline := m.clock.Now().Add(joinTimeout)
	for ctx.Err() == nil && !m.peers.Joined() && m.clock.Now().Before(deadline) {
		pause := sourceRetryInterval
		if m.start == StartDiscovering {
			pause = joinListInterval
			if err := m.list(ctx, true); err != nil {
				m.log.Info("other VMs cannot be listed yet; retrying", "prefix", m.prefix, "cause", err.Error())
			}
		}
		bergamotgrade.Sleep(ctx, pause)
	}
}

// awaitAnnouncement waits until the source may have something new.
func (m *Mirror) awaitAnnouncement(ctx context.Context) {
	timer := time.NewTimer(sourceCheckInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-m.announced:
	case <-timer.C:
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

// list reads all entries; stale allows a read that may be seconds old.
func (m *Mirror) list(ctx context.Context, stale bool) error {
	entries, revision, err := m.kv.Range(ctx, m.prefix, stale)
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

// follow fetches what the source has announced since the last fetch, if anything.
func (m *Mirror) follow(ctx context.Context, source Source) (fetched bool, err error) {
	now := m.clock.Now()
	if source.Position.Revision == 0 || source.Age > maxAnnouncementAge {
		return false, errSourceSilent
	}
	if than := m.position(); source.Position.newerThan(than) {
		callCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
		copied, err := m.peers.CopyFrom(callCtx, source.Address, m.prefix, than)
		if err != nil {
			return false, err
		}
		if copied.Revision < source.Position.ChangedAt {
			return false, errSourceBehind
		}
		m.applyCopy(copied, m.dropEntry)
		fetched = true
	}
	m.mu.Lock()
	// Up to the revision of the source nothing has changed that this copy has not.
	m.revision = max(m.revision, source.Position.Revision)
	if confirmedAt := now.Add(-source.Age); confirmedAt.After(m.confirmedAt) {
		m.confirmedAt = confirmedAt
	}
	changed := m.dropExpired(now)
	m.mu.Unlock()
	if changed {
		m.publish()
	}
	return fetched, nil
}

// Refresh brings the copy up to date from its source if that is needed, and reports whether
// it was up to date less than maxAge ago. It does not call the store.
func (m *Mirror) Refresh(ctx context.Context, maxAge time.Duration) bool {
	if m.UpToDate(maxAge) {
		return true
	}
	source, ok := m.peers.Source(m.prefix)
	if !ok {
		return false
	}
	if _, err := m.follow(ctx, source); err != nil {
		m.log.Info("copy cannot be refreshed from its source", "prefix", m.prefix, "source", source.Address, "cause", err.Error())
		return false
	}
	return m.UpToDate(maxAge)
}

// WatchesStore reports whether this VM receives the changes from the store itself.
func (m *Mirror) WatchesStore() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.watchesStore
}

// IsBehind reports whether a copy with the given changes has something that this one has
// not.
func (m *Mirror) IsBehind(changedAt, listedAt int64) bool {
	return Position{ChangedAt: changedAt, ListedAt: listedAt}.newerThan(m.position())
}

// UpToDate reports whether the copy was up to date less than maxAge ago.
func (m *Mirror) UpToDate(maxAge time.Duration) bool {
	_, age, ok := m.Announcement()
	return ok && age <= maxAge
}

// errWatchLate reports that the answer of a watch is overdue.
var errWatchLate = errors.New("the answer of the watch is overdue")

// watch makes one watch call to the store and applies the changes. It returns nil if
// the call was cancelled, and errWatchLate if its answer does not come.
func (m *Mirror) watch(ctx context.Context) error {
	wait := m.watchWait
	m.mu.Lock()
	if len(m.pendingRemoval) > 0 {
		wait = recoveryGracePeriod / 4
	}
	after := m.revision
	m.mu.Unlock()
	watchCtx, cancel := context.WithTimeoutCause(ctx, wait+watchLateness, errWatchLate)
	defer cancel()
	// If other calls fail meanwhile, the watch may be waiting on a dead connection.
	go m.cancelOnStateChange(watchCtx, cancel, m.kv.StateChanged())
	changes, revision, err := m.kv.Changes(watchCtx, m.prefix, after, wait)
	if err != nil && context.Cause(watchCtx) == errWatchLate {
		return errWatchLate
	}
	if watchCtx.Err() != nil {
		return nil
	}
	if err != nil {
		return err
	}
	m.mu.Lock()
	if revision < m.revision {
		changes = nil // a newer copy from a peer has arrived meanwhile, perhaps without some of the entries
	}
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
	if changed {
		m.changedAt = m.revision
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

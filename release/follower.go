package release

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/timeline"
)

// Follower holds the configuration state in force on this VM. Its revision never
// decreases, even if a stale read or a peer returns an older state.
type Follower struct {
	clock bergamotgrade.Clock
	store *Store
	ring  *timeline.Ring

	state atomic.Pointer[State]

	mu          sync.Mutex
	recentNotes []AcceptedNote
	pending     map[int64]AcceptedNote
	listeners   []func(*State)
	// lastReadStart is the start time of the last successful read of the head.
	lastReadStart time.Time
}

// NewFollower returns a follower with the empty configuration at revision zero.
func NewFollower(clock bergamotgrade.Clock, store *Store, ring *timeline.Ring) *Follower {
	f := &Follower{clock: clock, store: store, ring: ring, pending: map[int64]AcceptedNote{}}
	f.state.Store(NewState())
	return f
}

// State returns the state in force.
func (f *Follower) State() *State { return f.state.Load() }

// OnChange registers a listener that is called with each new state in order of revision.
func (f *Follower) OnChange(listener func(*State)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listeners = append(f.listeners, listener)
}

// Refresh updates the state to the head stored in the platform.
func (f *Follower) Refresh(ctx context.Context) error {
	startedAt := f.clock.Now()
	base := f.State()
	next, notes, err := f.store.Load(ctx, base)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.lastReadStart = startedAt
	f.mu.Unlock()
	f.install(next, notes)
	return nil
}

// ApplyNotes applies accepted notes from a peer, oldest first, and reports whether the
// state advanced. Notes after a missing revision are ignored.
func (f *Follower) ApplyNotes(notes []AcceptedNote) bool {
	next := f.State()
	for _, note := range notes {
		next = next.Apply(note)
	}
	return f.install(next, notes)
}

// InstallState installs a complete state from a peer and reports whether the state
// advanced. A VM that starts while the platform is unreachable gets its configuration
// this way.
func (f *Follower) InstallState(revision int64, records Records) bool {
	next := NewState().withRecords(records)
	next.revision = revision
	return f.install(next, nil)
}

// install puts the state in force if its revision is above the current one.
func (f *Follower) install(next *State, notes []AcceptedNote) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if next.Revision() <= f.State().Revision() {
		return false
	}
	f.state.Store(next)
	f.retainNotes(notes, next.Revision())
	for revision := range f.pending {
		if revision <= next.Revision() {
			delete(f.pending, revision)
		}
	}
	f.ring.Record(timeline.KindRevision, "", "", fmt.Sprintf("revision %d in force", next.Revision()))
	for _, listener := range f.listeners {
		listener(next)
	}
	return true
}

// retainNotes keeps the recent notes as a sequence without missing revisions that ends at
// the given revision, and drops them when a revision is missing. The caller holds f.mu.
func (f *Follower) retainNotes(notes []AcceptedNote, revision int64) {
	for _, note := range notes {
		if n := len(f.recentNotes); n > 0 && note.Revision > f.recentNotes[n-1].Revision+1 {
			f.recentNotes = nil
		}
		if n := len(f.recentNotes); n == 0 || note.Revision == f.recentNotes[n-1].Revision+1 {
			f.recentNotes = append(f.recentNotes, note)
		}
	}
	if n := len(f.recentNotes); n > 0 && f.recentNotes[n-1].Revision != revision {
		f.recentNotes = nil
	}
	if extra := len(f.recentNotes) - maxRecentNotes; extra > 0 {
		f.recentNotes = append([]AcceptedNote(nil), f.recentNotes[extra:]...)
	}
}

// NotesAbove returns the accepted notes above the revision, oldest first. It returns false
// if this VM no longer has the first of them.
func (f *Follower) NotesAbove(revision int64) ([]AcceptedNote, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.State().Revision() <= revision {
		return nil, true
	}
	for i, note := range f.recentNotes {
		if note.Revision == revision+1 {
			return append([]AcceptedNote(nil), f.recentNotes[i:]...), true
		}
	}
	return nil, false
}

// AddPending stores a note that a VM has announced and is about to commit.
func (f *Follower) AddPending(note AcceptedNote) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if note.Revision > f.State().Revision() {
		f.pending[note.Revision] = note
	}
}

// Pending returns the announced notes that this VM does not know to be accepted.
func (f *Follower) Pending() []AcceptedNote {
	f.mu.Lock()
	defer f.mu.Unlock()
	notes := make([]AcceptedNote, 0, len(f.pending))
	for _, note := range f.pending {
		notes = append(notes, note)
	}
	return notes
}

// KeyMayBeWithdrawn reports whether a pending note withdraws the key or its team while
// this VM cannot reach the platform: its last successful read of the head is at least two
// poll intervals old. Such a key must be refused because the note may have been accepted.
func (f *Follower) KeyMayBeWithdrawn(key bergamotgrade.Key) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.pending) == 0 || f.clock.Now().Sub(f.lastReadStart) < 2*maxPollInterval {
		return false
	}
	for _, pending := range f.pending {
		for _, hash := range pending.Note.Withdraw.KeyHashes {
			if hash == key.KeyHash {
				return true
			}
		}
		for _, id := range pending.Note.Withdraw.TeamIDs {
			if id == key.TeamID {
				return true
			}
		}
	}
	return false
}

// Run reads the head at least once per poll interval until the context ends. The VM that
// is the watcher of its data centre also watches the head for changes.
func (f *Follower) Run(ctx context.Context, isWatcher func() bool) {
	var watch sync.WaitGroup
	defer watch.Wait()
	changed := make(chan struct{}, 1)
	watch.Go(func() { f.watchHead(ctx, isWatcher, changed) })
	for {
		pause := maxPollInterval
		if err := f.Refresh(ctx); err != nil {
			pause = retryDelay
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// watchHead watches the head while this VM is the watcher of its data centre and signals
// each possible change.
func (f *Follower) watchHead(ctx context.Context, isWatcher func() bool, changed chan<- struct{}) {
	for ctx.Err() == nil {
		if !isWatcher() {
			bergamotgrade.Sleep(ctx, retryDelay)
			continue
		}
		head, after, err := f.store.Head(ctx)
		if err == nil && head.Revision <= f.State().Revision() {
			err = f.store.Watch(ctx, after)
		}
		if err != nil {
			bergamotgrade.Sleep(ctx, retryDelay)
			continue
		}
		select {
		case changed <- struct{}{}:
		default:
		}
	}
}

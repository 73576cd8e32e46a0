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

// Follower keeps the state in force on this VM. Its revision never falls,
// whatever a lagging read or a peer says.
type Follower struct {
	clock bergamotgrade.Clock
	store *Store
	ring  *timeline.Ring

	state atomic.Pointer[State]

	mu        sync.Mutex
	notes     []AcceptedNote
	pending   map[int64]AcceptedNote
	listeners []func(*State)
	// readAt is when the last successful read of the head began.
	readAt time.Time
}

// NewFollower returns a follower at revision zero.
func NewFollower(clock bergamotgrade.Clock, store *Store, ring *timeline.Ring) *Follower {
	f := &Follower{clock: clock, store: store, ring: ring, pending: map[int64]AcceptedNote{}}
	f.state.Store(NewState())
	return f
}

// State returns the state in force.
func (f *Follower) State() *State { return f.state.Load() }

// OnChange registers a listener that gets each new state in order.
func (f *Follower) OnChange(listener func(*State)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listeners = append(f.listeners, listener)
}

// Refresh brings the state up to the platform's head.
func (f *Follower) Refresh(ctx context.Context) error {
	startedAt := f.clock.Now()
	base := f.State()
	next, notes, err := f.store.Load(ctx, base)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.readAt = startedAt
	f.mu.Unlock()
	f.install(next, notes)
	return nil
}

// Offer takes accepted notes from a peer, oldest first, and reports whether
// they led to a newer state. Notes behind a gap are left.
func (f *Follower) Offer(notes []AcceptedNote) bool {
	next := f.State()
	for _, note := range notes {
		next = next.Apply(note)
	}
	return f.install(next, notes)
}

// OfferState takes a whole state from a peer, for a VM that starts while the
// platform is down.
func (f *Follower) OfferState(revision int64, records Records) bool {
	next := NewState().withRecords(records)
	next.revision = revision
	return f.install(next, nil)
}

// install puts the state in force unless a newer one already is.
func (f *Follower) install(next *State, notes []AcceptedNote) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if next.Revision() <= f.State().Revision() {
		return false
	}
	f.state.Store(next)
	f.keep(notes, next.Revision())
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

// keep remembers recent notes without gaps; the caller holds the lock.
func (f *Follower) keep(notes []AcceptedNote, revision int64) {
	for _, note := range notes {
		if n := len(f.notes); n > 0 && note.Revision > f.notes[n-1].Revision+1 {
			f.notes = nil
		}
		if n := len(f.notes); n == 0 || note.Revision == f.notes[n-1].Revision+1 {
			f.notes = append(f.notes, note)
		}
	}
	if n := len(f.notes); n > 0 && f.notes[n-1].Revision != revision {
		f.notes = nil
	}
	if extra := len(f.notes) - keptNotes; extra > 0 {
		f.notes = append([]AcceptedNote(nil), f.notes[extra:]...)
	}
}

// NotesAbove returns the accepted notes above the revision, oldest first, or
// false when this VM no longer keeps the oldest of them.
func (f *Follower) NotesAbove(revision int64) ([]AcceptedNote, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.State().Revision() <= revision {
		return nil, true
	}
	for i, note := range f.notes {
		if note.Revision == revision+1 {
			return append([]AcceptedNote(nil), f.notes[i:]...), true
		}
	}
	return nil, false
}

// OfferPending remembers a note that a peer is about to have accepted.
func (f *Follower) OfferPending(note AcceptedNote) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if note.Revision > f.State().Revision() {
		f.pending[note.Revision] = note
	}
}

// Pending returns the notes whose acceptance this VM has not learnt of.
func (f *Follower) Pending() []AcceptedNote {
	f.mu.Lock()
	defer f.mu.Unlock()
	notes := make([]AcceptedNote, 0, len(f.pending))
	for _, note := range f.pending {
		notes = append(notes, note)
	}
	return notes
}

// KeyDoubtful reports whether a pending note withdraws the key or its team
// while this VM cannot ask the platform. Such a key is refused: the note may
// have been accepted.
func (f *Follower) KeyDoubtful(key bergamotgrade.Key) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.pending) == 0 || f.clock.Now().Sub(f.readAt) < 2*pollFloor {
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

// Run reads the head at least once in each poll interval until the context
// ends. The VM that is the reader of its data
// centre also keeps a watch on the head.
func (f *Follower) Run(ctx context.Context, isReader func() bool) {
	var watch sync.WaitGroup
	defer watch.Wait()
	changed := make(chan struct{}, 1)
	watch.Go(func() { f.loopWatch(ctx, isReader, changed) })
	for {
		pause := pollFloor
		if err := f.Refresh(ctx); err != nil {
			pause = failurePause
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

// loopWatch waits for changes of the head while this VM is the reader.
func (f *Follower) loopWatch(ctx context.Context, isReader func() bool, changed chan<- struct{}) {
	for ctx.Err() == nil {
		if !isReader() {
			bergamotgrade.Sleep(ctx, failurePause)
			continue
		}
		head, after, err := f.store.Head(ctx)
		if err == nil && head.Revision <= f.State().Revision() {
			err = f.store.Watch(ctx, after)
		}
		if err != nil {
			bergamotgrade.Sleep(ctx, failurePause)
			continue
		}
		select {
		case changed <- struct{}{}:
		default:
		}
	}
}

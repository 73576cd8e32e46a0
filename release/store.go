package release

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/bergamotgrade/bergamotgrade"
)

// Store reads and writes the configuration in the platform's service.
type Store struct {
	platform bergamotgrade.Platform
}

// NewStore returns a store on the platform's service.
func NewStore(platform bergamotgrade.Platform) *Store {
	return &Store{platform: platform}
}

// Head returns the head and the platform revision of its value.
func (s *Store) Head(ctx context.Context) (Head, int64, error) {
	entry, err := s.platform.Get(ctx, headKey)
	if err != nil {
		return Head{}, 0, err
	}
	if entry.Revision == 0 {
		return Head{}, 0, nil
	}
	var head Head
	if err := json.Unmarshal(entry.Value, &head); err != nil {
		return Head{}, 0, damaged(headKey, err)
	}
	return head, entry.Revision, nil
}

// Watch waits until the head may have changed after the platform revision.
func (s *Store) Watch(ctx context.Context, after int64) error {
	ctx, cancel := context.WithTimeout(ctx, watchTerm)
	defer cancel()
	_, err := s.platform.Watch(ctx, headKey, after)
	return err
}

// Notes returns the accepted notes above the revision up to the head, oldest
// first.
func (s *Store) Notes(ctx context.Context, head Head, above int64) ([]AcceptedNote, error) {
	var notes []AcceptedNote
	key := head.NoteKey
	for key != "" {
		note, err := s.note(ctx, key)
		if err != nil {
			return nil, err
		}
		if note.Revision <= above {
			break
		}
		notes = append(notes, note)
		key = note.PreviousKey
	}
	for i, j := 0, len(notes)-1; i < j; i, j = i+1, j-1 {
		notes[i], notes[j] = notes[j], notes[i]
	}
	return notes, nil
}

func (s *Store) note(ctx context.Context, key string) (AcceptedNote, error) {
	entry, err := s.platform.Get(ctx, key)
	if err != nil {
		return AcceptedNote{}, err
	}
	var note AcceptedNote
	if err := json.Unmarshal(entry.Value, &note); err != nil {
		return AcceptedNote{}, damaged(key, err)
	}
	return note, nil
}

// Load returns the state at the head or newer than the given one. It reads the
// snapshot only when the given state is older than that.
func (s *Store) Load(ctx context.Context, state *State) (*State, []AcceptedNote, error) {
	head, _, err := s.Head(ctx)
	if err != nil || head.Revision <= state.Revision() {
		return state, nil, err
	}
	if state.Revision() < head.SnapshotRevision {
		if state, err = s.snapshot(ctx, head); err != nil {
			return nil, nil, err
		}
	}
	notes, err := s.Notes(ctx, head, state.Revision())
	if err != nil {
		return nil, nil, err
	}
	for _, note := range notes {
		state = state.Apply(note)
	}
	return state, notes, nil
}

func (s *Store) snapshot(ctx context.Context, head Head) (*State, error) {
	state := NewState()
	for part := range head.SnapshotParts {
		key := snapshotKey(head.SnapshotID, part)
		entry, err := s.platform.Get(ctx, key)
		if err != nil {
			return nil, err
		}
		var records Records
		if err := json.Unmarshal(entry.Value, &records); err != nil {
			return nil, damaged(key, err)
		}
		state = state.withRecords(records)
	}
	state.revision = head.SnapshotRevision
	return state, nil
}

// Announce tells other VMs of a note that is about to be accepted.
type Announce func(ctx context.Context, note AcceptedNote) error

// Submit accepts the note by one compare-and-swap on the head and returns its
// revision. A note that was accepted before returns its first revision.
// It reads the configuration from the base state on. announce, if not nil, is
// called with the note before the swap and can refuse it.
func (s *Store) Submit(ctx context.Context, note Note, base *State, announce Announce) (int64, error) {
	for {
		revision, err := s.submitOnce(ctx, note, base, announce)
		if !bergamotgrade.IsKind(err, bergamotgrade.KindPlatformDown) {
			return revision, err
		}
		// The swap may have taken effect; the next round reads it back.
		if !bergamotgrade.Sleep(ctx, failurePause) {
			return 0, err
		}
	}
}

func (s *Store) submitOnce(ctx context.Context, note Note, base *State, announce Announce) (int64, error) {
	head, headRevision, err := s.Head(ctx)
	if err != nil {
		return 0, err
	}
	if accepted, err := s.findAccepted(ctx, head, note); err != nil || accepted != 0 {
		return accepted, err
	}
	if head.Revision != note.BaseRevision {
		return 0, bergamotgrade.NewError(bergamotgrade.KindConflict,
			fmt.Sprintf("the note was made for revision %d but revision %d is in force", note.BaseRevision, head.Revision),
			"read the newer notes with `bergamotctl note history`, check the note again and submit it with the new base_revision")
	}
	state, _, err := s.Load(ctx, base)
	if err != nil {
		return 0, err
	}
	if state.Revision() != head.Revision {
		return 0, bergamotgrade.NewError(bergamotgrade.KindConflict, "another note was accepted meanwhile", "check the note again and submit it with the new base_revision")
	}
	if err := CheckError(Check(state, note)); err != nil {
		return 0, err
	}
	return s.accept(ctx, head, headRevision, state, note, announce)
}

func (s *Store) accept(ctx context.Context, head Head, headRevision int64, state *State, note Note, announce Announce) (int64, error) {
	accepted := AcceptedNote{Revision: head.Revision + 1, PreviousKey: head.NoteKey, Note: note}
	next := head
	next.Revision = accepted.Revision
	var err error
	if next.NoteKey, err = s.writeNote(ctx, accepted); err != nil {
		return 0, err
	}
	if accepted.Revision-head.SnapshotRevision >= snapshotInterval {
		next.SnapshotRevision = accepted.Revision
		next.SnapshotID = strings.TrimPrefix(next.NoteKey, notePrefix)
		if next.SnapshotParts, err = s.writeSnapshot(ctx, next.SnapshotID, state.Apply(accepted)); err != nil {
			return 0, err
		}
	}
	value, err := json.Marshal(next)
	if err != nil {
		return 0, err
	}
	if announce != nil {
		if err := announce(ctx, accepted); err != nil {
			return 0, err
		}
	}
	if _, err := s.platform.CompareAndSwap(ctx, headKey, value, headRevision, ""); err != nil {
		return 0, err
	}
	return accepted.Revision, nil
}

// findAccepted walks the chain back to the note's base and returns the revision
// under which the note was accepted, or zero.
func (s *Store) findAccepted(ctx context.Context, head Head, note Note) (int64, error) {
	notes, err := s.Notes(ctx, head, note.BaseRevision)
	if err != nil {
		return 0, err
	}
	for _, accepted := range notes {
		if accepted.Note.NoteID == note.NoteID {
			return accepted.Revision, nil
		}
	}
	return 0, nil
}

// writeNote stores the note under a key that names its content, so that neither
// a racing note nor an edited one of the same id can take its place.
func (s *Store) writeNote(ctx context.Context, accepted AcceptedNote) (string, error) {
	value, err := json.Marshal(accepted)
	if err != nil {
		return "", err
	}
	if len(value) > maxNoteBytes {
		return "", bergamotgrade.NewError(bergamotgrade.KindNoteInvalid,
			fmt.Sprintf("the note holds %d bytes, more than %d", len(value), maxNoteBytes), "split it into several notes")
	}
	key := fmt.Sprintf("%s%012d-%s-%016x", notePrefix, accepted.Revision, accepted.Note.NoteID, xxhash.Sum64(value))
	return key, s.createOnce(ctx, key, value)
}

func (s *Store) writeSnapshot(ctx context.Context, id string, state *State) (int, error) {
	parts, err := splitRecords(state.Records())
	if err != nil {
		return 0, err
	}
	for i, part := range parts {
		if err := s.createOnce(ctx, snapshotKey(id, i), part); err != nil {
			return 0, err
		}
	}
	return len(parts), nil
}

// createOnce writes a value whose key determines its content; an entry that is
// there already was written by an earlier try.
func (s *Store) createOnce(ctx context.Context, key string, value []byte) error {
	_, err := s.platform.CompareAndSwap(ctx, key, value, 0, "")
	if bergamotgrade.IsKind(err, bergamotgrade.KindConflict) {
		return nil
	}
	return err
}

func snapshotKey(id string, part int) string {
	return fmt.Sprintf("%s%s/%04d", snapshotPrefix, id, part)
}

func damaged(key string, cause error) error {
	return bergamotgrade.NewError(bergamotgrade.KindInternal,
		fmt.Sprintf("the platform value %q cannot be decoded", key),
		"restore it from the platform's history").WithCause(cause)
}

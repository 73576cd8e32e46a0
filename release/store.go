package release

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/bergamotgrade/bergamotgrade"
)

// Store reads and writes the configuration in the platform's key-value service.
type Store struct {
	platform bergamotgrade.Platform
}

// NewStore returns a store that uses the platform's key-value service.
func NewStore(platform bergamotgrade.Platform) *Store {
	return &Store{platform: platform}
}

// Head returns the head and the platform revision of its entry; both are zero if no note
// has been accepted.
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
		return Head{}, 0, decodeError(headKey, err)
	}
	return head, entry.Revision, nil
}

// Watch waits until the head changes after the platform revision or watchTimeout passes.
func (s *Store) Watch(ctx context.Context, after int64) error {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
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
		note, err := s.readNote(ctx, key)
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

func (s *Store) readNote(ctx context.Context, key string) (AcceptedNote, error) {
	entry, err := s.platform.Get(ctx, key)
	if err != nil {
		return AcceptedNote{}, err
	}
	var note AcceptedNote
	if err := json.Unmarshal(entry.Value, &note); err != nil {
		return AcceptedNote{}, decodeError(key, err)
	}
	return note, nil
}

// Load returns the state at the head and the notes applied to reach it, or the given state
// if that is not older than the head. It reads the snapshot only if the given state is
// older than the snapshot.
func (s *Store) Load(ctx context.Context, state *State) (*State, []AcceptedNote, error) {
	head, _, err := s.Head(ctx)
	if err != nil || head.Revision <= state.Revision() {
		return state, nil, err
	}
	if state.Revision() < head.SnapshotRevision {
		if state, err = s.readSnapshot(ctx, head); err != nil {
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

func (s *Store) readSnapshot(ctx context.Context, head Head) (*State, error) {
	state := NewState()
	for part := range head.SnapshotParts {
		key := snapshotKey(head.SnapshotID, part)
		entry, err := s.platform.Get(ctx, key)
		if err != nil {
			return nil, err
		}
		var records Records
		if err := json.Unmarshal(entry.Value, &records); err != nil {
			return nil, decodeError(key, err)
		}
		state = state.withRecords(records)
	}
	state.revision = head.SnapshotRevision
	return state, nil
}

// AnnounceFunc informs other VMs of a note before it is accepted; an error prevents the
// acceptance.
type AnnounceFunc func(ctx context.Context, note AcceptedNote) error

// Submit accepts the note by a compare-and-swap of the head and returns its revision. For
// a note that was accepted before, Submit returns the revision of that acceptance. The
// configuration is loaded incrementally from the base state. If announce is not nil, it
// is called before the swap, and an error that it returns refuses the note. Submit
// retries until the context ends while the platform is unreachable.
func (s *Store) Submit(ctx context.Context, note Note, base *State, announce AnnounceFunc) (int64, error) {
	for {
		revision, err := s.trySubmit(ctx, note, base, announce)
		if !bergamotgrade.IsKind(err, bergamotgrade.KindPlatformDown) {
			return revision, err
		}
		// The swap may have taken effect; the next attempt finds the accepted note then.
		if !bergamotgrade.Sleep(ctx, retryDelay) {
			return 0, err
		}
	}
}

func (s *Store) trySubmit(ctx context.Context, note Note, base *State, announce AnnounceFunc) (int64, error) {
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
	return s.acceptNote(ctx, head, headRevision, state, note, announce)
}

func (s *Store) acceptNote(ctx context.Context, head Head, headRevision int64, state *State, note Note, announce AnnounceFunc) (int64, error) {
	accepted := AcceptedNote{Revision: head.Revision + 1, PreviousKey: head.NoteKey, Note: note}
	next := head
	next.Revision = accepted.Revision
	var err error
	if next.NoteKey, err = s.writeNote(ctx, accepted); err != nil {
		return 0, err
	}
	if accepted.Revision-head.SnapshotRevision >= notesPerSnapshot {
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

// findAccepted follows the links between notes back to the note's base revision and returns
// the revision at which a note with the same ID was accepted, or zero.
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

// writeNote stores the note under a key that contains the hash of its content, so that
// neither a concurrent note nor a changed note with the same ID can replace it.
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
	return key, s.createIfAbsent(ctx, key, value)
}

func (s *Store) writeSnapshot(ctx context.Context, id string, state *State) (int, error) {
	parts, err := splitRecords(state.Records())
	if err != nil {
		return 0, err
	}
	for i, part := range parts {
		if err := s.createIfAbsent(ctx, snapshotKey(id, i), part); err != nil {
			return 0, err
		}
	}
	return len(parts), nil
}

// createIfAbsent writes a value whose key determines its content. An existing entry counts
// as success because an earlier attempt wrote it.
func (s *Store) createIfAbsent(ctx context.Context, key string, value []byte) error {
	_, err := s.platform.CompareAndSwap(ctx, key, value, 0, "")
	if bergamotgrade.IsKind(err, bergamotgrade.KindConflict) {
		return nil
	}
	return err
}

func snapshotKey(id string, part int) string {
	return fmt.Sprintf("%s%s/%04d", snapshotPrefix, id, part)
}

func decodeError(key string, cause error) error {
	return bergamotgrade.NewError(bergamotgrade.KindInternal,
		fmt.Sprintf("the platform value %q cannot be decoded", key),
		"restore it from the platform's history").WithCause(cause)
}

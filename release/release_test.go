package release

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/platform"
	"github.com/bergamotgrade/bergamotgrade/platform/standin"
	"github.com/bergamotgrade/bergamotgrade/timeline"
)

// lossy is a platform that fails calls, some of them after they took effect,
// and answers some reads with old values.
type lossy struct {
	bergamotgrade.Platform
	random *rand.Rand
	old    map[string]bergamotgrade.Entry
}

func (l *lossy) down() error {
	if l.random.IntN(4) == 0 {
		return bergamotgrade.NewError(bergamotgrade.KindPlatformDown, "test fault", "none")
	}
	return nil
}

func (l *lossy) Get(ctx context.Context, key string) (bergamotgrade.Entry, error) {
	if err := l.down(); err != nil {
		return bergamotgrade.Entry{}, err
	}
	entry, err := l.Platform.Get(ctx, key)
	if stale, ok := l.old[key]; ok && l.random.IntN(4) == 0 {
		return stale, err
	}
	if l.random.IntN(3) == 0 {
		l.old[key] = entry
	}
	return entry, err
}

func (l *lossy) CompareAndSwap(ctx context.Context, key string, value []byte, expected int64, leaseID string) (int64, error) {
	if err := l.down(); err != nil {
		return 0, err
	}
	revision, err := l.Platform.CompareAndSwap(ctx, key, value, expected, leaseID)
	if lost := l.down(); lost != nil {
		return 0, lost
	}
	return revision, err
}

// TestRevisionNeverFalls submits notes by racing operators over a lossy
// platform while followers read, restart and hear from each other. Revisions
// only rise, every follower at a revision has the same state, and a note counts
// once.
func TestRevisionNeverFalls(t *testing.T) {
	for seed := range uint64(15) {
		random := rand.New(rand.NewPCG(seed, seed))
		keyValue := platform.New(standin.NewStore(bergamotgrade.SystemClock{}), math.Inf(1))
		store := NewStore(&lossy{Platform: keyValue, random: random, old: map[string]bergamotgrade.Entry{}})
		followers := []*Follower{newTestFollower(store), newTestFollower(store), newTestFollower(store)}
		seen := map[int64]int{}
		for step := range 600 {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			at := random.IntN(len(followers))
			f := followers[at]
			before := f.State().Revision()
			switch random.IntN(6) {
			case 0:
				note := Note{NoteID: fmt.Sprintf("note%d", step/2), BaseRevision: f.State().Revision(), Set: Records{Teams: []bergamotgrade.Team{{TeamID: fmt.Sprint("team", step/2), Rate: 1, Burst: 1}}}}
				_, _ = store.submitOnce(ctx, note, f.State(), nil)
			case 1:
				other := followers[random.IntN(len(followers))]
				if notes, ok := other.NotesAbove(f.State().Revision()); ok {
					f.Offer(notes)
				}
			case 2:
				f.OfferState(followers[0].State().Revision(), followers[0].State().Records())
			default:
				_ = f.Refresh(ctx)
			}
			cancel()
			qt.Assert(t, f.State().Revision() >= before, qt.IsTrue, qt.Commentf("seed %d step %d", seed, step))
			size, known := seen[f.State().Revision()]
			qt.Assert(t, known && size != f.State().TeamCount(), qt.IsFalse, qt.Commentf("seed %d step %d", seed, step))
			seen[f.State().Revision()] = f.State().TeamCount()
			if random.IntN(50) == 0 {
				followers[at] = newTestFollower(store)
			}
		}
		final, _, err := NewStore(keyValue).Load(context.Background(), NewState())
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, final.Revision() > 2, qt.IsTrue)
		qt.Assert(t, int64(final.TeamCount()), qt.Equals, final.Revision(), qt.Commentf("seed %d: a note counted twice or not at all", seed))
	}
}

func newTestFollower(store *Store) *Follower {
	clock := bergamotgrade.SystemClock{}
	return NewFollower(clock, store, timeline.New(clock, "test"))
}

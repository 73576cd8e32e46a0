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

// faultyPlatform is a platform whose calls fail at random, some of them after they took
// effect, and whose reads sometimes return stale values.
type faultyPlatform struct {
	bergamotgrade.Platform
	random       *rand.Rand
	staleEntries map[string]bergamotgrade.Entry
}

func (p *faultyPlatform) injectFault() error {
	if p.random.IntN(4) == 0 {
		return bergamotgrade.NewError(bergamotgrade.KindPlatformDown, "test fault", "none")
	}
	return nil
}

func (p *faultyPlatform) Get(ctx context.Context, key string) (bergamotgrade.Entry, error) {
	if err := p.injectFault(); err != nil {
		return bergamotgrade.Entry{}, err
	}
	entry, err := p.Platform.Get(ctx, key)
	if stale, ok := p.staleEntries[key]; ok && p.random.IntN(4) == 0 {
		return stale, err
	}
	if p.random.IntN(3) == 0 {
		p.staleEntries[key] = entry
	}
	return entry, err
}

func (p *faultyPlatform) CompareAndSwap(ctx context.Context, key string, value []byte, expected int64, leaseID string) (int64, error) {
	if err := p.injectFault(); err != nil {
		return 0, err
	}
	revision, err := p.Platform.CompareAndSwap(ctx, key, value, expected, leaseID)
	if lost := p.injectFault(); lost != nil {
		return 0, lost
	}
	return revision, err
}

// TestRevisionNeverFalls submits conflicting notes over a faulty platform while followers
// read, restart and exchange notes. It guards against a follower whose revision decreases,
// followers that have different states at the same revision, and a note that is applied
// twice or lost.
func TestRevisionNeverFalls(t *testing.T) {
	for seed := range uint64(15) {
		random := rand.New(rand.NewPCG(seed, seed))
		keyValue := platform.NewRateLimitedClient(standin.NewStore(bergamotgrade.SystemClock{}), math.Inf(1))
		store := NewStore(&faultyPlatform{Platform: keyValue, random: random, staleEntries: map[string]bergamotgrade.Entry{}})
		followers := []*Follower{newTestFollower(store), newTestFollower(store), newTestFollower(store)}
		teamCounts := map[int64]int{}
		for step := range 600 {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			index := random.IntN(len(followers))
			f := followers[index]
			before := f.State().Revision()
			switch random.IntN(6) {
			case 0:
				note := Note{NoteID: fmt.Sprintf("note%d", step/2), BaseRevision: f.State().Revision(), Set: Records{Teams: []bergamotgrade.Team{{TeamID: fmt.Sprint("team", step/2), Rate: 1, Burst: 1}}}}
				_, _ = store.trySubmit(ctx, note, f.State(), nil)
			case 1:
				other := followers[random.IntN(len(followers))]
				if notes, ok := other.NotesAbove(f.State().Revision()); ok {
					f.ApplyNotes(notes)
				}
			case 2:
				f.InstallState(followers[0].State().Revision(), followers[0].State().Records())
			default:
				_ = f.Refresh(ctx)
			}
			cancel()
			qt.Assert(t, f.State().Revision() >= before, qt.IsTrue, qt.Commentf("seed %d step %d", seed, step))
			teamCount, known := teamCounts[f.State().Revision()]
			qt.Assert(t, known && teamCount != f.State().TeamCount(), qt.IsFalse, qt.Commentf("seed %d step %d", seed, step))
			teamCounts[f.State().Revision()] = f.State().TeamCount()
			if random.IntN(50) == 0 {
				followers[index] = newTestFollower(store)
			}
		}
		final, _, err := NewStore(keyValue).Load(context.Background(), NewState())
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, final.Revision() > 2, qt.IsTrue)
		qt.Assert(t, int64(final.TeamCount()), qt.Equals, final.Revision(), qt.Commentf("seed %d: a note was applied twice or not at all", seed))
	}
}

func newTestFollower(store *Store) *Follower {
	clock := bergamotgrade.SystemClock{}
	return NewFollower(clock, store, timeline.New(clock, "test"))
}

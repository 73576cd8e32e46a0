package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/member"
	"github.com/bergamotgrade/bergamotgrade/release"
	"github.com/bergamotgrade/bergamotgrade/vm"
)

const (
	// pushWorkers bounds the pushes of a note under way.
	pushWorkers = 32
	// pushTimeout bounds one push to one VM.
	pushTimeout = time.Second
	// bootInterval is the time between two tries to get a first configuration
	// from peers.
	bootInterval = 500 * time.Millisecond
	// newsQueue is the number of peers with news that may wait to be asked.
	newsQueue = 64
)

// courier carries release notes between VMs, beside the platform.
type courier struct {
	follower *release.Follower
	store    *release.Store
	keeper   *member.Keeper
	peers    *vm.Peers
	news     chan string
	seeds    []string
}

func newCourier(follower *release.Follower, store *release.Store, peers *vm.Peers, seeds []string) *courier {
	return &courier{follower: follower, store: store, peers: peers, news: make(chan string, newsQueue), seeds: seeds}
}

// hear takes the address of a peer that knows of a newer note.
func (c *courier) hear(address string) {
	select {
	case c.news <- address:
	default:
	}
}

// run fetches news from peers until the context ends.
func (c *courier) run(ctx context.Context) {
	boot := time.NewTicker(bootInterval)
	defer boot.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-boot.C:
			c.fetchFirst(ctx)
		case address := <-c.news:
			c.fetch(ctx, address)
		}
	}
}

// fetchFirst asks the peers of the settings while this VM has no configuration.
func (c *courier) fetchFirst(ctx context.Context) {
	for _, address := range c.seeds {
		if c.follower.State().Revision() == 0 {
			c.fetch(ctx, address)
		}
	}
}

// fetch takes the notes that this VM lacks from the peer.
func (c *courier) fetch(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	answer, err := c.peers.Notes(ctx, address, vm.NotesCall{Above: c.follower.State().Revision()})
	if err != nil {
		return
	}
	if answer.State != nil {
		c.follower.OfferState(answer.Revision, *answer.State)
	}
	c.follower.Offer(answer.Notes)
	for _, note := range answer.Pending {
		c.follower.OfferPending(note)
	}
}

// answer serves a peer's fetch or push.
func (c *courier) answer(call vm.NotesCall) vm.NotesAnswer {
	c.follower.Offer(call.Offer)
	state := c.follower.State()
	answer := vm.NotesAnswer{Revision: state.Revision(), Pending: c.follower.Pending()}
	if len(call.Offer) > 0 || call.Above >= state.Revision() {
		return answer
	}
	notes, ok := c.follower.NotesAbove(call.Above)
	if ok {
		answer.Notes = notes
		return answer
	}
	records := state.Records()
	answer.State = &records
	return answer
}

// toOthers calls act for every other member at once and returns how many calls
// succeeded.
func (c *courier) toOthers(ctx context.Context, act func(ctx context.Context, address string) error) int {
	var reached atomic.Int64
	var group errgroup.Group
	group.SetLimit(pushWorkers)
	self := c.keeper.Self()
	for _, m := range c.keeper.Table().Members {
		if m.Incarnation == self.Incarnation {
			continue
		}
		group.Go(func() error {
			callCtx, cancel := context.WithTimeout(ctx, pushTimeout)
			defer cancel()
			if act(callCtx, m.InnerAddress) == nil {
				reached.Add(1)
			}
			return nil
		})
	}
	_ = group.Wait()
	return int(reached.Load())
}

// announce tells the members of a note before its acceptance. More than half
// must know of it, so that a group of VMs that is cut off from the platform and
// goes on serving always holds one that knows.
func (c *courier) announce(ctx context.Context, note release.AcceptedNote) error {
	c.follower.OfferPending(note)
	reached := 1 + c.toOthers(ctx, func(ctx context.Context, address string) error {
		return c.peers.Pending(ctx, address, vm.PendingCall{Note: note})
	})
	members := len(c.keeper.Table().Members)
	if 2*reached > members {
		return nil
	}
	return bergamotgrade.NewError(bergamotgrade.KindNotReady, "this VM reaches no more than half of the VMs, so the note cannot be put in force everywhere", "submit the note at another VM or later; it was not accepted")
}

// push offers an accepted note to all other members.
func (c *courier) push(ctx context.Context, above int64) {
	notes, ok := c.follower.NotesAbove(above)
	if !ok {
		return
	}
	c.toOthers(ctx, func(ctx context.Context, address string) error {
		_, err := c.peers.Notes(ctx, address, vm.NotesCall{Above: above, Offer: notes})
		return err
	})
}

// announceJob tells all other members of a batch job. One that misses it finds
// the job at its next look.
func (c *courier) announceJob(call vm.JobCall) {
	c.toOthers(context.Background(), func(ctx context.Context, address string) error {
		return c.peers.JobChanged(ctx, address, call)
	})
}

// Submit implements operator.NoteService.
func (c *courier) Submit(ctx context.Context, note release.Note) (int64, error) {
	revision, err := c.store.Submit(ctx, note, c.follower.State(), c.announce)
	if err != nil {
		return 0, err
	}
	if err := c.follower.Refresh(ctx); err != nil {
		// The platform went down right after the acceptance; the note is known.
		if pending, ok := c.pending(note.NoteID); ok {
			c.follower.Offer([]release.AcceptedNote{pending})
		}
	}
	c.push(ctx, revision-1)
	return revision, nil
}

func (c *courier) pending(noteID string) (release.AcceptedNote, bool) {
	for _, note := range c.follower.Pending() {
		if note.Note.NoteID == noteID {
			return note, true
		}
	}
	return release.AcceptedNote{}, false
}

// State implements operator.NoteService.
func (c *courier) State() *release.State { return c.follower.State() }

// History implements operator.NoteService.
func (c *courier) History(ctx context.Context, above int64) ([]release.AcceptedNote, error) {
	head, _, err := c.store.Head(ctx)
	if err != nil {
		return nil, err
	}
	return c.store.Notes(ctx, head, above)
}

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
	// maxConcurrentCalls bounds the concurrent calls of one broadcast to other VMs.
	maxConcurrentCalls = 32
	// peerCallTimeout bounds one call to another VM.
	peerCallTimeout = time.Second
	// bootstrapInterval is the time between attempts to fetch a first configuration
	// from the seed peers.
	bootstrapInterval = 500 * time.Millisecond
	// peersAheadCapacity is the number of peers with newer notes that can be queued;
	// further ones are dropped while the queue is full.
	peersAheadCapacity = 64
)

// distributor exchanges release notes directly between VMs, in addition to the
// platform store, so that notes spread while the platform is unreachable.
type distributor struct {
	follower   *release.Follower
	store      *release.Store
	membership *member.Membership
	peers      *vm.Peers
	peersAhead chan string
	seeds      []string
}

func newDistributor(follower *release.Follower, store *release.Store, peers *vm.Peers, seeds []string) *distributor {
	return &distributor{follower: follower, store: store, peers: peers, peersAhead: make(chan string, peersAheadCapacity), seeds: seeds}
}

// enqueuePeer queues a peer that reported a newer revision for a fetch. It drops the
// address when the queue is full.
func (d *distributor) enqueuePeer(address string) {
	select {
	case d.peersAhead <- address:
	default:
	}
}

// run fetches notes from queued peers, and from seeds while there is no
// configuration, until ctx ends.
func (d *distributor) run(ctx context.Context) {
	bootstrap := time.NewTicker(bootstrapInterval)
	defer bootstrap.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-bootstrap.C:
			d.fetchInitial(ctx)
		case address := <-d.peersAhead:
			d.fetchFrom(ctx, address)
		}
	}
}

// fetchInitial fetches the configuration from the seed peers while this VM has none.
func (d *distributor) fetchInitial(ctx context.Context) {
	for _, address := range d.seeds {
		if d.follower.State().Revision() == 0 {
			d.fetchFrom(ctx, address)
		}
	}
}

// fetchFrom fetches the notes that this VM lacks from the peer and applies them.
func (d *distributor) fetchFrom(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	answer, err := d.peers.Notes(ctx, address, vm.NotesCall{Above: d.follower.State().Revision()})
	if err != nil {
		return
	}
	if answer.State != nil {
		d.follower.InstallState(answer.Revision, *answer.State)
	}
	d.follower.ApplyNotes(answer.Notes)
	for _, note := range answer.Pending {
		d.follower.AddPending(note)
	}
}

// handleNotes handles a fetch or a push of notes by a peer. It returns the whole
// state when the notes above the peer's revision are no longer kept.
func (d *distributor) handleNotes(call vm.NotesCall) vm.NotesAnswer {
	d.follower.ApplyNotes(call.Offer)
	state := d.follower.State()
	answer := vm.NotesAnswer{Revision: state.Revision(), Pending: d.follower.Pending()}
	if len(call.Offer) > 0 || call.Above >= state.Revision() {
		return answer
	}
	notes, ok := d.follower.NotesAbove(call.Above)
	if ok {
		answer.Notes = notes
		return answer
	}
	records := state.Records()
	answer.State = &records
	return answer
}

// broadcast calls send for every other member concurrently and returns the number of
// successful calls.
func (d *distributor) broadcast(ctx context.Context, send func(ctx context.Context, address string) error) int {
	var reached atomic.Int64
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	self := d.membership.Self()
	for _, m := range d.membership.Table().Members {
		if m.Incarnation == self.Incarnation {
			continue
		}
		group.Go(func() error {
			callCtx, cancel := context.WithTimeout(ctx, peerCallTimeout)
			defer cancel()
			if send(callCtx, m.InnerAddress) == nil {
				reached.Add(1)
			}
			return nil
		})
	}
	_ = group.Wait()
	return int(reached.Load())
}

// announcePending sends a note to all members before the platform accepts it. It fails
// unless more than half of the members, this VM included, hold the note: a partition
// that continues to serve without the platform is a majority, so at least one of its
// VMs has the note.
func (d *distributor) announcePending(ctx context.Context, note release.AcceptedNote) error {
	d.follower.AddPending(note)
	reached := 1 + d.broadcast(ctx, func(ctx context.Context, address string) error {
		return d.peers.Pending(ctx, address, vm.PendingCall{Note: note})
	})
	members := len(d.membership.Table().Members)
	if 2*reached > members {
		return nil
	}
	return bergamotgrade.NewError(bergamotgrade.KindNotReady, "this VM reaches no more than half of the VMs, so the note cannot be put in force everywhere", "submit the note at another VM or later; it was not accepted")
}

// pushNotes sends the accepted notes above the revision to all other members.
func (d *distributor) pushNotes(ctx context.Context, above int64) {
	notes, ok := d.follower.NotesAbove(above)
	if !ok {
		return
	}
	d.broadcast(ctx, func(ctx context.Context, address string) error {
		_, err := d.peers.Notes(ctx, address, vm.NotesCall{Above: above, Offer: notes})
		return err
	})
}

// announceJob notifies all other members of a new or cancelled batch job. A member
// that misses the call finds the job at its next poll of the platform.
func (d *distributor) announceJob(call vm.JobCall) {
	d.broadcast(context.Background(), func(ctx context.Context, address string) error {
		return d.peers.JobChanged(ctx, address, call)
	})
}

// Submit implements operator.NoteService.
func (d *distributor) Submit(ctx context.Context, note release.Note) (int64, error) {
	revision, err := d.store.Submit(ctx, note, d.follower.State(), d.announcePending)
	if err != nil {
		return 0, err
	}
	if err := d.follower.Refresh(ctx); err != nil {
		// The platform failed after accepting the note; apply the pending copy.
		if pending, ok := d.pending(note.NoteID); ok {
			d.follower.ApplyNotes([]release.AcceptedNote{pending})
		}
	}
	d.pushNotes(ctx, revision-1)
	return revision, nil
}

func (d *distributor) pending(noteID string) (release.AcceptedNote, bool) {
	for _, note := range d.follower.Pending() {
		if note.Note.NoteID == noteID {
			return note, true
		}
	}
	return release.AcceptedNote{}, false
}

// State implements operator.NoteService.
func (d *distributor) State() *release.State { return d.follower.State() }

// History implements operator.NoteService.
func (d *distributor) History(ctx context.Context, above int64) ([]release.AcceptedNote, error) {
	head, _, err := d.store.Head(ctx)
	if err != nil {
		return nil, err
	}
	return d.store.Notes(ctx, head, above)
}

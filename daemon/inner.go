package daemon

import (
	"context"
	"sync"

	"github.com/bergamotgrade/bergamotgrade/vm"
)

// inner answers the calls of other VMs.
type inner struct {
	vm *VM
}

var _ vm.Handler = inner{}

// Heartbeat implements vm.Handler.
func (i inner) Heartbeat(_ context.Context, call vm.Heartbeat) vm.HeartbeatAnswer {
	answer := i.vm.keeper.Heartbeat(call)
	for _, note := range i.vm.follower.Pending() {
		answer.PendingRevision = max(answer.PendingRevision, note.Revision)
	}
	if call.Revision > i.vm.follower.State().Revision() {
		if record, ok := i.vm.keeper.Table().Member(call.Incarnation); ok {
			i.vm.courier.hear(record.InnerAddress)
		}
	}
	return answer
}

// Notes implements vm.Handler.
func (i inner) Notes(_ context.Context, call vm.NotesCall) vm.NotesAnswer {
	return i.vm.courier.answer(call)
}

// Pending implements vm.Handler.
func (i inner) Pending(_ context.Context, call vm.PendingCall) {
	i.vm.follower.OfferPending(call.Note)
}

// Evict implements vm.Handler.
func (i inner) Evict(_ context.Context, call vm.EvictCall) vm.EvictAnswer {
	return i.vm.keeper.Evict(call)
}

// Pledge implements vm.Handler.
func (i inner) Pledge(_ context.Context, call vm.PledgeCall) vm.PledgeAnswer {
	return i.vm.limiter.Pledge(call)
}

// Borrow implements vm.Handler.
func (i inner) Borrow(_ context.Context, call vm.BorrowCall) vm.BorrowAnswer {
	return i.vm.limiter.Borrow(call)
}

// Table implements vm.Handler.
func (i inner) Table(context.Context, vm.TableCall) vm.TableAnswer {
	return i.vm.keeper.CopyTable()
}

// InUse implements vm.Handler.
func (i inner) InUse(_ context.Context, call vm.InUseCall) vm.InUseAnswer {
	return vm.InUseAnswer{Requests: i.vm.fleet.InUse(call.BackendServerID, call.ModelID), Revision: i.vm.follower.State().Revision()}
}

// JobChanged implements vm.Handler.
func (i inner) JobChanged(_ context.Context, call vm.JobCall) {
	i.vm.runner.JobChanged(call.JobID, call.Cancelled)
}

// PutSegment implements vm.Handler.
func (i inner) PutSegment(_ context.Context, call vm.SegmentCall) vm.SegmentAnswer {
	return i.vm.segments.Take(call)
}

// GetSegment implements vm.Handler.
func (i inner) GetSegment(_ context.Context, call vm.SegmentCall) vm.SegmentAnswer {
	return i.vm.segments.Give(call)
}

// group runs the background parts of a VM and waits for them.
type group struct {
	parts sync.WaitGroup
}

func (g *group) start(ctx context.Context, part func(context.Context)) {
	g.parts.Go(func() { part(ctx) })
}

package daemon

import (
	"context"
	"sync"

	"github.com/bergamotgrade/bergamotgrade/vm"
)

// peerHandler handles calls from other VMs.
type peerHandler struct {
	vm *VM
}

var _ vm.Handler = peerHandler{}

// Heartbeat implements vm.Handler.
func (h peerHandler) Heartbeat(_ context.Context, call vm.Heartbeat) vm.HeartbeatAnswer {
	answer := h.vm.membership.Heartbeat(call)
	for _, note := range h.vm.follower.Pending() {
		answer.PendingRevision = max(answer.PendingRevision, note.Revision)
	}
	if call.Revision > h.vm.follower.State().Revision() {
		if record, ok := h.vm.membership.Table().Member(call.Incarnation); ok {
			h.vm.distributor.enqueuePeer(record.InnerAddress)
		}
	}
	return answer
}

// Notes implements vm.Handler.
func (h peerHandler) Notes(_ context.Context, call vm.NotesCall) vm.NotesAnswer {
	return h.vm.distributor.handleNotes(call)
}

// Pending implements vm.Handler.
func (h peerHandler) Pending(_ context.Context, call vm.PendingCall) {
	h.vm.follower.AddPending(call.Note)
}

// Evict implements vm.Handler.
func (h peerHandler) Evict(_ context.Context, call vm.EvictCall) vm.EvictAnswer {
	return h.vm.membership.VoteOnEviction(call)
}

// Pledge implements vm.Handler.
func (h peerHandler) Pledge(_ context.Context, call vm.PledgeCall) vm.PledgeAnswer {
	return h.vm.limiter.Pledge(call)
}

// Borrow implements vm.Handler.
func (h peerHandler) Borrow(_ context.Context, call vm.BorrowCall) vm.BorrowAnswer {
	return h.vm.limiter.Borrow(call)
}

// Table implements vm.Handler.
func (h peerHandler) Table(context.Context, vm.TableCall) vm.TableAnswer {
	return h.vm.membership.CopyTable()
}

// InUse implements vm.Handler.
func (h peerHandler) InUse(_ context.Context, call vm.InUseCall) vm.InUseAnswer {
	return vm.InUseAnswer{Requests: h.vm.dispatcher.InUse(call.BackendServerID, call.ModelID), Revision: h.vm.follower.State().Revision()}
}

// JobChanged implements vm.Handler.
func (h peerHandler) JobChanged(_ context.Context, call vm.JobCall) {
	h.vm.runner.JobChanged(call.JobID, call.Cancelled)
}

// PutSegment implements vm.Handler.
func (h peerHandler) PutSegment(_ context.Context, call vm.SegmentCall) vm.SegmentAnswer {
	return h.vm.segments.StoreLocal(call)
}

// GetSegment implements vm.Handler.
func (h peerHandler) GetSegment(_ context.Context, call vm.SegmentCall) vm.SegmentAnswer {
	return h.vm.segments.ReadLocal(call)
}

// backgroundTasks runs the background tasks of a VM and waits for them to return.
type backgroundTasks struct {
	wg sync.WaitGroup
}

func (t *backgroundTasks) start(ctx context.Context, task func(context.Context)) {
	t.wg.Go(func() { task(ctx) })
}

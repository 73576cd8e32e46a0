package vm

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"testing"

	"github.com/sourcegraph/jsonrpc2"
)

// emptyHandler returns an empty answer to every call.
type emptyHandler struct{}

func (emptyHandler) Heartbeat(context.Context, Heartbeat) HeartbeatAnswer { return HeartbeatAnswer{} }
func (emptyHandler) Notes(context.Context, NotesCall) NotesAnswer         { return NotesAnswer{} }
func (emptyHandler) Pending(context.Context, PendingCall)                 {}
func (emptyHandler) Evict(context.Context, EvictCall) EvictAnswer         { return EvictAnswer{} }
func (emptyHandler) Pledge(context.Context, PledgeCall) PledgeAnswer      { return PledgeAnswer{} }

func (emptyHandler) Borrow(context.Context, BorrowCall) BorrowAnswer       { return BorrowAnswer{} }
func (emptyHandler) Table(context.Context, TableCall) TableAnswer          { return TableAnswer{} }
func (emptyHandler) InUse(context.Context, InUseCall) InUseAnswer          { return InUseAnswer{} }
func (emptyHandler) JobChanged(context.Context, JobCall)                   {}
func (emptyHandler) PutSegment(context.Context, SegmentCall) SegmentAnswer { return SegmentAnswer{} }

func (emptyHandler) GetSegment(context.Context, SegmentCall) SegmentAnswer { return SegmentAnswer{} }

// FuzzServe decodes arbitrary bytes as messages and passes them to the handlers. Guards
// against panics.
func FuzzServe(f *testing.F) {
	f.Add([]byte("\x00\x00\x00\x30{\"method\":\"pledge\",\"params\":{\"pledges\":[]},\"id\":1}"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		var req jsonrpc2.Request
		if (frameCodec{}).ReadObject(bufio.NewReader(bytes.NewReader(data)), &req) != nil {
			return
		}
		for _, method := range []string{req.Method, methodHeartbeat, methodNotes, methodEvict, methodPledge, methodBorrow} {
			answer, err := Serve(context.Background(), emptyHandler{}, method, req.Params)
			if err == nil {
				_, _ = json.Marshal(answer)
			}
		}
	})
}

package vm

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"testing"

	"github.com/sourcegraph/jsonrpc2"
)

// silentHandler answers every call with nothing.
type silentHandler struct{}

func (silentHandler) Heartbeat(context.Context, Heartbeat) HeartbeatAnswer { return HeartbeatAnswer{} }
func (silentHandler) Notes(context.Context, NotesCall) NotesAnswer         { return NotesAnswer{} }
func (silentHandler) Pending(context.Context, PendingCall)                 {}
func (silentHandler) Evict(context.Context, EvictCall) EvictAnswer         { return EvictAnswer{} }
func (silentHandler) Pledge(context.Context, PledgeCall) PledgeAnswer      { return PledgeAnswer{} }

func (silentHandler) Borrow(context.Context, BorrowCall) BorrowAnswer       { return BorrowAnswer{} }
func (silentHandler) Table(context.Context, TableCall) TableAnswer          { return TableAnswer{} }
func (silentHandler) InUse(context.Context, InUseCall) InUseAnswer          { return InUseAnswer{} }
func (silentHandler) JobChanged(context.Context, JobCall)                   {}
func (silentHandler) PutSegment(context.Context, SegmentCall) SegmentAnswer { return SegmentAnswer{} }

func (silentHandler) GetSegment(context.Context, SegmentCall) SegmentAnswer { return SegmentAnswer{} }

// FuzzServe feeds any bytes as messages of the inner protocol.
func FuzzServe(f *testing.F) {
	f.Add([]byte("\x00\x00\x00\x30{\"method\":\"pledge\",\"params\":{\"pledges\":[]},\"id\":1}"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		var req jsonrpc2.Request
		if (codec{}).ReadObject(bufio.NewReader(bytes.NewReader(data)), &req) != nil {
			return
		}
		for _, method := range []string{req.Method, methodHeartbeat, methodNotes, methodEvict, methodPledge, methodBorrow} {
			answer, err := Serve(context.Background(), silentHandler{}, method, req.Params)
			if err == nil {
				_, _ = json.Marshal(answer)
			}
		}
	})
}

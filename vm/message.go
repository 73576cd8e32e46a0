// Package vm is the protocol between the VMs of the system: JSON-RPC 2.0 over
// TCP behind a handshake with a shared secret.
package vm

import (
	"context"
	"time"

	"github.com/bergamotgrade/bergamotgrade/release"
)

// The methods of the protocol.
const (
	methodHeartbeat = "heartbeat"
	methodNotes     = "notes"
	methodPending   = "pending"
	methodEvict     = "evict"
	methodPledge    = "pledge"
	methodBorrow    = "borrow"
	methodTable     = "table"
	methodInUse     = "in_use"
	methodJob       = "job_changed"
	methodPut       = "put_segment"
	methodGet       = "get_segment"
)

// Heartbeat tells a peer that a VM is alive and what it has in force.
type Heartbeat struct {
	VMID        string `json:"vm_id"`
	Incarnation string `json:"incarnation"`
	Revision    int64  `json:"revision"`
	TableEpoch  int64  `json:"table_epoch"`
	Leaving     bool   `json:"leaving,omitempty"`
	// Jobs is the number of batch jobs that run on the VM.
	Jobs int `json:"jobs,omitempty"`
}

// HeartbeatAnswer is the peer's own heartbeat.
type HeartbeatAnswer struct {
	Heartbeat
	// Refused is set once the peer has agreed to the sender's eviction; the
	// answer does not count as contact then.
	Refused bool `json:"refused,omitempty"`
	// PendingRevision is the newest note that the peer knows to be submitted.
	PendingRevision int64 `json:"pending_revision,omitempty"`
}

// NotesCall asks for the accepted notes above a revision, and offers some.
type NotesCall struct {
	Above int64                  `json:"above"`
	Offer []release.AcceptedNote `json:"offer,omitempty"`
}

// NotesAnswer carries notes, or the whole state where the peer has dropped the
// oldest of them.
type NotesAnswer struct {
	Revision int64                  `json:"revision"`
	Notes    []release.AcceptedNote `json:"notes,omitempty"`
	Pending  []release.AcceptedNote `json:"pending,omitempty"`
	State    *release.Records       `json:"state,omitempty"`
}

// PendingCall announces a note whose acceptance is about to be tried.
type PendingCall struct {
	Note release.AcceptedNote `json:"note"`
}

// EvictCall asks a member to agree that a VM is gone.
type EvictCall struct {
	VMID        string `json:"vm_id"`
	Incarnation string `json:"incarnation"`
}

// EvictAnswer says whether the member agrees and will refuse the VM from now on.
type EvictAnswer struct {
	Agreed bool `json:"agreed"`
}

// PledgeCall lends the sender's standing shares of some partitions to the
// receiver, and takes others back.
type PledgeCall struct {
	// BrokerID is the incarnation that the pledges are meant for.
	BrokerID    string `json:"broker_id"`
	Incarnation string `json:"incarnation"`
	// Slots is the number of standing shares that each pledge lends.
	Slots int `json:"slots,omitempty"`
	// Stamp is the receiver's clock in its last answer, in nanoseconds since
	// its start; zero if there was none.
	Stamp   int64   `json:"stamp,omitempty"`
	Pledges []Share `json:"pledges,omitempty"`
	// Released lists pledges that the receiver is to drop.
	Released []Share `json:"released,omitempty"`
}

// Share names the pledge for one partition of teams: the partition's number and
// the pledge's id, which stays the same while the lending is not interrupted.
type Share [2]int

// Partition returns the number of the partition.
func (s Share) Partition() int { return s[0] }

// PledgeID returns the id of the pledge.
func (s Share) PledgeID() int { return s[1] }

// PledgeAnswer carries the receiver's clock for the next pledge.
type PledgeAnswer struct {
	BrokerID string `json:"broker_id"`
	Stamp    int64  `json:"stamp"`
}

// BorrowCall asks for tokens of one team.
type BorrowCall struct {
	Incarnation string  `json:"incarnation"`
	TeamID      string  `json:"team_id"`
	Tokens      float64 `json:"tokens"`
	// Batch marks tokens for batch items, which leave a reserve for online use.
	Batch bool `json:"batch,omitempty"`
	// Settled lists grants of the team that are spent or given up.
	Settled []uint64 `json:"settled,omitempty"`
}

// BorrowAnswer lends tokens that must be spent within limit.GrantLife after the
// call was sent, or says when to ask again.
type BorrowAnswer struct {
	GrantID  uint64        `json:"grant_id,omitempty"`
	Tokens   float64       `json:"tokens,omitempty"`
	RetryFor time.Duration `json:"retry_for,omitempty"`
	// Unready is set while too few shares are pledged to lend any token.
	Unready bool `json:"unready,omitempty"`
}

// TableCall asks for the peer's copy of the member table.
type TableCall struct{}

// TableAnswer carries the encoded table and its platform revision.
type TableAnswer struct {
	Revision int64  `json:"revision"`
	Value    []byte `json:"value,omitempty"`
}

// InUseCall asks how many requests of a model the VM runs on a backend server.
type InUseCall struct {
	BackendServerID string `json:"backend_server_id"`
	ModelID         string `json:"model_id"`
}

// InUseAnswer is the number of requests and the configuration that the VM has
// in force; a VM with an older one may still start more.
type InUseAnswer struct {
	Requests int   `json:"requests"`
	Revision int64 `json:"revision"`
}

// JobCall tells that a batch job was accepted or cancelled.
type JobCall struct {
	JobID     string `json:"job_id"`
	Cancelled bool   `json:"cancelled,omitempty"`
}

// SegmentCall stores a segment on a disk VM, or asks for one.
type SegmentCall struct {
	Key  string `json:"key"`
	Hash uint64 `json:"hash"`
	Data []byte `json:"data,omitempty"`
	// Probe asks only whether the segment is there and sound.
	Probe bool `json:"probe,omitempty"`
}

// SegmentAnswer carries a segment, or confirms that one is on the disk.
type SegmentAnswer struct {
	Stored bool   `json:"stored,omitempty"`
	Data   []byte `json:"data,omitempty"`
}

// Handler answers the calls of other VMs.
type Handler interface {
	Heartbeat(ctx context.Context, call Heartbeat) HeartbeatAnswer
	Notes(ctx context.Context, call NotesCall) NotesAnswer
	Pending(ctx context.Context, call PendingCall)
	Evict(ctx context.Context, call EvictCall) EvictAnswer
	Pledge(ctx context.Context, call PledgeCall) PledgeAnswer
	Borrow(ctx context.Context, call BorrowCall) BorrowAnswer
	Table(ctx context.Context, call TableCall) TableAnswer
	InUse(ctx context.Context, call InUseCall) InUseAnswer
	JobChanged(ctx context.Context, call JobCall)
	PutSegment(ctx context.Context, call SegmentCall) SegmentAnswer
	GetSegment(ctx context.Context, call SegmentCall) SegmentAnswer
}

// Empty is the answer of calls without one.
type Empty struct{}

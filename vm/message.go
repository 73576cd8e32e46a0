// Package vm implements the protocol between VMs: JSON-RPC 2.0 over TCP, after a handshake
// that authenticates both sides by a shared secret.
package vm

import (
	"context"
	"time"

	"github.com/bergamotgrade/bergamotgrade/release"
)

// Method names of the protocol.
const (
	methodHeartbeat  = "heartbeat"
	methodNotes      = "notes"
	methodPending    = "pending"
	methodEvict      = "evict"
	methodPledge     = "pledge"
	methodBorrow     = "borrow"
	methodTable      = "table"
	methodInUse      = "in_use"
	methodJobChanged = "job_changed"
	methodPutSegment = "put_segment"
	methodGetSegment = "get_segment"
)

// Heartbeat reports that a VM is alive, and which configuration revision and member table
// it has in force.
type Heartbeat struct {
	VMID        string `json:"vm_id"`
	Incarnation string `json:"incarnation"`
	Revision    int64  `json:"revision"`
	TableEpoch  int64  `json:"table_epoch"`
	Leaving     bool   `json:"leaving,omitempty"`
	// Jobs is the number of batch jobs that run on the VM.
	Jobs int `json:"jobs,omitempty"`
}

// HeartbeatAnswer contains the peer's own heartbeat.
type HeartbeatAnswer struct {
	Heartbeat
	// Refused is set once the peer has agreed to evict the sender. Such an answer does not
	// count as contact.
	Refused bool `json:"refused,omitempty"`
	// PendingRevision is the revision of the newest submitted note that the peer knows of.
	PendingRevision int64 `json:"pending_revision,omitempty"`
}

// NotesCall requests the accepted notes above a revision and offers notes to the peer.
type NotesCall struct {
	Above int64                  `json:"above"`
	Offer []release.AcceptedNote `json:"offer,omitempty"`
}

// NotesAnswer contains the requested notes, or the complete state if the peer no longer has
// the oldest of them.
type NotesAnswer struct {
	Revision int64                  `json:"revision"`
	Notes    []release.AcceptedNote `json:"notes,omitempty"`
	Pending  []release.AcceptedNote `json:"pending,omitempty"`
	State    *release.Records       `json:"state,omitempty"`
}

// PendingCall announces a note before its acceptance is attempted.
type PendingCall struct {
	Note release.AcceptedNote `json:"note"`
}

// EvictCall asks a member to agree to the eviction of a VM.
type EvictCall struct {
	VMID        string `json:"vm_id"`
	Incarnation string `json:"incarnation"`
}

// EvictAnswer reports whether the member agrees. If so, it refuses the VM from then on.
type EvictAnswer struct {
	Agreed bool `json:"agreed"`
}

// PledgeCall transfers the sender's standing shares of some partitions of teams to the
// receiver, which is their broker, and takes other shares back.
type PledgeCall struct {
	// BrokerID is the incarnation of the broker to which the shares are pledged.
	BrokerID    string `json:"broker_id"`
	Incarnation string `json:"incarnation"`
	// Slots is the number of standing shares that each pledge transfers.
	Slots int `json:"slots,omitempty"`
	// Stamp is the receiver's clock reading from its last answer, in nanoseconds since the
	// receiver's start; zero if there was no answer.
	Stamp   int64       `json:"stamp,omitempty"`
	Pledges []PledgeRef `json:"pledges,omitempty"`
	// Released lists the pledges that the receiver must drop.
	Released []PledgeRef `json:"released,omitempty"`
}

// PledgeRef identifies a pledge: the number of the partition of teams and the pledge ID,
// which stays the same while the pledge is renewed without interruption.
type PledgeRef [2]int

// Partition returns the number of the partition.
func (r PledgeRef) Partition() int { return r[0] }

// PledgeID returns the ID of the pledge.
func (r PledgeRef) PledgeID() int { return r[1] }

// PledgeAnswer contains the receiver's clock reading, which the sender returns in its next
// PledgeCall.
type PledgeAnswer struct {
	BrokerID string `json:"broker_id"`
	Stamp    int64  `json:"stamp"`
}

// BorrowCall requests tokens of one team from its broker.
type BorrowCall struct {
	Incarnation string  `json:"incarnation"`
	TeamID      string  `json:"team_id"`
	Tokens      float64 `json:"tokens"`
	// Batch is set for batch items; the broker keeps a reserve of tokens for online
	// requests then.
	Batch bool `json:"batch,omitempty"`
	// Settled lists the grants of the team whose tokens are spent or given up.
	Settled []uint64 `json:"settled,omitempty"`
}

// BorrowAnswer grants tokens that must be spent within limit.GrantLifetime, counted from
// the sending of the call, or states when to retry.
type BorrowAnswer struct {
	GrantID  uint64        `json:"grant_id,omitempty"`
	Tokens   float64       `json:"tokens,omitempty"`
	RetryFor time.Duration `json:"retry_for,omitempty"`
	// Unready is set while too few shares are pledged for the broker to grant any token.
	Unready bool `json:"unready,omitempty"`
}

// TableCall requests the peer's copy of the member table.
type TableCall struct{}

// TableAnswer contains the encoded member table and its platform revision.
type TableAnswer struct {
	Revision int64  `json:"revision"`
	Value    []byte `json:"value,omitempty"`
}

// InUseCall requests the number of requests of a model that the VM runs on a backend
// server.
type InUseCall struct {
	BackendServerID string `json:"backend_server_id"`
	ModelID         string `json:"model_id"`
}

// InUseAnswer contains the number of requests and the configuration revision that the VM
// has in force. A VM with an older revision may still start more requests of the model.
type InUseAnswer struct {
	Requests int   `json:"requests"`
	Revision int64 `json:"revision"`
}

// JobCall announces that a batch job was accepted or cancelled.
type JobCall struct {
	JobID     string `json:"job_id"`
	Cancelled bool   `json:"cancelled,omitempty"`
}

// SegmentCall stores a segment on a disk VM or requests one from it.
type SegmentCall struct {
	Key  string `json:"key"`
	Hash uint64 `json:"hash"`
	Data []byte `json:"data,omitempty"`
	// Probe requests only a check that the segment exists and matches Hash.
	Probe bool `json:"probe,omitempty"`
}

// SegmentAnswer contains a segment or confirms that it is on the disk.
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

// Empty is the answer to a call that returns no data.
type Empty struct{}

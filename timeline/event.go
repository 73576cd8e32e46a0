// Package timeline records typed events of one process in a bounded ring and
// merges the rings of many processes into one ordered view.
package timeline

import "time"

// Kind names what happened.
type Kind string

// The kinds of events.
const (
	KindAccept      Kind = "accept"
	KindRefuse      Kind = "refuse"
	KindDispatch    Kind = "dispatch"
	KindFirstToken  Kind = "first_token"
	KindTokenGap    Kind = "token_gap"
	KindRetry       Kind = "retry"
	KindResume      Kind = "resume"
	KindCancel      Kind = "cancel"
	KindComplete    Kind = "complete"
	KindFail        Kind = "fail"
	KindLease       Kind = "lease"
	KindEpoch       Kind = "epoch"
	KindRevision    Kind = "revision"
	KindStateChange Kind = "state_change"
	KindCall        Kind = "platform_call"
)

// Event is one entry of the time line; it never carries a credential.
type Event struct {
	// Sequence counts the events of one process from one.
	Sequence uint64 `json:"sequence"`
	// At is the time by the recording process's own clock.
	At        time.Time `json:"at"`
	Process   string    `json:"process"`
	Kind      Kind      `json:"kind"`
	RequestID string    `json:"request_id,omitempty"`
	// Subject is the backend server, team, partition or state concerned.
	Subject string `json:"subject,omitempty"`
	Detail  string `json:"detail,omitempty"`
}

// Page is an answer to a reader of a ring.
type Page struct {
	Process string `json:"process"`
	// Now is the process's clock at the answer, for correcting offsets.
	Now time.Time `json:"now"`
	// Lost counts the events that the ring had dropped before the first one.
	Lost   uint64  `json:"lost"`
	Events []Event `json:"events"`
}

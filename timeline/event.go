// Package timeline records typed events of a process in a ring buffer and merges the
// events of many processes into one ordered timeline.
package timeline

import "time"

// Kind is the type of an event.
type Kind string

// The kinds of events.
const (
	KindAccept       Kind = "accept"
	KindRefuse       Kind = "refuse"
	KindDispatch     Kind = "dispatch"
	KindFirstToken   Kind = "first_token"
	KindTokenGap     Kind = "token_gap"
	KindRetry        Kind = "retry"
	KindResume       Kind = "resume"
	KindCancel       Kind = "cancel"
	KindComplete     Kind = "complete"
	KindFail         Kind = "fail"
	KindLease        Kind = "lease"
	KindEpoch        Kind = "epoch"
	KindRevision     Kind = "revision"
	KindStateChange  Kind = "state_change"
	KindPlatformCall Kind = "platform_call"
)

// Event is one entry of a timeline. It must never contain a credential.
type Event struct {
	// Sequence numbers the events of one process, starting at one.
	Sequence uint64 `json:"sequence"`
	// At is the time by the clock of the recording process.
	At        time.Time `json:"at"`
	Process   string    `json:"process"`
	Kind      Kind      `json:"kind"`
	RequestID string    `json:"request_id,omitempty"`
	// Subject is the backend server, team, partition or state that the event is about.
	Subject string `json:"subject,omitempty"`
	Detail  string `json:"detail,omitempty"`
}

// Page is a response with events of one ring.
type Page struct {
	Process string `json:"process"`
	// Now is the time of the response by the clock of the process. A reader uses it to
	// correct the clock offset.
	Now time.Time `json:"now"`
	// Lost is the number of requested events that the ring has already overwritten.
	Lost   uint64  `json:"lost"`
	Events []Event `json:"events"`
}

// Package release implements the versioned configuration: release notes (change sets that
// operators submit), the state that results from them, and the storage of both in the
// platform's key-value service.
package release

import "github.com/bergamotgrade/bergamotgrade"

// Note is a release note: a configuration change set that is accepted or refused as a
// whole.
type Note struct {
	// NoteID identifies the note, so that a repeated submission is not applied twice.
	NoteID string `json:"note_id"`
	// BaseRevision is the revision for which the operator wrote the note.
	BaseRevision int64     `json:"base_revision"`
	Set          Records   `json:"set"`
	Withdraw     RecordIDs `json:"withdraw"`
}

// Records holds configuration records by kind, such as those that a note adds or changes.
type Records struct {
	Teams          []bergamotgrade.Team          `json:"teams,omitempty"`
	Keys           []bergamotgrade.Key           `json:"keys,omitempty"`
	BackendServers []bergamotgrade.BackendServer `json:"backend_servers,omitempty"`
	Models         []bergamotgrade.Model         `json:"models,omitempty"`
	Services       []bergamotgrade.Service       `json:"services,omitempty"`
}

// RecordIDs lists the IDs of the records that a note withdraws.
type RecordIDs struct {
	TeamIDs          []string `json:"team_ids,omitempty"`
	KeyHashes        []string `json:"key_hashes,omitempty"`
	BackendServerIDs []string `json:"backend_server_ids,omitempty"`
	ModelIDs         []string `json:"model_ids,omitempty"`
	ServiceIDs       []string `json:"service_ids,omitempty"`
}

// AcceptedNote is a note with its revision and a link to the previous accepted note.
type AcceptedNote struct {
	Revision int64 `json:"revision"`
	// PreviousKey is the platform key of the previous note; empty for the first.
	PreviousKey string `json:"previous_key,omitempty"`
	Note        Note   `json:"note"`
}

// Head refers to the newest accepted note and the newest snapshot. A compare-and-swap of
// this value accepts a note.
type Head struct {
	Revision int64  `json:"revision"`
	NoteKey  string `json:"note_key,omitempty"`
	// SnapshotRevision is the revision of the newest complete snapshot, which consists of
	// SnapshotParts values. Zero means that there is no snapshot: the state is rebuilt from
	// the first note.
	SnapshotRevision int64  `json:"snapshot_revision,omitempty"`
	SnapshotID       string `json:"snapshot_id,omitempty"`
	SnapshotParts    int    `json:"snapshot_parts,omitempty"`
}

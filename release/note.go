// Package release holds the operators' configuration: release notes, the state
// that they add up to, and how both go through the platform's service.
package release

import "github.com/bergamotgrade/bergamotgrade"

// Note is a configuration change set: accepted whole or refused whole.
type Note struct {
	// NoteID makes a repeated submission harmless.
	NoteID string `json:"note_id"`
	// BaseRevision is the revision that the operator had read.
	BaseRevision int64    `json:"base_revision"`
	Set          Records  `json:"set"`
	Withdraw     RecordID `json:"withdraw"`
}

// Records are the records that a note adds or changes.
type Records struct {
	Teams          []bergamotgrade.Team          `json:"teams,omitempty"`
	Keys           []bergamotgrade.Key           `json:"keys,omitempty"`
	BackendServers []bergamotgrade.BackendServer `json:"backend_servers,omitempty"`
	Models         []bergamotgrade.Model         `json:"models,omitempty"`
	Services       []bergamotgrade.Service       `json:"services,omitempty"`
}

// RecordID lists the records that a note withdraws.
type RecordID struct {
	TeamIDs          []string `json:"team_ids,omitempty"`
	KeyHashes        []string `json:"key_hashes,omitempty"`
	BackendServerIDs []string `json:"backend_server_ids,omitempty"`
	ModelIDs         []string `json:"model_ids,omitempty"`
	ServiceIDs       []string `json:"service_ids,omitempty"`
}

// AcceptedNote is a note with its place in the chain of accepted notes.
type AcceptedNote struct {
	Revision int64 `json:"revision"`
	// PreviousKey is the platform key of the note before, empty for the first.
	PreviousKey string `json:"previous_key,omitempty"`
	Note        Note   `json:"note"`
}

// Head is the one value whose compare-and-swap accepts a note.
type Head struct {
	Revision int64  `json:"revision"`
	NoteKey  string `json:"note_key,omitempty"`
	// SnapshotRevision is the revision of the newest whole snapshot, with
	// SnapshotParts values; zero means that the chain starts from nothing.
	SnapshotRevision int64  `json:"snapshot_revision,omitempty"`
	SnapshotID       string `json:"snapshot_id,omitempty"`
	SnapshotParts    int    `json:"snapshot_parts,omitempty"`
}

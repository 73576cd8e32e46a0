package release

import "time"

const (
	// shardCount is the number of copy-on-write shards of each record map.
	shardCount = 256
	// notesPerSnapshot is the number of notes between two snapshots.
	notesPerSnapshot = 64
	// maxSnapshotValueBytes bounds the encoded records in one snapshot value; the
	// platform accepts values up to 1 MB.
	maxSnapshotValueBytes = 512 << 10
	// maxNoteBytes bounds the encoded size of a note.
	maxNoteBytes = 768 << 10
	// maxPollInterval is the longest time between two reads of the head.
	maxPollInterval = 5 * time.Second
	// watchTimeout bounds one watch call.
	watchTimeout = 10 * time.Second
	// retryDelay is the delay after a failed platform call.
	retryDelay = 300 * time.Millisecond
	// maxRecentNotes bounds the recent notes that a VM keeps in memory to send to its peers.
	maxRecentNotes = 256
)

// Keys in the platform's key-value service.
const (
	headKey        = "config/head"
	notePrefix     = "config/note/"
	snapshotPrefix = "config/snapshot/"
)

package release

import "time"

const (
	// shardCount is the number of copy-on-write shards of each record map.
	shardCount = 256
	// snapshotInterval is the number of notes between two snapshots.
	snapshotInterval = 64
	// snapshotValueBytes bounds one snapshot value; the platform takes 1 MB.
	snapshotValueBytes = 512 << 10
	// maxNoteBytes bounds one encoded note.
	maxNoteBytes = 768 << 10
	// pollFloor is the longest time between two reads of the head.
	pollFloor = 5 * time.Second
	// watchTerm is how long one watch call waits.
	watchTerm = 10 * time.Second
	// failurePause is the pause after a failed platform call.
	failurePause = 300 * time.Millisecond
	// keptNotes is the number of recent notes that a VM hands to its peers.
	keptNotes = 256
)

// Keys of the platform's service.
const (
	headKey        = "config/head"
	notePrefix     = "config/note/"
	snapshotPrefix = "config/snapshot/"
)

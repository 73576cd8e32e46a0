package bergamotgrade

import "context"

// SegmentRef identifies an immutable segment of bulk data and its storage location.
type SegmentRef struct {
	Key   string `json:"key"`
	Bytes int    `json:"bytes"`
	// Hash is the xxhash of the data; each read is verified against it.
	Hash uint64 `json:"hash"`
	// VMIDs are the VMs that store a copy on disk; if empty, the platform stores the
	// data.
	VMIDs []string `json:"vm_ids,omitempty"`
}

// Segments stores bulk data so that it survives the loss of any single VM.
type Segments interface {
	// Put stores the data and returns once it is durable. A repeated Put of the same
	// key and data has no further effect.
	Put(ctx context.Context, key string, data []byte) (SegmentRef, error)
	// Get returns the data after verifying it against the hash of the reference.
	Get(ctx context.Context, ref SegmentRef) ([]byte, error)
	// Limit returns the maximum size of one file in bytes; zero is unbounded.
	Limit() int64
}

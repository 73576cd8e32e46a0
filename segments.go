package bergamotgrade

import "context"

// SegmentRef names an immutable piece of bulk data and where it is kept.
type SegmentRef struct {
	Key   string `json:"key"`
	Bytes int    `json:"bytes"`
	// Hash is the xxhash of the data, which each read is checked against.
	Hash uint64 `json:"hash"`
	// VMIDs are the disk VMs that hold a copy; none means the platform.
	VMIDs []string `json:"vm_ids,omitempty"`
}

// Segments keeps bulk data so that it survives the loss of any one VM.
type Segments interface {
	// Put returns once the data is durable. A put of the same key and data is
	// harmless.
	Put(ctx context.Context, key string, data []byte) (SegmentRef, error)
	// Get returns the data, checked against the reference's hash.
	Get(ctx context.Context, ref SegmentRef) ([]byte, error)
	// Limit returns the largest number of bytes of one file; zero is unbounded.
	Limit() int64
}

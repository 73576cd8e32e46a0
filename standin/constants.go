package standin

import "time"

const (
	// defaultMaxTokens is the answer's length where the request names none.
	defaultMaxTokens = 16
	// cacheBlockBytes is the size of one block of the prefix cache.
	cacheBlockBytes = 64
	// ledgerCapacity bounds the requests that a stand-in remembers.
	ledgerCapacity = 200000
	// maxBodyBytes bounds a body that a stand-in reads.
	maxBodyBytes = 16 << 20
	// cancelWait is how long a cancel that came first is remembered.
	cancelWait = 10 * time.Second
)

// Headers that the VMs and the backend servers use between them.
const (
	headerRequestID    = "X-Request-Id"
	headerAttemptID    = "X-Attempt-Id"
	headerResumeOffset = "X-Resume-Offset"
)

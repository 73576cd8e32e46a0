package standin

import "time"

const (
	// defaultMaxTokens is the length of the answer if the request sets no max_tokens.
	defaultMaxTokens = 16
	// cacheBlockBytes is the block size of the prefix cache.
	cacheBlockBytes = 64
	// requestLogCapacity bounds the number of requests that a stand-in records.
	requestLogCapacity = 200000
	// maxBodyBytes bounds the part of a request body that a stand-in reads.
	maxBodyBytes = 16 << 20
	// earlyCancelRetention is the time for which a cancel that arrives before its attempt
	// is kept.
	earlyCancelRetention = 10 * time.Second
)

// Headers between VMs and backend servers.
const (
	headerRequestID    = "X-Request-Id"
	headerAttemptID    = "X-Attempt-Id"
	headerResumeOffset = "X-Resume-Offset"
)

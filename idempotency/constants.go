package idempotency

import "time"

const (
	// recordRetention is the minimum time for which a record is kept.
	recordRetention = 24 * time.Hour
	// leaseSpan is the time span whose records share a platform lease.
	leaseSpan = time.Hour
	// maxStoredAnswerBytes bounds the body of a response that is stored for repeated requests.
	maxStoredAnswerBytes = 256 << 10
	// retryAfter is the Retry-After of a request whose first request is still running or whose
	// record cannot be written.
	retryAfter = time.Second
	// readBackDelay is the delay before a write without a response is read back.
	readBackDelay = 200 * time.Millisecond
	// outcomeWriteTimeout bounds the time for writing an outcome.
	outcomeWriteTimeout = 5 * time.Second
)

// keyPrefix is the prefix of the records' and leases' keys in the platform's store.
const keyPrefix = "idempotency/"

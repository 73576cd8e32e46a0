package caller

import "time"

const (
	// writeTimeout bounds one write to a caller that does not read.
	writeTimeout = 10 * time.Second
	// idleTimeout ends kept connections that carry nothing.
	idleTimeout = 90 * time.Second
	// maxHeaderBytes bounds a request's header.
	maxHeaderBytes = 64 << 10
	// maxKeyBytes bounds a caller's key.
	maxKeyBytes = 512
	// maxIdempotencyKeyBytes bounds an Idempotency-Key.
	maxIdempotencyKeyBytes = 255
	// defaultCost is the expected number of tokens where the request names none.
	defaultCost = 256
	// maxDeadline is the longest time that a request may ask for.
	maxDeadline = 30 * time.Minute
)

// Headers that callers and VMs use between them.
const (
	headerRequestID      = "X-Request-Id"
	headerDeadline       = "X-Deadline"
	headerIdempotencyKey = "Idempotency-Key"
	headerNotRun         = "X-Not-Run"
)

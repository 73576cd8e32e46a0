package caller

import "time"

const (
	// maxPromptParts bounds the messages of a prompt that are considered as its parts.
	maxPromptParts = 32
	// writeTimeout is the maximum duration of one write to a caller that does not read.
	writeTimeout = 10 * time.Second
	// lastAnswersReserve is the time before the end of a drain that is left for the answers to requests
	// that could not be completed.
	lastAnswersReserve = 200 * time.Millisecond
	// noRoomRetryAfter is the Retry-After of requests for which there is no room: bodies that stop
	// short are given up after some seconds.
	noRoomRetryAfter = time.Second
	// idleTimeout is the time after which idle connections are closed.
	idleTimeout = 90 * time.Second
	// maxHeaderBytes is the maximum size of a request header.
	maxHeaderBytes = 64 << 10
	// maxKeyBytes is the maximum size of an API key.
	maxKeyBytes = 512
	// maxIdempotencyKeyBytes is the maximum size of an Idempotency-Key.
	maxIdempotencyKeyBytes = 255
	// defaultCost is the expected number of output tokens of a request without a token
	// limit.
	defaultCost = 256
	// maxDeadline is the maximum time from arrival to the deadline of a request.
	maxDeadline = 30 * time.Minute
)

// Headers between callers and VMs.
const (
	headerRequestID      = "X-Request-Id"
	headerDeadline       = "X-Deadline"
	headerIdempotencyKey = "Idempotency-Key"
	headerNotRun         = "X-Not-Run"
)

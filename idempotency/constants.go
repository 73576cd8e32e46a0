package idempotency

import "time"

const (
	// recordLife is the least time for which a record is kept.
	recordLife = 24 * time.Hour
	// bucket is the span of records that share a platform lease.
	bucket = time.Hour
	// maxAnswerBytes bounds an answer that is kept for a resend.
	maxAnswerBytes = 256 << 10
	// inProgressPause is the Retry-After of a request that still runs.
	inProgressPause = time.Second
	// readBackPause is the pause before an unanswered write is read back.
	readBackPause = 200 * time.Millisecond
	// settleTimeout bounds the writing of an outcome.
	settleTimeout = 5 * time.Second
)

const keyPrefix = "idempotency/"

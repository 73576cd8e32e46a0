package backend

import "time"

const (
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	// maxAnswerBytes bounds the answer of a plain service.
	maxAnswerBytes = 8 << 20
	// dialTimeout bounds the set-up of a connection.
	dialTimeout = time.Second
	// loadTimeout bounds one probe.
	loadTimeout = time.Second
	// cancelTimeout bounds one cancel call.
	cancelTimeout = time.Second
	// cancelQueue is the number of cancels that may wait to be sent.
	cancelQueue = 4096
	// cancelWorkers is the number of cancels under way at the same time.
	cancelWorkers = 8
	// idleConnTimeout ends connections that carry nothing.
	idleConnTimeout = 30 * time.Second
	// maxIdleConns is the number of idle connections kept to one server.
	maxIdleConns = 64
)

// Headers that the VMs and the backend servers use between them.
const (
	headerRequestID    = "X-Request-Id"
	headerAttemptID    = "X-Attempt-Id"
	headerResumeOffset = "X-Resume-Offset"
)

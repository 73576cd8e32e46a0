package backend

import "time"

const (
	// maxEventBytes is the maximum size of one event of a stream.
	maxEventBytes = 1 << 20
	// maxAnswerHeadBytes bounds the heads of a response, interim ones included: a server in trouble may send
	// one without end.
	maxAnswerHeadBytes = 64 << 10
	// maxAnswerBytes is the maximum size of the response body of a plain service.
	maxAnswerBytes = 8 << 20
	// dialTimeout is the maximum time to establish a connection.
	dialTimeout = time.Second
	// loadTimeout is the maximum duration of one request for the load report.
	loadTimeout = time.Second
	// cancelTimeout is the maximum duration of one cancel call.
	cancelTimeout = time.Second
	// cancelQueueSize is the capacity of the queue of unsent cancels.
	cancelQueueSize = 4096
	// cancelWorkers is the number of cancel calls that run concurrently.
	cancelWorkers = 8
	// idleConnTimeout is the time after which idle connections are closed.
	idleConnTimeout = 30 * time.Second
	// maxIdleConns is the maximum number of idle connections to one server.
	maxIdleConns = 64
)

// Headers between VMs and backend servers.
const (
	headerRequestID    = "X-Request-Id"
	headerAttemptID    = "X-Attempt-Id"
	headerResumeOffset = "X-Resume-Offset"
)

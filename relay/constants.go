package relay

import "time"

const (
	// maxWaiting bounds the requests that wait for one service on this VM; each
	// waiting request holds its body in memory.
	maxWaiting = 256
	// maxWaitingPerTeam bounds the waiting requests of one team for one service.
	maxWaitingPerTeam = 96
	// maxRejections bounds the attempts of one request that end without being run
	// by a server.
	maxRejections = 4
	// maxLostConnections bounds the attempts of one request whose connection may break before
	// any event: the servers may end because of the request.
	maxLostConnections = 2
	// maxBufferedBytes is the size up to which a response that is not an event
	// stream is buffered completely before its head is sent, so that a truncated
	// response can still be retried.
	maxBufferedBytes = 64 << 10
	// maxEventBytes bounds the size of one event.
	maxEventBytes = 1 << 20
	// maxEmptyLines bounds the empty lines between two events.
	maxEmptyLines = 16
	// minAttemptTime is the time before the deadline below which no further attempt
	// starts.
	minAttemptTime = 20 * time.Millisecond
	// stallFactor times the route's objective for the pause between events is the
	// silence after which a stream is resumed at another server.
	stallFactor = 2
	// minStall is the lower bound of that silence. An engine's step takes
	// milliseconds, but a preempted request has its prompt processed again from the
	// start.
	minStall = 800 * time.Millisecond
	// responseHeaderShare is the share of the time left until the deadline within which
	// a server has to begin the response to a request that can still be retried.
	responseHeaderShare = 0.4
	// minRetryAfter is the shortest retry delay that a rejected caller is asked for;
	// it is about the time until the next slot is released.
	minRetryAfter = 50 * time.Millisecond
	// readBufferBytes is the size of the buffer for response bodies.
	readBufferBytes = 4096
	// maxWaitedFraction is the part, as a divisor, of a run's time that may be spent waiting for the
	// caller if the run is to tell of its server's speed.
	maxWaitedFraction = 10
)

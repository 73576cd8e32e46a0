package dispatch

import "time"

const (
	// maxAttempts bounds the dispatches of one request.
	maxAttempts = 5
	// retryRatio is the retries earned by one request.
	retryRatio = 0.2
	// retryReserve is the number of retries that may go out without any earned.
	retryReserve = 64
	// gapThreshold is the silence between tokens that the time line records.
	gapThreshold = 500 * time.Millisecond
	// loadInterval is the time between two load reports of one server.
	loadInterval = 250 * time.Millisecond
	// loadWorkers is the number of load polls under way in one pool.
	loadWorkers = 8
	// idlePolls bounds the unused servers of one pool that are asked in one
	// interval.
	idlePolls = 10
	// retryPause is the pause before a retry.
	retryPause = 20 * time.Millisecond
	// overloadPause is the Retry-After of a full queue.
	overloadPause = time.Second
	// maxQueueItems bounds the requests that wait for one pool.
	maxQueueItems = 4096
	// maxQueuePerTeam bounds the waiting requests of one team.
	maxQueuePerTeam = 512
	// batchShare is the share of a server's slots that batch may fill; the rest
	// waits for online requests.
	batchShare = 0.75
	// cappedShare is the share of the fixed-cap baseline.
	cappedShare = 0.5
	// prefixBytes is the length of the prompt that locality looks at.
	prefixBytes = 256
)

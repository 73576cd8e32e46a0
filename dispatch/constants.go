package dispatch

import "time"

const (
	// maxAttempts bounds the dispatches of one request.
	maxAttempts = 5
	// maxLostConnections bounds the attempts of one completion whose connection may break: the
	// engines may end because of the request.
	maxLostConnections = 3
	// retriesPerRequest is the number of retries that one request adds to the budget.
	retriesPerRequest = 0.2
	// maxRetryTokens is the initial and largest balance of the retry budget: the retries
	// that may be sent before any have been earned.
	maxRetryTokens = 64
	// tokenGapThreshold is the time between two tokens above which the timeline records
	// a gap.
	tokenGapThreshold = 500 * time.Millisecond
	// loadPollInterval is the time between two load polls of one server.
	loadPollInterval = 250 * time.Millisecond
	// maxConcurrentLoadPolls bounds the load polls in flight in one pool.
	maxConcurrentLoadPolls = 8
	// maxUnusedServerPolls bounds the unused servers of one pool that are polled in one
	// interval.
	maxUnusedServerPolls = 10
	retryDelay           = 20 * time.Millisecond
	// overloadRetryAfter is the Retry-After of a request that a full queue rejects.
	overloadRetryAfter = time.Second
	// maxQueuedRequests bounds the queued requests of one pool.
	maxQueuedRequests = 4096
	// maxQueuedPerTeam bounds the queued requests of one team in one pool.
	maxQueuedPerTeam = 512
	// batchSlotShare is the share of a server's slots that batch items may fill under
	// BatchYield. The remaining slots are reserved for online requests.
	batchSlotShare = 0.75
	// cappedSlotShare is the share of a server's slots that batch items may fill under
	// BatchCap.
	cappedSlotShare = 0.5
	// minServerLife is the time within which the ends of a server count as one; a model
	// engine takes longer to load its weights.
	minServerLife = 2 * time.Second
	// prefixHashBytes is the length of the prompt's start that PrefixHash includes.
	prefixHashBytes = 256
)

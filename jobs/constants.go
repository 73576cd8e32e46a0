package jobs

import "time"

const (
	// usableValueFraction is the fraction of the store's value limit that is used;
	// the rest leaves room for the entry's own fields.
	usableValueFraction = 0.9
	// maxCommitEntries is the store's limit on the sum of conditions, writes and
	// deletions in a commit.
	maxCommitEntries = 32
	// maxKeyBytes is the store's limit on the length of a key.
	maxKeyBytes = 200
	// hashedIDPrefix begins the record ids that are hashes; no plain job id holds it.
	hashedIDPrefix = "~"
	// maxCreateRounds bounds the commits that store a new job while jobs of other teams come and
	// go under its record ids.
	maxCreateRounds = 3
	// maxResultsPerCommit follows from maxCommitEntries: each result needs a condition
	// and a write, and so does the job's head.
	maxResultsPerCommit = maxCommitEntries/2 - 1
	// maxBodyParts follows from maxCommitEntries: each part of a job's body needs a
	// write, and the head needs a condition for each of two record ids and a write.
	maxBodyParts = maxCommitEntries - 3
	// submitTimeout bounds the attempts to store a new job; the caller tries another
	// VM afterwards.
	submitTimeout = 1200 * time.Millisecond
	// storeRetryDelay is the delay before a call to the store is retried. For results,
	// which no caller needs at once, it doubles up to maxStoreRetryDelay.
	storeRetryDelay    = 150 * time.Millisecond
	maxStoreRetryDelay = 600 * time.Millisecond
	// largeBodyBytes is the size above which a job's body counts as large, and all but one part in
	// largeLanePart of the budget of loaded bodies is for large ones.
	largeBodyBytes = 256 << 10
	largeLanePart  = 4
	// maxLargeLoads bounds the large bodies that are decoded at the same time; each costs several times its
	// bytes meanwhile.
	maxLargeLoads = 2
	// maxCacheBytes bounds the results and bodies in memory.
	maxCacheBytes = 24 << 20
	// maxAnswerBytes bounds the results in one answer; a larger single result is
	// still returned.
	maxAnswerBytes = 900 << 10
	// maxHeadAge is the age up to which a cached head tells that a job has no more results.
	// With the interval of watches it is less than the second after which every VM has to
	// know a result that any VM has shown.
	maxHeadAge = 600 * time.Millisecond
	// resultBatchDelay is how long finished results wait for others to share a commit.
	// It is less than one second, since the limits on waiting items are applied to
	// counts that may be one second old.
	resultBatchDelay = 800 * time.Millisecond
	// immediateStoreWindow is the time before a job's due time in which its results
	// are stored without delay.
	immediateStoreWindow = 2 * time.Second
	// maxItemTextBytes bounds the output of an item; a result has to fit a value of the
	// store.
	maxItemTextBytes = 768 << 10
	// finalStoreTimeout bounds the storing of finished results in a graceful stop.
	finalStoreTimeout = time.Second
	// itemRetryDelay is the delay before a failed item or a failed load of a job is
	// retried.
	itemRetryDelay = 200 * time.Millisecond
	// finalAttemptDelay is the delay before the last attempt that an item has left. It
	// gives a server's fault time to pass; due times are several times longer.
	finalAttemptDelay = 2 * time.Second
	// endsToSuspect is the number of servers that end under an item in a row, before its first
	// event, from which on it runs in the suspect lane.
	endsToSuspect = 3
	// minSuspectPause and maxSuspectPause bound the pause of the suspect lane after a server
	// has ended; due times are several times longer.
	minSuspectPause = 2 * time.Second
	maxSuspectPause = 8 * time.Second
	// stallTimeout is the time without data after which an item is resumed at another
	// server.
	stallTimeout = 2 * time.Second
	// firstEventTimeout is how long an item waits for its first event. It is longer
	// than stallTimeout because the server may serve the requests that it already has
	// first.
	firstEventTimeout = 4 * time.Second
	// latePreemptionOffset is added to the due time of late items, so that they are
	// preempted before all others; it exceeds every job's time to its due time.
	latePreemptionOffset = time.Hour
	// runTimeWeight is the weight of the newest item in the moving average of run times.
	runTimeWeight = 0.1
	// checkInterval is the longest time between two checks of all jobs.
	checkInterval = 500 * time.Millisecond
	// cleanupInterval is the time between two removals of expired jobs.
	cleanupInterval = 15 * time.Second
	// retentionMargin is how long results are kept beyond the promised time.
	retentionMargin = time.Minute
	// maxEndRetries bounds the retries of a failed write that cancels a job.
	maxEndRetries = 5
	// refusalRetryAfter is the Retry-After time for a job that exceeds the limit on
	// waiting tokens or cannot be stored now.
	refusalRetryAfter = time.Second
	// strayDelay is how long a job's owner is outside its homes before another VM takes the job
	// over: configurations reach all VMs within two seconds.
	strayDelay = 2 * time.Second
)

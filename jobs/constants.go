package jobs

import "time"

const (
	// valueShare is the part of the store's largest value that is used, which
	// leaves room for the entry's own fields.
	valueShare = 0.9
	// maxCommitEntries is the store's bound on the conditions, writes and deletions
	// of a commit together.
	maxCommitEntries = 32
	// maxListed is the most results of one commit: each takes a condition and a
	// write, and so does the job's head.
	maxListed = maxCommitEntries/2 - 1
	// maxBodyParts is the most parts of a job's body; the head takes a condition
	// and a write.
	maxBodyParts = maxCommitEntries - 2
	// submitPatience is how long the acceptance of a job is tried; its caller
	// tries another VM afterwards.
	submitPatience = 1200 * time.Millisecond
	// storeRetry is the pause before a call to the store is repeated; it doubles up
	// to maxStoreRetry for results, which nobody waits for at once.
	storeRetry    = 150 * time.Millisecond
	maxStoreRetry = 600 * time.Millisecond
	// cacheBytes bounds the results and bodies kept in memory.
	cacheBytes = 24 << 20
	// maxAnswerBytes bounds the results in one answer to a reader.
	maxAnswerBytes = 900 << 10
	// resultGather is how long finished results wait for others to share a commit;
	// limits on waiting items count those of a second before.
	resultGather = 800 * time.Millisecond
	// resultUrgency is the time before a job is due from which its results are
	// listed at once.
	resultUrgency = 2 * time.Second
	// lastListing bounds the last commit of a planned stop.
	lastListing = time.Second
	// itemPause is the pause before an item that failed is run again.
	itemPause = 200 * time.Millisecond
	// lastPause is the pause before the last attempt that an item has: the fault of
	// a server may pass meanwhile, and due times are several times as long.
	lastPause = 2 * time.Second
	// stallLimit is the silence after which an item goes on at another server.
	stallLimit = 2 * time.Second
	// headLimit is how long an item waits for its first event, which is behind
	// those of the requests that its server already has.
	headLimit = 4 * time.Second
	// lateYield sets runs that are late already behind all others when some have to
	// make room; no job is due that long.
	lateYield = time.Hour
	// itemRunWeight is the weight of the newest item in the mean run time.
	itemRunWeight = 0.1
	// checkInterval is the longest pause between two looks at all jobs.
	checkInterval = 500 * time.Millisecond
	// cleanInterval is the pause between two removals of expired jobs.
	cleanInterval = 15 * time.Second
	// statusMargin is how much longer than promised results are kept.
	statusMargin = time.Minute
	// maxEndTries bounds the failed calls by which a job is ended.
	maxEndTries = 5
	// refusedRetry is the Retry-After of a job that does not fit or cannot be
	// stored now.
	refusedRetry = time.Second
)

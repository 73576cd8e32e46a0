package batch

import "time"

const (
	// MaxItems bounds the items of one job.
	MaxItems = 55000
	// MaxLineBytes bounds one line of an input file.
	MaxLineBytes = 512 << 10
	// segmentBytes is the size at which an input segment is closed.
	segmentBytes = 256 << 10
	// resultSegmentBytes is the size at which a result segment is closed.
	resultSegmentBytes = 256 << 10
	// maxResultBytes bounds one result; a larger answer ends as an error.
	maxResultBytes = 512 << 10
	// itemsAtOnce bounds the items that one VM works on.
	itemsAtOnce = 512
	// reportedFaults bounds the bad lines that one refusal lists.
	reportedFaults = 1000
	// rangeItems is the number of items that one owner takes at a time.
	rangeItems = 500
	// chunkItems is the number of idempotent items between two commits.
	chunkItems = 100
	// onceChunkItems is the number of items between two commits where some may
	// not be repeated; an owner's loss leaves as many with an unknown outcome.
	onceChunkItems = 16
	// rangesAtOnce is the number of ranges of one job that run together.
	rangesAtOnce = 4
	// retryPause is the pause before an item is tried again.
	retryPause = 200 * time.Millisecond
	// lookInterval is the time between two looks at the open jobs.
	lookInterval = 2 * time.Second
	// retention is the time for which files and results stay readable.
	retention = 7 * 24 * time.Hour
	// retentionBucket is the span of records that share a platform lease.
	retentionBucket = 24 * time.Hour
	// DefaultWindow is the due time of a job that names none.
	DefaultWindow = 24 * time.Hour
	// MaxWeight bounds the weight of a job.
	MaxWeight = 100
	// urgentWindow is the time before the due date from which a job's weight
	// grows, up to maxUrgency times.
	urgentWindow = time.Hour
	maxUrgency   = 8.0
	// partitionCount is the number of groups of jobs with a runner each.
	partitionCount = 16
	// swapTries bounds the tries of one change.
	swapTries = 8
)

// Keys of the platform's service.
const (
	filePrefix    = "batch/file/"
	jobPrefix     = "batch/job/"
	openPrefix    = "batch/open/"
	rangePrefix   = "batch/range/"
	segmentPrefix = "batch/segment/"
	leasePrefix   = "batch/"
)

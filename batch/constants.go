package batch

import "time"

const (
	// MaxItems bounds the items of one job.
	MaxItems = 55000
	// MaxLineBytes bounds one line of an input file.
	MaxLineBytes = 512 << 10
	// segmentBytes is the size at which an input segment is written and the next one begins.
	segmentBytes = 256 << 10
	// resultSegmentBytes is the size at which a result segment is written and the next one
	// begins.
	resultSegmentBytes = 256 << 10
	// maxResultBytes bounds one encoded result. A larger result is replaced by an error.
	maxResultBytes = 512 << 10
	// maxConcurrentItems bounds the items in flight on one VM.
	maxConcurrentItems = 512
	// maxReportedErrors bounds the line errors that the rejection of one input file lists.
	maxReportedErrors = 1000
	// itemsPerRange is the number of items that a VM claims at a time.
	itemsPerRange = 500
	// itemsPerChunk is the number of items between two commits if all items of the file are
	// idempotent.
	itemsPerChunk = 100
	// itemsPerAtMostOnceChunk is the number of items between two commits if some items of
	// the file must not be repeated. The loss of a range's owner leaves up to this many items
	// with an unknown outcome.
	itemsPerAtMostOnceChunk = 16
	// maxConcurrentRanges bounds the ranges of one job that run at the same time.
	maxConcurrentRanges = 4
	// retryDelay is the delay before a failed read or write of the repository is retried.
	retryDelay = 200 * time.Millisecond
	// openJobsInterval is the time between two listings of the open jobs.
	openJobsInterval = 2 * time.Second
	// retention is the time for which files and results stay readable.
	retention = 7 * 24 * time.Hour
	// leaseSpan is the time span whose records share a platform lease.
	leaseSpan = 24 * time.Hour
	// DefaultCompletionWindow is the completion window of a job that names none.
	DefaultCompletionWindow = 24 * time.Hour
	// MaxWeight bounds the weight of a job.
	MaxWeight = 100
	// urgencyWindow is the time before the due date in which a job's urgency rises, from 1 to
	// at most maxUrgency.
	urgencyWindow = time.Hour
	maxUrgency    = 8.0
	// partitionCount is the number of partitions of the jobs. One VM runs the jobs of a
	// partition.
	partitionCount = 16
	// maxSwapAttempts bounds the attempts of one compare-and-swap update.
	maxSwapAttempts = 8
)

// Key prefixes in the platform's store.
const (
	filePrefix    = "batch/file/"
	jobPrefix     = "batch/job/"
	openPrefix    = "batch/open/"
	rangePrefix   = "batch/range/"
	segmentPrefix = "batch/segment/"
	leasePrefix   = "batch/"
)

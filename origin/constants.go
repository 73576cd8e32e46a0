package origin

import "time"

const (
	// retention is how long a record of a stream counts, and how long a version counts as
	// serving after its last server has left: callers give a stream up sooner.
	retention = time.Minute
	// maxRecords bounds the records that one VM keeps.
	maxRecords = 16384
	// recordCopies is the number of other VMs that keep a copy of each record.
	recordCopies = 2
	// maxAsked is the number of VMs that are asked for a record: the VMs that keep it as far
	// as this VM knows, and as many more, since others may have been chosen with another list.
	maxAsked = 2 * recordCopies
	// answerTimeout bounds the wait for the answers, lateAnswerDelay the wait for further ones
	// once one VM has a record.
	answerTimeout   = 250 * time.Millisecond
	lateAnswerDelay = 30 * time.Millisecond
	// resendAge is the age up to which records are sent to other VMs once there is a second
	// version: streams that began before go on as long.
	resendAge = 10 * time.Second
	// retryDelay is the Retry-After of a stream whose origin is not known.
	retryDelay = 500 * time.Millisecond
)

package rate

import "time"

const (
	// partitionCount is the number of groups of teams with a broker each.
	partitionCount = 8
	// pledgeInterval is the time between two pledges to the same broker.
	pledgeInterval = 600 * time.Millisecond
	// settledAfter is the time after which a broker counts as settled.
	settledAfter = 1500 * time.Millisecond
	// pledgeTimeout bounds one pledge call.
	pledgeTimeout = 300 * time.Millisecond
	// borrowTimeout bounds one borrow call; a grant is worthless later.
	borrowTimeout = 250 * time.Millisecond
	// suspectFor is the time for which a silent broker is passed over.
	suspectFor = 5 * time.Second
	// patience is the longest wait for a token that is not refused for good:
	// the time in which a lost broker's pledges return.
	patience = 2200 * time.Millisecond
	// smoothing is the longest wait for a token that is due shortly.
	smoothing = 50 * time.Millisecond
	// retryPause is the pause between tries while no broker answers.
	retryPause = 50 * time.Millisecond
)

package rate

import "time"

const (
	// partitionCount is the number of partitions of the teams. Each partition has
	// a broker.
	partitionCount = 8
	// pledgeInterval is the time between two pledges to the same broker.
	pledgeInterval = 600 * time.Millisecond
	// settledAfter is the time for which a partition must have had the same broker
	// to count as settled.
	settledAfter = 1500 * time.Millisecond
	// pledgeTimeout bounds one pledge call.
	pledgeTimeout = 300 * time.Millisecond
	// borrowTimeout bounds one borrow call. A grant that arrives later has expired.
	borrowTimeout = 250 * time.Millisecond
	// suspectDuration is the time for which a broker that did not answer is not
	// chosen again.
	suspectDuration = 5 * time.Second
	// maxBrokerWait bounds the wait of a request while no broker can lend. In this
	// time the VMs can reclaim the shares that they pledged to a lost broker.
	maxBrokerWait = 2200 * time.Millisecond
	// maxTokenWait is the longest wait for the next token; requests that would wait
	// longer are refused.
	maxTokenWait = 50 * time.Millisecond
	// retryDelay is the pause between attempts while no broker can lend.
	retryDelay = 50 * time.Millisecond
)

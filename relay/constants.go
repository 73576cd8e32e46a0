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
	// maxScarceRejections is the same while the demand for a service exceeds its capacity, and
	// maxBeyondShareRejections the same for requests beyond their team's share then.
	maxScarceRejections      = 16
	maxBeyondShareRejections = 2
	// earlyFraction is the fraction of the objective within which requests are refused after attempts that no server
	// has run.
	earlyFraction = 0.25
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
	// maxLookPause is the time between two calls of StartWaiting from which the process counts as paused. The times of
	// the runs before tell nothing of servers: with 8 runs, a pause of 10 s left a fifth of the capacity.
	maxLookPause = time.Second
	// workWeight is the weight of the latest request in the moving averages of cost and run time.
	workWeight = 0.05
	// spareHold is how long a request beyond its team's share leaves the last slots of servers to requests of other
	// VMs: a little longer than the age of what VMs know of each other.
	spareHold = 150 * time.Millisecond
	// lastSlot is the fraction of the slots of a server that makes one slot.
	lastSlot = 1e-9
	// fullHold is how long requests beyond the share take into account that a server turned out to be full.
	fullHold = 300 * time.Millisecond
	// beyondShareRate is the fraction of the capacity that requests beyond the share are expected to get in scarcity.
	beyondShareRate = 0.2
	// maxReturn bounds the time after which a refused client comes back: a client waits for a third of its remaining
	// time, which is 10 s for most requests.
	maxReturn = 2 * time.Second
	// tellUsage is the fraction of the slots of a service in use from which on the VMs tell each other of its work.
	tellUsage = 0.5
	// capacityInterval is how long the sums over all servers of a service are used: status is no newer, and there may
	// be 1,300 servers.
	capacityInterval = 50 * time.Millisecond
	// readBufferBytes is the size of the buffer for response bodies.
	readBufferBytes = 4096
	// maxWaitedFraction is the part, as a divisor, of a run's time that may be spent waiting for the
	// caller if the run is to tell of its server's speed.
	maxWaitedFraction = 10
	// hedgeReserve is the fraction of the slots of a server that a hedged request leaves free beside its own:
	// other VMs choose on status that is up to 0.1 s old.
	hedgeReserve = 0.25
	// maxOverlap bounds the time for which two servers run the same request.
	maxOverlap = 250 * time.Millisecond
	// maxHedgeLogs bounds the log lines of a second about hedged requests.
	maxHedgeLogs = 20
)

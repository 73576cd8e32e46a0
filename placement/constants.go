package placement

import "time"

const (
	// peerReportTTL is the time after which a peer's load report is dropped; peers
	// send several reports within that time.
	peerReportTTL = 1200 * time.Millisecond
	// failureLimit is the number of consecutive failures that ejects a server.
	failureLimit = 2
	// baseEjection is the duration of a server's first ejection; it doubles with
	// each further ejection up to maxEjection.
	baseEjection = time.Second
	maxEjection  = 8 * time.Second
	// suspectQuorum is the number of peers that have to suspect a server for it to
	// be ejected on this VM too.
	suspectQuorum = 2
	// fullPause is how long a server that rejected a request gets no new requests.
	fullPause = 60 * time.Millisecond
	// initialRunTime is the assumed mean run time before any request has ended.
	initialRunTime = 700 * time.Millisecond
	// runTimeWeight is the weight of the latest run in the moving average of the run
	// time.
	runTimeWeight = 0.05
	// leavingReportTime is how long a VM tells the others of a server that leaves; each of them
	// hears several reports in that time.
	leavingReportTime = 2 * time.Second
	// leavingRetention is how long a mark outlives the registration of its process, which may
	// come back after an outage of the store.
	leavingRetention = 10 * time.Minute
	// rateRetention is how long a limit holds after the last answer that named it.
	rateRetention = 10 * time.Second
	// rateBurst times the limit of a server is the number of requests that callers' VMs may
	// send it at once.
	rateBurst = 2 * time.Second
	// batchRateFraction is the fraction of a limit that belongs to the VMs that run batch items,
	// and batchRateBurst the number of requests that these may send at once.
	batchRateFraction = 1.0 / 3
	batchRateBurst    = 2
	// coldRelease is the time after the end of a server's cold period in which the VMs start to use it,
	// one after the other. Status is up to 0.1 s old, so that each sees the load of those before it.
	coldRelease = 400 * time.Millisecond
	// maxEntryAge is the age that a registry entry may have when it is read: it is written every 1.2 s,
	// and known to all VMs within two seconds. An answer counts for more for that time.
	maxEntryAge = 3 * time.Second
	// registeredRetention is how long a VM that is no longer registered keeps its share of cold servers.
	// VMs are cut off from the store for up to 9 s, and their registrations end after 4 s.
	registeredRetention = 20 * time.Second
	// coldSettle is how long a VM that has just learned of the registered VMs uses no share: until then
	// the others do not know of it, and the VMs that start with it are not all registered.
	coldSettle = 2 * time.Second
	// coldBatchFraction is the fraction of a share that batch items may use at a VM that also takes
	// callers' requests.
	coldBatchFraction = 1.0 / 8
	// defaultColdOvershoot applies if the settings name none.
	defaultColdOvershoot = 1.5
	// homeServers is the number of servers that a VM uses first.
	homeServers = 4
	// loadStep is the number of requests by which the loads of other servers are rounded.
	loadStep = 3
	// batchReserve is the number of slots of each server that batch leaves free, so
	// that an online request seldom has to wait for the preemption of a batch run.
	batchReserve = 1
)

const (
	// speedWeight is the weight of one run in the moving average of a server's time per token: 20
	// runs move it by two thirds of a lasting change.
	speedWeight = 0.05
	// maxSpeedWeight bounds the weight that a VM gives a run where others run most of the requests.
	maxSpeedWeight = 0.25
	// minSpeedRuns is the number of runs from which a server's speed counts as known.
	minSpeedRuns = 5
	// minSpeedEvents is the least number of events from which a run is measured as a stream.
	minSpeedEvents = 4
	// minSpeedCost and minSpeedTime are the least work in tokens and the least time of runs that
	// tell of a server's speed.
	minSpeedCost = 20
	minSpeedTime = 10 * time.Millisecond
	// outputTokenCost is the cost of an output token; an event holds about one.
	outputTokenCost = 10
	// stepGrowth is how much longer a step takes with all slots in use than with one. Engines batch
	// continuously: a step takes a fixed time plus a little for each request.
	stepGrowth = 0.1
	// maxDeviation is the logarithm of the factor to which a run that deviates more is held until the
	// deviation has lasted for momentLimit. Slow moments of servers take under 0.6 s.
	maxDeviation = 0.25
	momentLimit  = time.Second
	// unevenFrom and unevenUntil are the logarithms of the factors by which a server has to differ from
	// the mean of its service for the speeds to count (20 %), and until when they do (15 %). With one
	// limit, slow moments and a noise of 15 % of the times of runs crossed it now and then.
	unevenFrom  = 0.18
	unevenUntil = 0.14
	// unevenRuns is the number of runs from which a server counts for that: the first few may all
	// have met one slow moment.
	unevenRuns = 20
	// slownessStep is the step, a logarithm, to which slowness is rounded in ranks.
	slownessStep = 0.25
	// maxSlownessLog bounds the slowness to a factor of four either way.
	maxSlownessLog = 1.386
	// speedPeriod is the time after which runs no longer count as recent, and twice that at most.
	speedPeriod = 4 * time.Second
	// speedReportTTL is how long the report of a data centre counts; reports take turns where there
	// are many servers.
	speedReportTTL = 10 * time.Second
	// speedRefreshInterval is the shortest time between two computations of all slownesses, each of
	// which takes 0.8 ms with 1,300 servers and six data centres.
	speedRefreshInterval = 500 * time.Millisecond
	// speedSettleTime is for how long after a restart reports may be about the former process: as
	// long as its runs count as recent.
	speedSettleTime = 2 * speedPeriod
	// speedByteBase is the logarithm of the least time per token that a message can tell, 1 µs in
	// nanoseconds, and speedByteStep the resolution: 256 steps of 4.4 % up to 65 ms.
	speedByteBase = 6.908
	speedByteStep = 0.04332
	// slowFrom and fastFrom are the slownesses from which a server is logged as slow or fast.
	slowFrom = 1.25
	fastFrom = 0.8
	// maxSpeedChanges bounds the servers that are logged at once, and speedChangePause is the
	// shortest time between two lines about one.
	maxSpeedChanges  = 8
	speedChangePause = 30 * time.Second
	// maxReportedRuns bounds the weight of a report, whatever a datagram holds.
	maxReportedRuns = 1 << 16
)

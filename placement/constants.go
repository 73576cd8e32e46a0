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
	// homeServers is the number of servers that a VM uses first.
	homeServers = 4
	// loadStep is the number of requests by which the loads of other servers are rounded.
	loadStep = 3
	// batchReserve is the number of slots of each server that batch leaves free, so
	// that an online request seldom has to wait for the preemption of a batch run.
	batchReserve = 1
)

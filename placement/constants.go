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
	coldSettle = time.Second
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

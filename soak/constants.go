package soak

import "time"

const (
	// Bounds of the fleet size. Each of the two services has half of the engines. The
	// smallest fleet has one disk VM; the last of several data centres has no engines.
	minEntryVMs, maxEntryVMs       = 2, 4
	minDiskVMs, maxDiskVMs         = 1, 3
	minEngines, maxEngines         = 4, 8
	minDataCentres, maxDataCentres = 1, 3
	// maxVMs bounds the number of VMs of a small fleet. Every VM has its own loopback address;
	// maxVMs addresses are reserved per small fleet, maxLargeVMs for a large one.
	maxVMs      = 8
	maxLargeVMs = 200
	// engineSlots and eventTime give the engines enough capacity for the load while a
	// few of them are unavailable.
	engineSlots = 4
	eventTime   = 10 * time.Millisecond
	// callersPerVM is the number of callers of one VM. A caller sends its requests in
	// sequence over kept-alive connections and pauses for callerPause before each.
	callersPerVM = 6
	callerPause  = 40 * time.Millisecond
	// breakInterval is the pause between two streams that a caller breaks off after breakAfter
	// events and takes up at another VM.
	breakInterval = 120 * time.Millisecond
	breakAfter    = 2
	// hostileInterval is the pause between two requests of the hostile caller, halfCloseDelay the
	// time after which it closes its sending side, and oddJobItems the items of its jobs.
	hostileInterval = 500 * time.Millisecond
	halfCloseDelay  = 15 * time.Millisecond
	oddJobItems     = 2
	// shortBodies clients at a time send shortBodyBytes of a body but the last, and keep their
	// connection for shortBodyTime; they send 8 MB a second to the fleet.
	shortBodies    = 4
	shortBodyBytes = 1 << 20
	shortBodyTime  = 2 * time.Second
	// replaceDelay is the time from the beginning of an outage until a disk VM is replaced.
	replaceDelay = 500 * time.Millisecond
	// limitedRate (requests per second) and limitedBurst are the limits of the limited
	// team. They are lower than the load of its callers, so that the limiter must refuse.
	limitedRate  = 20
	limitedBurst = 20
	// jobInterval is the time between two batch jobs, jobItems the items per job.
	jobInterval = 700 * time.Millisecond
	jobItems    = 8
	// submitAttempts is the largest number of attempts to submit one job.
	submitAttempts = 12
	// resultsInterval is the time between two reads of job results.
	resultsInterval = 60 * time.Millisecond
	// callTimeout is the timeout of a caller's HTTP client, longer than that of any route.
	callTimeout = 6 * time.Second

	// processStartTime is the time from the start of a process to the first statement of
	// its program, with a margin for a busy machine. entry.TestHangupDuringStart sends
	// SIGHUP from that statement on.
	processStartTime = 20 * time.Millisecond
	// startTimeout bounds the time until all VMs that serve callers are ready.
	startTimeout = 14 * time.Second
	// recoveryTimeout is the platform's bound on the time until the fleet serves again
	// after the last fault. completionTimeout, also counted from the last fault, bounds
	// the time until all accepted jobs have all their results.
	recoveryTimeout   = 15 * time.Second
	completionTimeout = 18 * time.Second
	// sampleDuration is the time at the end of the recovery during which every request
	// must be served.
	sampleDuration = 2 * time.Second

	// minFaults and maxFaults bound the number of faults drawn for one run. Drawn faults
	// that overlap an earlier one on the same target are dropped.
	minFaults = 6
	maxFaults = 14
	// minLaterFaults and maxLaterFaults bound the number of faults of the later kinds.
	minLaterFaults = 2
	maxLaterFaults = 5
	// maxNewestFaults bounds the number of faults of the newest kinds, which last minNewestDuration and
	// the drawn part: an evacuation has to hold some time after VMs have to know of it.
	maxNewestFaults   = 2
	minNewestDuration = 6 * time.Second
	// maxAnswerFaults bounds the number of faults in the answers of engines, hesitation is the pause of a
	// stream.
	maxAnswerFaults = 2
	hesitation      = 1500 * time.Millisecond
	// uploadersPerVM callers of each VM take up to maxUploadTime to send uploadBytes of a body, to a
	// route whose timeout is longer than the grace period of VMs.
	uploadersPerVM = 2
	maxUploadTime  = 5 * time.Second
	uploadBytes    = 8 << 10
	uploadTimeout  = 20 * time.Second
	// evacuateTimeout is the platform's bound on the time after which an evacuated data centre must get
	// nothing.
	evacuateTimeout = 5 * time.Second
	// coldPerSecond and coldStart are those of the engines. A cold engine ends if it gets more than
	// coldMost requests in a second, which is coldPerSecond x 1.5 + 5. It takes requests only coldOpenDelay
	// after it has registered, when all VMs have to know that it is cold.
	coldPerSecond = 4
	coldStart     = 2 * time.Second
	coldMost      = 11
	coldOpenDelay = 2 * time.Second
	// registerInterval is the pause between two registry entries of a cold engine.
	registerInterval = 1200 * time.Millisecond
	// maxFaultDuration bounds the drawn part of a fault's duration.
	maxFaultDuration = 4 * time.Second
	// allKilledProbability is the probability that a run ends with SIGKILL to all VMs.
	allKilledProbability = 0.3
	// configStormInterval is the time between two configurations of a storm.
	configStormInterval = 150 * time.Millisecond
	// slowLinkDelay is added to each read of a slow connection before it is forwarded.
	slowLinkDelay = 120 * time.Millisecond
	// slowStoreDelay is added to each call of a slow store.
	slowStoreDelay = 400 * time.Millisecond
	// failEveryNth makes every nth request of a failing engine fail.
	failEveryNth = 3

	// quietPeriod is the time without other faults before a fault, after which the bounds
	// on draining and retiring apply.
	quietPeriod = 4 * time.Second
	// stopGracePeriod is the time from SIGTERM to SIGKILL.
	stopGracePeriod = 8 * time.Second
	// drainTimeout is the time after which a draining engine must get no new requests.
	drainTimeout = 3 * time.Second
	// retireTimeout is the time within which a retired disk VM must report that it is
	// empty.
	retireTimeout = 2 * time.Second
	// crashingPart is the id of the prompt part under which engines end; a request with it is
	// sent each crashInterval, and an engine that has ended starts again after
	// crashRestartDelay.
	crashingPart      = "crash"
	crashInterval     = 300 * time.Millisecond
	crashRestartDelay = time.Second
	// repeatedPath and crashingBody are the path and body of the request that comes again, and
	// under which engines end, in the runs in which no prompt part does that.
	repeatedPath = "repeated"
	crashingBody = "crash"
	// crashSettleTime is the time after partCrashesToSettle, or requestCrashesToSettle, ends of
	// engines from which on at most maxLateCrashes of these requests may reach engines.
	crashSettleTime        = 3 * time.Second
	partCrashesToSettle    = 5
	requestCrashesToSettle = 3
	maxLateCrashes         = 3
	// faultEndMargin is how much longer than planned ending a fault may take; planned stops
	// may take stopGracePeriod.
	faultEndMargin = time.Second
	// rateWindow, rateOvershoot and rateSlack bound the limited team's requests: at most
	// (rate × window + burst) × (1 + overshoot) + slack in any window.
	rateWindow    = 5 * time.Second
	rateOvershoot = 0.1
	rateSlack     = 20
)

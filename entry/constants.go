package entry

import "time"

const (
	// memberLeaseTerm is the term of the lease on a VM's registration. After the lease
	// expires, other VMs take over the VM's jobs.
	memberLeaseTerm = 4 * time.Second
	// leaseRenewInterval is the pause between two renewals of the lease: two renewals
	// may fail within one term.
	leaseRenewInterval = 1300 * time.Millisecond
	// leaseRetryDelay is the pause after a failed renewal.
	leaseRetryDelay = 300 * time.Millisecond
	// peerTimeout is how long a VM counts as alive after its last gossip message.
	peerTimeout = 1500 * time.Millisecond
	// startupGrace is the time after the start of the process in which other VMs count
	// as alive although no gossip message of theirs has arrived yet.
	startupGrace = 2 * time.Second
	// maintenanceInterval is the pause between two maintenance rounds.
	maintenanceInterval = 500 * time.Millisecond
	// wakeInterval is the pause between two looks for waiting requests that may start because time has passed: a server
	// that was full is used again after 60 ms. A VM that hears from others looks with each of their reports too.
	wakeInterval = 50 * time.Millisecond
	// maxColdLines bounds the log lines about cold servers of one maintenance round.
	maxColdLines = 20
	// pruneInterval is the pause between two checks for idle connections to backend
	// servers.
	pruneInterval = 5 * time.Second
	// peerCallTimeout bounds a call to a peer for a copy of a prefix, results of a job
	// or bucket levels.
	peerCallTimeout = 600 * time.Millisecond
	// storeProxyTimeout bounds a store call that is made through another VM.
	storeProxyTimeout = 900 * time.Millisecond
	// watcherTimeout is how long a VM counts as a watcher, or as a VM that reaches the
	// store, after its last gossip message.
	watcherTimeout = 700 * time.Millisecond
	// probeInterval and probeTimeout let a watcher detect within a second that it no
	// longer reaches the store: changes must reach all VMs within two seconds.
	probeInterval = 300 * time.Millisecond
	probeTimeout  = 700 * time.Millisecond
	// outageProbers is the number of VMs that probe the store every probeInterval while no VM reaches
	// it; outageProbeInterval is the pause of all others. A VM that peers serve loses nothing meanwhile.
	outageProbers       = 3
	outageProbeInterval = 1500 * time.Millisecond
	// maxCopyPeers bounds the number of peers that are asked for one copy.
	maxCopyPeers = 3
	// headFetchInterval is the shortest pause between two fetches of the heads of jobs, which
	// change several times a second; who needs them sooner refreshes them.
	headFetchInterval = 500 * time.Millisecond
	// drainDelay is how long a stopping VM continues to accept connections: the platform
	// takes it out of rotation only after two failed readiness checks, a second apart.
	drainDelay = 2500 * time.Millisecond
	// shutdownReserve is the part of the grace period that is reserved for closing the
	// servers and ending the lease.
	shutdownReserve = 700 * time.Millisecond
	// lastAnswersReserve is the time before the connections of callers are closed that is left for the
	// answers to requests that could not be completed.
	lastAnswersReserve = 200 * time.Millisecond
	// settingsCheckInterval is the pause between two reads of the settings file, which
	// may change without a SIGHUP.
	settingsCheckInterval = 5 * time.Second
	// memoryLimitFraction is the fraction of the VM's memory limit that is set as the soft
	// limit of the Go runtime; the garbage collector runs more often as it is approached.
	memoryLimitFraction = 0.7
)

const (
	// defaultHeldShare leaves room for what the account does not count: at 144 MB the budget is 36 MB,
	// the process alone takes 20 MB, and buffers that were let go of stay until the next collection.
	defaultHeldShare = 0.25
	minHeldShare     = 0.05
	maxHeldShare     = 0.5
	// loadedBodiesPart is the divisor of the budget that gives the bytes of batch jobs that are loaded to run.
	loadedBodiesPart = 2
	// defaultBodyProgressBytes in defaultBodyProgressWindow is a rate at which no body of
	// more than a few KB arrives by its deadline; only clients that have stopped are below it.
	defaultBodyProgressBytes  = 256
	defaultBodyProgressWindow = 3 * time.Second
	minBodyProgressWindow     = 100 * time.Millisecond
	maxBodyProgressWindow     = time.Minute
	// defaultServerHeldBytes is a body of 4 MB in each of 8 slots, sent by two VMs at once.
	defaultServerHeldBytes = 64 << 20
	minServerHeldBytes     = 1 << 20
	// assumedMemoryBytes and assumedDescriptors apply if the settings name no limit; they are those of
	// the largest VMs.
	assumedMemoryBytes = 536 << 20
	assumedDescriptors = 10250
	// reservedDescriptors are for files; the platform reserves as many.
	reservedDescriptors = 200
	// callerConnectionShare and innerConnectionShare are the parts of the descriptors that accepted
	// connections may use; the rest is for connections to up to 1,300 servers and 370 VMs.
	callerConnectionShare = 0.5
	innerConnectionShare  = 0.2
	// minConnections is the smallest bound of a listener, pageConnections that of the readiness and
	// metrics pages, which few programs ask.
	minConnections  = 32
	pageConnections = 32
)

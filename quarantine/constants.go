package quarantine

import "time"

const (
	// Prefix is the store's key prefix of all records.
	Prefix = "quarantine/"

	// endsToQuarantine is the number of separate ends of servers under a trait. Unrelated
	// crashes seldom have a rare trait in common, and common traits are served meanwhile.
	endsToQuarantine = 3
	// endsToQuarantineServed is this number for traits that the VM has recently served: such
	// requests can be served, so the cause is more likely another one.
	endsToQuarantineServed = 2 * endsToQuarantine
	// endsToSuspect is the number from which on VMs record that a trait is served.
	endsToSuspect = endsToQuarantine - 1
	// sameMoment is the time within which ends under a part, or under a request that the VM
	// has recently served, count as one.
	sameMoment = 300 * time.Millisecond
	// confirmDelay is the time from the last of these ends until the quarantine begins. In it
	// the VMs that serve requests with the trait tell the others.
	confirmDelay = 1500 * time.Millisecond
	// firstTrialDelay is the time until one request is sent to a server again;
	// trialDelayFactor times it is the time until the next one.
	firstTrialDelay  = 20 * time.Second
	trialDelayFactor = 4
	// maxTrialDelays bounds the exponent of the delay.
	maxTrialDelays = 4
	// retention is how long a record counts.
	retention = 10 * time.Minute
	// maxRecords bounds the records in the store, maxOwnEnds the ends that one VM remembers,
	// and maxParts and maxRequests the parts and requests of one end.
	maxRecords  = 256
	maxOwnEnds  = 64
	maxParts    = 64
	maxRequests = 64
	// maxRecent bounds the traits of recently served requests that one VM remembers.
	maxRecent = 4096
	// requestPosition is the position of a request among the parts of its prompt.
	requestPosition = maxParts

	// coalesceDelay is how long the VM collects the requests that break at the same time.
	coalesceDelay = 20 * time.Millisecond
	// servedDelayPerVM times the number of VMs is the range of the random delay after which a
	// VM writes that a trait is served; most VMs then find that another has written it.
	servedDelayPerVM = 20 * time.Millisecond
	// writeRetryDelay is the pause after a failed write.
	writeRetryDelay = 200 * time.Millisecond
	// callTimeout bounds a write to the store, trialTimeout the one that a request waits for.
	callTimeout  = 1500 * time.Millisecond
	trialTimeout = 500 * time.Millisecond
	// probeTimeout bounds the probe of a server.
	probeTimeout = 300 * time.Millisecond
	// refreshInterval is the longest pause between two looks at the age of the records.
	refreshInterval = 5 * time.Second
	// maxCommitEntries is the store's limit on the entries of a commit.
	maxCommitEntries = 32
)

package gossip

import "time"

const (
	// statusInterval is the longest pause between two statuses of a VM.
	statusInterval = 200 * time.Millisecond
	// statusTimeout is how long a hub counts a VM as alive after its last status; it
	// exceeds two intervals, so that a lost datagram does no harm.
	statusTimeout = 450 * time.Millisecond
	// coalesceDelay is how long changes are collected into one message.
	coalesceDelay = 3 * time.Millisecond
	// digestInterval is the longest pause between two digests of a hub.
	digestInterval = 150 * time.Millisecond
	// slowInterval is the pause between two digests to a VM that has another primary hub.
	slowInterval = 400 * time.Millisecond
	// fullStatusInterval is the pause between two statuses with all counts, and
	// fullDigestInterval the one between two digests with all counts and the roster. New VMs
	// and hubs get these at once.
	fullStatusInterval = time.Second
	fullDigestInterval = 3 * time.Second
	// askedInterval is the pause between two messages with the work that teams ask for. In the replay of package relay
	// 0.977 of the requests of light teams were in time with 400 ms, and 0.987 with 100 ms at four times the bytes.
	askedInterval = 400 * time.Millisecond
	// askedRetention is how long a hub counts the work that a VM has told of: the VM repeats it while there is any, but
	// tells the end of it once, and that status may be lost.
	askedRetention = 3 * askedInterval
	// listedTimeout is how long a VM counts as listed by the hubs after the last digest that
	// lists it.
	listedTimeout = 700 * time.Millisecond
	// speedInterval is the pause between two messages that hold speeds of servers, and speedRetention
	// how long a hub keeps those of a VM: it survives the loss of two statuses.
	speedInterval  = time.Second
	speedRetention = 3 * time.Second
	// maxSpeeds bounds the servers whose speeds a message holds, so that they take about 320 bytes,
	// and maxSpeedRuns the weight of a VM, whatever a datagram holds.
	maxSpeeds    = 20
	maxSpeedRuns = 1 << 16
	// hubsPerDataCentre is the number of hubs that a VM reports to: messages still arrive
	// while one of them is down.
	hubsPerDataCentre = 2
	// hubTimeout is how long a hub may omit a VM that reports to it until the VM turns to
	// another hub; hubRetryInterval is the time until it tries the failed one again.
	hubTimeout       = 500 * time.Millisecond
	hubRetryInterval = 3 * time.Second
	// localDatagramsPerSecond bounds the digests that a hub sends to the VMs that have it as
	// primary hub, forwardDatagramsPerSecond the digests of other data centres that it
	// forwards to them, remoteDatagramsPerSecond its digests to hubs of other data centres,
	// where traffic costs more, and statusesPerSecond the statuses of a VM. In small fleets
	// every change is sent at once.
	localDatagramsPerSecond   = 200
	forwardDatagramsPerSecond = 200
	remoteDatagramsPerSecond  = 120
	statusesPerSecond         = 50
	// datagramBurst and statusBurst are how many of them may be sent at once.
	datagramBurst = 128
	statusBurst   = 20
	// maxForwardBytes bounds a datagram of several forwarded digests, so that it fits into
	// one packet at the MTU of an ordinary network.
	maxForwardBytes = 1400
	// maxRecordsPerDatagram bounds the records of streams in a datagram, for the same reason.
	maxRecordsPerDatagram = 16
	// maxDatagramBytes is the size of the receive buffer.
	maxDatagramBytes = 64 << 10
	// recordRetention is how long a hub keeps the counts of a silent VM.
	recordRetention = time.Minute
	// maxSnapshots bounds the sent statuses that a VM remembers; digests refer to statuses
	// that are less than a second old.
	maxSnapshots = 128
)

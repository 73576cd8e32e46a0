package entry

import "time"

const (
	// memberTerm is the term of a VM's lease, after which its jobs go to others.
	memberTerm = 3 * time.Second
	// memberRenewal is the pause between two renewals; two may be lost in a term.
	memberRenewal = 900 * time.Millisecond
	// memberRetry is the pause after a renewal that got no answer.
	memberRetry = 300 * time.Millisecond
	// peerLife is how long a VM counts as alive after its last message.
	peerLife = 1500 * time.Millisecond
	// firstLook is the time after the start in which other VMs count as alive
	// although nothing has been heard of them yet.
	firstLook = 2 * time.Second
	// tickInterval is the pause between two rounds of upkeep.
	tickInterval = 500 * time.Millisecond
	// pruneInterval is the pause between two looks at idle connections.
	pruneInterval = 5 * time.Second
	// copyTimeout bounds the question for a peer's copy.
	copyTimeout = 600 * time.Millisecond
	// throughTimeout bounds a call of the store through another VM.
	throughTimeout = 900 * time.Millisecond
	// watcherLife is how long a watcher counts as alive after its last message.
	watcherLife = 700 * time.Millisecond
	// probeInterval and probeTimeout let a watcher find out within a second that
	// the store no longer answers it; changes have to be known in two.
	probeInterval = 300 * time.Millisecond
	probeTimeout  = 700 * time.Millisecond
	// copyPeers bounds the peers that are asked for one copy.
	copyPeers = 3
	// leaveNotice is how long a stopping VM goes on taking connections: the
	// platform needs two failed questions, a second apart, to take it out.
	leaveNotice = 2500 * time.Millisecond
	// leaveReserve is the part of the grace period that is left for the end.
	leaveReserve = 700 * time.Millisecond
	// settingsInterval is the pause between two looks at the settings file, which
	// may change without a signal.
	settingsInterval = 5 * time.Second
	// memoryShare is the part of the memory limit from which the garbage
	// collector works harder.
	memoryShare = 0.7
)

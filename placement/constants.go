package placement

import "time"

const (
	// peerLife is how long a peer's account of its load counts; peers repeat it
	// several times in that time.
	peerLife = 1200 * time.Millisecond
	// failureLimit is the number of failures in a row that ejects a server.
	failureLimit = 2
	// ejectFor is the first ejection of a server; it doubles with each further
	// one up to ejectMax.
	ejectFor = time.Second
	ejectMax = 8 * time.Second
	// suspectQuorum is the number of peers whose failures eject a server here too.
	suspectQuorum = 2
	// fullFor is how long a server that refused a request counts as full.
	fullFor = 60 * time.Millisecond
	// initialRunTime is the assumed run time of a request before any has ended.
	initialRunTime = 700 * time.Millisecond
	// runTimeWeight is the weight of the newest run in the mean run time.
	runTimeWeight = 0.05
	// batchReserve is the number of places of each server that batch leaves free,
	// so that an online request seldom has to wait for batch to yield.
	batchReserve = 1
)

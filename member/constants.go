package member

import "time"

const (
	// heartbeatInterval is the time between two rounds of heartbeats.
	heartbeatInterval = time.Second
	// heartbeatFanout is the number of peers that one round reaches.
	heartbeatFanout = 2
	// outageFanout is the number of peers in a round while the platform gives
	// no answer and contact with the others is what keeps a VM in service.
	outageFanout = 128
	// heartbeatTimeout bounds one heartbeat.
	heartbeatTimeout = 500 * time.Millisecond
	// reachableTerm is the time for which an answered heartbeat shows a member to
	// be there, however many members take their turn.
	reachableTerm = 4 * time.Second
	// maxBatchParts bounds the parts of the batch work that one VM takes.
	maxBatchParts = 16
	// contactTerm is the time for which an answered heartbeat counts as
	// contact.
	contactTerm = 4 * time.Second
	// holdMargin is how much earlier a VM stops by its own lease than the
	// platform lets it lapse: what it lent may be spent until then.
	holdMargin = 2 * time.Second
	// agreeAfter is the silence after which a member agrees to an eviction.
	agreeAfter = contactTerm + holdMargin + 500*time.Millisecond
	// renewParts is the number of renewals in one lease term.
	renewParts = 4
	// tableInterval is the time between two reads of the table without news.
	tableInterval = 5 * time.Second
	// tableTick is the time between two looks at what the table asks of this VM.
	tableTick = 500 * time.Millisecond
	// sweepInterval is the time between two searches for lapsed leases.
	sweepInterval = 2 * time.Second
	// releaseWait is the time between ceasing to lend a slot and giving it up.
	releaseWait = 2200 * time.Millisecond
	// swapTries bounds the tries of one change of the table.
	swapTries = 5
	// askedPeers bounds the peers that are asked for the table.
	askedPeers = 8
	// evictTimeout bounds one question about an eviction.
	evictTimeout = time.Second
	// leaveTimeout bounds the platform calls of a planned stop.
	leaveTimeout = 3 * time.Second
)

// Keys of the platform's service.
const (
	tableKey    = "member/table"
	alivePrefix = "member/alive/"
)

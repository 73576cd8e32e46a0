package member

import "time"

const (
	// heartbeatInterval is the time between two rounds of heartbeats.
	heartbeatInterval = time.Second
	// heartbeatFanout is the number of peers that one round reaches.
	heartbeatFanout = 2
	// outageFanout is the number of peers that one round reaches while the platform or
	// the lease is unavailable, when only contact with a majority keeps a VM in service.
	outageFanout = 128
	// heartbeatTimeout bounds one heartbeat call.
	heartbeatTimeout = 500 * time.Millisecond
	// reachableTimeout is how long a member counts as reachable after it answered a
	// heartbeat, in addition to the time of two rotations of the heartbeats over all
	// members.
	reachableTimeout = 4 * time.Second
	// maxBatchParts bounds the shares of the backend servers' batch capacity that one
	// VM gets.
	maxBatchParts = 16
	// contactTimeout is how long an answered heartbeat counts as contact for the
	// majority that keeps a VM in service without its lease.
	contactTimeout = 4 * time.Second
	// leaseSafetyMargin is how long before the platform a VM regards its own lease as
	// expired. The rate tokens that the VM lent may still be spent for this long.
	leaseSafetyMargin = 2 * time.Second
	// evictionTimeout is how long a member must have answered no heartbeat of a VM
	// before it agrees to the VM's eviction. By then the VM cannot count this member as
	// a contact, and the rate tokens that the VM lent are spent.
	evictionTimeout = contactTimeout + leaseSafetyMargin + 500*time.Millisecond
	// renewalsPerTerm is the number of lease renewals in one lease term.
	renewalsPerTerm = 4
	// tableRefreshInterval is the time between two reads of the table while no peer
	// reports a newer one.
	tableRefreshInterval = 5 * time.Second
	// tableCheckInterval is the time between two checks of the table for work that this
	// VM has to do.
	tableCheckInterval = 500 * time.Millisecond
	// evictionCheckInterval is the time between two searches for expired leases.
	evictionCheckInterval = 2 * time.Second
	// slotReleaseDelay is the time between the end of lending from a slot and its
	// release: until then, the rate tokens that were lent may still be spent.
	slotReleaseDelay = 2200 * time.Millisecond
	// maxSwapAttempts bounds the compare-and-swap attempts of one table update.
	maxSwapAttempts = 5
	// maxTablePeers bounds the peers that one refresh asks for their copy of the table.
	maxTablePeers = 8
	// evictionVoteTimeout bounds one call that asks a member for its eviction vote.
	evictionVoteTimeout = time.Second
	// leaveTimeout bounds the platform calls of each step of a graceful shutdown.
	leaveTimeout = 3 * time.Second
)

// Keys in the platform's key-value service.
const (
	tableKey    = "member/table"
	alivePrefix = "member/alive/"
)

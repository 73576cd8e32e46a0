package limit

import "time"

const (
	// PledgeTerm is the time for which a pledge transfers a standing share.
	PledgeTerm = 1500 * time.Millisecond
	// GrantLifetime is the time within which borrowed tokens must be spent.
	GrantLifetime = 250 * time.Millisecond
	// ClockMargin allows for clocks of VMs that run at different rates.
	ClockMargin = 100 * time.Millisecond
	// ReclaimAfter is the time from sending a pledge until the pledging VM may use
	// the share again: the term of the pledge, the lifetime of a grant made at the
	// end of the term, and the clock margin.
	ReclaimAfter = PledgeTerm + GrantLifetime + ClockMargin
	// outstandingTimeout is the time for which the broker counts a grant as
	// possibly unspent.
	outstandingTimeout = GrantLifetime + ClockMargin
	// maxSettledGrants bounds the settled grants that one borrow call reports.
	maxSettledGrants = 16
	// staticRetryInterval is the time between two attempts to admit a batch item.
	staticRetryInterval = 50 * time.Millisecond
	// batchReserve is the fraction of a team's burst that batch items leave to its
	// online requests.
	batchReserve = 0.5
	// levelTolerance is the rounding error, in tokens, that is added to the level
	// of a bucket before the level is rounded down to whole tokens.
	levelTolerance = 1e-9
)

package limit

import "time"

const (
	// PledgeTerm is the time for which a pledge lends a standing share.
	PledgeTerm = 1500 * time.Millisecond
	// GrantLife is the time within which borrowed tokens must be spent.
	GrantLife = 250 * time.Millisecond
	// ClockMargin covers clocks that run at different rates.
	ClockMargin = 100 * time.Millisecond
	// ReclaimAfter is the time from sending a pledge until its giver may use
	// the share again: the pledge's term, the life of a grant made at its end
	// and the margin.
	ReclaimAfter = PledgeTerm + GrantLife + ClockMargin
	// outstandingLife is the time for which the broker counts a grant as
	// possibly unspent.
	outstandingLife = GrantLife + ClockMargin
	// maxSettled bounds the used-up grants that one call reports.
	maxSettled = 16
	// staticPause is the time between two tries of a batch item.
	staticPause = 50 * time.Millisecond
	// batchReserve is the share of a team's burst that batch leaves to its online
	// requests.
	batchReserve = 0.5
	// spentDust is the rounding error that a bucket forgives, in tokens.
	spentDust = 1e-9
)

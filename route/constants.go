package route

import "time"

const (
	// choices is the number of servers compared for a request without locality.
	choices = 2
	// scoreStep is the difference in load, in parts of a server's slots, below
	// which servers count as equally loaded.
	scoreStep = 0.25
	// firstStart is above the random starting places of servers never used.
	firstStart = 1 << 20
	// localityRanks is the number of servers that share a hot prefix before it
	// spreads over all.
	localityRanks = 2
	// loadBound is the share of the mean load that a server with the prefix may
	// carry before others are preferred.
	loadBound = 1.25
	// reportLife is the age at which a load report counts no more.
	reportLife = 2 * time.Second
	// localityShare is the share of a server's slots up to which locality fills
	// it: the rest is for what lagging reports do not show yet.
	localityShare = 0.75
	// smoothing is the weight of a new report against the mean before it.
	smoothing = 0.25
	// failuresToEject is the number of failures in a row that eject a server.
	failuresToEject = 3
	// ejectionBase is the length of the first ejection; it doubles each time.
	ejectionBase = 2 * time.Second
	// ejectionMax bounds an ejection.
	ejectionMax = 30 * time.Second
	// slowStart is the time in which a new or returned server warms up.
	slowStart = 5 * time.Second
	// coldWeight is the weight of a server at the begin of its slow start.
	coldWeight = 0.2
)

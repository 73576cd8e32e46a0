package route

import "time"

const (
	// sampleSize is the number of servers compared by PolicyPowerOfTwo.
	sampleSize = 2
	// scoreStep is the difference of scores below which servers count as equally
	// loaded. A score is a load as a fraction of a server's slots.
	scoreStep = 0.25
	// initialDispatchCount is the first value of the dispatch counter. It is above
	// the random lastDispatch values of servers without dispatches.
	initialDispatchCount = 1 << 20
	// localityServers is the number of servers that take requests for a hot prefix
	// before the requests spread over all servers.
	localityServers = 2
	// localityLoadFactor is the multiple of the mean score up to which a server is
	// preferred for its cached prefixes.
	localityLoadFactor = 1.25
	// reportLifetime is the age beyond which a load report is ignored.
	reportLifetime = 2 * time.Second
	// localityMaxUse is the fraction of a server's slots up to which requests are
	// sent there for locality. The rest is for load that the delayed load reports do
	// not show yet.
	localityMaxUse = 0.75
	// reportWeight is the weight of a new report in the moving average of the load.
	reportWeight = 0.25
	// failuresToEject is the number of consecutive failures that eject a server.
	failuresToEject = 3
	// ejectionBase is the duration of the first ejection; it doubles each time.
	ejectionBase = 2 * time.Second
	// ejectionMax bounds the duration of an ejection.
	ejectionMax = 30 * time.Second
	// slowStart is the time in which the weight of a new or returned server
	// increases to its full value.
	slowStart = 5 * time.Second
	// coldWeight is the fraction of its weight that a server has at the start of
	// its slow start.
	coldWeight = 0.2
)

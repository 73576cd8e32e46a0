package orders

import "time"

const (
	// reconcileInterval is the time between two comparisons of an engine with the
	// configuration.
	reconcileInterval = 2 * time.Second
	// orderTimeout bounds one reconciliation of an engine, and so the time that an order
	// can be in flight.
	orderTimeout = 5 * time.Second
	// takeoverDelay is the time from acquiring an engine that ignores fences to the first
	// order. It exceeds orderTimeout, so that orders of the previous controller have ended.
	takeoverDelay = orderTimeout + time.Second
	// inUseTimeout bounds one InUse call to another VM.
	inUseTimeout = time.Second
	// maxConcurrentEngines bounds the engines that are reconciled at the same time.
	maxConcurrentEngines = 16
)

// controllerKeyPrefix is the prefix of the platform keys under which the controller of each
// engine is recorded.
const controllerKeyPrefix = "orders/"

// WeightStoreTeam is the team whose rate limits the model loads of the whole fleet; without
// such a team loads are not limited.
const WeightStoreTeam = "weight-store"

package orders

import "time"

const (
	// lookInterval is the time between two comparisons of an engine with the
	// configuration.
	lookInterval = 2 * time.Second
	// orderTimeout bounds one order; it is the longest that one can be in flight.
	orderTimeout = 5 * time.Second
	// takeOverWait is the time after taking over an engine that ignores fences
	// before the first order: an order of the giver before has ended by then.
	takeOverWait = orderTimeout + time.Second
	// askTimeout bounds a question to another VM.
	askTimeout = time.Second
	// workers bounds the engines that are looked at at the same time.
	workers = 16
)

// keyPrefix begins the platform key of each engine's order-giver.
const keyPrefix = "orders/"

// WeightStoreTeam is the team whose rate bounds the loads of the whole fleet;
// without such a team loads are not bounded.
const WeightStoreTeam = "weight-store"

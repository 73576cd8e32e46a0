package measure

import "time"

const (
	// onlineFor is the length of one run of online load.
	onlineFor = 5 * time.Second
	// warmUp is the part of a run that is not counted.
	warmUp = time.Second
	// engineSlots is the number of requests that an engine runs at once.
	engineSlots = 8
	// tokenTime is the time of one token on an idle engine.
	tokenTime = 10 * time.Millisecond
	// prefillBlock is the time of one uncached block of 64 bytes of a prompt.
	prefillBlock = 2 * time.Millisecond
	// cacheBlocks is the capacity of an engine's prefix cache.
	cacheBlocks = 240
	// prefixes is the number of shared prompt prefixes, prefixBytes their length.
	prefixes    = 60
	prefixBytes = 1024
	// tokensMin and tokensMax bound the length of an answer.
	tokensMin = 20
	tokensMax = 60
	// batchTokens is the length of the answer to a batch item.
	batchTokens = 40
	// batchItems is the number of items of the saturating batch jobs.
	batchItems = 6000
	// teamsPerNote bounds the teams of one release note.
	teamsPerNote = 2000
	// pollPause is the pause between two looks at a VM.
	pollPause = 5 * time.Millisecond
	// startTimeout bounds the start of a fleet.
	startTimeout = 40 * time.Second
	// keyPrefix begins the keys of the measured teams.
	keyPrefix = "measure-key-"
	// innerSecret is the secret of the measured fleets.
	innerSecret = "measure-secret-measure-secret"
	// memoryWarm is the settling time before memory is read.
	memoryWarm = time.Second
)

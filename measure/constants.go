package measure

import "time"

const (
	// onlineDuration is the duration of one run of online load.
	onlineDuration = 5 * time.Second
	// warmUpDuration is the initial part of a run whose requests are not counted.
	warmUpDuration = time.Second
	// engineSlots is the number of requests that an engine runs concurrently.
	engineSlots = 8
	// tokenTime is the time in which an idle engine generates one token.
	tokenTime = 10 * time.Millisecond
	// prefillBlockTime is the prefill time of one uncached 64-byte block of a prompt.
	prefillBlockTime = 2 * time.Millisecond
	// cacheBlocks is the capacity of an engine's prefix cache in 64-byte blocks.
	cacheBlocks = 240
	// prefixCount is the number of distinct shared prompt prefixes, prefixBytes the
	// length of each.
	prefixCount = 60
	prefixBytes = 1024
	// minTokens and maxTokens bound the length of an online response.
	minTokens = 20
	maxTokens = 60
	// batchItemTokens is the length of the response to a batch item.
	batchItemTokens = 40
	// batchItems is the number of items of all batch jobs of a run together.
	batchItems = 6000
	// teamsPerNote bounds the number of teams in one release note.
	teamsPerNote = 2000
	// pollInterval is the time between status requests to a VM.
	pollInterval = 5 * time.Millisecond
	// startTimeout bounds each wait for VMs while a fleet starts.
	startTimeout = 40 * time.Second
	// keyPrefix begins the keys of the measured teams.
	keyPrefix = "measure-key-"
	// innerSecret is the secret of the measured fleets.
	innerSecret = "measure-secret-measure-secret"
	// memorySettleTime is the wait after the start before memory use is read.
	memorySettleTime = time.Second
)

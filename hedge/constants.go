package hedge

import "time"

const (
	// MaxShare is the largest share of the requests that may be hedged: beyond it hedging would cost
	// more capacity than a slow server does.
	MaxShare = 0.2
	// quantile is the fraction of similar requests that begin their response within the delay.
	quantile = 0.95
	// minSamples is the number of samples from which on a delay is known: with fewer, the quantile is
	// the largest sample.
	minSamples = 20
	// windowSamples is the number of latest samples that a delay rests on: ten lie beyond the quantile.
	windowSamples = 200
	// maxSampleAge is the age of a sample beyond which it says nothing of the present load.
	maxSampleAge = 60 * time.Second
	// refreshSamples and refreshInterval bound how often a delay is computed anew, since that sorts
	// the window.
	refreshSamples  = 10
	refreshInterval = time.Second
	// sizeFactor is the ratio of the costs of neighbouring size classes, sizeClasses their number;
	// the last one begins at 16,384 tokens.
	sizeFactor  = 4
	sizeClasses = 8
	// maxWindows bounds the windows of a VM; a window takes about 6 KB.
	maxWindows = 256
	// maxSavedRequests bounds the hedged requests that a quiet time saves up, and, times the mean cost
	// of a request, their work: they would otherwise all start at the next disturbance.
	maxSavedRequests = 4
	// costWeight is the weight of the latest request in the mean cost.
	costWeight = 0.05
)

// rounding allows for the error of sums of shares: ten times 0.1 is less than 1.
const rounding = 1e-9

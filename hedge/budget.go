package hedge

import (
	"strconv"

	"github.com/bergamotgrade/bergamotgrade"
)

// ParseShare returns the share of the requests that may be hedged, from 0 for none to MaxShare.
func ParseShare(text string) (float64, error) {
	share, err := strconv.ParseFloat(text, 64)
	if err == nil {
		err = CheckShare(share)
	}
	if err != nil {
		return 0, shareError(text).WithCause(err)
	}
	return share, nil
}

// CheckShare fails unless the share is from 0 to MaxShare.
func CheckShare(share float64) error {
	if share >= 0 && share <= MaxShare {
		return nil
	}
	return shareError(strconv.FormatFloat(share, 'g', -1, 64)) // also for NaN
}

func shareError(text string) *bergamotgrade.Error {
	return bergamotgrade.NewError(bergamotgrade.KindInvalidRequest, "the share of hedged requests "+strconv.Quote(text)+" is not valid",
		"set it to a number from 0 (off) to "+strconv.FormatFloat(MaxShare, 'g', -1, 64))
}

// Budget bounds the hedged requests of a VM to a share of its requests, and their work to the same share
// of the work. Each VM keeps the share by itself, so that all VMs together do.
type Budget struct {
	share float64
	// requests and work are what may be hedged now. work may become negative by the cost of one request:
	// large requests would otherwise never be hedged.
	requests, work float64
	// meanCost is a moving average over the requests.
	meanCost float64
}

// NewBudget returns an empty budget that is filled by the share of the requests.
func NewBudget(share float64) *Budget { return &Budget{share: share} }

// Add records a request with the expected work in tokens.
func (b *Budget) Add(cost float64) {
	cost = max(1, cost)
	if b.meanCost == 0 {
		b.meanCost = cost
	}
	b.meanCost += costWeight * (cost - b.meanCost)
	b.requests = min(maxSavedRequests, b.requests+b.share)
	b.work = min(maxSavedRequests*b.meanCost, b.work+b.share*cost)
}

// Take takes a hedged request with the cost from the budget, or returns false if there is too little left.
func (b *Budget) Take(cost float64) bool {
	if b.requests < 1-rounding || b.work <= 0 {
		return false
	}
	b.requests--
	b.work -= max(1, cost)
	return true
}

// Return gives back what Take took for a request that was not sent.
func (b *Budget) Return(cost float64) {
	b.requests++
	b.work += max(1, cost)
}

package follow

import (
	"context"
	"time"

	"github.com/bergamotgrade/bergamotgrade"
)

const (
	// directPatience is how long a call waits for a store that usually answers fast while a peer reaches it. A
	// batch job has to be accepted within 400 ms or more, the way through the peer included.
	directPatience = 250 * time.Millisecond
	// patienceBytesPerSecond is the rate at which the patience grows with the bytes that a call sends; the slowest
	// VMs have links of 22 Mbit/s.
	patienceBytesPerSecond = 1 << 20
	// fastAnswer is the mean time up to which the store answers fast; a slow store is waited for.
	fastAnswer = 50 * time.Millisecond
	// answerTimeWeight is the weight of the latest answer in the mean time.
	answerTimeWeight = 0.3
)

// patienceFor returns how long a direct call waits that sends the bytes.
func patienceFor(bytes int) time.Duration {
	return directPatience + time.Duration(bytes)*time.Second/patienceBytesPerSecond
}

// commitBytes returns the bytes of the values that a commit writes.
func commitBytes(commit bergamotgrade.KeyCommit) int {
	bytes := 0
	for _, write := range commit.Writes {
		bytes += len(write.Value)
	}
	return bytes
}

// withPatience bounds a direct call by the patience, if it is not zero, if the store has answered fast lately and a peer reaches it:
// the call then fails as one whose effect is not known, and further ones go through the peer. Load pattern: a third of
// the VMs are cut off from the store without a word, and batch jobs arrive there at the same moment; each waited for
// the full time-out of 1.5 s.
func (s *MonitoredStore) withPatience(ctx context.Context, patience time.Duration) (context.Context, context.CancelFunc) {
	s.mu.Lock()
	isFast := s.failingSince.IsZero() && s.answerTime > 0 && s.answerTime <= fastAnswer
	s.mu.Unlock()
	if patience == 0 || !isFast || s.peerStore(bergamotgrade.Homes{}) == nil {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, patience)
}

// recordAnswerTime adds the time of a call that the store has answered to the mean, and that of a failed call as a
// lower bound of it.
func (s *MonitoredStore) recordAnswerTime(err error, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case bergamotgrade.IsKind(err, bergamotgrade.KindPlatformDown) && took <= s.answerTime:
	case s.answerTime == 0:
		s.answerTime = max(1, took)
	default:
		s.answerTime += time.Duration(answerTimeWeight * float64(took-s.answerTime))
	}
}

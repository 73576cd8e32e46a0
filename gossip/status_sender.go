package gossip

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// statusSender sends this VM's status to a set of peers after each change and at each
// heartbeat, within a limit of datagrams per second.
type statusSender struct {
	node     *Node
	limiter  *rate.Limiter
	triggers chan struct{}
	counts   recentCounts

	mu      sync.Mutex
	targets []peer
}

func newStatusSender(node *Node, datagramsPerSecond float64) *statusSender {
	return &statusSender{node: node, limiter: rate.NewLimiter(rate.Limit(datagramsPerSecond), datagramBurst), triggers: make(chan struct{}, 1)}
}

func (s *statusSender) setTargets(targets []peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targets = targets
}

// trigger schedules a message. It never blocks.
func (s *statusSender) trigger() {
	select {
	case s.triggers <- struct{}{}:
	default:
	}
}

// run sends messages until the context ends.
func (s *statusSender) run(ctx context.Context) {
	heartbeat := time.NewTimer(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-heartbeat.C:
		case <-s.triggers:
			time.Sleep(coalesceDelay)
		}
		s.mu.Lock()
		targets := s.targets
		s.mu.Unlock()
		// WaitN fails above the limiter's burst, so a larger round waits for a full burst.
		if s.limiter.WaitN(ctx, min(len(targets), datagramBurst)) != nil {
			return
		}
		select {
		case <-s.triggers:
		default:
		}
		data, err := Encode(s.counts.trim(time.Now(), s.node.nextMessage()))
		if err != nil {
			s.node.log.Error("gossip message cannot be encoded; not sent", "cause", err.Error())
		} else {
			s.node.send(data, targets)
		}
		heartbeat.Reset(heartbeatInterval)
	}
}

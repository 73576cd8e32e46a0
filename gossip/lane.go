package gossip

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// lane sends this VM's account to some peers, after each change and at each
// heartbeat, within a budget of datagrams.
type lane struct {
	node    *Node
	budget  *rate.Limiter
	changes chan struct{}
	counts  recentCounts

	mu      sync.Mutex
	targets []peer
}

func newLane(node *Node, perSecond float64) *lane {
	return &lane{node: node, budget: rate.NewLimiter(rate.Limit(perSecond), burst), changes: make(chan struct{}, 1)}
}

func (l *lane) setTargets(targets []peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.targets = targets
}

// changed has the account sent soon. It never blocks.
func (l *lane) changed() {
	select {
	case l.changes <- struct{}{}:
	default:
	}
}

// run sends accounts until the context ends.
func (l *lane) run(ctx context.Context) {
	heartbeat := time.NewTimer(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-heartbeat.C:
		case <-l.changes:
			time.Sleep(coalesce)
		}
		l.mu.Lock()
		targets := l.targets
		l.mu.Unlock()
		// A round that is larger than the budget's burst takes all of it.
		if l.budget.WaitN(ctx, min(len(targets), burst)) != nil {
			return
		}
		select {
		case <-l.changes:
		default:
		}
		data, err := Encode(l.counts.trim(time.Now(), l.node.next()))
		if err != nil {
			l.node.log.Error("account cannot be encoded", "cause", err.Error())
		} else {
			l.node.send(data, targets)
		}
		heartbeat.Reset(heartbeatInterval)
	}
}

package daemon

import (
	"expvar"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/memory"
	"github.com/bergamotgrade/bergamotgrade/operator"
)

const (
	// memoryLimitShare of the memory limit is the soft limit of the Go runtime. With 0.7 one run of
	// hostile took 149 of 160 MB on a busy machine.
	memoryLimitShare = 0.6
	// operatorBodyBytes and operatorBodyTimeout bound the body of an operator's request; a note has at
	// most 1 MiB.
	operatorBodyBytes   = 2 << 20
	operatorBodyTimeout = 10 * time.Second
	// operatorBodyCopies is how often a note is held besides its body: decoded, and encoded for the
	// store.
	operatorBodyCopies = 2
	// operatorIdleTimeout is the time after which an operator's idle connection is closed.
	operatorIdleTimeout = 90 * time.Second
	// operatorConnections bounds the connections of operators.
	operatorConnections = 64
	// peerConnections bounds the connections that other VMs open: two from each of 370.
	peerConnections = 800
	// callerShare and peerShare are the parts of the descriptors that accepted connections may use;
	// the rest is for connections to backend servers, the platform and other VMs.
	callerShare = 0.5
	peerShare   = 0.2
)

// newAccount returns the account of the bytes that the process holds.
func newAccount(settings Settings) *memory.Account {
	limit := settings.MemoryMB << 20
	return memory.New(bergamotgrade.SystemClock{}, int64(settings.HeldShare*float64(limit)), func(shortage memory.Shortage) {
		klog.InfoS("Bytes held are at the budget; closing the connections that hold most without progress", "held", shortage.Held, "budget", shortage.Budget,
			"holdings", shortage.Holdings, "evicted", shortage.Evicted, "refused", shortage.Refused, "largest_evicted", shortage.LargestVictimBytes)
	})
}

// setMemoryLimit sets the soft memory limit of the process.
func setMemoryLimit(settings Settings) {
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(settings.MemoryMB<<20)))
}

// bound returns the listeners with bounds on their connections and on the bytes that these hold.
func (v *VM) bound(l listeners) listeners {
	// The listener takes more than MaxConnections, so that requests beyond it are refused with the reason.
	callers, peers := 2*v.settings.MaxConnections, peerConnections
	if descriptors := v.settings.FileDescriptors; descriptors > 0 {
		callers, peers = min(callers, int(callerShare*float64(descriptors))), min(peers, int(peerShare*float64(descriptors)))
	}
	noLimits := func() memory.Limits { return memory.Limits{} } // the servers have their own timeouts
	bound := func(name string, most int, inner net.Listener) net.Listener {
		listener := memory.NewHTTPListener(inner, v.account, most, noLimits)
		v.bounded[name] = listener
		return listener
	}
	peerListener := memory.NewListener(l.peers, v.account, peers)
	v.bounded["inner"] = peerListener
	return listeners{callers: bound("callers", callers, l.callers), operators: bound("operators", operatorConnections, l.operators), peers: peerListener}
}

// publishHeld adds the figures of the account to the metrics.
func (v *VM) publishHeld() {
	metrics := metricMap("held")
	for name, value := range v.account.Gauges() {
		metrics.Set(name, expvar.Func(func() any { return value() }))
	}
	for name, listener := range v.bounded {
		metrics.Set("connections_"+name, expvar.Func(func() any { return listener.Open() }))
		metrics.Set("connections_closed_"+name, expvar.Func(func() any { return listener.Closed() }))
	}
}

// operatorHandler returns the handler of operators' requests, whose bodies are read within the account.
func (v *VM) operatorHandler(next http.Handler) http.Handler {
	return v.bodies.Handler(next, operatorBodyBytes, operatorBodyCopies, operatorBodyTimeout, func(w http.ResponseWriter, err error) {
		switch {
		case errors.Is(err, memory.ErrTooLarge):
			err = bergamotgrade.NewError(bergamotgrade.KindRequestTooLarge, "the body is larger than any request of an operator", "send a smaller one").WithNotRun().WithCause(err)
		case errors.Is(err, os.ErrDeadlineExceeded):
			err = bergamotgrade.NewError(bergamotgrade.KindRequestTimeout, "the body did not arrive whole in time", "send it again").WithNotRun().WithCause(err)
		case errors.Is(err, memory.ErrNoRoom):
			err = bergamotgrade.NewError(bergamotgrade.KindOverloaded, "this VM holds as many bytes of requests as it may", "try again or at another VM").WithNotRun().WithCause(err)
		default:
			err = bergamotgrade.NewError(bergamotgrade.KindInvalidRequest, "the body could not be read to its end", "send it whole").WithNotRun().WithCause(err)
		}
		operator.WriteError(w, err)
	})
}

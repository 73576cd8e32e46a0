package entry

import (
	"cmp"
	"net"
	"net/http"
	"strconv"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/memory"
	"github.com/bergamotgrade/bergamotgrade/platform"
)

// listen opens all listeners and returns them by name.
func (n *Node) listen() (map[string]net.Listener, error) {
	addresses := map[string]string{"inner": net.JoinHostPort(n.settings.IP, strconv.Itoa(n.settings.InnerPort))}
	for name, address := range map[string]string{"callers": n.settings.CallerAddress, "ready": n.settings.ReadyAddress} {
		if address != "" {
			addresses[name] = address
		}
	}
	if n.options.MetricsPort > 0 {
		addresses["metrics"] = net.JoinHostPort(n.settings.IP, strconv.Itoa(n.options.MetricsPort))
	}
	listeners := make(map[string]net.Listener, len(addresses))
	for name, address := range addresses {
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			return nil, err
		}
		listeners[name] = listener
	}
	return listeners, nil
}

// httpServers returns the HTTP servers by the names of their listeners.
func (n *Node) httpServers() map[string]*http.Server {
	servers := map[string]*http.Server{}
	if n.settings.CallerAddress != "" {
		servers["callers"] = platform.NewServer(n.callerHandler)
	}
	if n.settings.ReadyAddress != "" {
		servers["ready"] = platform.NewPageServer(platform.NewReadyHandler(n.ready))
	}
	if n.options.MetricsPort > 0 {
		servers["metrics"] = platform.NewPageServer(n.metrics)
	}
	return servers
}

// maxConnections returns the bounds on the open connections by the names of the listeners. What is left of
// the descriptors is for connections to servers, the store and other VMs.
func maxConnections(settings bergamotgrade.NodeSettings) map[string]int {
	usable := max(0, cmp.Or(settings.FileDescriptors, assumedDescriptors)-reservedDescriptors)
	part := func(share float64) int { return max(minConnections, int(share*float64(usable))) }
	return map[string]int{
		"callers": cmp.Or(settings.Held.Connections, part(callerConnectionShare)), "inner": part(innerConnectionShare),
		"ready": pageConnections, "metrics": pageConnections,
	}
}

// boundListeners returns the listeners with bounds on their connections and on the bytes that these
// hold.
func (n *Node) boundListeners(listeners map[string]net.Listener) map[string]*memory.Listener {
	bounds := maxConnections(n.settings)
	bounded := make(map[string]*memory.Listener, len(listeners))
	for name, listener := range listeners {
		switch name {
		case "inner":
			bounded[name] = memory.NewListener(listener, n.account, bounds[name])
		case "callers":
			bounded[name] = memory.NewHTTPListener(listener, n.account, bounds[name], func() memory.Limits { return platform.ListenerLimits(n.view.Configuration()) })
		default:
			limits := platform.ListenerLimits(nil)
			bounded[name] = memory.NewHTTPListener(listener, n.account, bounds[name], func() memory.Limits { return limits })
		}
		n.metrics.Gauge("connections_"+name, func() int64 { return int64(bounded[name].Open()) })
		n.metrics.Gauge("connections_closed_"+name+"_total", bounded[name].Closed)
	}
	return bounded
}

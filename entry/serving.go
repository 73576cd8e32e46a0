package entry

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/bergamotgrade/bergamotgrade"
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
		servers["ready"] = platform.NewServer(platform.NewReadyHandler(n.ready))
	}
	if n.options.MetricsPort > 0 {
		servers["metrics"] = platform.NewServer(n.metrics)
	}
	return servers
}

// shutdown completes the requests in flight within the stop grace period and ends the
// registration.
func (n *Node) shutdown(servers map[string]*http.Server) {
	endAt := time.Now().Add(n.settings.StopGrace - shutdownReserve)
	n.log.Info("VM stopping; completing requests in flight", "grace", n.settings.StopGrace.String())
	n.view.setLeaving()
	n.announce()
	n.runner.Stop()
	ctx, cancel := context.WithDeadline(context.Background(), endAt)
	defer cancel()
	if server, ok := servers["callers"]; ok {
		bergamotgrade.Sleep(ctx, drainDelay)
		if err := server.Shutdown(ctx); err != nil {
			n.log.Warn("requests still running at the end of the grace period; closing their connections", "cause", err.Error())
			_ = server.Close()
		}
	}
	for _, server := range servers {
		_ = server.Close()
	}
	endCtx, cancelEnd := context.WithTimeout(context.Background(), shutdownReserve/2)
	defer cancelEnd()
	n.membership.deregister(endCtx)
}

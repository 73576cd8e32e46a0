package standin

import (
	"fmt"
	"os"
	"sync/atomic"
)

// portBase keeps the listening ports below the ephemeral port range, so that no outgoing
// connection takes a port before a process listens on it.
const portBase = 20000

// fleetCount counts the fleets of this process.
var fleetCount atomic.Int64

// Addresses allocates the loopback addresses of one fleet. The host is derived from the
// process id and the number of the fleet, so fleets do not share addresses.
type Addresses struct {
	host  string
	ports int
}

// NewAddresses returns an allocator for a new fleet.
func NewAddresses() *Addresses {
	pid := os.Getpid()
	return &Addresses{host: fmt.Sprintf("127.%d.%d.%d", pid>>8&0xff, pid&0xff, 1+fleetCount.Add(1)%250)}
}

// Next returns an unused address (host:port).
func (a *Addresses) Next() string {
	a.ports++
	return fmt.Sprintf("%s:%d", a.host, portBase+a.ports)
}

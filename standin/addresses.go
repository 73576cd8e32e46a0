package standin

import (
	"fmt"
	"os"
	"sync/atomic"
)

// firstPort is below the ports of outgoing connections, so none of them takes a
// port that a process is about to listen at.
const firstPort = 20000

// fleets counts the fleets of this process.
var fleets atomic.Int64

// Addresses hands out loopback addresses that belong to one fleet alone: the
// process's id and the fleet's number make the host.
type Addresses struct {
	host  string
	ports int
}

// NewAddresses returns the addresses of a new fleet.
func NewAddresses() *Addresses {
	pid := os.Getpid()
	return &Addresses{host: fmt.Sprintf("127.%d.%d.%d", pid>>8&0xff, pid&0xff, 1+fleets.Add(1)%250)}
}

// Next returns an address (host:port) that was not handed out before.
func (a *Addresses) Next() string {
	a.ports++
	return fmt.Sprintf("%s:%d", a.host, firstPort+a.ports)
}

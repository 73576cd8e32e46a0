package tcpproxy

import (
	"context"
	"net"
	"os/exec"
	"sync"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade/standin"
)

// A closed proxy refuses connections at once, also while the process starts others: between
// fork and exec these hold the listening socket too.
func TestClosedProxyAcceptsConnection(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var starters sync.WaitGroup
	for range 4 {
		starters.Go(func() {
			for ctx.Err() == nil {
				_ = exec.Command("/bin/true").Run()
			}
		})
	}
	defer func() { cancel(); starters.Wait() }()
	addresses := standin.NewAddresses()
	p, err := New(addresses.Next(), addresses.Next())
	qt.Assert(t, err, qt.IsNil)
	for range 500 {
		go p.Run()
		p.Close()
		conn, err := net.Dial("tcp", p.Address())
		if err == nil {
			_ = conn.Close()
		}
		qt.Assert(t, errors.Is(err, syscall.ECONNREFUSED), qt.IsTrue, qt.Commentf("%v", err))
		qt.Assert(t, p.Reopen(), qt.IsNil)
	}
}

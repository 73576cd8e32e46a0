package placement

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
)

// TestHeldBytes guards against bodies that gather at one server beyond this VM's share, and against a
// large request that no server ever gets.
func TestHeldBytes(t *testing.T) {
	now := time.Unix(1000, 0)
	sel := NewSelector("vm1", "here")
	sel.SetServers(now, parseServers([]string{"a@here:8", "b@here:8"}))
	sel.SetHeldBytes(8<<20, 8)
	pick := func(bytes int64) string {
		server, ok := sel.Pick(now, Criteria{Servers: bergamotgrade.ServerSet{Service: "svc"}, Bytes: bytes})
		if ok {
			sel.AddRequest(now, server.ServerID, Online)
			sel.AddHeldBytes(server.ServerID, bytes)
		}
		return server.ServerID
	}
	first, second := pick(4<<20), pick(4<<20)
	qt.Assert(t, first != second && first != "" && second != "", qt.IsTrue)
	qt.Assert(t, pick(4<<20), qt.Equals, "")
	sel.AddHeldBytes(first, -4<<20)
	qt.Assert(t, pick(1<<10), qt.Equals, first)
	qt.Assert(t, pick(1<<20), qt.Equals, "")
	sel.SetHeldBytes(0, 8)
	qt.Assert(t, pick(4<<20), qt.Not(qt.Equals), "")
}

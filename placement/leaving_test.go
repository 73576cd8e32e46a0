package placement

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/scripttest"
)

// TestLeavingServerStaysMarked guards against requests that reach a server after it has said that it
// leaves: no registry entry takes the mark away, and a process that starts under its id has none.
func TestLeavingServerStaysMarked(t *testing.T) {
	clock := scripttest.NewClock()
	born := time.Unix(500, 0)
	record := func(bornAt time.Time) map[string]bergamotgrade.ServerRecord {
		return map[string]bergamotgrade.ServerRecord{"a": {ServerID: "a", Address: "10.0.0.1:80", Service: "svc", DataCentre: "here", Slots: 4, StartedAt: bornAt}}
	}
	set := bergamotgrade.ServerSet{Service: "svc"}
	sel := NewSelector("vm", "here")
	sel.SetServers(clock.Now(), record(born))
	qt.Assert(t, sel.HasServer(set), qt.IsTrue)
	process := bergamotgrade.ProcessOf(record(born)["a"])
	qt.Assert(t, sel.MarkLeaving(clock.Now(), process, true), qt.IsTrue)
	qt.Assert(t, sel.MarkLeaving(clock.Now(), process, false), qt.IsFalse)
	check := func(step string, want bool) {
		t.Helper()
		_, picked := sel.Pick(clock.Now(), Criteria{Servers: set})
		qt.Assert(t, picked, qt.Equals, want, qt.Commentf(step))
		qt.Assert(t, sel.HasServer(set), qt.Equals, want, qt.Commentf(step))
	}
	check("marked", false)
	sel.SetServers(clock.Now(), record(born))
	check("entry still ready", false)
	sel.SetServers(clock.Now(), nil)
	clock.Advance(leavingRetention / 2)
	sel.ExpirePeers(clock.Now())
	sel.SetServers(clock.Now(), record(born))
	check("entry expired and came back", false)
	clock.Advance(2 * leavingRetention)
	sel.ExpirePeers(clock.Now())
	sel.SetServers(clock.Now(), record(born))
	check("registered for long", false)
	sel.SetServers(clock.Now(), record(born.Add(time.Minute)))
	check("new process under the id", true)
	sel.SetServers(clock.Now(), nil)
	clock.Advance(leavingRetention + time.Second)
	sel.ExpirePeers(clock.Now())
	qt.Assert(t, sel.leaving, qt.HasLen, 0)
}

// TestLeavingServerKnownBeforeItsEntry guards against a mark that is lost because another VM's report
// arrives before the registry entry.
func TestLeavingServerKnownBeforeItsEntry(t *testing.T) {
	clock := scripttest.NewClock()
	record := bergamotgrade.ServerRecord{ServerID: "a", Service: "svc", DataCentre: "here", Slots: 4, StartedAt: time.Unix(500, 0)}
	sel := NewSelector("vm", "here")
	sel.MarkLeaving(clock.Now(), bergamotgrade.ProcessOf(record), false)
	sel.SetServers(clock.Now(), map[string]bergamotgrade.ServerRecord{"a": record})
	qt.Assert(t, sel.HasServer(bergamotgrade.ServerSet{Service: "svc"}), qt.IsFalse)
	qt.Assert(t, sel.LeavingServers(clock.Now()), qt.HasLen, 0) // only the VM that heard it reports it
}

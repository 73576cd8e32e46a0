package placement

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
)

// TestReturnWithoutColdRate guards against a data centre whose servers get nothing for the whole cold time
// after its evacuation is withdrawn, because their service names no rate for cold servers.
func TestReturnWithoutColdRate(t *testing.T) {
	now := time.Unix(1000, 0)
	sel := NewSelector("vm1", "here")
	sel.SetServices(now, map[string]bergamotgrade.FleetService{"svc": {Name: "svc", ColdStart: time.Minute}}, 0)
	sel.SetRegistered(now, []string{"vm1"}, nil)
	sel.SetServers(now, map[string]bergamotgrade.ServerRecord{"a": {ServerID: "a", Service: "svc", DataCentre: "here", Slots: 8}})
	now = now.Add(time.Minute)
	sel.SetEvacuated(now, map[string]bool{"here": true})
	now = now.Add(time.Second)
	sel.SetEvacuated(now, map[string]bool{})
	_, ok := sel.Pick(now.Add(coldRelease), Criteria{Servers: bergamotgrade.ServerSet{Service: "svc"}})
	qt.Assert(t, ok, qt.IsTrue)
}

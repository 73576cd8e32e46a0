package placement

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
)

// Guards against requests that run, or are counted on to run, outside their homes: also when the
// servers there are full or ejected, and at servers whose region is unknown.
func TestSelectorKeepsToHomes(t *testing.T) {
	now := time.Unix(1000, 0)
	sel := NewSelector("vm1", "here")
	records := map[string]bergamotgrade.ServerRecord{}
	for id, region := range map[string]string{"eu": "eu", "us1": "us", "us2": "us", "unknown": ""} {
		records[id] = bergamotgrade.ServerRecord{ServerID: id, Service: "svc", DataCentre: "here", Region: region, Slots: 1}
	}
	sel.SetServers(now, records)
	eu, us, asia := bergamotgrade.NewHomes("eu"), bergamotgrade.NewHomes("us"), bergamotgrade.NewHomes("asia")
	set := func(homes bergamotgrade.Homes) bergamotgrade.ServerSet {
		return bergamotgrade.ServerSet{Service: "svc", Homes: homes}
	}
	pick := func(homes bergamotgrade.Homes, class Class) string {
		server, _ := sel.Pick(now, Criteria{Servers: set(homes), Class: class})
		return server.ServerID
	}
	for _, test := range []struct {
		homes bergamotgrade.Homes
		slots int
		has   bool
	}{
		{eu, 1, true},
		{us, 2, true},
		{bergamotgrade.NewHomes("eu", "us"), 3, true},
		{bergamotgrade.Homes{}, 4, true},
		{asia, 0, false},
		{eu.Intersect(us), 0, false},
	} {
		slots, _ := sel.SlotUsage(now, set(test.homes), Online)
		qt.Check(t, slots, qt.Equals, test.slots, qt.Commentf("%s", test.homes))
		qt.Check(t, sel.HasServer(now, set(test.homes)), qt.Equals, test.has, qt.Commentf("%s", test.homes))
		qt.Check(t, pick(test.homes, Online) != "", qt.Equals, test.has, qt.Commentf("%s", test.homes))
	}
	qt.Check(t, pick(eu, Online), qt.Equals, "eu")
	qt.Check(t, sel.ExpectedWait(now, set(eu), 3, 1) > sel.ExpectedWait(now, set(us), 3, 1), qt.IsTrue)
	for range failureLimit { // the only server of the homes is ejected, and used while there is no other
		sel.RemoveRequest(now, "eu", Online, OutcomeFailed, time.Second)
	}
	qt.Check(t, pick(eu, Online), qt.Equals, "eu")
	sel.AddRequest(now, "eu", Online)
	qt.Check(t, pick(eu, Online), qt.Equals, "")
	qt.Check(t, pick(eu, Batch), qt.Equals, "")
}

package jobs

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
)

// Guards against accepted items that a VM abandons, or runs at another service, because its configuration is
// older than the one under which the job was accepted.
func TestItemsWaitForTheConfigurationOfTheirJob(t *testing.T) {
	routes := map[string][]bergamotgrade.FleetRoute{
		"route is added":      nil,
		"route is moved":      {{Host: "h", PathPrefix: "/b/", Kind: bergamotgrade.RouteBatch, MaxAttempts: 3, Targets: []bergamotgrade.RouteTarget{{Service: "svc", Weight: 1}}}},
		"route gets its kind": {{Host: "h", PathPrefix: "/b/", Kind: bergamotgrade.RouteStream, MaxAttempts: 1}},
	}
	for name, earlierRoutes := range routes {
		t.Run(name, func(t *testing.T) {
			f := newFleet()
			f.config.Version = 7
			f.setConfiguration("vm1", bergamotgrade.NewFleetConfiguration(4, 4, earlierRoutes, nil, nil, bergamotgrade.CallerLimits{}))
			owner, other := f.start(t, "vm1"), f.start(t, "vm2")
			qt.Assert(t, other.submit("j", "a", "b"), qt.IsNil)
			time.Sleep(checkInterval + 200*time.Millisecond)
			qt.Assert(t, other.waitForResults(t, "j", 0, 0), qt.HasLen, 0)
			qt.Assert(t, f.engine.attempts(), qt.Equals, 0)
			f.setConfiguration("vm1", f.config)
			owner.runner.Wake()
			for _, result := range other.waitForResults(t, "j", 2, 3*time.Second) {
				qt.Check(t, result.State, qt.Equals, ResultDone)
			}
		})
	}
}

// Guards against items that wait for ever once their route is gone.
func TestItemsOfARemovedRouteAreAbandoned(t *testing.T) {
	f := newFleet()
	vm := f.start(t, "vm1")
	f.setConfiguration("vm1", bergamotgrade.NewFleetConfiguration(f.config.Version, 1, nil, nil, nil, bergamotgrade.CallerLimits{}))
	qt.Assert(t, vm.submit("j", "a"), qt.IsNil)
	qt.Assert(t, vm.waitForResults(t, "j", 1, 3*time.Second)[0].State, qt.Equals, ResultAbandoned)
}

// Guards against homes by an older configuration, with which a VM that may own the job leaves it to others.
func TestHomesByAnOlderConfiguration(t *testing.T) {
	eu, us := bergamotgrade.NewHomes("eu"), bergamotgrade.NewHomes("us")
	config := func(version int64) *bergamotgrade.FleetConfiguration {
		return bergamotgrade.NewFleetConfiguration(version, version, []bergamotgrade.FleetRoute{{Host: "h", PathPrefix: "/b/", Homes: us}}, nil, nil, bergamotgrade.CallerLimits{})
	}
	head := Head{Host: "h", Path: "/b/x", Homes: eu, ConfigVersion: 7}
	qt.Check(t, head.HomesIn(config(4)), qt.Equals, eu)
	qt.Check(t, head.HomesIn(config(7)), qt.Equals, eu.Intersect(us))
}

package jobs

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/bergamotgrade/bergamotgrade"
)

// Guards against homes that a job loses when its head is stored, and that a configuration widens.
func TestHomesOfJobs(t *testing.T) {
	eu, us := bergamotgrade.NewHomes("eu"), bergamotgrade.NewHomes("us")
	both := bergamotgrade.NewHomes("eu", "us")
	config := func(route, team bergamotgrade.Homes) *bergamotgrade.FleetConfiguration {
		return bergamotgrade.NewFleetConfiguration(1, 1, []bergamotgrade.FleetRoute{{Host: "h", PathPrefix: "/b/", Homes: route}}, []bergamotgrade.FleetTeam{{Name: "team", Homes: team}}, nil, bergamotgrade.CallerLimits{})
	}
	for _, homes := range []bergamotgrade.Homes{{}, eu, both, eu.Intersect(us)} {
		data, err := msgpack.Marshal(Head{Team: "team", Homes: homes})
		qt.Assert(t, err, qt.IsNil)
		head, err := decodeHead(bergamotgrade.Entry{Key: HeadPrefix + "j", Value: data, Revision: 1})
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, head.Homes, qt.Equals, homes)
	}
	earlier, err := msgpack.Marshal(map[string]any{"team": "team"}) // by an earlier version
	qt.Assert(t, err, qt.IsNil)
	head, err := decodeHead(bergamotgrade.Entry{Value: earlier, Revision: 1})
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, head.Homes.IsAny(), qt.IsTrue)
	broken, err := msgpack.Marshal(map[string]any{"homes": []byte("eu")})
	qt.Assert(t, err, qt.IsNil)
	_, err = decodeHead(bergamotgrade.Entry{Value: broken, Revision: 1})
	qt.Check(t, err, qt.IsNotNil)

	any := bergamotgrade.Homes{}
	for _, test := range []struct{ accepted, route, team, want bergamotgrade.Homes }{
		{any, any, any, any},
		{both, eu, any, eu},
		{both, any, us, us},
		{any, eu, us, eu.Intersect(us)},
		{eu, both, both, eu},
	} {
		head := Head{Team: "team", Host: "h", Path: "/b/x", Homes: test.accepted}
		qt.Check(t, head.HomesIn(config(test.route, test.team)), qt.Equals, test.want)
		qt.Check(t, head.HomesIn(nil), qt.Equals, test.accepted)
	}
}

// Guards against VMs with different configurations that take a job from each other in turn.
func TestStraysWait(t *testing.T) {
	now, s := time.Unix(1000, 0), strays{}
	qt.Check(t, s.isStray(now, "j", "vm1", true), qt.IsFalse)
	qt.Check(t, s.isStray(now.Add(strayDelay), "j", "vm1", true), qt.IsTrue)
	qt.Check(t, s.isStray(now.Add(strayDelay), "j", "vm2", true), qt.IsFalse) // another owner
	qt.Check(t, s.isStray(now.Add(strayDelay), "j", "vm2", false), qt.IsFalse)
	qt.Check(t, s.isStray(now.Add(2*strayDelay), "j", "vm2", true), qt.IsFalse)
	s.retain(map[string]Head{"j": {Items: 1, Listed: 1}})
	qt.Check(t, len(s), qt.Equals, 0)
}

// bodyRecorder records the homes of the jobs whose bodies pass.
type bodyRecorder struct {
	bergamotgrade.KeyValue
	homes []string
}

func (b *bodyRecorder) storeFor(head Head) bergamotgrade.KeyValue {
	b.homes = append(b.homes, head.Homes.String())
	return b.KeyValue
}

// Guards against bodies of jobs that pass through any VM, because a call that carries them is made like
// the others; and against jobs that are accepted although no server can ever run them.
func TestBodiesOfJobsKeepTheirHomes(t *testing.T) {
	f := newFleet()
	f.setAlive("vm1", 1)
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	bodies := &bodyRecorder{KeyValue: f.store}
	newService := func() *Service {
		headCache := NewHeadCache(log)
		return NewService(bergamotgrade.SystemClock{}, "vm1", NewRepository(f.store, bodies.storeFor, headCache, 1<<20, noOwnerResults), headCache, &testVM{name: "vm1", fleet: f}, never, log)
	}
	service := newService()
	servers := bergamotgrade.NewHomes("servers")
	submit := func(id string, homes bergamotgrade.Homes) error {
		return service.Submit(context.Background(), Submission{
			JobID: id, Team: "team", Host: "h", Path: "/b/x", Route: f.config.Route("h", "/b/x"), Items: []Item{{ItemID: id, Tokens: 1}},
			Homes: homes, SameRoute: func(string, string) bool { return true }, Deadline: time.Now().Add(time.Second),
		})
	}
	qt.Assert(t, submit("a", servers), qt.IsNil)
	qt.Check(t, bodies.homes, qt.DeepEquals, []string{"[servers]"})
	_, head, ok := service.repository.Cached("team", "a")
	qt.Assert(t, ok, qt.IsTrue)
	qt.Check(t, []string{head.Homes.String(), head.AcceptedBy, head.Owner}, qt.DeepEquals, []string{"[servers]", "vm1", "vm1"})
	_, err := newService().repository.Items(context.Background(), "a", head)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, bodies.homes, qt.DeepEquals, []string{"[servers]", "[servers]"})

	for _, homes := range []bergamotgrade.Homes{bergamotgrade.NewHomes("moon"), servers.Intersect(bergamotgrade.NewHomes("moon"))} {
		refusal := bergamotgrade.AsError(submit("b", homes))
		qt.Check(t, refusal.Kind(), qt.Equals, bergamotgrade.KindNoBackendServer)
		qt.Check(t, refusal.NotRun(), qt.IsTrue)
		qt.Check(t, refusal.RetryAt().IsZero(), qt.IsFalse)
	}
	// A job that was accepted is not refused later, since it runs.
	service = newService()
	qt.Check(t, submit("a", bergamotgrade.NewHomes("moon")), qt.IsNil)
}

// anyVM returns a BodyStore whose calls may pass through any VM.
func anyVM(kv bergamotgrade.KeyValue) BodyStore {
	return func(Head) bergamotgrade.KeyValue { return kv }
}

// IsOutside implements Fleet; the region of a VM is "region-" and its name.
func (vm *testVM) IsOutside(name string, homes bergamotgrade.Homes) bool {
	return !homes.Includes("region-" + name)
}

// IsRegistered implements ServiceFleet; servers are in the region "servers".
func (vm *testVM) IsRegistered(servers bergamotgrade.ServerSet) bool {
	return servers.Homes.Includes("servers")
}

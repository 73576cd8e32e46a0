package relay

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
)

// TestColdServersRefuseAtOnce guards against requests that wait for cold servers of which this VM has no
// share, and against a Retry-After that goes by the slots of cold servers or past their cold time.
func TestColdServersRefuseAtOnce(t *testing.T) {
	scheduler := newScheduler("a", "b")
	now := time.Now()
	request := SlotRequest{Servers: bergamotgrade.ServerSet{Service: "svc"}, LatestStart: now.Add(500 * time.Millisecond), Deadline: now.Add(time.Minute), RejectIfLate: true}
	scheduler.SetServices(map[string]bergamotgrade.FleetService{"svc": {Name: "svc", ColdPerSecond: 0.05, ColdStart: time.Second}}, 0)
	slot, err := scheduler.Acquire(context.Background(), request)
	qt.Assert(t, err, qt.IsNil)
	server := slot.Server()
	slot.Release(0)
	for _, id := range []string{"a", "b"} {
		server.ServerID = id
		scheduler.ObserveCold(server, 10*time.Second)
	}
	qt.Assert(t, scheduler.ColdServers(), qt.Equals, 2)
	for _, test := range []struct{ remaining, least, most time.Duration }{{time.Minute, 10 * time.Second, 15500 * time.Millisecond}, {600 * time.Millisecond, 600 * time.Millisecond, 1600 * time.Millisecond}} {
		for _, id := range []string{"a", "b"} {
			server.ServerID = id
			scheduler.ObserveCold(server, test.remaining)
		}
		before := time.Now()
		_, err = scheduler.Acquire(context.Background(), request)
		qt.Assert(t, errors.Is(err, errServersCold), qt.IsTrue, qt.Commentf("%v", err))
		failure := bergamotgrade.AsError(err)
		qt.Assert(t, failure.Kind(), qt.Equals, bergamotgrade.KindOverloaded)
		retryIn := failure.RetryAt().Sub(before)
		qt.Assert(t, retryIn >= test.least-50*time.Millisecond && retryIn <= test.most, qt.IsTrue, qt.Commentf("%s", retryIn))
	}
}

// Requests that wait for cold servers of which this VM has no share are not refused as if these took one request each time
// they turn warm.
func TestWaitForWarmServersIsOne(t *testing.T) {
	a := newAdmission(t)
	a.scheduler.SetServices(map[string]bergamotgrade.FleetService{"svc": {Name: "svc", ColdPerSecond: 17, ColdStart: time.Second}}, 0)
	records := map[string]bergamotgrade.ServerRecord{}
	for i := range 10 {
		id := fmt.Sprint("cold", i)
		records[id] = bergamotgrade.ServerRecord{ServerID: id, Service: "svc", DataCentre: "here", Slots: 8, ColdRemaining: time.Second}
	}
	a.scheduler.SetServers(records)
	for range 20 {
		_, w, err := a.enter("team", 1500*time.Millisecond, 10*time.Second)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, w, qt.IsNotNil)
	}
}

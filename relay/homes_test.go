package relay

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/placement"
)

// newRegionScheduler returns a scheduler with a server of one slot in each region; its id is the region.
func newRegionScheduler(regions ...string) *Scheduler {
	scheduler := NewScheduler(bergamotgrade.SystemClock{}, placement.NewSelector("vm1", "here"), func() {})
	scheduler.SetServers(regionServers(regions...))
	return scheduler
}

func regionServers(regions ...string) map[string]bergamotgrade.ServerRecord {
	records := map[string]bergamotgrade.ServerRecord{}
	for _, region := range regions {
		records[region] = bergamotgrade.ServerRecord{ServerID: region, Service: "svc", DataCentre: "here", Region: region, Slots: 2}
	}
	return records
}

func acquireIn(scheduler *Scheduler, homes bergamotgrade.Homes) (*Slot, error) {
	return scheduler.Acquire(context.Background(), SlotRequest{
		Servers: bergamotgrade.ServerSet{Service: "svc", Homes: homes}, Team: "team", Cost: 100, Deadline: time.Now().Add(time.Second),
	})
}

// Guards against a request that waits for servers outside its homes, that is held although no server of
// its homes is left, or that holds up batch items of other homes.
func TestRequestsWaitForTheirHomes(t *testing.T) {
	eu, us := bergamotgrade.NewHomes("eu"), bergamotgrade.NewHomes("us")
	scheduler := newRegionScheduler("eu", "us")
	for range 2 {
		slot, err := acquireIn(scheduler, eu)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, slot.Server().ServerID, qt.Equals, "eu")
	}
	waited := make(chan error)
	go func() {
		_, err := acquireIn(scheduler, eu)
		waited <- err
	}()
	for waiting := false; !waiting; time.Sleep(time.Millisecond) {
		scheduler.mu.Lock()
		waiting = scheduler.queue(bergamotgrade.ServerSet{Service: "svc", Homes: eu}).Len() > 0
		scheduler.mu.Unlock()
	}
	for homes, want := range map[bergamotgrade.Homes]bool{us: true, eu: false, {}: false} {
		_, slot, ok := scheduler.AcquireBatch(context.Background(), bergamotgrade.ServerSet{Service: "svc", Homes: homes}, nil, time.Now())
		qt.Check(t, ok, qt.Equals, want, qt.Commentf("%s", homes))
		if ok {
			qt.Check(t, slot.Server().ServerID, qt.Equals, "us")
			slot.Release(placement.OutcomeServed)
		}
	}
	scheduler.SetServers(regionServers("us"))
	err := <-waited
	qt.Check(t, bergamotgrade.AsError(err).Kind(), qt.Equals, bergamotgrade.KindNoBackendServer)
	for _, homes := range []bergamotgrade.Homes{eu, eu.Intersect(us)} {
		_, err := acquireIn(scheduler, homes)
		failure := bergamotgrade.AsError(err)
		qt.Check(t, failure.Kind(), qt.Equals, bergamotgrade.KindNoBackendServer)
		qt.Check(t, failure.RetryAt().IsZero(), qt.IsFalse)
	}
	slot, err := acquireIn(scheduler, us)
	qt.Assert(t, err, qt.IsNil)
	slot.Release(placement.OutcomeServed)
	qt.Check(t, len(scheduler.queues), qt.Equals, 0) // no queue of homes that are gone stays
}

// Guards against a stream that goes on outside its homes, because servers of its version are there.
func TestStreamsGoOnInTheirHomes(t *testing.T) {
	origin := bergamotgrade.OriginOf(bergamotgrade.ServerRecord{Service: "svc", SoftwareVersion: "v1"})
	servers := origin.Servers("other", bergamotgrade.NewHomes("eu"))
	qt.Check(t, servers.Includes(bergamotgrade.ServerRecord{Service: "svc", SoftwareVersion: "v1", Region: "eu"}), qt.IsTrue)
	qt.Check(t, servers.Includes(bergamotgrade.ServerRecord{Service: "svc", SoftwareVersion: "v1", Region: "us"}), qt.IsFalse)
	qt.Check(t, servers.Includes(bergamotgrade.ServerRecord{Service: "svc", SoftwareVersion: "v2", Region: "eu"}), qt.IsFalse)
}

package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/limit"
	"github.com/bergamotgrade/bergamotgrade/platform/standin"
)

// twoRegions is the map of regions of the tests.
var twoRegions = map[string]string{"here": "eu", "near": "eu", "far": "us"}

// newRegionView returns the view of the VM, which is at the data centre; all VMs are registered, and all
// but the silent ones are alive. A name has the data centre before its digit; the VMs with the name of
// a data centre and 1 take callers.
func newRegionView(t *testing.T, self string, byDataCentre map[string]string, silent ...string) (*view, *manualClock) {
	clock := &manualClock{now: time.Unix(1000, 0)}
	dataCentre := strings.TrimRight(self, "0123456789")
	v := newView(clock, self, 1, strings.HasSuffix(self, "1"), regions{own: dataCentre, byDataCentre: byDataCentre}, limit.Tolerance{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	entries := map[string]bergamotgrade.Entry{}
	report := reportOf("here1")
	report.VMs = nil
	for _, id := range []string{"here1", "here2", "near1", "near2", "far1", "far2"} {
		value, err := json.Marshal(member{VMID: id, Incarnation: 1, InnerAddress: id, DataCentre: strings.TrimRight(id, "0123456789")})
		qt.Assert(t, err, qt.IsNil)
		entries[id] = bergamotgrade.Entry{Key: memberPrefix + id, Value: value}
		if id != self && !strings.Contains(fmt.Sprint(silent), id) {
			state := reportOf(id).VMs[0]
			state.Runner, state.Callers = !strings.HasSuffix(id, "1"), strings.HasSuffix(id, "1")
			report.VMs = append(report.VMs, state)
		}
	}
	v.setMembers(entries)
	v.recordReport(report)
	return v, clock
}

// TestOwnersAreInTheHomes guards against batch jobs whose bodies are read by VMs outside their homes.
func TestOwnersAreInTheHomes(t *testing.T) {
	eu, us := bergamotgrade.NewHomes("eu"), bergamotgrade.NewHomes("us")
	owners := func(v *view, homes bergamotgrade.Homes, acceptedBy string) map[string]bool {
		found := map[string]bool{}
		for i := range 50 {
			id, _ := v.RunnerFor(fmt.Sprint("job", i), homes, acceptedBy)
			found[id] = true
		}
		return found
	}
	v, _ := newRegionView(t, "far1", twoRegions)
	qt.Check(t, owners(v, eu, "far1"), qt.DeepEquals, map[string]bool{"here2": true, "near2": true})
	qt.Check(t, owners(v, us, "here1"), qt.DeepEquals, map[string]bool{"far2": true})
	qt.Check(t, owners(v, eu.Intersect(us), "here1"), qt.DeepEquals, map[string]bool{"here1": true})
	qt.Check(t, len(owners(v, bergamotgrade.Homes{}, "far1")), qt.Equals, 3)
	qt.Check(t, v.IsOutside("here1", us), qt.IsTrue)
	qt.Check(t, v.IsOutside("unregistered", us), qt.IsFalse)

	v, _ = newRegionView(t, "far1", twoRegions, "here2", "near2")
	qt.Check(t, owners(v, eu, "far1"), qt.DeepEquals, map[string]bool{"here1": true, "near1": true})
	v, _ = newRegionView(t, "far1", twoRegions, "here1", "here2", "near1", "near2")
	qt.Check(t, owners(v, eu, "far1"), qt.DeepEquals, map[string]bool{"far1": true})
	qt.Check(t, owners(v, eu, "here1"), qt.DeepEquals, map[string]bool{"": true})

	// Without a map of regions no region is a home.
	v, _ = newRegionView(t, "here2", nil)
	qt.Check(t, owners(v, eu, "here1"), qt.DeepEquals, map[string]bool{"here1": true})
}

// TestBodiesPassOnlyThroughTheHomes guards against store calls with bodies that a VM outside the homes
// makes for this one, and against calls for which a peer far away is asked without need.
func TestBodiesPassOnlyThroughTheHomes(t *testing.T) {
	eu, us := bergamotgrade.NewHomes("eu"), bergamotgrade.NewHomes("us")
	peers := func(homes bergamotgrade.Homes, byDataCentre map[string]string, silent ...string) map[string]bool {
		found := map[string]bool{}
		for i := range 40 {
			v, _ := newRegionView(t, "here1", byDataCentre, silent...)
			v.self = fmt.Sprint("here", 100+i) // the choice depends on the id
			if address, ok := v.storePeer(homes); ok {
				found[address] = true
			}
		}
		return found
	}
	qt.Check(t, peers(bergamotgrade.Homes{}, twoRegions), qt.DeepEquals, map[string]bool{"here2": true})
	qt.Check(t, peers(us, twoRegions), qt.DeepEquals, map[string]bool{"far1": true, "far2": true})
	qt.Check(t, peers(us, twoRegions, "far1", "far2"), qt.DeepEquals, map[string]bool{"here2": true})
	qt.Check(t, peers(us, twoRegions, "far1", "far2", "here2"), qt.DeepEquals, map[string]bool{"near1": true, "near2": true})
	qt.Check(t, peers(eu, twoRegions, "here2"), qt.DeepEquals, map[string]bool{"near1": true, "near2": true})
	qt.Check(t, peers(eu, twoRegions, "here2", "near1", "near2"), qt.DeepEquals, map[string]bool{})
	qt.Check(t, peers(eu, nil), qt.DeepEquals, map[string]bool{})

	// More VMs here are cut off than reach the store: the load goes to all.
	v, _ := newRegionView(t, "here1", twoRegions)
	report := reportOf("here2", "here3")
	report.VMs[0].StoreUnreachable, report.VMs[1].StoreUnreachable = true, true
	v.recordReport(report)
	qt.Check(t, v.prefersLocalStore(v.clock.Now()), qt.IsFalse)
	qt.Check(t, newCopySources(t), qt.DeepEquals, []string{"here2"})
}

// newCopySources returns the first source of a copy of a VM that asks for one.
func newCopySources(t *testing.T) []string {
	v, _ := newRegionView(t, "here1", twoRegions)
	return v.copySources(1)
}

// regionFleet is a fleet of two regions with a server in each.
type regionFleet struct {
	*testFleet
	eu, us *standin.Engine
}

func newRegionFleet(t *testing.T) *regionFleet {
	f := &regionFleet{testFleet: newTestFleet(t)}
	f.regions = twoRegions
	f.eu, f.us = f.addEngineIn("e-eu", "", "here"), f.addEngineIn("e-us", "", "far")
	return f
}

// configureHomes writes a configuration in which the once route and the jobs' route have the homes, and
// the teams of the keys "none", "eu" and "us" have theirs.
func (f *regionFleet) configureHomes(onceHomes, jobHomes []string) {
	f.version += 3
	c := standin.NewConfiguration(f.version, "svc", "any")
	for i := range c.Routes {
		switch c.Routes[i].Path {
		case standin.OncePath:
			c.Routes[i].HomeRegions = onceHomes
		case standin.JobsPath:
			c.Routes[i].HomeRegions = jobHomes
		}
	}
	for _, region := range []string{"eu", "us", "moon"} {
		c.Teams = append(c.Teams, standin.Team{Name: "team-" + region, Keys: []string{region}, Rate: 2000, Burst: 2000, HomeRegions: []string{region}})
	}
	write, err := c.Write()
	qt.Assert(f.t, err, qt.IsNil)
	f.write(write)
	for _, node := range f.nodes {
		f.waitFor("the configuration is in force", 3*time.Second, func() bool { return node.view.configurationVersion() == int64(f.version) })
	}
}

// streamStatus sends a request and returns the status of its answer.
func streamStatus(t *testing.T, vm *testNode, id string) int {
	reply, err := vm.caller("any").Stream(standin.OncePath, id)
	qt.Assert(t, err, qt.IsNil)
	return reply.Status
}

// hasRun reports whether the engine has run a request whose id has the prefix.
func hasRun(engine *standin.Engine, prefix string) bool {
	for _, run := range engine.Runs() {
		if strings.HasPrefix(run.RequestID, prefix) {
			return true
		}
	}
	return false
}

// A request runs at servers in the homes of both its route and its team only, wherever it enters, and is
// refused at once if there is none; a batch job runs there too and is owned by VMs in its homes, also if
// it was accepted elsewhere, or by a VM that does not reach the store.
func TestRequestsStayInTheirHomes(t *testing.T) {
	f := newRegionFleet(t)
	usBodies := &bodyCalls{Handler: f.server}
	usStore := f.serve(usBodies)
	here, far := f.addVM(1, true), f.addVMIn(2, true, "far", usStore)
	f.addVM(3, false)
	f.addVMIn(4, false, "far", usStore)
	f.configureHomes([]string{"eu"}, []string{"eu"})
	for i, vm := range []*testNode{here, far} {
		for key, want := range map[string]int{"any": http.StatusOK, "eu": http.StatusOK, "us": http.StatusServiceUnavailable, "moon": http.StatusServiceUnavailable} {
			for n := range 5 {
				startedAt := time.Now()
				reply, err := vm.caller(key).Stream(standin.OncePath, fmt.Sprintf("%s-%d-%d", key, i, n))
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, reply.Status, qt.Equals, want, qt.Commentf("%s: %s", key, reply.Body))
				if want != http.StatusOK {
					qt.Check(t, reply.RetryAfter, qt.Not(qt.Equals), "")
					qt.Check(t, time.Since(startedAt) < 500*time.Millisecond, qt.IsTrue)
				}
			}
			reply, err := vm.caller(key).Stream(standin.ResumePath, fmt.Sprintf("team-%s-%d", key, i))
			qt.Assert(t, err, qt.IsNil)
			wantTeam := http.StatusOK
			if key == "moon" {
				wantTeam = http.StatusServiceUnavailable
			}
			qt.Check(t, reply.Status, qt.Equals, wantTeam, qt.Commentf(key))
		}
	}
	for _, prefix := range []string{"any-", "eu-", "us-", "team-eu", "moon-"} {
		qt.Check(t, hasRun(f.us, prefix), qt.IsFalse, qt.Commentf(prefix))
	}
	qt.Check(t, hasRun(f.eu, "team-us"), qt.IsFalse)
	qt.Check(t, hasRun(f.us, "team-us"), qt.IsTrue)

	submit := func(vm *testNode, key, jobID string) standin.Reply {
		var ids []string
		for i := range 12 {
			ids = append(ids, fmt.Sprint(jobID, "-", i))
		}
		reply, err := vm.caller(key).Submit(jobID, ids...)
		qt.Assert(t, err, qt.IsNil)
		return reply
	}
	f.waitFor("VM in another region knows the runner of the homes", 3*time.Second, func() bool {
		owner, _ := far.view.RunnerFor("j", bergamotgrade.NewHomes("eu"), "vm2")
		return owner == "vm3"
	})
	qt.Check(t, submit(far, "us", "empty").Status, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, submit(far, "any", "outside").Status, qt.Equals, http.StatusAccepted)
	_, head, ok := far.repository.Cached("team", "outside")
	qt.Assert(t, ok, qt.IsTrue)
	qt.Check(t, head.Owner, qt.Equals, "vm3")
	f.waitForResults(here, "any", "outside", 12)

	// A VM that does not reach the store makes its calls through the homes and its own region only.
	vmStore := standin.NewStoreServer(f.store)
	cutOff := f.addVMIn(6, true, "near", f.serve(vmStore)) // its calls without a body go through vm2
	vmStore.SetFaults(standin.StoreFaults{Down: true})
	f.waitFor("VM knows that it is cut off, and a peer", 3*time.Second, func() bool {
		_, ok := cutOff.view.storePeer(bergamotgrade.NewHomes("eu"))
		any, _ := cutOff.view.storePeer(bergamotgrade.Homes{})
		return ok && cutOff.view.dataCentreAt(any) == "far" && cutOff.kv.Unreachable()
	})
	before := usBodies.count.Load()
	qt.Check(t, submit(cutOff, "any", "proxied").Status, qt.Equals, http.StatusAccepted)
	qt.Check(t, streamStatus(t, cutOff, "cut-off"), qt.Equals, http.StatusOK)
	reply, err := cutOff.caller("any").ItemBody("outside", "outside-3")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, reply.Body, qt.Equals, "body of outside-3")
	f.waitForResults(here, "any", "proxied", 12)
	qt.Check(t, hasRun(f.us, "outside") || hasRun(f.us, "proxied"), qt.IsFalse)
	qt.Check(t, usBodies.count.Load(), qt.Equals, before)
	for _, test := range []struct {
		vm   *testNode
		kind crossingKind
	}{{far, crossingRequest}, {cutOff, crossingRequest}, {far, crossingStatus}, {here, crossingStatus}, {cutOff, crossingStoreProxy}} {
		line := fmt.Sprintf("cross_data_centre_bytes_total{kind=%q}", test.kind)
		qt.Check(t, test.vm.metrics.text(), qt.Contains, line)
		qt.Check(t, test.vm.metrics.text(), qt.Not(qt.Contains), line+" 0\n", qt.Commentf("%s of %s", test.kind, test.vm.settings.VMID))
	}

	// The stricter of the homes at the acceptance and those of the configuration applies.
	f.configureHomes(nil, []string{"us"})
	head.Homes = bergamotgrade.NewHomes("eu")
	qt.Check(t, head.HomesIn(here.view.Configuration()).IsEmpty(), qt.IsTrue)
}

// While no VM of the homes is alive, the VM that accepted a job runs it, at servers of the homes; a VM of
// the homes takes it over.
func TestAcceptingVMRunsJobUntilItsHomesHaveVMs(t *testing.T) {
	f := newRegionFleet(t)
	far := f.addVMIn(2, true, "far", f.address)
	f.addVMIn(4, false, "far", f.address)
	f.configureHomes([]string{"eu"}, []string{"eu"})
	for job := range 6 {
		var ids []string
		for i := range 90 {
			ids = append(ids, fmt.Sprint("j-", job, "-", i))
		}
		id := fmt.Sprint("j", job)
		reply, err := far.caller("any").Submit(id, ids...)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, reply.Status, qt.Equals, http.StatusAccepted)
		_, head, _ := far.repository.Cached("team", id)
		qt.Check(t, head.Owner, qt.Equals, "vm2")
	}
	f.waitFor("the accepting VM runs items", 3*time.Second, func() bool { return hasRun(f.eu, "j-") })
	home := f.addVM(3, false)
	f.waitFor("a VM in the homes owns jobs", 6*time.Second, func() bool { jobs, _ := home.runner.Count(); return jobs > 0 })
	f.waitFor("the accepting VM has stopped", 3*time.Second, func() bool { jobs, _ := far.runner.Count(); return jobs == 0 })
	qt.Check(t, hasRun(f.us, "j-"), qt.IsFalse)
}

// waitForResults waits until the job has the number of results.
func (f *testFleet) waitForResults(vm *testNode, key, jobID string, results int) {
	f.t.Helper()
	f.waitFor("the results of "+jobID, 8*time.Second, func() bool {
		_, _, found, err := vm.caller(key).Results(jobID)
		return err == nil && len(found) == results
	})
}

// bodyCalls counts the calls of a store that carry bodies of jobs.
type bodyCalls struct {
	http.Handler
	count atomic.Int64
}

// ServeHTTP implements http.Handler.
func (b *bodyCalls) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err == nil && (strings.Contains(r.URL.RawQuery, "job%2Fbody%2F") || bytes.Contains(data, []byte("job/body/"))) {
		b.count.Add(1)
	}
	r.Body = io.NopCloser(bytes.NewReader(data))
	b.Handler.ServeHTTP(w, r)
}

// A VM whose region is unknown counts every region as no home.
func TestNoRegionIsAHomeWithoutTheMap(t *testing.T) {
	r := regions{own: "here"}
	qt.Check(t, r.mayCarry("here", bergamotgrade.NewHomes("eu")), qt.IsFalse)
	qt.Check(t, r.mayCarry("here", bergamotgrade.Homes{}), qt.IsTrue)
}

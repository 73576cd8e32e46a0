package entry

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/platform/standin"
)

// testFleet is a store with engines and VMs on loopback addresses.
type testFleet struct {
	t       *testing.T
	store   *standin.Store
	server  *standin.StoreServer
	address string
	engines map[string]*standin.Engine
	nodes   map[string]*testNode
	// started holds all VMs that were started.
	started []*testNode
	version int
	// coldStart and coldPerSecond are those of the next configuration.
	coldStart     time.Duration
	coldPerSecond float64
	// regions holds the region of each data centre; nil if it is unknown.
	regions map[string]string
}

// testNode is one running VM.
type testNode struct {
	*Node
	stop func()
	// stopped is closed when Run has returned.
	stopped chan struct{}
}

func newTestFleet(t *testing.T) *testFleet {
	f := &testFleet{t: t, store: standin.NewStore(bergamotgrade.SystemClock{}), engines: map[string]*standin.Engine{}, nodes: map[string]*testNode{}}
	f.server = standin.NewStoreServer(f.store)
	f.address = f.serve(f.server)
	f.configure("k1")
	t.Cleanup(f.stopVMs)
	return f
}

// stopVMs stops all VMs at the same time, as each takes seconds.
func (f *testFleet) stopVMs() {
	for _, node := range f.started {
		node.stop()
	}
	for _, node := range f.started {
		<-node.stopped
	}
}

func (f *testFleet) serve(handler http.Handler) string {
	server := httptest.NewServer(handler)
	f.t.Cleanup(server.CloseClientConnections)
	return strings.TrimPrefix(server.URL, "http://")
}

func (f *testFleet) write(writes ...bergamotgrade.KeyWrite) {
	_, err := f.store.Commit(context.Background(), bergamotgrade.KeyCommit{Writes: writes})
	qt.Assert(f.t, err, qt.IsNil)
}

// configure writes a new configuration in which the keys belong to one team.
func (f *testFleet) configure(keys ...string) {
	f.version += 3
	configuration := standin.NewConfiguration(f.version, "svc", keys...)
	configuration.ColdStart, configuration.ColdPerSecond = f.coldStart, f.coldPerSecond
	write, err := configuration.Write()
	qt.Assert(f.t, err, qt.IsNil)
	f.write(write)
}

func (f *testFleet) addEngine(id string) *standin.Engine { return f.addEngineOf(id, "") }

// addEngineOf adds an engine with a version of its software.
func (f *testFleet) addEngineOf(id, version string) *standin.Engine {
	return f.addEngineWith(standin.EngineConfig{ServerID: id, Version: version})
}

// addEngineIn adds an engine in the data centre.
func (f *testFleet) addEngineIn(id, version, dataCentre string) *standin.Engine {
	return f.addEngineWith(standin.EngineConfig{ServerID: id, Version: version, DataCentre: dataCentre})
}

// addEngineWith adds an engine; unset fields of the configuration are filled in.
func (f *testFleet) addEngineWith(config standin.EngineConfig) *standin.Engine {
	id := config.ServerID
	config.Service, config.Slots, config.EventTime = "svc", 4, 10*time.Millisecond
	config.DataCentre = cmp.Or(config.DataCentre, "here")
	engine := standin.NewEngine(config)
	f.write(engine.RegistryWrite(f.serve(engine), "ready"))
	f.engines[id] = engine
	return engine
}

// loopbackIP returns the address of the VM with the number. Each test process has a network of its own,
// so that several can run at a time on one machine.
func loopbackIP(number int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()/250%128, os.Getpid()%250, number)
}

// addVM starts a VM on a loopback address of its own.
func (f *testFleet) addVM(number int, takesCallers bool) *testNode {
	return f.addVMAt(number, takesCallers, f.address)
}

// addVMAt starts a VM that reaches the store at the address.
func (f *testFleet) addVMAt(number int, takesCallers bool, storeAddress string) *testNode {
	return f.addVMIn(number, takesCallers, "here", storeAddress)
}

// addVMIn starts a VM in the data centre that reaches the store at the address.
func (f *testFleet) addVMIn(number int, takesCallers bool, dataCentre, storeAddress string) *testNode {
	ip := loopbackIP(number)
	settings := bergamotgrade.NodeSettings{
		VMID: fmt.Sprintf("vm%d", number), DataCentre: dataCentre, Region: f.regions[dataCentre], Regions: f.regions, IP: ip, InnerPort: 17360, StoreAddress: storeAddress,
		StopGrace: 8 * time.Second, StoreLeaseMin: time.Second, StoreValueBytes: 1 << 20, ResultRetention: time.Minute, Seeds: []string{loopbackIP(1)},
	}
	if takesCallers {
		settings.CallerAddress, settings.ReadyAddress = net.JoinHostPort(ip, "18689"), net.JoinHostPort(ip, "18687")
	}
	running := f.startVM(settings)
	f.waitFor("VM is ready and knows all engines", 5*time.Second, func() bool { return running.ready() && len(running.serverRecords()) == len(f.engines) })
	return running
}

// startVM starts a VM with the settings.
func (f *testFleet) startVM(settings bergamotgrade.NodeSettings) *testNode {
	node, err := New(settings, Options{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	qt.Assert(f.t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	running := &testNode{Node: node, stopped: make(chan struct{}), stop: sync.OnceFunc(cancel)}
	go func() {
		defer close(running.stopped)
		qt.Check(f.t, node.Run(ctx), qt.IsNil)
	}()
	f.nodes[settings.VMID] = running
	f.started = append(f.started, running)
	return running
}

func (f *testFleet) waitFor(condition string, within time.Duration, holds func() bool) {
	f.t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	f.t.Fatalf("condition not met within %s: %s", within, condition)
}

// caller returns a client that calls the VM with the key.
func (n *testNode) caller(key string) standin.Caller {
	return standin.Caller{Address: n.settings.CallerAddress, Key: key}
}

// A VM relays a complete stream, refuses an unknown route and an unknown key, resumes a
// truncated stream where the route allows it, and otherwise aborts the caller's response.
func TestStreamsAreRelayed(t *testing.T) {
	f := newTestFleet(t)
	engines := []*standin.Engine{f.addEngine("e1"), f.addEngine("e2")}
	vm := f.addVM(1, true)
	reply, err := vm.caller("k1").Stream(standin.OncePath, "a")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, reply, qt.Equals, standin.Reply{Status: http.StatusOK, Body: standin.StreamText("a"), Signature: "seal-a"})
	for path, want := range map[string]int{"/none/x": http.StatusNotFound, standin.OncePath: http.StatusUnauthorized} {
		reply, err := vm.caller("stranger").Stream(path, "b")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, reply.Status, qt.Equals, want)
	}
	for _, engine := range engines {
		engine.AbortAfter(2)
	}
	reply, err = vm.caller("k1").Stream(standin.ResumePath, "c")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, reply.Body, qt.Equals, standin.StreamText("c"))
	reply, err = vm.caller("k1").Stream(standin.OncePath, "d")
	qt.Assert(t, err, qt.IsNotNil) // an aborted response must not look complete
	qt.Assert(t, strings.HasPrefix(standin.StreamText("d"), reply.Body), qt.IsTrue)
}

// A change of keys and the draining of an engine reach all VMs within a second.
func TestConfigurationAndServerChanges(t *testing.T) {
	f := newTestFleet(t)
	draining := f.addEngine("e1")
	f.addEngine("e2")
	vms := []*testNode{f.addVM(1, true), f.addVM(2, true)}
	f.configure("k2")
	for _, vm := range vms {
		f.waitFor("the new key is accepted and the old key is refused", time.Second, func() bool {
			fresh, _ := vm.caller("k2").Stream(standin.OncePath, "a")
			old, _ := vm.caller("k1").Stream(standin.OncePath, "b")
			return fresh.Status == http.StatusOK && old.Status == http.StatusUnauthorized
		})
	}
	f.write(draining.RegistryWrite("127.0.0.1:1", "draining"))
	time.Sleep(time.Second)
	before := len(draining.Runs())
	for i := range 10 {
		reply, err := vms[i%2].caller("k2").Stream(standin.OncePath, fmt.Sprint("c", i))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, reply.Status, qt.Equals, http.StatusOK)
	}
	qt.Assert(t, len(draining.Runs()), qt.Equals, before)
}

// A restarted VM uses neither a key that was withdrawn nor a backend server that left before
// its start, although the other VM keeps running.
func TestRestartBringsNothingBack(t *testing.T) {
	f := newTestFleet(t)
	left := f.addEngine("e1")
	f.addEngine("e2")
	first := f.addVM(1, true)
	f.addVM(2, true)
	reply, err := first.caller("k1").Stream(standin.OncePath, "a")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, reply.Status, qt.Equals, http.StatusOK)
	f.configure("k2")
	_, err = f.store.Commit(context.Background(), bergamotgrade.KeyCommit{Deletes: []string{left.RegistryKey()}})
	qt.Assert(t, err, qt.IsNil)
	delete(f.engines, "e1")
	before := len(left.Runs())
	first.stop()
	<-first.stopped
	restarted := f.addVM(1, true)
	for i := range 10 {
		old, err := restarted.caller("k1").Stream(standin.OncePath, fmt.Sprint("old", i))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, old.Status, qt.Equals, http.StatusUnauthorized)
		fresh, err := restarted.caller("k2").Stream(standin.OncePath, fmt.Sprint("new", i))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, fresh.Status, qt.Equals, http.StatusOK)
	}
	qt.Assert(t, len(left.Runs()), qt.Equals, before)
}

// While the store is unreachable, a VM serves streams from its last known configuration and
// refuses jobs with 503 and Retry-After; a refused job has not been accepted. After the
// store's return the VM accepts jobs again.
func TestStoreUnreachable(t *testing.T) {
	f := newTestFleet(t)
	f.addEngine("e1")
	caller := f.addVM(1, true).caller("k1")
	f.server.SetFaults(standin.StoreFaults{Down: true})
	time.Sleep(1500 * time.Millisecond)
	reply, err := caller.Stream(standin.OncePath, "a")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, reply.Status, qt.Equals, http.StatusOK)
	reply, err = caller.Submit("j", "i1")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, reply.Status, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, reply.RetryAfter, qt.Not(qt.Equals), "")
	reply, _, _, err = caller.Results("j")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, reply.Status, qt.Equals, http.StatusServiceUnavailable)
	f.server.SetFaults(standin.StoreFaults{})
	f.waitFor("job is accepted", 3*time.Second, func() bool {
		reply, _ := caller.Submit("j", "i1")
		return reply.Status == http.StatusAccepted
	})
}

// A job can be submitted to one VM, and read and cancelled at another, while a disk VM runs
// its items. If the disk VM is stopped midway, the other VMs complete the job, and results
// that were already read do not change.
func TestJobs(t *testing.T) {
	f := newTestFleet(t)
	f.addEngine("e1")
	f.addEngine("e2")
	vms := []*testNode{f.addVM(1, true), f.addVM(2, true)}
	disk := f.addVM(3, false)
	f.waitFor("callers' VM has chosen the disk VM as runner", 3*time.Second, func() bool {
		owner, _ := vms[0].view.RunnerFor("j", bergamotgrade.Homes{}, "vm1")
		return owner == "vm3"
	})
	var ids []string
	for i := range 30 {
		ids = append(ids, fmt.Sprint("item", i))
	}
	for _, vm := range vms {
		reply, err := vm.caller("k1").Submit("j", ids...)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, reply.Status, qt.Equals, http.StatusAccepted)
	}
	reply, err := vms[1].caller("k1").ItemBody("j", "item29")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, reply.Body, qt.Equals, "body of item29")
	var results []standin.Result
	readResults := func(vm *testNode) int {
		_, total, found, err := vm.caller("k1").Results("j")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, total, qt.Equals, 30)
		results = found
		return len(found)
	}
	f.waitFor("first results", 5*time.Second, func() bool { return readResults(vms[1]) > 0 })
	first := results[0]
	disk.stop()
	<-disk.stopped
	f.waitFor("all results", 10*time.Second, func() bool { return readResults(vms[0]) == 30 })
	qt.Assert(t, results[0], qt.Equals, first)
	qt.Assert(t, first.State, qt.Equals, "done")
	qt.Assert(t, first.Text, qt.Equals, fmt.Sprintf("%[1]s/1\n%[1]s/2\n%[1]s/3\n%[1]s/4\n%[1]s/5", first.Identifier))
	reply, err = vms[1].caller("k1").End("j")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, reply.Status, qt.Equals, http.StatusOK)
}

// A VM that is stopped while callers send requests over open connections completes every
// request that it has accepted.
func TestPlannedStop(t *testing.T) {
	f := newTestFleet(t)
	f.addEngine("e1")
	f.addEngine("e2")
	vm := f.addVM(1, true)
	var callers sync.WaitGroup
	served := make([]int, 4)
	for c := range served {
		callers.Go(func() {
			for {
				reply, err := vm.caller("k1").Stream(standin.OncePath, fmt.Sprintf("%d-%d", c, served[c]))
				if err != nil && vm.view.Leaving() {
					return // the VM no longer accepts connections
				}
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, reply.Status, qt.Equals, http.StatusOK, qt.Commentf(reply.Body))
				served[c]++
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	stopAt := time.Now()
	vm.stop()
	<-vm.stopped
	callers.Wait()
	qt.Assert(t, time.Since(stopAt) < 8*time.Second, qt.IsTrue)
	for _, count := range served {
		qt.Assert(t, count > 10, qt.IsTrue)
	}
}

// A disk VM whose retirement is ordered confirms it in the store, even if the store
// refuses the first attempts.
func TestRetirement(t *testing.T) {
	f := newTestFleet(t)
	f.addEngine("e1")
	f.addVM(1, true)
	vmStore := standin.NewStoreServer(f.store)
	f.addVMAt(3, false, f.serve(vmStore))
	order, answerKey := standin.Retire("vm3")
	vmStore.SetFaults(standin.StoreFaults{RefuseWrites: true})
	f.write(order)
	time.Sleep(time.Second)
	vmStore.SetFaults(standin.StoreFaults{})
	f.waitFor("retirement is confirmed", 3*time.Second, func() bool {
		entry, _ := f.store.Read(context.Background(), answerKey, false)
		return string(entry.Value) == `{"state":"done"}`
	})
}

// A VM that does not reach the store, while its peers do, gets a new configuration from
// them and makes its store calls through them.
func TestStoreReachedThroughPeer(t *testing.T) {
	f := newTestFleet(t)
	f.addEngine("e1")
	f.addVM(1, true)
	vmStore := standin.NewStoreServer(f.store)
	cutOff := f.addVMAt(2, true, f.serve(vmStore))
	f.waitFor("VM knows a peer that reaches the store", 3*time.Second, func() bool { _, ok := cutOff.view.storePeer(bergamotgrade.Homes{}); return ok })
	vmStore.SetFaults(standin.StoreFaults{Down: true})
	f.waitFor("VM detects that it does not reach the store", 3*time.Second, cutOff.kv.Unreachable)
	f.configure("k2")
	f.waitFor("VM accepts a key of the new configuration", 5*time.Second, func() bool {
		reply, _ := cutOff.caller("k2").Stream(standin.OncePath, "a")
		return reply.Status == http.StatusOK
	})
	reply, err := cutOff.caller("k2").Submit("j", "i1")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, reply.Status, qt.Equals, http.StatusAccepted)
}

// A VM that starts without reaching the store, and that no other VM knows yet, fetches
// copies from the seed addresses, registers through a peer and serves.
func TestStartWithoutStore(t *testing.T) {
	f := newTestFleet(t)
	f.addEngine("e1")
	f.addVM(1, true)
	vmStore := standin.NewStoreServer(f.store)
	vmStore.SetFaults(standin.StoreFaults{Down: true})
	cutOff := f.addVMAt(2, true, f.serve(vmStore))
	reply, err := cutOff.caller("k1").Stream(standin.OncePath, "a")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, reply.Status, qt.Equals, http.StatusOK)
}

// Package soak runs the programs of the platform's VMs as separate processes,
// injects faults from outside and checks the promises to callers meanwhile.
package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/platform/standin"
	"github.com/bergamotgrade/bergamotgrade/tcpproxy"
)

// The services and teams of the configuration. Each service has half of the
// engines.
const (
	serviceOne  = "one"
	serviceTwo  = "two"
	mainKey     = "main-key"
	limitedKey  = "limited-key"
	limitedTeam = "limited"
)

// engine is one backend server and the way to it.
type engine struct {
	*standin.Engine
	service string
	// address is the engine's own, proxy the way that the registry names.
	address string
	proxy   *tcpproxy.Proxy
}

// fleet is the system under test and what surrounds it.
type fleet struct {
	shape   shape
	folder  string
	ledger  *ledger
	store   *standin.Store
	server  *standin.StoreServer
	engines []*engine
	vms     []*process
	// storeWays and callerWays lead from each VM to the store and to it from its
	// callers; disk VMs have no callers.
	storeWays  []*tcpproxy.Proxy
	callerWays []*tcpproxy.Proxy
	listeners  []net.Listener

	mu      sync.Mutex
	version int
}

// fleets counts the fleets of this process, whose VMs have addresses of their own.
var fleets atomic.Int64

// newFleet starts a fleet and waits until its VMs are ready. Its files go to the
// folder.
func newFleet(binary, folder string, size shape, ledger *ledger) (*fleet, error) {
	f := &fleet{shape: size, folder: folder, ledger: ledger, store: standin.NewStore(bergamotgrade.SystemClock{})}
	f.server = standin.NewStoreServer(f.store)
	storeAddress, err := f.serve(f.server)
	if err != nil {
		return f, err
	}
	for i := range size.engines {
		service := []string{serviceOne, serviceTwo}[i%2]
		made := standin.NewEngine(standin.EngineConfig{
			ServerID: fmt.Sprint("engine", i), Service: service, DataCentre: size.engineDataCentre(i), Slots: engineSlots, EventTime: eventTime,
		})
		address, err := f.serve(made)
		if err != nil {
			return f, err
		}
		way, err := f.proxy(address)
		if err != nil {
			return f, err
		}
		f.engines = append(f.engines, &engine{Engine: made, service: service, address: address, proxy: way})
		f.register(i, "ready")
	}
	f.configure()
	pid, number := os.Getpid(), int(fleets.Add(1))
	for i := range size.vms() {
		way, err := f.proxy(storeAddress)
		if err != nil {
			return f, err
		}
		f.storeWays = append(f.storeWays, way)
		vm := &process{binary: binary, folder: folder, onEnd: ledger.processEnded, settings: standin.Settings{
			VMID: fmt.Sprint("vm", i), DataCentre: size.dataCentre(i), Callers: i < size.entryVMs, StoreAddress: way.Address(),
			IP: fmt.Sprintf("127.%d.%d.%d", pid>>8&0xff, pid&0xff, 1+number%31*maxVMs+i),
		}}
		f.vms = append(f.vms, vm)
		if err := vm.start(); err != nil {
			return f, err
		}
		if i < size.entryVMs {
			way, err := f.proxy(vm.settings.CallerAddress())
			if err != nil {
				return f, err
			}
			f.callerWays = append(f.callerWays, way)
		}
	}
	return f, f.awaitReady(startTime)
}

// serve serves a stand-in on a free loopback address.
func (f *fleet) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	f.listeners = append(f.listeners, listener)
	go (&standinServer{handler: handler, listener: listener}).run()
	return listener.Addr().String(), nil
}

// standinServer serves a stand-in.
type standinServer struct {
	handler  http.Handler
	listener net.Listener
}

// run serves until the listener closes.
func (s *standinServer) run() { _ = http.Serve(s.listener, s.handler) }

func (f *fleet) proxy(target string) (*tcpproxy.Proxy, error) {
	p, err := tcpproxy.New(target)
	if err != nil {
		return nil, err
	}
	go p.Run()
	return p, nil
}

// write writes to the store as the operator and the engines do, past all faults.
func (f *fleet) write(commit bergamotgrade.KeyCommit) {
	if _, err := f.store.Commit(context.Background(), commit); err != nil {
		f.ledger.broken("soak", "write of the stand-ins refused: "+err.Error())
	}
}

// register writes the engine's entry.
func (f *fleet) register(i int, state string) {
	f.write(bergamotgrade.KeyCommit{Writes: []bergamotgrade.KeyWrite{f.engines[i].Register(f.engines[i].proxy.Address(), state)}})
}

// configure writes the next version of the configuration. All versions allow the
// same requests.
func (f *fleet) configure() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version += 3
	c := standin.NewConfiguration(f.version, serviceOne, mainKey)
	for i, route := range c.Routes {
		switch route.Path {
		case standin.ResumePath:
			c.Routes[i].Services = map[string]int{serviceTwo: 1}
		case standin.SafePath:
			c.Routes[i].Services = map[string]int{serviceOne: 3, serviceTwo: 1}
		}
	}
	c.Teams = append(c.Teams, standin.Team{Name: limitedTeam, Keys: []string{limitedKey}, Rate: limitedRate, Burst: limitedBurst})
	write, err := c.Write()
	if err != nil {
		f.ledger.broken("soak", "configuration not encoded: "+err.Error())
		return
	}
	f.write(bergamotgrade.KeyCommit{Writes: []bergamotgrade.KeyWrite{write}})
}

// awaitReady waits until all VMs of callers are ready.
func (f *fleet) awaitReady(within time.Duration) error {
	deadline := time.Now().Add(within)
	client := &http.Client{Timeout: time.Second}
	for _, vm := range f.vms[:f.shape.entryVMs] {
		for !isReady(client, vm.settings.ReadyURL()) {
			if time.Now().After(deadline) {
				return errors.Newf("%s is not ready after %s; see its log in %s", vm.settings.VMID, within, f.folder)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

func isReady(client *http.Client, url string) bool {
	res, err := client.Get(url)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// stop ends what the fleet has started.
func (f *fleet) stop() {
	for _, vm := range f.vms {
		if vm.command != nil {
			vm.signal(syscall.SIGCONT)
			vm.end(syscall.SIGKILL, time.Second)
		}
	}
	for _, way := range append(append([]*tcpproxy.Proxy{}, f.storeWays...), f.callerWays...) {
		way.Close()
	}
	for _, e := range f.engines {
		e.proxy.Close()
	}
	for _, listener := range f.listeners {
		_ = listener.Close()
	}
}

// caller returns a caller of the VM.
func (f *fleet) caller(vm int, key string, client *http.Client) standin.Caller {
	return standin.Caller{Address: f.callerWays[vm].Address(), Key: key, Client: client}
}

// mayRun reports whether the configuration lets the service run a path.
func mayRun(path, service string) bool {
	switch {
	case strings.HasPrefix(path, standin.ResumePath):
		return service == serviceTwo
	case strings.HasPrefix(path, standin.SafePath):
		return true
	}
	return service == serviceOne
}

// onceOnly reports whether a request of the path may run once at most.
func onceOnly(path string) bool {
	return strings.HasPrefix(path, standin.OncePath) || strings.HasPrefix(path, standin.UnsafePath)
}

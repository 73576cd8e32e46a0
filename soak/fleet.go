// Package soak runs the platform's VMs as separate processes under load, injects faults
// from outside and checks the guarantees to callers.
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
	ownstandin "github.com/bergamotgrade/bergamotgrade/standin"
	"github.com/bergamotgrade/bergamotgrade/tcpproxy"
)

// Services, keys and the limited team of the configuration. Each service has half of the
// engines.
const (
	serviceOne  = "one"
	serviceTwo  = "two"
	mainKey     = "main-key"
	limitedKey  = "limited-key"
	limitedTeam = "limited"
)

// engine is a stand-in backend server behind a proxy.
type engine struct {
	*standin.Engine
	service string
	region  string
	// address is the engine's own address; the registry holds the address of the proxy.
	address string
	proxy   *tcpproxy.Proxy
}

// fleet is the system under test, its stand-ins and the proxies between them.
type fleet struct {
	size        fleetSize
	folder      string
	checker     *checker
	store       *standin.Store
	storeServer *standin.StoreServer
	engines     []*engine
	vms         []*process
	// storeProxies forward from each VM to the store, callerProxies from the callers to
	// each entry VM; disk VMs have no callers.
	storeProxies  []*tcpproxy.Proxy
	callerProxies []*tcpproxy.Proxy
	listeners     []net.Listener
	// addresses allocates the addresses of the proxies.
	addresses *ownstandin.Addresses

	mu      sync.Mutex
	version int
}

// fleetCount counts the fleets of this process; the count is part of the addresses of a
// fleet's VMs, so that fleets that run concurrently do not share one.
var fleetCount atomic.Int64

// newFleet starts a fleet and waits until its entry VMs are ready. Settings files and
// logs go to the folder. The fleet is non-nil also on error and has to be stopped.
func newFleet(binary, folder string, size fleetSize, checker *checker) (*fleet, error) {
	f := &fleet{size: size, folder: folder, checker: checker, store: standin.NewStore(bergamotgrade.SystemClock{}), addresses: ownstandin.NewAddresses()}
	f.storeServer = standin.NewStoreServer(f.store)
	storeAddress, err := f.serve(f.storeServer)
	if err != nil {
		return f, err
	}
	for i := range size.engines {
		service, version := []string{serviceOne, serviceTwo}[i%2], []string{"v1", "v2"}[i/2%2]
		standinEngine := standin.NewEngine(standin.EngineConfig{
			ServerID: fmt.Sprint("engine", i), Service: service, DataCentre: size.engineDataCentre(i), Version: version, Slots: engineSlots, EventTime: eventTime,
		})
		address, err := f.serve(standinEngine)
		if err != nil {
			return f, err
		}
		proxy, err := f.startProxy(address)
		if err != nil {
			return f, err
		}
		f.engines = append(f.engines, &engine{Engine: standinEngine, service: service, region: size.regions()[size.engineDataCentre(i)], address: address, proxy: proxy})
		f.registerEngine(i, "ready")
	}
	f.writeNextConfiguration()
	pid, number := os.Getpid(), int(fleetCount.Add(1))
	for i := range size.vms() {
		proxy, err := f.startProxy(storeAddress)
		if err != nil {
			return f, err
		}
		f.storeProxies = append(f.storeProxies, proxy)
		vm := &process{binary: binary, folder: folder, onUnexpectedExit: checker.reportExit, settings: standin.Settings{
			VMID: fmt.Sprint("vm", i), DataCentre: size.dataCentre(i), Regions: size.regions(), ServesCallers: i < size.entryVMs, StoreAddress: proxy.Address(),
			IP: vmAddress(pid, number, size.vms(), i),
		}}
		f.vms = append(f.vms, vm)
		if err := vm.start(); err != nil {
			return f, err
		}
		if i < size.entryVMs {
			proxy, err := f.startProxy(vm.settings.CallerAddress())
			if err != nil {
				return f, err
			}
			f.callerProxies = append(f.callerProxies, proxy)
		}
	}
	return f, f.awaitReady(startTimeout)
}

// vmAddress returns the address of the ith VM of a fleet. The addresses of a process are divided
// among its fleets; a large fleet has all of them.
func vmAddress(pid, number, vms, i int) string {
	first := 1
	if vms <= maxVMs {
		first += number % 31 * maxVMs
	}
	return fmt.Sprintf("127.%d.%d.%d", pid>>8&0xff, pid&0xff, first+i)
}

// serve serves a stand-in on a free loopback port and returns its address.
func (f *fleet) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	f.listeners = append(f.listeners, listener)
	go (&standinServer{handler: handler, listener: listener}).run()
	return listener.Addr().String(), nil
}

// standinServer serves the HTTP handler of a stand-in on a listener.
type standinServer struct {
	handler  http.Handler
	listener net.Listener
}

// run serves until the listener is closed.
func (s *standinServer) run() { _ = http.Serve(s.listener, s.handler) }

func (f *fleet) startProxy(target string) (*tcpproxy.Proxy, error) {
	p, err := tcpproxy.New(f.addresses.Next(), target)
	if err != nil {
		return nil, err
	}
	go p.Run()
	return p, nil
}

// write commits to the store in the name of the operator or an engine. It bypasses the
// faults of the store server.
func (f *fleet) write(commit bergamotgrade.KeyCommit) {
	if _, err := f.store.Commit(context.Background(), commit); err != nil {
		f.checker.reportViolation("soak", "store refused a write of the stand-ins: "+err.Error())
	}
}

// registerEngine writes the registry entry of the ith engine; state is ready or draining.
func (f *fleet) registerEngine(i int, state string) {
	f.write(bergamotgrade.KeyCommit{Writes: []bergamotgrade.KeyWrite{f.engines[i].RegistryWrite(f.engines[i].proxy.Address(), state)}})
}

// writeNextConfiguration writes the next version of the configuration. All versions have
// the same content, so that every request is valid under each of them.
func (f *fleet) writeNextConfiguration() {
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
			c.Routes[i].HomeRegions = []string{homeRegion}
		}
	}
	c.Routes = append(c.Routes, standin.Route{Name: "upload", Path: uploadPath, Kind: "unsafe", Services: map[string]int{serviceOne: 1}, Attempts: 1, Timeout: uploadTimeout})
	c.ColdStart, c.ColdPerSecond = coldStart, coldPerSecond
	c.Teams = append(c.Teams, standin.Team{Name: limitedTeam, Keys: []string{limitedKey}, Rate: limitedRate, Burst: limitedBurst})
	write, err := c.Write()
	if err != nil {
		f.checker.reportViolation("soak", "cannot encode the configuration: "+err.Error())
		return
	}
	f.write(bergamotgrade.KeyCommit{Writes: []bergamotgrade.KeyWrite{write}})
}

// awaitReady waits until all entry VMs report that they are ready.
func (f *fleet) awaitReady(within time.Duration) error {
	deadline := time.Now().Add(within)
	client := &http.Client{Timeout: time.Second}
	for _, vm := range f.vms[:f.size.entryVMs] {
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

// stop kills the VMs and closes the proxies and listeners.
func (f *fleet) stop() {
	for _, vm := range f.vms {
		if vm.command != nil {
			vm.signal(syscall.SIGCONT)
			vm.terminate(syscall.SIGKILL, time.Second)
		}
	}
	for _, proxy := range append(append([]*tcpproxy.Proxy{}, f.storeProxies...), f.callerProxies...) {
		proxy.Close()
	}
	for _, e := range f.engines {
		e.proxy.Close()
	}
	for _, listener := range f.listeners {
		_ = listener.Close()
	}
}

// newCaller returns a caller of the VM with the given key.
func (f *fleet) newCaller(vm int, key string, client *http.Client) standin.Caller {
	return standin.Caller{Address: f.callerProxies[vm].Address(), Key: key, Client: client, PromptParts: fmt.Sprintf("shared%d:10,own:10", vm)}
}

// routeAllows reports whether the configuration routes the path to the service.
func routeAllows(path, service string) bool {
	switch {
	case strings.HasPrefix(path, standin.ResumePath):
		return service == serviceTwo
	case strings.HasPrefix(path, standin.SafePath):
		return true
	}
	return service == serviceOne
}

// atMostOnce reports whether a request of the path may run only once.
func atMostOnce(path string) bool {
	return strings.HasPrefix(path, standin.OncePath) || strings.HasPrefix(path, standin.UnsafePath) || strings.HasPrefix(path, uploadPath)
}

// Command fleet runs the cases of the review: real bergamot-vm processes with the project's
// stand-ins of the platform's store, backend servers and callers, on loopback addresses.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/platform/standin"
	ownstandin "github.com/bergamotgrade/bergamotgrade/standin"
	"github.com/bergamotgrade/bergamotgrade/tcpproxy"
)

const (
	callerPort  = 8689
	readyPort   = 8687
	controlPort = 8683
	innerPort   = 7360
	metricsPort = "9464" // as in the deploy file

	engineSlots  = 8
	heartbeat    = 1200 * time.Millisecond
	eventTime    = 10 * time.Millisecond
	startTimeout = 20 * time.Second
)

// vm is one process of bergamot-vm.
type vm struct {
	name, ip, zone string
	disk           bool
	command        *exec.Cmd
	done           chan struct{}
}

// fleet is a small deployment.
type fleet struct {
	folder       string
	record       *record
	store        *standin.Store
	storeServer  *standin.StoreServer
	storeAddress string
	storeProxy   *tcpproxy.Proxy
	addresses    *ownstandin.Addresses
	engines      []*standin.Engine
	engineAt     []string
	vms          []*vm
	listeners    []net.Listener
	// started is set once the first VMs are ready.
	started bool
}

// record writes the lines of record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, start: time.Now()}, err
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// newFleet starts the store and the engines; startVM starts the VMs.
func newFleet(folder string, rec *record, zones []string, enginesPerZone int) (*fleet, error) {
	f := &fleet{folder: folder, record: rec, store: standin.NewStore(bergamotgrade.SystemClock{}), addresses: ownstandin.NewAddresses()}
	f.storeServer = standin.NewStoreServer(f.store)
	target, err := f.serve(f.storeServer)
	if err != nil {
		return f, err
	}
	f.storeProxy, err = tcpproxy.New(f.addresses.Next(), target)
	if err != nil {
		return f, err
	}
	go f.storeProxy.Run()
	f.storeAddress = f.storeProxy.Address()
	for i := range enginesPerZone * len(zones) {
		engine := standin.NewEngine(standin.EngineConfig{ServerID: fmt.Sprint("i-", i), Service: "llm", DataCentre: zones[i%len(zones)], Slots: engineSlots, EventTime: eventTime})
		address, err := f.serve(engine)
		if err != nil {
			return f, err
		}
		f.engines, f.engineAt = append(f.engines, engine), append(f.engineAt, address)
	}
	f.register()
	return f, nil
}

// register writes the registry entries of the engines. Heartbeats change nothing in them, so
// there are no further writes.
func (f *fleet) register() {
	for i, engine := range f.engines {
		f.write(engine.RegistryWrite(f.engineAt[i], "ready"))
	}
}

// write commits an entry of the operator or of an engine.
func (f *fleet) write(write bergamotgrade.KeyWrite) {
	if _, err := f.store.Commit(context.Background(), bergamotgrade.KeyCommit{Writes: []bergamotgrade.KeyWrite{write}}); err != nil {
		f.record.add("stand-in store refused a write: %v", err)
	}
}

func (f *fleet) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	f.listeners = append(f.listeners, listener)
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String(), nil
}

// startVM starts a process with the command of the deploy file.
func (f *fleet) startVM(name, zone string, disk bool) (*vm, error) {
	v := &vm{name: name, zone: zone, disk: disk, ip: f.ip(len(f.vms))}
	f.vms = append(f.vms, v)
	return v, f.start(v)
}

// ip returns the address of the nth VM.
func (f *fleet) ip(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", pid>>8&0x7f|0x80, pid&0xff, 10+n)
}

func (f *fleet) start(v *vm) error {
	path := filepath.Join(f.folder, v.name+".toml")
	if err := os.WriteFile(path, []byte(f.settings(v)), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(f.folder, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	role := "entry"
	if v.disk {
		role = "disk"
	}
	command := exec.Command("target/bergamot-vm", role, "--metrics-port", metricsPort)
	command.Env = append(os.Environ(), "BERGAMOTGRADE_BOOT="+path)
	command.Stdout, command.Stderr = out, out
	if err := command.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	v.command, v.done = command, done
	f.record.add("process %s started as %s", v.name, role)
	go func() {
		err := command.Wait()
		_ = out.Close()
		f.record.add("process %s ended: %v", v.name, err)
		close(done)
	}()
	return nil
}

func (f *fleet) settings(v *vm) string {
	var b strings.Builder
	class, share, memory := "front", 0.4, 284
	if v.disk {
		class, share, memory = "store", 0.8, 304
	}
	fmt.Fprintf(&b, "node = %q\nrole = %q\nmachineClass = %q\nipAddress = %q\nzone = %q\nregion = \"r\"\ninnerPorts = [%d, %d]\n", v.name, class, class, v.ip, v.zone, innerPort, innerPort+15)
	fmt.Fprintf(&b, "seeds = [\"%s:%d\", \"%s:%d\", \"%s:%d\"]\n", f.ip(0), controlPort, f.ip(2), controlPort, f.ip(4), controlPort)
	fmt.Fprintf(&b, "isFirstStart = %t\ncountedInTolerance = %t\ndiscovery = \"platform\"\nentry = \"virtual_ip\"\nheartbeatMs = %d\n", !f.started, v.disk, heartbeat.Milliseconds())
	if v.disk {
		fmt.Fprintf(&b, "dataDirectory = %q\n[listen]\n", filepath.Join(f.folder, v.name))
	} else {
		fmt.Fprintf(&b, "[listen]\nfront = \"%s:%d\"\nready = \"%s:%d\"\n", v.ip, callerPort, v.ip, readyPort)
	}
	fmt.Fprintf(&b, "[limits]\ncpuShare = %g\ncores = 1\nmemoryMb = %d\nfileDescriptors = 4100\n", share, memory)
	fmt.Fprintf(&b, "[tolerate]\nmachines = 1\n[bounds]\nstableWindowMs = 3000\ngraceS = 8\nfinishS = 18\nstatusS = 120\ncancelMs = 3000\nsettleMs = 1000\n")
	fmt.Fprintf(&b, "[platform]\naddress = %q\nform = \"kv\"\nvalueBytes = 1048576\nttlMinimumMs = 1000\nhistoryS = 20\n", f.storeAddress)
	return b.String()
}

func (v *vm) callerAddress() string { return fmt.Sprintf("%s:%d", v.ip, callerPort) }

// signal sends a signal to the process; one that has ended takes none.
func (f *fleet) signal(v *vm, signal syscall.Signal) {
	f.record.add("signal %s to %s", signal, v.name)
	_ = v.command.Process.Signal(signal)
}

// awaitReady waits until all entry VMs are ready.
func (f *fleet) awaitReady() bool {
	deadline := time.Now().Add(startTimeout)
	client := &http.Client{Timeout: time.Second}
	for _, v := range f.vms {
		for !v.disk {
			if res, err := client.Get(fmt.Sprintf("http://%s:%d/api/readiness", v.ip, readyPort)); err == nil {
				_ = res.Body.Close()
				if res.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				f.record.add("%s is not ready", v.name)
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	f.started = true
	return true
}

// silenceStore makes the store silent for all VMs, or ends that.
func (f *fleet) silenceStore(silent bool) {
	f.record.add("store silent: %t", silent)
	f.storeProxy.BlackholeNew(silent)
	if silent {
		f.storeProxy.BlackholeOpen(true, true)
	}
	// What was sent while the store was silent is lost, so the connections of that time stay
	// silent; only new ones work.
}

// stop ends all processes that the fleet started.
func (f *fleet) stop() {
	for _, v := range f.vms {
		if v.command != nil && v.command.Process != nil {
			_ = v.command.Process.Signal(syscall.SIGCONT)
			_ = v.command.Process.Kill()
			<-v.done
		}
	}
	if f.storeProxy != nil {
		f.storeProxy.Close()
	}
	for _, listener := range f.listeners {
		_ = listener.Close()
	}
}

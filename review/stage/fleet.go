// Package stage runs a small deployment for the review's cases: processes of bergamot-vm with the
// roles of the deploy file, and stand-ins of the platform's store, the operator, the replicas and
// the clients, all on loopback addresses.
package stage

import (
	"context"
	"encoding/json"
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
)

// Names of the small deployment.
const (
	Host    = "nony24.example"
	Service = "sackline-lm"
	Key     = "i9n73hh2b9wu3fexd9dn"
	Tenant  = "kaje80"
)

// Ports are the same on all machines.
const (
	frontPort   = 28689
	readyPort   = 28687
	controlPort = 28683
	innerPort   = 27360
	metricsPort = 29464
)

const (
	// frontMemoryMB and storeMemoryMB are the memory of the machines, as in kpwsca-sackline.
	frontMemoryMB = 284
	storeMemoryMB = 314

	readyTimeout = 20 * time.Second
	pollInterval = 20 * time.Millisecond
)

var zones = []string{"jm-south-kgn", "jm-south-spt", "jm-south-mpn"}

// Options describe a fleet.
type Options struct {
	// Folder is the folder of the case, which gets record.txt.
	Folder string
	// Fronts and Stores are the numbers of machines, Replicas that of replicas.
	Fronts, Stores, Replicas int
	// Slots and EventTime are those of each replica.
	Slots     int
	EventTime time.Duration
	// StoreLatency is the time that the store takes for an answer.
	StoreLatency time.Duration
	// Pauses are those of each replica; zero for replicas without.
	Pauses Pauses
	// Configuration is the value of op/config; nil selects NewConfiguration(1).
	Configuration any
}

// Fleet is the deployment with its stand-ins.
type Fleet struct {
	Record   *Record
	Store    *standin.Store
	Answers  *AnswerLoss
	Replicas []*Replica
	VMs      []*VM

	options   Options
	temporary string
	listeners []net.Listener
}

// VM is one process of the system.
type VM struct {
	Name string
	Role string
	IP   string

	binary, settings, log string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// FrontAddress returns the address for clients.
func (v *VM) FrontAddress() string { return fmt.Sprintf("%s:%d", v.IP, frontPort) }

// MemoryMB returns the memory of the machine in MiB.
func (v *VM) MemoryMB() int {
	if v.Role == "disk" {
		return storeMemoryMB
	}
	return frontMemoryMB
}

// Start starts all stand-ins and processes and waits until the front machines are ready. The fleet
// has to be stopped, also after an error.
func Start(options Options) (*Fleet, error) {
	f := &Fleet{options: options, Store: standin.NewStore(bergamotgrade.SystemClock{})}
	var err error
	if f.Record, err = newRecord(filepath.Join(options.Folder, "record.txt")); err != nil {
		return f, err
	}
	if f.temporary, err = os.MkdirTemp("", "review"); err != nil {
		return f, err
	}
	f.Answers = newAnswerLoss(standin.NewStoreServer(f.Store), options.StoreLatency, f.Record)
	storeAddress, err := f.serve("127.0.0.1:0", f.Answers)
	if err != nil {
		return f, err
	}
	for i := range options.Replicas {
		replica := newReplica(fmt.Sprintf("i-%04d", i+1), zones[i%len(zones)], options.Slots, options.EventTime, f.Record)
		var handler http.Handler = replica
		if options.Pauses.Every > 0 {
			handler = &PausingReplica{id: replica.ID, eventTime: options.EventTime, pauses: options.Pauses, record: f.Record}
		}
		address, err := f.serve("127.0.0.1:0", handler)
		if err != nil {
			return f, err
		}
		replica.Address = address
		f.Replicas = append(f.Replicas, replica)
		if err := f.Write(replica.engine.RegistryWrite(address, "ready")); err != nil {
			return f, err
		}
	}
	if options.Configuration == nil {
		options.Configuration = NewConfiguration(1)
	}
	if err := f.Configure(options.Configuration); err != nil {
		return f, err
	}
	if err := f.startVMs(storeAddress); err != nil {
		return f, err
	}
	return f, f.awaitReady()
}

// Configure writes the configuration as the operator does.
func (f *Fleet) Configure(configuration any) error {
	value, err := json.Marshal(configuration)
	if err != nil {
		return err
	}
	return f.Write(bergamotgrade.KeyWrite{Key: "op/config", Value: value})
}

// Write writes one key for the operator or a replica.
func (f *Fleet) Write(write bergamotgrade.KeyWrite) error {
	_, err := f.Store.Commit(context.Background(), bergamotgrade.KeyCommit{Writes: []bergamotgrade.KeyWrite{write}})
	return err
}

func (f *Fleet) serve(address string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return "", err
	}
	f.listeners = append(f.listeners, listener)
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String(), nil
}

func (f *Fleet) startVMs(storeAddress string) error {
	network := fmt.Sprintf("127.%d.%d", 64+os.Getpid()>>8&0x3f, os.Getpid()&0xff)
	for i := range f.options.Fronts + f.options.Stores {
		class, role, number := "front", "entry", i
		if i >= f.options.Fronts {
			class, role, number = "store", "disk", i-f.options.Fronts
		}
		zone := zones[number%len(zones)]
		name := fmt.Sprintf("%s-%s-%d", class, zone, number/len(zones)+1)
		vm := &VM{
			Name: name, Role: role, IP: fmt.Sprintf("%s.%d", network, i+1), binary: filepath.Join("target", "bergamot-vm"),
			settings: filepath.Join(f.temporary, name+".toml"), log: filepath.Join(f.temporary, name+".log"),
		}
		f.VMs = append(f.VMs, vm)
		if err := os.WriteFile(vm.settings, []byte(settingsText(vm, zone, class, network, storeAddress)), 0o600); err != nil {
			return err
		}
		if err := vm.Start(); err != nil {
			return err
		}
	}
	return nil
}

// settingsText returns the settings file of DEPLOY.md with the values of kpwsca-sackline.
func settingsText(vm *VM, zone, class, network, storeAddress string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "node = %q\nrole = %q\nmachineClass = %q\nipAddress = %q\nzone = %q\nregion = \"jm-south\"\n", vm.Name, vm.Role, class, vm.IP, zone)
	fmt.Fprintf(&b, "innerPorts = [%d, %d]\nseeds = [\"%s.1:%d\", \"%s.2:%d\", \"%s.3:%d\"]\n", innerPort, innerPort+15, network, controlPort, network, controlPort, network, controlPort)
	fmt.Fprintf(&b, "isFirstStart = true\ndiscovery = \"platform\"\nentry = \"virtual_ip\"\nheartbeatMs = 1200\n[zones]\n")
	for _, name := range zones {
		fmt.Fprintf(&b, "%s = \"jm-south\"\n", name)
	}
	share, descriptors := 0.4, 4100
	if class == "store" {
		share, descriptors = 0.8, 8200
	} else {
		fmt.Fprintf(&b, "[listen]\nfront = %q\nready = \"%s:%d\"\ncontrol = \"%s:%d\"\n", vm.FrontAddress(), vm.IP, readyPort, vm.IP, controlPort)
	}
	fmt.Fprintf(&b, "[limits]\ncpuShare = %g\ncores = 1\nmemoryMb = %d\nfileDescriptors = %d\nlinkMbps = 1000.0\n", share, vm.MemoryMB(), descriptors)
	fmt.Fprint(&b, "[bounds]\nseedLagS = 3\nreuseAfterS = 2\nstableWindowMs = 3000\nackTimeoutMs = 4000\ndrainMs = 2000\ngraceS = 8\nlossSlackMs = 200\n")
	fmt.Fprint(&b, "configPropagationMs = 2000\nrollbackSlackMs = 250\nouterBoundMs = 5000\nquotaWindowS = 5\nquotaOvershoot = 0.1\nquotaSlack = 20\nrecoverS = 12\n")
	fmt.Fprint(&b, "finishS = 18\nstatusS = 120\ncancelMs = 3000\nsettleMs = 1000\n")
	fmt.Fprintf(&b, "[platform]\naddress = %q\nform = \"kv\"\nwritesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\nvalueBytes = 1048576\nttlMinimumMs = 1000\n", storeAddress)
	return b.String()
}

// awaitReady waits until all front machines answer the readiness call with 200.
func (f *Fleet) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	deadline := time.Now().Add(readyTimeout)
	for _, vm := range f.Fronts() {
		for !vm.IsReady(client) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %s", vm.Name, readyTimeout)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// Fronts returns the front machines.
func (f *Fleet) Fronts() []*VM { return f.VMs[:f.options.Fronts] }

// Stores returns the store machines.
func (f *Fleet) Stores() []*VM { return f.VMs[f.options.Fronts:] }

// LogLines returns the lines of all processes that hold the text.
func (f *Fleet) LogLines(text string) []string {
	var found []string
	for _, vm := range f.VMs {
		data, err := os.ReadFile(vm.log)
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(data)) {
			if strings.Contains(line, text) {
				found = append(found, vm.Name+": "+strings.TrimSpace(line))
			}
		}
	}
	return found
}

// Stop ends all processes that the fleet has started.
func (f *Fleet) Stop() {
	for _, vm := range f.VMs {
		vm.Signal(syscall.SIGCONT)
		vm.Kill()
	}
	for _, listener := range f.listeners {
		_ = listener.Close()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(f.temporary)
	} else {
		fmt.Fprintln(os.Stderr, "logs:", f.temporary)
	}
	if f.Record != nil {
		f.Record.close()
	}
}

// Start starts the process with its settings.
func (v *VM) Start() error {
	log, err := os.OpenFile(v.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(v.binary, v.Role, "--metrics-port", fmt.Sprint(metricsPort))
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "BERGAMOTGRADE_BOOT=" + v.settings}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		_ = log.Close()
		return err
	}
	exited := make(chan struct{})
	v.mu.Lock()
	defer v.mu.Unlock()
	v.command, v.exited = command, exited
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// Signal sends the signal to the process, if it runs.
func (v *VM) Signal(signal syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.command != nil {
		_ = v.command.Process.Signal(signal) // a process that has ended takes no signal
	}
}

// Kill sends SIGKILL and waits for the end of the process.
func (v *VM) Kill() {
	v.Signal(syscall.SIGKILL)
	v.mu.Lock()
	exited := v.exited
	v.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// HasExited reports whether the process has ended.
func (v *VM) HasExited() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	select {
	case <-v.exited:
		return true
	default:
		return false
	}
}

// IsReady asks the machine whether it takes connections.
func (v *VM) IsReady(client *http.Client) bool {
	res, err := client.Get(fmt.Sprintf("http://%s:%d/api/readiness", v.IP, readyPort))
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// ResidentMB returns the resident memory of the process in MiB, or zero.
func (v *VM) ResidentMB() int {
	v.mu.Lock()
	pid := v.command.Process.Pid
	v.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb := 0
			_, _ = fmt.Sscan(value, &kb)
			return kb >> 10
		}
	}
	return 0
}

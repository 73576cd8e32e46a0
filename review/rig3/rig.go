// Package rig3 holds the stand-ins of the cases 11 to 15: the platform's store, its operator,
// model replicas and clients, and the start and end of the system's own processes.
package rig3

import (
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

// The exit codes of a case.
const (
	Held    = 0
	Broken  = 1
	Unready = 2
)

// Rig is one small deployment with its stand-ins.
type Rig struct {
	Store  *standin.Store
	record *os.File
	folder string
	began  time.Time

	mu        sync.Mutex
	vms       []*VM
	listeners []net.Listener
	lines     int
}

// maxLines bounds the lines of the record that only tell of single requests.
const maxLines = 10000

// New returns a rig that writes what happens to the file.
func New(recordPath string) (*Rig, error) {
	record, err := os.Create(filepath.Clean(recordPath))
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	return &Rig{Store: standin.NewStore(bergamotgrade.SystemClock{}), record: record, folder: folder, began: time.Now()}, nil
}

// Trouble reports whether the disruption of the case takes place.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Log writes a line to the record.
func (r *Rig) Log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lines++; r.lines <= maxLines {
		r.write(format, args...)
	}
}

// write writes a line to the record. The caller holds the lock.
func (r *Rig) write(format string, args ...any) {
	fmt.Fprintf(r.record, "%7.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Say writes a line to the record, in any case, and to standard output.
func (r *Rig) Say(format string, args ...any) {
	r.mu.Lock()
	r.write(format, args...)
	r.mu.Unlock()
	fmt.Printf(format+"\n", args...)
}

// Listen serves the handler on a free loopback port and returns its address and a function that ends it
// with all its connections.
func (r *Rig) Listen(handler http.Handler) (address string, end func(), err error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	r.mu.Lock()
	r.listeners = append(r.listeners, listener)
	r.mu.Unlock()
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), func() { _ = server.Close() }, nil
}

// Close ends all processes and stand-ins.
func (r *Rig) Close() {
	for _, vm := range r.vms {
		vm.Kill()
	}
	for _, listener := range r.listeners {
		_ = listener.Close()
	}
	_ = os.RemoveAll(r.folder)
	_ = r.record.Close()
}

// VM is one process of the system.
type VM struct {
	rig      *Rig
	Settings standin.Settings
	role     string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// AddVM starts a VM. role is entry or disk; storeAddress is the address of the platform's store for it.
func (r *Rig) AddVM(number int, role, zone string, memoryMB int, storeAddress string) (*VM, error) {
	pid := os.Getpid()
	vm := &VM{rig: r, role: role, Settings: standin.Settings{
		VMID: fmt.Sprintf("%s-%s-%d", map[string]string{"entry": "front", "disk": "store"}[role], zone, number), DataCentre: zone,
		IP: fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&0x3f, pid&0xff, 10+number), ServesCallers: role == "entry", StoreAddress: storeAddress,
		MemoryMB: memoryMB, FileDescriptors: 4100,
	}}
	r.vms = append(r.vms, vm)
	return vm, vm.Start()
}

// settingsText is the settings file of the VM with the bounds of the sheets.
func (vm *VM) settingsText() string {
	return strings.Replace(vm.Settings.Text(), "graceS = 8\n", "graceS = 8\nquotaWindowS = 5\nquotaOvershoot = 0.1\nquotaSlack = 20\n", 1) +
		"[tolerate]\nmachines = 1\n"
}

// Start starts the process with the command of the deploy file.
func (vm *VM) Start() error {
	path := filepath.Join(vm.rig.folder, vm.Settings.VMID+".toml")
	if err := os.WriteFile(path, []byte(vm.settingsText()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(vm.rig.folder, vm.Settings.VMID+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command("target/bergamot-vm", vm.role, "--metrics-port", "9464")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + vm.rig.folder, "BERGAMOTGRADE_BOOT=" + path}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	vm.mu.Lock()
	vm.command, vm.exited = command, exited
	vm.mu.Unlock()
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}()
	vm.rig.Log("process %s started", vm.Settings.VMID)
	return nil
}

// Pid returns the id of the process.
func (vm *VM) Pid() int {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return vm.command.Process.Pid
}

// Kill sends SIGKILL and waits for the end.
func (vm *VM) Kill() { vm.end(syscall.SIGKILL) }

func (vm *VM) end(signal syscall.Signal) {
	vm.mu.Lock()
	command, exited := vm.command, vm.exited
	vm.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Signal(signal)
	<-exited
}

// Signal sends a signal to the process.
func (vm *VM) Signal(signal syscall.Signal) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	_ = vm.command.Process.Signal(signal)
}

// PeakMB returns the largest resident size of the current process so far in MiB.
func (vm *VM) PeakMB() int { return vm.statusMB("VmHWM:") }

// ResidentMB returns the resident size of the process in MiB.
func (vm *VM) ResidentMB() int { return vm.statusMB("VmRSS:") }

func (vm *VM) statusMB(field string) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", vm.Pid()))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		var kb int
		if strings.HasPrefix(line, field) {
			_, _ = fmt.Sscanf(strings.TrimPrefix(line, field), "%d", &kb)
			return kb >> 10
		}
	}
	return 0
}

// KeepLog copies the log of the VM to a path, for a look at it after the run.
func (vm *VM) KeepLog(path string) {
	data, err := os.ReadFile(filepath.Join(vm.rig.folder, vm.Settings.VMID+".log"))
	if err == nil {
		_ = os.WriteFile(path, data, 0o600)
	}
}

// AwaitReady waits until the VMs that take callers are ready.
func (r *Rig) AwaitReady(within time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for limit := time.Now().Add(within); ; time.Sleep(50 * time.Millisecond) {
		ready := true
		for _, vm := range r.vms {
			if vm.Settings.ServesCallers {
				res, err := client.Get(vm.Settings.ReadyURL())
				ready = ready && err == nil && res.StatusCode == http.StatusOK
				if err == nil {
					_ = res.Body.Close()
				}
			}
		}
		if ready {
			return nil
		}
		if time.Now().After(limit) {
			return fmt.Errorf("the processes are not ready after %s", within)
		}
	}
}

package soak

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bergamotgrade/bergamotgrade/platform"
	"github.com/bergamotgrade/bergamotgrade/platform/standin"
)

// replacedAddressBit is set in the second byte of the address of every other replacement; process
// ids, which that byte is part of, leave it free on most machines.
const replacedAddressBit = 0x80

// process runs the program of one VM and restarts it.
type process struct {
	binary   string
	settings standin.Settings
	// folder holds the settings file and the log.
	folder string
	// onUnexpectedExit is called when the process exits without a signal of the soak to
	// end it.
	onUnexpectedExit func(vmID string, err error)

	mu      sync.Mutex
	command *exec.Cmd
	// exited is closed when the current process exits.
	exited       chan struct{}
	exitExpected bool
	// replacements counts the VMs that took the place of the first one.
	replacements int
	startedAt    time.Time
}

// start writes the settings file and starts the program; its output is appended to the
// log.
func (p *process) start() error {
	path := filepath.Join(p.folder, p.settings.VMID+".toml")
	if err := os.WriteFile(path, []byte(p.settings.Text()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.folder, p.settings.VMID+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	role := "disk"
	if p.settings.ServesCallers {
		role = "entry"
	}
	command := exec.Command(p.binary, role)
	command.Env = append(os.Environ(), platform.SettingsVariable+"="+path)
	command.Stdout, command.Stderr = log, log
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := command.Start(); err != nil {
		return errors.CombineErrors(err, log.Close())
	}
	p.command, p.exitExpected, p.exited, p.startedAt = command, false, make(chan struct{}), time.Now()
	go p.wait(command, log, p.exited)
	return nil
}

// replace makes the next start that of another VM, at another address.
func (p *process) replace() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replacements++
	name, _, _ := strings.Cut(p.settings.VMID, "-")
	p.settings.VMID = fmt.Sprintf("%s-%d", name, p.replacements)
	address := net.ParseIP(p.settings.IP).To4()
	address[1] ^= replacedAddressBit
	p.settings.IP = address.String()
}

// wait waits until the process exits and reports an unexpected exit.
func (p *process) wait(command *exec.Cmd, log io.Closer, exited chan<- struct{}) {
	err := command.Wait()
	_ = log.Close()
	p.mu.Lock()
	exitExpected := p.exitExpected
	p.mu.Unlock()
	close(exited)
	if !exitExpected {
		p.onUnexpectedExit(p.settings.VMID, err)
	}
}

// signal sends the signal to the process. After SIGKILL or SIGTERM an exit is expected.
func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if signal == syscall.SIGKILL || signal == syscall.SIGTERM {
		p.exitExpected = true
	}
	// The error is ignored: a process that an earlier signal has ended takes no further
	// signal.
	_ = p.command.Process.Signal(signal)
}

// hangUp sends SIGHUP, but not before the first statement of the program can have run:
// until then the signal ends any process.
func (p *process) hangUp() {
	p.mu.Lock()
	startedAt := p.startedAt
	p.mu.Unlock()
	time.Sleep(time.Until(startedAt.Add(processStartTime)))
	p.signal(syscall.SIGHUP)
}

// terminate sends the signal and waits until the process exits. It sends SIGKILL after
// the timeout and then returns false.
func (p *process) terminate(signal syscall.Signal, timeout time.Duration) bool {
	p.signal(signal)
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(timeout):
		p.signal(syscall.SIGKILL)
		<-exited
		return false
	}
}

package soak

import (
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bergamotgrade/bergamotgrade/platform"
	"github.com/bergamotgrade/bergamotgrade/platform/standin"
)

// process is one VM's program and its restarts.
type process struct {
	binary   string
	settings standin.Settings
	// folder holds the settings file and the log.
	folder string
	// onEnd hears of an end that nothing has asked for.
	onEnd func(vmID string, err error)

	mu      sync.Mutex
	command *exec.Cmd
	// ended is closed with the end of the present process.
	ended    chan struct{}
	expected bool
}

// start runs the program until it is killed or stopped.
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
	if p.settings.Callers {
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
	p.command, p.expected, p.ended = command, false, make(chan struct{})
	go p.run(command, log, p.ended)
	return nil
}

// run waits for the end of the process.
func (p *process) run(command *exec.Cmd, log io.Closer, ended chan<- struct{}) {
	err := command.Wait()
	_ = log.Close()
	p.mu.Lock()
	expected := p.expected
	p.mu.Unlock()
	close(ended)
	if !expected {
		p.onEnd(p.settings.VMID, err)
	}
}

// signal sends the signal to the process; one that ends it is expected to.
func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if signal == syscall.SIGKILL || signal == syscall.SIGTERM {
		p.expected = true
	}
	// A process that has just ended by an earlier signal takes no further one.
	_ = p.command.Process.Signal(signal)
}

// end sends the signal and waits for the end of the process, by force if it
// takes longer than the time; false means that force was needed.
func (p *process) end(signal syscall.Signal, within time.Duration) bool {
	p.signal(signal)
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	select {
	case <-ended:
		return true
	case <-time.After(within):
		p.signal(syscall.SIGKILL)
		<-ended
		return false
	}
}

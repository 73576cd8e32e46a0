package entry

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade/platform"
	"github.com/bergamotgrade/bergamotgrade/platform/standin"
)

// childVariable makes the test binary run as a VM: it does what cmd/bergamot-vm does, and
// reports on standard output once it has asked for SIGHUP.
const childVariable = "BERGAMOT_TEST_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(childVariable) == "" {
		os.Exit(m.Run())
	}
	hangups := Hangups()
	fmt.Println("main")
	if err := Execute(context.Background(), hangups); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// SIGHUP at any millisecond of the start does not end a VM (soak seed 2002).
func TestHangupDuringStart(t *testing.T) {
	const signals = 60
	settings := standin.Settings{VMID: "vm1", DataCentre: "here", IP: "127.0.78.1", ServesCallers: true, StoreAddress: "127.0.78.2:17000"}
	path := filepath.Join(t.TempDir(), "settings.toml")
	qt.Assert(t, os.WriteFile(path, []byte(settings.Text()), 0o600), qt.IsNil)
	command := exec.Command(os.Args[0], "entry")
	command.Env = append(os.Environ(), childVariable+"=1", platform.SettingsVariable+"="+path)
	output, err := command.StdoutPipe()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, command.Start(), qt.IsNil)
	lines := bufio.NewReader(output)
	line, err := lines.ReadString('\n')
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, line, qt.Equals, "main\n")
	for range signals {
		qt.Assert(t, command.Process.Signal(syscall.SIGHUP), qt.IsNil)
		time.Sleep(time.Millisecond)
	}
	// The VM logs its start and the signals until SIGTERM ends it.
	qt.Assert(t, command.Process.Signal(syscall.SIGTERM), qt.IsNil)
	for err == nil {
		_, err = lines.ReadString('\n')
	}
	qt.Assert(t, command.Wait(), qt.IsNil)
}

package member

import (
	"os"
	"strings"
	"syscall"

	"github.com/bergamotgrade/bergamotgrade"
)

// Identify returns the record with this VM's machine id, boot id and process id. An id
// that cannot be read stays empty.
func Identify(record bergamotgrade.VMRecord) bergamotgrade.VMRecord {
	record.MachineID = readLine("/etc/machine-id")
	record.BootID = readLine("/proc/sys/kernel/random/boot_id")
	record.ProcessID = os.Getpid()
	return record
}

func readLine(path string) string {
	data, err := os.ReadFile(path)
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(data))
}

// processEnded reports whether the former process is known to have ended: it ran on this
// machine before the last boot, or its process id is free or now belongs to this process.
func processEnded(former, self bergamotgrade.VMRecord) bool {
	if former.BootID == "" || former.MachineID != self.MachineID {
		return false
	}
	if former.BootID != self.BootID {
		return former.MachineID != ""
	}
	return former.ProcessID == self.ProcessID || syscall.Kill(former.ProcessID, 0) == syscall.ESRCH
}

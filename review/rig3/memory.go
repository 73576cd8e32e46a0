package rig3

import (
	"sync/atomic"
	"time"
)

// restartDelay is the time after which the platform starts an ended process again.
const restartDelay = 500 * time.Millisecond

// Watch is the platform's look at the memory of a machine.
type Watch struct {
	VM *VM
	// Ended counts the ends of its process because of its memory, PeakMB is its largest resident size.
	Ended, Peak atomic.Int64
}

// WatchMemory ends the process of the machine whenever it uses more than its memory and starts it again, as
// the platform does, until stop is closed.
func (r *Rig) WatchMemory(vm *VM, stop <-chan struct{}) *Watch {
	watch := &Watch{VM: vm}
	go watch.run(r, stop)
	return watch
}

func (w *Watch) run(rig *Rig, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		resident := w.VM.ResidentMB()
		w.Peak.Store(max(w.Peak.Load(), int64(resident)))
		if resident <= w.VM.Settings.MemoryMB {
			continue
		}
		rig.Say("%s uses %d MiB of %d and is killed", w.VM.Settings.VMID, resident, w.VM.Settings.MemoryMB)
		w.Ended.Add(1)
		w.VM.Kill()
		select {
		case <-stop:
			return
		case <-time.After(restartDelay):
		}
		if err := w.VM.Start(); err != nil {
			rig.Say("cannot start again: %v", err)
		}
	}
}

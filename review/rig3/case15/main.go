// Command case15 shows that clients which ask for results and do not read the answers take the machines over
// their memory.
package main

import (
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bergamotgrade/bergamotgrade/review/rig3"
)

const (
	events     = 378
	eventBytes = 360
	jobItems   = 20
	jobID      = "7c41e09b52d6a3f8"
	// crowd is the number of connections to each machine; half of its descriptors are for clients, 1,950.
	crowd = 600
	// hold is how long a client keeps its connection open, rounds is how often it comes.
	hold          = 6 * time.Second
	rounds        = 8
	frontMemoryMB = 284
	// maxEnds is the number of ends of a machine's process that the rule names.
	maxEnds = 3
)

func main() { os.Exit(run()) }

func run() int {
	rig, err := rig3.New(os.Args[1])
	if err != nil {
		fmt.Println(err)
		return rig3.Unready
	}
	defer rig.Close()
	route := rig3.Route{Name: "tray-certs", Host: "nony24.example", Prefix: "/pule252/", Service: "calib-notes", Cap: 690000}
	if err := rig.Configure(7, route); err != nil {
		fmt.Println(err)
		return rig3.Unready
	}
	for n := range 4 {
		if _, err := rig.AddReplica(rig3.ReplicaConfig{ID: fmt.Sprintf("i-7f3a91c%d", n), Service: route.Service, Zone: "nizwa-a", Slots: 8, Queue: 24, Events: events, EventBytes: eventBytes, EventTime: 2 * time.Millisecond}); err != nil {
			fmt.Println(err)
			return rig3.Unready
		}
	}
	var fronts []*rig3.VM
	for n := range 4 {
		_, address, err := rig.NewStoreServer()
		if err != nil {
			fmt.Println(err)
			return rig3.Unready
		}
		role, memory := "entry", frontMemoryMB
		if n >= 2 {
			role, memory = "disk", 304
		}
		vm, err := rig.AddVM(n, role, "nizwa-a", memory, address)
		if err != nil {
			fmt.Println(err)
			return rig3.Unready
		}
		if role == "entry" {
			fronts = append(fronts, vm)
		}
	}
	if err := rig.AwaitReady(20 * time.Second); err != nil {
		fmt.Println(err)
		return rig3.Unready
	}
	time.Sleep(2 * time.Second)
	var list []rig3.Item
	for n := range jobItems {
		list = append(list, rig3.NewItem(route, fmt.Sprintf("e5b2907c%08d", n), 1500, 350, 2268))
	}
	if status := rig.Submit(route, jobID, list, fronts...); status != 202 {
		rig.Say("the job was not accepted: %d", status)
		return rig3.Unready
	}
	position := 0
	for limit := time.Now().Add(20 * time.Second); position < jobItems; time.Sleep(200 * time.Millisecond) {
		if results, status, err := rig.Read(fronts[0], route, jobID, position, 0); err == nil && status == 200 {
			position = results.Next
		}
		if time.Now().After(limit) {
			rig.Say("the job is not done")
			return rig3.Unready
		}
	}
	rig.Say("a job of %d items with %d bytes of text each is done", jobItems, events*(eventBytes+1))

	var ended, peak [2]atomic.Int64
	stop := make(chan struct{})
	var watching sync.WaitGroup
	for n, front := range fronts {
		watching.Go(func() { watchMemory(rig, front, &ended[n], &peak[n], stop) })
	}
	var clients sync.WaitGroup
	var opened, failed atomic.Int64
	for n := range len(fronts) * crowd {
		clients.Go(func() {
			// The clients come one after the other, a hundred a second at each machine.
			time.Sleep(hold * time.Duration(n) / time.Duration(len(fronts)*crowd))
			for range rounds {
				began := time.Now()
				opened.Add(1)
				if err := rig.SlowRead(fronts[n%len(fronts)], route, jobID, !rig3.Trouble(), hold); err != nil {
					failed.Add(1)
				}
				time.Sleep(time.Until(began.Add(hold)))
				if ended[0].Load() >= maxEnds && ended[1].Load() >= maxEnds {
					return
				}
			}
		})
	}
	clients.Wait()
	close(stop)
	watching.Wait()
	rig.Say("%d connections for results, %d of them failed", opened.Load(), failed.Load())
	for n, front := range fronts {
		rig.Say("%s: at most %d MiB of %d, ended %d times by the platform because of its memory", front.Settings.VMID, peak[n].Load(), frontMemoryMB, ended[n].Load())
	}
	if ended[0].Load() >= maxEnds && ended[1].Load() >= maxEnds {
		rig.Say("Fault: on two of four machines, processes ended by themselves three times")
		return rig3.Broken
	}
	return rig3.Held
}

// watchMemory ends a process that uses more than its memory, and starts it again, as the platform does.
func watchMemory(rig *rig3.Rig, vm *rig3.VM, ended, peak *atomic.Int64, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		resident := vm.ResidentMB()
		peak.Store(max(peak.Load(), int64(resident)))
		if resident > frontMemoryMB {
			rig.Say("%s uses %d MiB of %d and is killed", vm.Settings.VMID, resident, frontMemoryMB)
			ended.Add(1)
			vm.Kill()
			time.Sleep(500 * time.Millisecond)
			if err := vm.Start(); err != nil {
				rig.Say("cannot start again: %v", err)
			}
		}
	}
}

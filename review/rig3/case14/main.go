// Command case14 shows that a batch job is not completed after its owner was killed if its stored results
// exceed the cache of results.
package main

import (
	"fmt"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/bergamotgrade/bergamotgrade/review/rig3"
)

const (
	items      = 200
	events     = 378
	eventBytes = 360
	// killAt is the number of stored results from which on the owner is killed: more than 24 MiB of text.
	killAt = 187
	jobID  = "7c41e09b52d6a3f8"
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
	var replicas []*rig3.Replica
	for n := range 4 {
		replica, err := rig.AddReplica(rig3.ReplicaConfig{ID: fmt.Sprintf("i-7f3a91c%d", n), Service: route.Service, Zone: "nizwa-a", Slots: 8, Queue: 24, Events: events, EventBytes: eventBytes, EventTime: 3 * time.Millisecond})
		if err != nil {
			fmt.Println(err)
			return rig3.Unready
		}
		replicas = append(replicas, replica)
	}
	var fronts, disks []*rig3.VM
	var stored, lastWriter atomic.Int64
	reached := make(chan int, 1)
	for n := range 4 {
		server, address, err := rig.NewStoreServer()
		if err != nil {
			fmt.Println(err)
			return rig3.Unready
		}
		role, memory := "entry", 284
		if n >= 2 {
			role, memory = "disk", 304
			server.OnCommit = func(keys []string) {
				added := int64(0)
				for _, key := range keys {
					if strings.HasPrefix(key, "job/result/") {
						added++
					}
				}
				if added == 0 {
					return
				}
				lastWriter.Store(int64(n))
				total := stored.Add(added)
				rig.Log("store: %d results stored, %d in all", added, total)
				if total >= killAt && total < items {
					select {
					case reached <- n:
					default:
					}
				}
			}
		}
		vm, err := rig.AddVM(n, role, "nizwa-a", memory, address)
		if err != nil {
			fmt.Println(err)
			return rig3.Unready
		}
		if role == "entry" {
			fronts = append(fronts, vm)
		} else {
			disks = append(disks, vm)
		}
	}
	defer func() {
		if folder := os.Getenv("KEEP_LOGS"); folder != "" {
			for _, vm := range append(fronts, disks...) {
				vm.KeepLog(folder + "/" + vm.Settings.VMID + ".log")
			}
		}
	}()
	if err := rig.AwaitReady(20 * time.Second); err != nil {
		fmt.Println(err)
		return rig3.Unready
	}
	time.Sleep(2 * time.Second)

	var list []rig3.Item
	for n := range items {
		list = append(list, rig3.NewItem(route, fmt.Sprintf("e5b2907c%08d", n), 1500, 350, 2268))
	}
	if status := rig.Submit(route, jobID, list, fronts...); status != 202 {
		rig.Say("the job was not accepted: %d", status)
		return rig3.Unready
	}
	submittedAt := time.Now()

	// The client reads on, about twice a second, at both machines.
	texts := map[string]bool{}
	position := 0
	killed := false
	var killedAt time.Time
	checkAt := submittedAt.Add(36 * time.Second) // due in 18 s, and finishS of 18 s
	for try := 0; time.Now().Before(checkAt) && position < items; try++ {
		select {
		case n := <-reached:
			if rig3.Trouble() {
				rig.Say("%d results are stored; machine %s, which has just written to the store under a condition, is killed", stored.Load(), disks[n-2].Settings.VMID)
				disks[n-2].Kill()
				killed, killedAt = true, time.Now()
				go func() {
					time.Sleep(time.Second)
					if err := disks[n-2].Start(); err != nil {
						rig.Say("cannot start again: %v", err)
					}
				}()
			}
		default:
		}
		results, status, err := rig.Read(fronts[try%2], route, jobID, position, time.Second)
		if err != nil || status != 200 {
			time.Sleep(300 * time.Millisecond)
			continue
		}
		for _, result := range results.Results {
			if result.State != "done" || result.Text != rig3.Text(result.Identifier, events, eventBytes) || texts[result.Identifier] {
				rig.Say("the result of %s is %s with %d bytes", result.Identifier, result.State, len(result.Text))
				return rig3.Broken
			}
			texts[result.Identifier] = true
		}
		position = results.Next
		if len(results.Results) == 0 {
			time.Sleep(100 * time.Millisecond)
		}
	}
	if rig3.Trouble() && !killed {
		rig.Say("the owner was not killed in time: %d results", stored.Load())
		return rig3.Unready
	}
	rig.Say("%d of %d items are listed %.1f s after the submission", position, items, time.Since(submittedAt).Seconds())
	if killed {
		rig.Say("the machine was killed %.1f s ago and started again 1 s later", time.Since(killedAt).Seconds())
	}
	for _, front := range fronts {
		_, status, err := rig.Read(front, route, jobID, 0, 0)
		rig.Say("for information: a read from the start at %s: %d %v", front.Settings.VMID, status, err)
	}
	if position == items {
		return rig3.Held
	}
	busy, load, ended := 0, 0, false
	for _, replica := range replicas {
		load += replica.Load()
		ended = ended || time.Since(replica.LastEnd()) < 3*time.Second
		for _, item := range list {
			if !texts[item.Identifier] && replica.BusyWith(item.Identifier, time.Now().Add(-5*time.Second)) {
				busy++
			}
		}
	}
	rig.Say("unlisted items at replicas in the last 5 s: %d; requests that run: %d; a run was completed in the last 3 s: %t", busy, load, ended)
	if busy == 0 && !ended && load == 0 {
		rig.Say("LOST: %d items are neither listed as done nor as abandoned", items-position)
		return rig3.Broken
	}
	return rig3.Unready
}

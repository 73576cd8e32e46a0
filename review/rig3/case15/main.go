// Command case15 shows that batch jobs do not run on replicas with one slot, although these are idle.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/bergamotgrade/bergamotgrade/review/rig3"
)

const (
	events     = 100
	eventBytes = 60
	jobItems   = 10
	jobID      = "7c41e09b52d6a3f8"
	finish     = 18 * time.Second
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
	for n := range 6 {
		slots, queue := 1, 3
		if n == 0 {
			slots, queue = 8, 24
		}
		replica, err := rig.AddReplica(rig3.ReplicaConfig{ID: fmt.Sprintf("i-7f3a91c%d", n), Service: route.Service, Zone: "nizwa-a", Slots: slots, Queue: queue, Events: events, EventBytes: eventBytes, EventTime: 3 * time.Millisecond})
		if err != nil {
			fmt.Println(err)
			return rig3.Unready
		}
		replicas = append(replicas, replica)
	}
	var fronts []*rig3.VM
	for n := range 4 {
		_, address, err := rig.NewStoreServer()
		if err != nil {
			fmt.Println(err)
			return rig3.Unready
		}
		role, memory := "entry", 284
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
	if rig3.Trouble() {
		replicas[0].Crash()
	}
	var list []rig3.Item
	for n := range jobItems {
		list = append(list, rig3.NewItem(route, fmt.Sprintf("e5b2907c%08d", n), 1500, 350, 600))
	}
	if status := rig.Submit(route, jobID, list, fronts...); status != 202 {
		rig.Say("the job was not accepted: %d", status)
		return rig3.Unready
	}
	endedAt, position := time.Now(), 0
	for try := 0; time.Since(endedAt) < finish+3*time.Second && position < jobItems; try++ {
		if results, status, err := rig.Read(fronts[try%2], route, jobID, position, 0); err == nil && status == 200 {
			position = results.Next
		}
		time.Sleep(500 * time.Millisecond)
	}
	rig.Say("%.1f s after the end of the traffic, %d of %d items are listed", time.Since(endedAt).Seconds(), position, jobItems)
	if position == jobItems {
		return rig3.Held
	}
	runs, busy, load, ended := 0, 0, 0, false
	for _, replica := range replicas {
		load += replica.Load()
		ended = ended || time.Since(replica.LastEnd()) < 3*time.Second
		for _, item := range list {
			runs += replica.Runs(item.Identifier)
			if replica.BusyWith(item.Identifier, time.Now().Add(-5*time.Second)) {
				busy++
			}
		}
	}
	rig.Say("replicas ran items %d times in all, had %d of them in the last 5 s, run %d now; a run was completed in the last 3 s: %t", runs, busy, load, ended)
	if busy == 0 && load == 0 && !ended {
		rig.Say("LOST: %d items are neither listed as done nor as abandoned", jobItems-position)
		return rig3.Broken
	}
	return rig3.Unready
}

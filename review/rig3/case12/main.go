// Command case12 shows that the batch jobs of a service without replicas keep those of a sound service from
// running until they are given up.
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
	// heldJobs are the jobs of the service whose replica has crashed, each of two items with bodies of itemBytes.
	heldJobs  = 30
	itemBytes = 1450 << 10
	// soundJobs are the jobs of the sound service, each of four items with bodies of soundBytes.
	soundJobs  = 4
	soundItems = 4
	soundBytes = 100 << 10
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
	held := rig3.Route{Name: "tray-certs", Host: "nony24.example", Prefix: "/pule252/", Service: "calib-notes", Cap: 690000}
	sound := rig3.Route{Name: "lot-certs", Host: "nony24.example", Prefix: "/kaje118/", Service: "calib-lots", Cap: 690000}
	if err := rig.Configure(7, held, sound); err != nil {
		fmt.Println(err)
		return rig3.Unready
	}
	var replicas []*rig3.Replica
	for n := range 6 {
		service := sound.Service
		if n == 0 {
			service = held.Service
		}
		replica, err := rig.AddReplica(rig3.ReplicaConfig{ID: fmt.Sprintf("i-7f3a91c%d", n), Service: service, Zone: "nizwa-a", Slots: 8, Queue: 24, Events: events, EventBytes: eventBytes, EventTime: 3 * time.Millisecond})
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
		defer func() {
			if folder := os.Getenv("KEEP_LOGS"); folder != "" {
				vm.KeepLog(folder + "/" + vm.Settings.VMID + ".log")
			}
		}()
	}
	if err := rig.AwaitReady(20 * time.Second); err != nil {
		fmt.Println(err)
		return rig3.Unready
	}
	time.Sleep(2 * time.Second)
	if rig3.Trouble() {
		replicas[0].Crash()
	}
	for n := range heldJobs {
		id := fmt.Sprintf("a1%014d", n)
		list := []rig3.Item{rig3.NewItem(held, id+"-0", itemBytes, 350, 600), rig3.NewItem(held, id+"-1", itemBytes, 350, 600)}
		if status := rig.Submit(held, id, list, fronts...); status != 202 {
			rig.Say("job %s was not accepted: %d", id, status)
			return rig3.Unready
		}
	}
	rig.Say("%d jobs of service %s are accepted", heldJobs, held.Service)
	type state struct {
		id       string
		items    []rig3.Item
		position int
	}
	var jobs []*state
	for n := range soundJobs {
		job := &state{id: fmt.Sprintf("b2%014d", n)}
		for k := range soundItems {
			job.items = append(job.items, rig3.NewItem(sound, fmt.Sprintf("%s-%d", job.id, k), soundBytes, 350, 600))
		}
		if status := rig.Submit(sound, job.id, job.items, fronts...); status != 202 {
			rig.Say("job %s was not accepted: %d", job.id, status)
			return rig3.Unready
		}
		jobs = append(jobs, job)
	}
	endedAt := time.Now()
	rig.Say("%d jobs of service %s are accepted; the traffic ends", soundJobs, sound.Service)
	open := soundJobs
	for try := 0; time.Since(endedAt) < finish+3*time.Second && open > 0; try++ {
		open = 0
		for _, job := range jobs {
			if job.position == soundItems {
				continue
			}
			results, status, err := rig.Read(fronts[try%2], sound, job.id, job.position, 0)
			if err == nil && status == 200 {
				for _, result := range results.Results {
					rig.Log("item %s of service %s is %s", result.Identifier, sound.Service, result.State)
				}
				job.position = results.Next
			}
			if job.position < soundItems {
				open++
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	rig.Say("%.1f s after the end of the traffic, %d of %d jobs of service %s are open", time.Since(endedAt).Seconds(), open, soundJobs, sound.Service)
	if open == 0 {
		return rig3.Held
	}
	busy, runs, load, unlisted, ended := 0, 0, 0, 0, false
	for _, replica := range replicas[1:] {
		load += replica.Load()
		ended = ended || time.Since(replica.LastEnd()) < 3*time.Second
	}
	for _, job := range jobs {
		unlisted += soundItems - job.position
		for _, item := range job.items {
			for _, replica := range replicas[1:] {
				runs += replica.Runs(item.Identifier)
				if replica.BusyWith(item.Identifier, time.Now().Add(-5*time.Second)) {
					busy++
				}
			}
		}
	}
	rig.Say("%d items of service %s are unlisted; its %d replicas ran items %d times in all, had %d of them in the last 5 s, run %d now of %d slots; a run was completed in the last 3 s: %t",
		unlisted, sound.Service, len(replicas)-1, runs, busy, load, 8*(len(replicas)-1), ended)
	if os.Getenv("LOOK_ON") != "" {
		for time.Since(endedAt) < 70*time.Second {
			time.Sleep(5 * time.Second)
			for _, job := range jobs {
				results, status, err := rig.Read(fronts[0], sound, job.id, 0, 0)
				for _, result := range results.Results {
					rig.Say("for information: item %s is %s, after %d runs, %.0f s after the end of the traffic (%d %v)", result.Identifier, result.State, replicas[1].Runs(result.Identifier)+replicas[2].Runs(result.Identifier)+replicas[3].Runs(result.Identifier)+replicas[4].Runs(result.Identifier)+replicas[5].Runs(result.Identifier), time.Since(endedAt).Seconds(), status, err)
				}
			}
		}
	}
	if busy == 0 && load == 0 && !ended {
		rig.Say("LOST: %d items are neither listed as done nor as abandoned", unlisted)
		return rig3.Broken
	}
	return rig3.Unready
}

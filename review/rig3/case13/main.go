// Command case13 shows that items which no replica can read keep the batch jobs of other tenants from running.
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
	eventBytes = 60
	jobItems   = 10
	soundJobs  = 20
	// soundOutput and crowdOutput are the output tokens of an item, and the events of its answer.
	soundOutput = 120
	crowdOutput = 10
	// crowdJobs are the jobs that come before, each of crowdItems items.
	crowdJobs  = 30
	crowdItems = 200
	// unreadable is a path that HTTP servers refuse: a percent sign without digits.
	unreadable = "/%"
	finish     = 18 * time.Second
)

type state struct {
	id       string
	items    []rig3.Item
	position int
}

func main() { os.Exit(run()) }

func run() int {
	rig, err := rig3.New(os.Args[1])
	if err != nil {
		fmt.Println(err)
		return rig3.Unready
	}
	defer rig.Close()
	route := rig3.Route{Name: "tray-certs", Host: "nony24.example", Prefix: "/pule252/", Service: "calib-notes", Cap: 690000}
	crowd := rig3.Route{Name: "lot-certs", Host: "nony24.example", Prefix: "/kaje118/", Service: "calib-notes", Cap: 690000}
	if err := rig.Configure(7, route, crowd); err != nil {
		fmt.Println(err)
		return rig3.Unready
	}
	var replicas []*rig3.Replica
	for n := range 6 {
		replica, err := rig.AddReplica(rig3.ReplicaConfig{ID: fmt.Sprintf("i-7f3a91c%d", n), Service: route.Service, Zone: "nizwa-a", Slots: 8, Queue: 24, EventBytes: eventBytes, EventTime: 3 * time.Millisecond})
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
	var group sync.WaitGroup
	var accepted atomic.Int64
	for n := range crowdJobs {
		group.Go(func() {
			var list []rig3.Item
			id := fmt.Sprintf("a1%014d", n)
			for k := range crowdItems {
				item := rig3.NewItem(crowd, fmt.Sprintf("%s-%d", id, k), 100, 30, crowdOutput)
				if rig3.Trouble() {
					item.Path = unreadable
				}
				list = append(list, item)
			}
			if rig.Submit(crowd, id, list, fronts[n%2], fronts[(n+1)%2]) == 202 {
				accepted.Add(1)
			}
		})
	}
	group.Wait()
	rig.Say("%d jobs of %d items of the other tenant are accepted", accepted.Load(), crowdItems)
	var all []*state
	for n := range soundJobs {
		job := &state{id: fmt.Sprintf("b2%014d", n)}
		for k := range jobItems {
			job.items = append(job.items, rig3.NewItem(route, fmt.Sprintf("%s-%d", job.id, k), 1500, 350, soundOutput))
		}
		if status := rig.Submit(route, job.id, job.items, fronts...); status != 202 {
			rig.Say("job %s was not accepted: %d", job.id, status)
			return rig3.Unready
		}
		all = append(all, job)
	}
	endedAt, open := time.Now(), soundJobs
	rig.Say("%d jobs of %d items of the sound tenant are accepted; the traffic ends", soundJobs, jobItems)
	for try := 0; time.Since(endedAt) < finish+7*time.Second && open > 0; try++ {
		open = 0
		for _, job := range all {
			if job.position < jobItems {
				if results, status, err := rig.Read(fronts[try%2], route, job.id, job.position, 0); err == nil && status == 200 {
					job.position = results.Next
				}
			}
			if job.position < jobItems {
				open++
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	rig.Say("%.1f s after the end of the traffic, %d of %d jobs of the sound tenant are open", time.Since(endedAt).Seconds(), open, soundJobs)
	if open == 0 {
		return rig3.Held
	}
	var list []rig3.Item
	listed := 0
	for _, job := range all {
		list = append(list, job.items...)
		listed += job.position
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
		rig.Say("LOST: %d items of the sound tenant are neither listed as done nor as abandoned", len(list)-listed)
		return rig3.Broken
	}
	return rig3.Unready
}

// Command case12 shows that batch jobs of legal size whose items have many small headers end the machines that
// hold them, again and again, also after the clients have left.
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
	events     = 100
	eventBytes = 60
	jobs       = 660
	jobItems   = 200
	// itemHeaders is the number of headers of an item; the system accepts 100.
	itemHeaders = 57
	clients     = 8
	// lookOn is how long the machines are watched after the clients have left.
	lookOn = 30 * time.Second
	// maxEnds is the number of ends of a machine's process that the rule names.
	maxEnds = 3
)

func main() { os.Exit(run()) }

// names are names of headers, the shortest ones.
func names() []string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var list []string
	for _, letter := range letters {
		list = append(list, string(letter))
	}
	for _, first := range letters {
		for _, second := range letters {
			list = append(list, string(first)+string(second))
		}
	}
	return list
}

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
	for n := range 9 {
		if _, err := rig.AddReplica(rig3.ReplicaConfig{ID: fmt.Sprintf("i-7f3a91c%d", n), Service: route.Service, Zone: "nizwa-a", Slots: 8, Queue: 24, Events: events, EventBytes: eventBytes, EventTime: 5 * time.Millisecond, Burst: 10}); err != nil {
			fmt.Println(err)
			return rig3.Unready
		}
	}
	var fronts, all []*rig3.VM
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
		all = append(all, vm)
	}
	if err := rig.AwaitReady(20 * time.Second); err != nil {
		fmt.Println(err)
		return rig3.Unready
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	defer close(stop)
	var watches []*rig3.Watch
	for _, vm := range all {
		watches = append(watches, rig.WatchMemory(vm, stop))
	}
	var group sync.WaitGroup
	var next, accepted atomic.Int64
	for client := range clients {
		group.Go(func() {
			for limit := time.Now().Add(45 * time.Second); time.Now().Before(limit); {
				n := int(next.Add(1))
				if n > jobs {
					return
				}
				id := fmt.Sprintf("d4%014d", n)
				var list []rig3.Item
				for k := range jobItems {
					item := rig3.NewItem(route, fmt.Sprintf("%x", n*jobItems+k), 1500, 3, 2)
					if rig3.Trouble() {
						for _, name := range names()[:itemHeaders-len(item.Headers)] {
							item.Headers[name] = ""
						}
						item.Body = item.Body[:1000]
						if n%3 != 0 {
							item.Body = nil
						}
					}
					list = append(list, item)
				}
				if rig.Submit(route, id, list, fronts[client%2], fronts[(client+1)%2]) == 202 {
					accepted.Add(1)
				}
			}
		})
	}
	group.Wait()
	rig.Say("%d jobs of %d items are accepted; the clients have left", accepted.Load(), jobItems)
	before := make([]int64, len(watches))
	for n, watch := range watches {
		before[n] = watch.Ended.Load()
	}
	time.Sleep(lookOn)
	broken := 0
	for n, watch := range watches {
		later := watch.Ended.Load() - before[n]
		rig.Say("%s: at most %d MiB of %d; ended %d times by the platform because of its memory while the clients came, %d times in %s afterwards",
			watch.VM.Settings.VMID, watch.Peak.Load(), watch.VM.Settings.MemoryMB, before[n], later, lookOn)
		if before[n]+later >= maxEnds {
			broken++
		}
	}
	if broken >= 2 {
		rig.Say("Fault: on %d of %d machines, processes ended by themselves three times", broken, len(watches))
		return rig3.Broken
	}
	return rig3.Held
}

// Command case11 shows that batch jobs whose paths are long, but within the limit on heads, end all machines, again
// and again, also after the clients have left.
package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bergamotgrade/bergamotgrade/review/rig3"
)

const (
	events     = 100
	eventBytes = 60
	jobs       = 7000
	// pathBytes is the length of the path under the route's prefix; headerBytes of the configuration is 16,384.
	pathBytes = 15000
	clients   = 12
	perSecond = 130
	// lookOn is how long the machines are watched after the clients have left.
	lookOn = 25 * time.Second
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
	path := ""
	if rig3.Trouble() {
		path = strings.Repeat("x", pathBytes) + "/"
	}
	began := time.Now()
	var group sync.WaitGroup
	var next, accepted atomic.Int64
	for client := range clients {
		group.Go(func() {
			for limit := began.Add(60 * time.Second); time.Now().Before(limit); {
				n := int(next.Add(1))
				if n > jobs {
					return
				}
				time.Sleep(time.Until(began.Add(time.Duration(n) * time.Second / perSecond)))
				id := fmt.Sprintf("f6%014d", n)
				list := []rig3.Item{rig3.NewItem(route, id+"-0", 100, 3, 2)}
				if rig.SubmitAt(route, path+id, id, list, fronts[client%2], fronts[(client+1)%2]) == 202 {
					accepted.Add(1)
				}
			}
		})
	}
	group.Wait()
	rig.Say("%d jobs of one item are accepted in %.0f s; the clients have left", accepted.Load(), time.Since(began).Seconds())
	before := make([]int64, len(watches))
	for n, watch := range watches {
		before[n] = watch.Ended.Load()
	}
	answered, reads := 0, 0
	for limit := time.Now().Add(lookOn); time.Now().Before(limit); time.Sleep(500 * time.Millisecond) {
		for _, front := range fronts {
			reads++
			if _, status, err := rig.Read(front, route, "f600000000000001", 0, 0); err == nil && status == 200 {
				answered++
			}
		}
	}
	rig.Say("for information: %d of %d reads of the first job by an ordinary client were answered afterwards", answered, reads)
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

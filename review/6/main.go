// Case 6: a store machine freezes for some seconds; meanwhile the operator adds a route for batch jobs, and clients
// submit jobs on it. The machine wakes, learns of the jobs before it learns of the route, and abandons their items.
package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bergamotgrade/bergamotgrade/review/stage"
)

const (
	// freeze is the longest one of the site for a store machine.
	freeze = 3200 * time.Millisecond
	// configureAfter and submitUntil are counted from the begin of the freeze.
	configureAfter, submitUntil = 100 * time.Millisecond, 1600 * time.Millisecond
	submitPause                 = 100 * time.Millisecond
	// settle is how long the clients wait after the machine has woken.
	settle    = 2500 * time.Millisecond
	itemCount = 3
	rounds    = 14
	// extraRoutes is the number of routes by which the configuration has grown.
	extraRoutes = 350
	// storeLatency is that of the sheet.
	storeLatency = 4 * time.Millisecond
)

func main() {
	status, err := run()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		status = 2
	}
	os.Exit(status)
}

func run() (int, error) {
	trouble := stage.Trouble(os.Getenv("TROUBLE"))
	fleet, err := stage.Start(stage.Options{Folder: os.Args[1], Fronts: 3, Stores: 3, Replicas: 3, Slots: 8, EventTime: 10 * time.Millisecond, StoreLatency: storeLatency})
	defer fleet.Stop()
	if err != nil {
		return 2, err
	}
	time.Sleep(4 * time.Second) // the machines are in touch
	frozen := first(fleet.Stores())
	configuration := stage.NewConfiguration(1)
	routes := configuration["routes"].([]map[string]any)
	for i := range extraRoutes {
		routes = append(routes, stage.StreamRoute(fmt.Sprintf("r-extra%03d", i), fmt.Sprintf("/extra%03d/", i)))
	}
	configuration["routes"] = routes
	abandoned, accepted := 0, 0
	for round := range rounds {
		jobs, err := playRound(fleet, frozen, configuration, round, trouble)
		if err != nil {
			return 2, err
		}
		for _, job := range jobs {
			accepted++
			results, reply := stage.ReadResults(fleet.Fronts()[1], job, 0)
			if reply.Status != http.StatusOK {
				fleet.Record.Add("client: reads batch job %s: %s", job, reply)
			}
			for _, result := range results.Results {
				if result.State == "abandoned" {
					abandoned++
					fleet.Record.Add("BROKEN: item %s of batch job %s is abandoned; it reached replicas %d times, and its route is there", result.Identifier, job, arrivals(fleet, result.Identifier))
				}
			}
			fleet.Record.Add("client: reads batch job %s: %d of %d results", job, len(results.Results), results.Total)
		}
	}
	for _, line := range fleet.LogLines("item abandoned") {
		fleet.Record.Add("log of %s", line)
	}
	fmt.Printf("trouble=%t accepted jobs=%d abandoned items=%d\n", trouble, accepted, abandoned)
	if abandoned > 0 {
		return 1, nil
	}
	return 0, nil
}

func arrivals(fleet *stage.Fleet, item string) int {
	count := 0
	for _, arrival := range fleet.Arrivals() {
		if arrival.RequestID == item {
			count++
		}
	}
	return count
}

// first returns the machine that the others choose to watch the store for them.
func first(stores []*stage.VM) *stage.VM {
	chosen := stores[0]
	for _, vm := range stores {
		if xxhash.Sum64String(vm.Name) < xxhash.Sum64String(chosen.Name) {
			chosen = vm
		}
	}
	return chosen
}

// playRound adds a route while the machine is frozen and returns the jobs that were accepted on it.
func playRound(fleet *stage.Fleet, frozen *stage.VM, configuration map[string]any, round int, trouble bool) ([]string, error) {
	submit := func(prefix, job string) stage.Reply {
		var items []stage.Item
		for i := range itemCount {
			items = append(items, stage.Item{ID: fmt.Sprintf("%s-%d", job, i), Events: 20})
		}
		reply := stage.Send(fleet.Fronts()[0], http.MethodPost, prefix+job, job, map[string]string{"Content-Type": "application/json"}, stage.JobBody(prefix, items))
		fleet.Record.Add("client: submits batch job %s: %s", job, reply)
		return reply
	}
	submit(stage.BatchPath, fmt.Sprintf("before%02d", round))
	time.Sleep(400 * time.Millisecond)
	if trouble {
		fleet.Record.Add("platform: %s freezes", frozen.Name)
		frozen.Signal(syscall.SIGSTOP)
	}
	frozenAt := time.Now()
	time.Sleep(configureAfter)
	prefix := fmt.Sprintf("/kefi%03d/", round)
	configuration["version"] = configuration["version"].(int) + 3
	configuration["routes"] = append(configuration["routes"].([]map[string]any), stage.BatchRoute("r-"+strings.Trim(prefix, "/"), prefix))
	if err := fleet.Configure(configuration); err != nil {
		return nil, err
	}
	fleet.Record.Add("operator: version %d adds the route %s", configuration["version"], prefix)
	var accepted []string
	for n := 0; time.Since(frozenAt) < submitUntil; n++ {
		job := fmt.Sprintf("job%02d-%02d", round, n)
		if submit(prefix, job).Status == http.StatusAccepted {
			accepted = append(accepted, job)
		}
		time.Sleep(submitPause)
	}
	time.Sleep(time.Until(frozenAt.Add(freeze)))
	if trouble {
		frozen.Signal(syscall.SIGCONT)
		fleet.Record.Add("platform: %s goes on", frozen.Name)
	}
	time.Sleep(settle)
	return accepted, nil
}

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/bergamotgrade/bergamotgrade/platform/standin"
)

const (
	jobInterval = 400 * time.Millisecond
	jobItems    = 6
	itemEvents  = 400
	// maxOutage is the longest outage of the whole store in the site file; outages are up to
	// outageSpread shorter.
	maxOutage    = 6400 * time.Millisecond
	outageSpread = time.Second
	// rounds of an outage in which a disk VM is replaced, roundInterval apart.
	rounds        = 4
	roundInterval = 18 * time.Second
	// finish is the bound finishS, and calm the time without work that the rule names.
	finish = 18 * time.Second
	calm   = 5 * time.Second
)

// job is a batch job of the case.
type job struct {
	id       string
	items    []string
	accepted bool
}

// jobBook holds the jobs of the case.
type jobBook struct {
	mu   sync.Mutex
	jobs []*job
}

// runOrphanedJobs replaces a disk VM in each of several outages of the store, and looks for
// accepted jobs that are never finished.
func runOrphanedJobs(rec *record, trouble bool) int {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return exitNotRun
	}
	if os.Getenv("KEEP_LOGS") == "" {
		defer os.RemoveAll(folder)
	}
	rec.add("logs of the VMs: %s", map[bool]string{true: "kept", false: "not kept"}[os.Getenv("KEEP_LOGS") != ""])
	zones := []string{"a", "b", "c", "d"}
	f, err := newFleet(folder, rec, zones, 4)
	defer f.stop()
	if err != nil {
		rec.add("fleet cannot start: %v", err)
		return exitNotRun
	}
	configuration, err := standin.NewConfiguration(3, "llm", "key").Write()
	if err != nil {
		return exitNotRun
	}
	f.write(configuration)
	var disks []*vm
	for _, zone := range zones {
		for _, disk := range []bool{false, true} {
			name := map[bool]string{false: "front", true: "store"}[disk] + "-" + zone + "-1"
			v, err := f.startVM(name, zone, disk)
			if err != nil {
				rec.add("%s cannot start: %v", name, err)
				return exitNotRun
			}
			if disk {
				disks = append(disks, v)
			}
		}
	}
	if !f.awaitReady() {
		return exitNotRun
	}
	time.Sleep(3 * time.Second)
	book := &jobBook{}
	stopLoad := make(chan struct{})
	var load sync.WaitGroup
	load.Go(func() { book.runLoad(f, stopLoad) })
	next := time.Now().Add(6 * time.Second)
	for round := range rounds {
		time.Sleep(time.Until(next))
		next = next.Add(roundInterval)
		if !trouble {
			continue
		}
		endAt := time.Now().Add(maxOutage - rand.N(outageSpread))
		f.silenceStore(true)
		time.Sleep(500 * time.Millisecond)
		at := rand.IntN(len(disks))
		lost := disks[at]
		f.signal(lost, syscall.SIGKILL)
		time.Sleep(2 * time.Second)
		if disks[at], err = f.startVM(fmt.Sprintf("store-%s-%d", lost.zone, round+2), lost.zone, true); err != nil {
			return exitNotRun
		}
		time.Sleep(time.Until(endAt))
		f.silenceStore(false)
	}
	time.Sleep(8 * time.Second)
	close(stopLoad)
	load.Wait()
	rec.add("load ended")
	time.Sleep(finish)
	return book.check(f)
}

// runLoad submits jobs until stop is closed.
func (b *jobBook) runLoad(f *fleet, stop <-chan struct{}) {
	ticker := time.NewTicker(jobInterval)
	defer ticker.Stop()
	var submissions sync.WaitGroup
	defer submissions.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		j := &job{id: fmt.Sprintf("job%04d", n)}
		for i := range jobItems {
			j.items = append(j.items, fmt.Sprintf("%s-%d", j.id, i))
		}
		b.mu.Lock()
		b.jobs = append(b.jobs, j)
		b.mu.Unlock()
		submissions.Go(func() { b.submit(f, j) })
	}
}

// submit sends the job to the entry VMs in turn, twice at most, as the callers of the pages do.
func (b *jobBook) submit(f *fleet, j *job) {
	for try := range 2 {
		v := f.vms[2*rand.IntN(4)]
		status, err := submitJob(v, j)
		f.record.add("job %s sent to %s: %d %v", j.id, v.name, status, err)
		if err == nil && status == http.StatusAccepted {
			b.mu.Lock()
			j.accepted = true
			b.mu.Unlock()
			return
		}
		if try == 0 {
			time.Sleep(300 * time.Millisecond)
		}
	}
}

// check reads all accepted jobs, and returns exitBroken if one is left lying.
func (b *jobBook) check(f *fleet) int {
	lastRun := map[string]time.Time{}
	for i, engine := range f.engines {
		for _, run := range engine.Runs() {
			f.record.add("server i-%d ran item %s after event %d, %.1f s ago", i, run.RequestID, run.ResumeAfter, time.Since(run.At).Seconds())
			if run.At.After(lastRun[run.RequestID]) {
				lastRun[run.RequestID] = run.At
			}
		}
	}
	newest := time.Time{}
	for _, at := range lastRun {
		if at.After(newest) {
			newest = at
		}
	}
	f.record.add("last start of any item %.1f s ago", time.Since(newest).Seconds())
	if time.Since(newest) < calm+itemEvents*eventTime {
		f.record.add("servers are still at work; the rule does not ask for more yet")
		return exitNotRun
	}
	code, accepted := exitHeld, 0
	for _, j := range b.jobs {
		if !j.accepted {
			continue
		}
		accepted++
		var listed int
		for attempt := range 8 {
			caller := standin.Caller{Address: f.vms[2*(attempt%4)].callerAddress(), Key: "key", Client: &http.Client{Timeout: 3 * time.Second}}
			reply, _, results, err := caller.Results(j.id)
			f.record.add("results of %s read at %s: %d, %d listed, %v", j.id, f.vms[2*(attempt%4)].name, reply.Status, len(results), err)
			if err == nil && reply.Status == http.StatusOK {
				listed = max(listed, len(results))
			}
			if listed == len(j.items) {
				break
			}
		}
		if listed == len(j.items) {
			continue
		}
		var last time.Time
		for _, item := range j.items {
			if lastRun[item].After(last) {
				last = lastRun[item]
			}
		}
		ran := "never ran"
		if !last.IsZero() {
			ran = fmt.Sprintf("last run began %.1f s ago", time.Since(last).Seconds())
		}
		f.record.add("accepted job %s is left lying: %d of %d items listed, %s", j.id, listed, len(j.items), ran)
		code = exitBroken
	}
	f.record.add("%d jobs accepted", accepted)
	if accepted == 0 {
		return exitNotRun
	}
	return code
}

// submitJob submits the job to the VM.
func submitJob(v *vm, j *job) (int, error) {
	var items []string
	for _, id := range j.items {
		items = append(items, fmt.Sprintf(`{"identifier":%q,"path":"/jobs/x/%s","tokens":%d,"body":"","headers":{"Bergamotgrade-Token-Usage":"10,%d","Bergamotgrade-Model":"m"}}`, id, id, 10+itemEvents, itemEvents))
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+v.callerAddress()+standin.JobsPath+j.id, strings.NewReader(`{"items":[`+strings.Join(items, ",")+`]}`))
	if err != nil {
		return 0, err
	}
	req.Host = standin.Host
	req.Close = true
	req.Header.Set("Authorization", "Bearer key")
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Bergamotgrade-Attempt-Id", j.id)
	req.Header.Set("Bergamotgrade-Deadline-Remaining", "4000")
	res, err := (&http.Client{Timeout: 5 * time.Second}).Do(req)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	return res.StatusCode, nil
}

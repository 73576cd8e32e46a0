package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/bergamotgrade/bergamotgrade/platform/standin"
)

// settle is how long the cases wait for a small batch job.
const settle = 6 * time.Second

// batchItem is an item of a submission.
type batchItem struct {
	Identifier string            `json:"identifier"`
	Path       string            `json:"path"`
	Headers    map[string]string `json:"headers"`
	Body       []byte            `json:"body"`
	Tokens     int               `json:"tokens"`
}

func newItem(id, path string) batchItem {
	return batchItem{Identifier: id, Path: path, Headers: map[string]string{"Bergamotgrade-Model": "m", "Bergamotgrade-Token-Usage": "10,5"}, Body: []byte("body of " + id), Tokens: 15}
}

// startSmallFleet starts two entry VMs and two disk VMs for the tenants team and other, whose
// keys are team-key and other-key.
func startSmallFleet(rec *record) (f *fleet, ok bool) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, false
	}
	zones := []string{"a", "b"}
	f, err = newFleet(folder, rec, zones, 1)
	if err != nil {
		rec.add("fleet cannot start: %v", err)
		return f, false
	}
	configuration := standin.NewConfiguration(3, "llm", "team-key")
	configuration.Teams = append(configuration.Teams, standin.Team{Name: "other", Keys: []string{"other-key"}, Rate: 100, Burst: 100})
	write, err := configuration.Write()
	if err != nil {
		return f, false
	}
	f.write(write)
	for _, zone := range zones {
		for _, disk := range []bool{false, true} {
			if _, err := f.startVM(map[bool]string{false: "front", true: "store"}[disk]+"-"+zone+"-1", zone, disk); err != nil {
				rec.add("VM cannot start: %v", err)
				return f, false
			}
		}
	}
	if !f.awaitReady() {
		return f, false
	}
	time.Sleep(3 * time.Second)
	return f, true
}

// stopSmallFleet ends the processes and removes the folder of their settings and logs.
func stopSmallFleet(f *fleet) {
	if f == nil {
		return
	}
	f.stop()
	_ = os.RemoveAll(f.folder)
}

// call sends a request to the VM and returns status and body.
func (f *fleet) call(v *vm, method, path, key, id string, body []byte) (int, []byte) {
	req, err := http.NewRequest(method, "http://"+v.callerAddress()+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host, req.Close = standin.Host, true
	req.Header.Set("Authorization", "Bearer "+key)
	if id != "" {
		req.Header.Set("Bergamotgrade-Attempt-Id", id)
		req.Header.Set("Bergamotgrade-Deadline-Remaining", "4000")
		req.Header.Set("Content-Type", "application/json")
	}
	res, err := (&http.Client{Timeout: 5 * time.Second}).Do(req)
	if err != nil {
		f.record.add("%s %s at %s with %s: %v", method, path, v.name, key, err)
		return 0, nil
	}
	defer res.Body.Close()
	answer, _ := io.ReadAll(res.Body)
	f.record.add("%s %s at %s with %s, id %q, body %s: %d %.300s", method, path, v.name, key, id, body, res.StatusCode, answer)
	return res.StatusCode, answer
}

// submit submits a job and returns the status of the answer, or 0 without one.
func (f *fleet) submit(v *vm, key, id string, items ...batchItem) int {
	body, err := json.Marshal(map[string]any{"items": items})
	if err != nil {
		return 0
	}
	status, _ := f.call(v, http.MethodPost, standin.JobsPath+"new", key, id, body)
	return status
}

// refusedCode returns the exit code for a job that was not accepted: a refusal for good keeps
// the rule, anything else means that the case could not run.
func refusedCode(status int) int {
	if status >= 400 && status < 500 && status != http.StatusTooManyRequests {
		return exitHeld
	}
	return exitNotRun
}

// runs returns all runs at the engines and records them.
func (f *fleet) runs() []standin.Run {
	var all []standin.Run
	for i, engine := range f.engines {
		for _, run := range engine.Runs() {
			f.record.add("server i-%d ran request %q of tenant %q, path %q, body %q", i, run.RequestID, run.Team, run.Path, run.Body)
			all = append(all, run)
		}
	}
	return all
}

// runSmuggling submits a batch job with an item whose path holds a whole request, and looks
// for that request at the servers.
func runSmuggling(rec *record, trouble bool) int {
	f, ok := startSmallFleet(rec)
	defer stopSmallFleet(f)
	if !ok {
		return exitNotRun
	}
	path := "/jobs/x/item0"
	if trouble {
		path += " HTTP/1.1\r\nHost: h\r\nBergamotgrade-Attempt-Id: item0\r\nBergamotgrade-Token-Usage: 10,5\r\nContent-Length: 0\r\n\r\n" +
			"POST /once/smuggled HTTP/1.1\r\nHost: h\r\nBergamotgrade-Attempt-Id: smuggled\r\nBergamotgrade-Tenant: other\r\n" +
			"Bergamotgrade-Token-Usage: 10,5\r\nContent-Length: 0\r\n\r\nGET /"
	}
	if status := f.submit(f.vms[0], "team-key", "job0", newItem("item0", path)); status != http.StatusAccepted {
		return refusedCode(status)
	}
	time.Sleep(settle)
	f.call(f.vms[0], http.MethodGet, "/api/lots/job0?after=0", "team-key", "", nil)
	code, served := exitHeld, false
	for _, run := range f.runs() {
		served = served || run.RequestID == "item0"
		if run.RequestID != "item0" || run.Team != "team" && run.Team != "" {
			rec.add("request %q of tenant %q was sent by no client", run.RequestID, run.Team)
			code = exitBroken
		}
	}
	if !served && !trouble {
		return exitNotRun
	}
	return code
}

// runNestedIDs submits jobs of two tenants of which one has the id of the other as the first
// part of its own, and reads the results.
func runNestedIDs(rec *record, trouble bool) int {
	f, ok := startSmallFleet(rec)
	defer stopSmallFleet(f)
	if !ok {
		return exitNotRun
	}
	nested := "run7-0"
	if trouble {
		nested = "run7/0"
	}
	if status := f.submit(f.vms[0], "other-key", nested, newItem("theirs", "/jobs/x/theirs")); status != http.StatusAccepted {
		return refusedCode(status)
	}
	time.Sleep(settle / 2)
	if f.submit(f.vms[0], "team-key", "run7", newItem("ours", "/jobs/x/ours")) != http.StatusAccepted {
		return exitNotRun
	}
	time.Sleep(settle)
	code, ran := exitHeld, false
	status, answer := f.call(f.vms[2], http.MethodGet, "/api/lots/run7?after=0", "team-key", "", nil)
	var results struct {
		Results []standin.Result `json:"results"`
	}
	if status != http.StatusOK || json.Unmarshal(answer, &results) != nil {
		return exitNotRun
	}
	for _, result := range results.Results {
		if result.Identifier != "ours" {
			rec.add("job run7 of tenant team lists item %q of another tenant's job", result.Identifier)
			code = exitBroken
		}
	}
	if status, _ := f.call(f.vms[2], http.MethodGet, "/api/items/run7?identifier=ours", "team-key", "", nil); status == http.StatusNotFound && len(results.Results) == 0 {
		rec.add("the body of item ours is gone")
		code = exitBroken
	}
	for _, run := range f.runs() {
		ran = ran || run.RequestID == "ours"
		if run.RequestID == "theirs" && run.Team != "other" {
			rec.add("item theirs of tenant other ran as work of tenant %q", run.Team)
			code = exitBroken
		}
	}
	if !ran {
		rec.add("item ours, accepted %s ago, never ran", settle)
		code = exitBroken
	}
	return code
}

package rig3

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/bergamotgrade/bergamotgrade"
)

// Route is a batch route of the configuration.
type Route struct {
	Name, Host, Prefix, Service string
	Cap                         int64
}

// Configure writes the configuration: batch routes with the times of the sheets, and one tenant with a key
// for each route.
func (r *Rig) Configure(version int, routes ...Route) error {
	var routeList, services, tenants []map[string]any
	for _, route := range routes {
		routeList = append(routeList, map[string]any{
			"name": route.Name, "host": route.Host, "prefix": route.Prefix, "kind": "batch", "service": route.Service, "attempts": 3, "priority": 2,
			"timeoutMs": 15000, "targetLatencyMs": 400, "gapTargetMs": 400, "runTargetMs": 18000, "retentionS": 60, "cap": route.Cap, "stickySessions": true, "allowResume": true,
		})
		services = append(services, map[string]any{"name": route.Service, "healthPath": "/health", "connectionCap": 370})
		tenants = append(tenants, map[string]any{"name": "tenant-" + route.Name, "keys": []string{Key(route)}, "ratePerS": 200, "burst": 200})
	}
	body, err := json.Marshal(map[string]any{
		"version": version, "routes": routeList, "services": services, "tenants": tenants,
		"limits": map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 20000},
	})
	if err != nil {
		return err
	}
	_, err = r.Store.Commit(context.Background(), bergamotgrade.KeyCommit{Writes: []bergamotgrade.KeyWrite{{Key: "op/config", Value: body}}})
	return err
}

// Key returns the API key of the route's tenant.
func Key(route Route) string { return "key-" + route.Name }

// Item is an item of a batch job.
type Item struct {
	Identifier string            `json:"identifier"`
	Path       string            `json:"path"`
	Headers    map[string]string `json:"headers"`
	Body       []byte            `json:"body"`
	Tokens     int64             `json:"tokens"`
}

// NewItem returns an item with a body of the size.
func NewItem(route Route, id string, bodyBytes, prompt, output int) Item {
	return Item{
		Identifier: id, Path: route.Prefix + "run", Body: bytes.Repeat([]byte("b"), bodyBytes), Tokens: int64(prompt + output),
		Headers: map[string]string{
			"Bergamotgrade-Model": "llm", "Bergamotgrade-Token-Usage": fmt.Sprintf("%d,%d", prompt, output),
			"Bergamotgrade-Prompt-Prefix": fmt.Sprintf("5c1e07a2:%d,%s:%d", prompt/2, id, prompt-prompt/2),
		},
	}
}

// Result is a result of an item.
type Result struct {
	Identifier, State, Text string
}

// Results is an answer to a read.
type Results struct {
	Total, Next int
	Results     []Result
}

// call makes one call on a new connection.
func (r *Rig) call(vm *VM, route Route, method, path string, header map[string]string, body []byte, timeout time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+vm.Settings.CallerAddress()+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Host = route.Host
	req.Header.Set("Authorization", "Bearer "+Key(route))
	for name, value := range header {
		req.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	res, err := (&http.Client{Transport: transport}).Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return res.StatusCode, data, err
}

// Submit submits a job at one VM after the other until it is accepted, as a client does, and returns the last status.
func (r *Rig) Submit(route Route, id string, items []Item, vms ...*VM) int {
	return r.SubmitAt(route, id, id, items, vms...)
}

// SubmitAt is like Submit, with a path under the route's prefix.
func (r *Rig) SubmitAt(route Route, path, id string, items []Item, vms ...*VM) int {
	body, _ := json.Marshal(map[string]any{"items": items})
	status := 0
	for try := range 6 {
		vm := vms[try%len(vms)]
		var err error
		status, _, err = r.call(vm, route, http.MethodPost, route.Prefix+path, map[string]string{"Content-Type": "application/json", "Bergamotgrade-Attempt-Id": id, "Bergamotgrade-Deadline-Remaining": "4000"}, body, 4*time.Second)
		r.Log("job %s of %d items, %d bytes, submitted at %s: %d %v", id, len(items), len(body), vm.Settings.VMID, status, err)
		if status == http.StatusAccepted {
			return status
		}
		time.Sleep(300 * time.Millisecond)
	}
	return status
}

// Read reads results of a job from a position on.
func (r *Rig) Read(vm *VM, route Route, id string, after int, wait time.Duration) (Results, int, error) {
	var results Results
	status, data, err := r.call(vm, route, http.MethodGet, fmt.Sprintf("/api/lots/%s?after=%d", id, after), map[string]string{"Bergamotgrade-Wait-Time": fmt.Sprint(wait.Milliseconds())}, nil, wait+1500*time.Millisecond)
	if err == nil && status == http.StatusOK {
		err = json.Unmarshal(data, &results)
	}
	r.Log("job %s read after %d at %s: %d, next %d of %d, %d bytes, %v", id, after, vm.Settings.VMID, status, results.Next, results.Total, len(data), err)
	return results, status, err
}

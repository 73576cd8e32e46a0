package stage

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Path prefixes of the routes of the configuration.
const (
	StreamPath = "/lohu930/"
	BatchPath  = "/pule252/"
)

// NewConfiguration returns a configuration with the routes, limits and the tenant of a small
// deployment.
func NewConfiguration(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			StreamRoute("r-stream", StreamPath),
			BatchRoute("r-batch", BatchPath),
		},
		"services": []map[string]any{{"name": Service, "healthPath": "/health", "connectionCap": 210}},
		"limits":   map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []map[string]any{{"name": Tenant, "keys": []string{Key}, "priority": 1, "ratePerS": 500, "burst": 500}},
	}
}

// StreamRoute returns a route for streams that may be resumed, with the values of kpwsca-sackline.
func StreamRoute(name, prefix string) map[string]any {
	return map[string]any{
		"name": name, "host": Host, "prefix": prefix, "kind": "stream", "timeoutMs": 5000, "targetLatencyMs": 300, "priority": 0,
		"service": Service, "attempts": 2, "allowAnonymous": false, "stickySessions": true, "allowResume": true, "gapTargetMs": 500,
	}
}

// BatchRoute returns a route for batch jobs with the values of kpwsca-sackline.
func BatchRoute(name, prefix string) map[string]any {
	return map[string]any{
		"name": name, "host": Host, "prefix": prefix, "kind": "batch", "timeoutMs": 15000, "targetLatencyMs": 500, "priority": 2, "service": Service, "attempts": 3,
		"allowAnonymous": false, "runTargetMs": 18000, "retentionS": 60, "cap": 720000,
	}
}

// Reply is the answer to one call.
type Reply struct {
	Status int
	Body   string
	Err    error
}

// String returns the reply for the record.
func (r Reply) String() string {
	if r.Err != nil {
		return "no answer: " + r.Err.Error()
	}
	return fmt.Sprintf("%d %.200s", r.Status, r.Body)
}

// Send sends a request on a new connection and reads the whole answer.
func Send(vm *VM, method, path, attemptID string, header map[string]string, body string) Reply {
	req, err := http.NewRequest(method, "http://"+vm.FrontAddress()+path, strings.NewReader(body))
	if err != nil {
		return Reply{Err: err}
	}
	req.Host = Host
	req.Header.Set("Authorization", "Bearer "+Key)
	if attemptID != "" {
		req.Header.Set("Bergamotgrade-Attempt-Id", attemptID)
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	res, err := (&http.Client{Transport: transport, Timeout: 10 * time.Second}).Do(req)
	if err != nil {
		return Reply{Err: err}
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return Reply{Status: res.StatusCode, Body: string(data), Err: err}
}

// Item is an item of a batch job with the number of events that its output has.
type Item struct {
	ID     string
	Events int
}

// JobBody returns the body with which a batch job is submitted under the path prefix.
func JobBody(prefix string, items []Item) string {
	list := make([]map[string]any, 0, len(items))
	for _, item := range items {
		list = append(list, map[string]any{
			"identifier": item.ID, "path": prefix + "3/" + item.ID, "body": base64.StdEncoding.EncodeToString([]byte("body of " + item.ID)), "tokens": 350 + item.Events,
			"headers": map[string]string{
				"Bergamotgrade-Model": "m", "Bergamotgrade-Token-Usage": fmt.Sprintf("350,%d", item.Events), "Bergamotgrade-Prompt-Prefix": "9c2e41:100," + item.ID + ":250",
			},
		})
	}
	data, _ := json.Marshal(map[string]any{"items": list}) // strings and numbers can always be encoded
	return string(data)
}

// Results is the answer to a read of a batch job.
type Results struct {
	Total   int `json:"total"`
	Next    int `json:"next"`
	Results []struct {
		Identifier string `json:"identifier"`
		State      string `json:"state"`
		Text       string `json:"text"`
	} `json:"results"`
}

// ReadResults reads a batch job from a position.
func ReadResults(vm *VM, jobID string, after int) (Results, Reply) {
	reply := Send(vm, http.MethodGet, fmt.Sprintf("/api/lots/%s?after=%d", jobID, after), "", nil, "")
	var results Results
	if reply.Err == nil && reply.Status == http.StatusOK {
		reply.Err = json.Unmarshal([]byte(reply.Body), &results)
	}
	return results, reply
}

// Trouble reports whether the case runs with its disruption.
func Trouble(value string) bool { return value != "0" }

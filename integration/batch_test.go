package integration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"mime/multipart"
	"net/http"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/bergamotgrade/bergamotgrade/batch"
	"github.com/bergamotgrade/bergamotgrade/standin"
)

// parseOptions parses name=value arguments; vm and key have defaults.
func parseOptions(args []string) map[string]string {
	values := map[string]string{"vm": "vm1", "key": "trust-key"}
	for _, arg := range args {
		name, value, _ := strings.Cut(arg, "=")
		values[name] = value
	}
	return values
}

// cmdItems writes an input file: items FILE COUNT KIND, with KIND one of model,
// put (idempotent) and post (not idempotent).
func cmdItems(ts *testscript.TestScript, _ bool, args []string) {
	var count int
	_, err := fmt.Sscan(args[1], &count)
	ts.Check(err)
	var file strings.Builder
	for i := range count {
		switch args[2] {
		case "model":
			fmt.Fprintf(&file, `{"custom_id":"i%d","method":"POST","url":"/v1/completions","body":{"model":"note-writer","max_tokens":3,"prompt":"tray %d"}}`+"\n", i, i)
		case "put":
			fmt.Fprintf(&file, `{"custom_id":"i%d","method":"PUT","url":"/v1/services/manifests/lot/%d","body":%d}`+"\n", i, i, i)
		case "post":
			fmt.Fprintf(&file, `{"custom_id":"i%d","method":"POST","url":"/v1/services/manifests/pay/%d","body":%d}`+"\n", i, i, i)
		}
	}
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(file.String()), 0o600))
}

// callJSON sends a request and decodes the response into answer, or copies the body if
// answer is a *[]byte. It prints any other outcome than 200 and returns false.
func (f *fleet) callJSON(o map[string]string, method, path, contentType string, body io.Reader, answer any) bool {
	req, err := http.NewRequest(method, "http://"+f.proxies[o["vm"]].Address()+path, body)
	f.ts.Check(err)
	req.Header.Set("Authorization", "Bearer "+o["key"])
	req.Header.Set("Content-Type", contentType)
	if o["idem"] != "" {
		req.Header.Set("Idempotency-Key", o["idem"])
	}
	res, err := (&http.Client{Timeout: 30 * time.Second}).Do(req)
	if err != nil {
		_, _ = fmt.Fprintln(f.ts.Stdout(), "no answer")
		return false
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil || res.StatusCode != http.StatusOK {
		_, _ = fmt.Fprintf(f.ts.Stdout(), "%d %s\n", res.StatusCode, normalize(string(data)))
		return false
	}
	if raw, ok := answer.(*[]byte); ok {
		*raw = data
		return true
	}
	f.ts.Check(json.Unmarshal(data, answer))
	return true
}

// apiObject is the part of a file or batch object that scripts use.
type apiObject struct {
	ID            string `json:"id"`
	Status        string `json:"status"`
	RequestCounts struct {
		Total, Completed, Failed int
	} `json:"request_counts"`
}

// cmdUpload uploads an input file and stores its ID in a variable: upload VARIABLE FILE
// [OPTION...].
func cmdUpload(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	var form bytes.Buffer
	writer := multipart.NewWriter(&form)
	ts.Check(writer.WriteField("purpose", "batch"))
	part, err := writer.CreateFormFile("file", args[1])
	ts.Check(err)
	_, err = io.WriteString(part, ts.ReadFile(args[1]))
	ts.Check(err)
	ts.Check(writer.Close())
	var file apiObject
	if f.callJSON(parseOptions(args[2:]), http.MethodPost, "/v1/files", writer.FormDataContentType(), &form, &file) {
		ts.Setenv(args[0], file.ID)
	}
}

// cmdSubmit submits a batch and stores its ID in a variable: submit VARIABLE FILE-ID
// [OPTION...].
func cmdSubmit(ts *testscript.TestScript, _ bool, args []string) {
	body := fmt.Sprintf(`{"input_file_id":%q,"endpoint":"/v1/completions","completion_window":"24h"}`, args[1])
	var job apiObject
	if fleetOf(ts).callJSON(parseOptions(args[2:]), http.MethodPost, "/v1/batches", "application/json", strings.NewReader(body), &job) {
		ts.Setenv(args[0], job.ID)
	}
}

// cmdBatch prints a batch's status and progress: batch show|cancel|end BATCH-ID
// [OPTION...]. With cancel it cancels the batch first, with end it waits for its end.
func cmdBatch(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	o := parseOptions(args[2:])
	var job apiObject
	show := func() bool {
		return f.callJSON(o, http.MethodGet, "/v1/batches/"+args[1], "", nil, &job)
	}
	switch args[0] {
	case "cancel":
		if !f.callJSON(o, http.MethodPost, "/v1/batches/"+args[1]+"/cancel", "", nil, &job) {
			return
		}
	case "end":
		deadline := time.Now().Add(90 * time.Second)
		for !show() || job.Status == string(batch.JobInProgress) {
			if time.Now().After(deadline) {
				ts.Fatalf("batch %s has not ended: %+v", args[1], job)
			}
			time.Sleep(50 * time.Millisecond)
		}
	default:
		if !show() {
			return
		}
	}
	_, _ = fmt.Fprintf(ts.Stdout(), "%s total %d completed %d failed %d\n", job.Status, job.RequestCounts.Total, job.RequestCounts.Completed, job.RequestCounts.Failed)
}

// cmdVerify compares the results of a batch line by line with its input: verify BATCH-ID
// FILE [OPTION...]. It fails unless the results are in input order, without duplicates,
// and each holds the expected response to its item. It prints the numbers of answered
// items, of failed items by error code, and of items without a result.
func cmdVerify(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	o := parseOptions(args[2:])
	var answered, failed []byte
	if !f.callJSON(o, http.MethodGet, "/v1/files/out-"+args[0]+"/content", "", nil, &answered) || !f.callJSON(o, http.MethodGet, "/v1/files/err-"+args[0]+"/content", "", nil, &failed) {
		ts.Fatalf("results of the batch cannot be read")
	}
	input := decodeLines[batch.Item](ts, []byte(ts.ReadFile(args[1])))
	counts := map[string]int{}
	results, failedResults := decodeLines[batch.Result](ts, answered), decodeLines[batch.Result](ts, failed)
	for _, item := range input {
		switch {
		case len(results) > 0 && results[0].CustomID == item.CustomID:
			if !isExpectedAnswer(item, results[0]) {
				ts.Fatalf("item %s has the answer %s", item.CustomID, results[0].Response.Body)
			}
			results = results[1:]
			counts["answered"]++
		case len(failedResults) > 0 && failedResults[0].CustomID == item.CustomID:
			counts["failed "+failedResults[0].Error.Code]++
			failedResults = failedResults[1:]
		default:
			counts["without a result"]++
		}
	}
	if len(results)+len(failedResults) > 0 {
		ts.Fatalf("%d results are duplicated, out of order or belong to no item", len(results)+len(failedResults))
	}
	printCounts(ts, counts)
}

func decodeLines[T any](ts *testscript.TestScript, data []byte) []T {
	var values []T
	for _, line := range bytes.Split(data, []byte("\n")) {
		if len(line) == 0 {
			continue
		}
		var decoded T
		ts.Check(json.Unmarshal(line, &decoded))
		values = append(values, decoded)
	}
	return values
}

// isExpectedAnswer reports whether the result holds the response that the stand-ins
// generate for the item.
func isExpectedAnswer(item batch.Item, result batch.Result) bool {
	if !item.IsCompletion() {
		var echo standin.ServiceEcho
		return json.Unmarshal(result.Response.Body, &echo) == nil && "/v1/services/manifests"+echo.Path == item.URL && echo.Body == string(item.Body)
	}
	var request struct {
		Prompt    json.RawMessage
		Model     string
		MaxTokens int `json:"max_tokens"`
	}
	var response struct{ Choices []struct{ Text string } }
	if json.Unmarshal(item.Body, &request) != nil || json.Unmarshal(result.Response.Body, &response) != nil || len(response.Choices) != 1 {
		return false
	}
	want := ""
	for i := range request.MaxTokens {
		want += standin.TokenText(request.Model, string(request.Prompt), i)
	}
	return response.Choices[0].Text == want
}

// cmdRuns prints the number of requests that the stand-ins ran, the number of distinct
// ones, and how often the most frequent one ran.
func cmdRuns(ts *testscript.TestScript, _ bool, args []string) {
	counts := map[string]int{}
	for _, name := range args {
		res, err := http.Get("http://" + fleetOf(ts).direct[name] + "/ledger")
		ts.Check(err)
		var records []standin.RequestRecord
		ts.Check(json.NewDecoder(res.Body).Decode(&records))
		_ = res.Body.Close()
		for _, record := range records {
			counts[record.Method+" "+record.URL+" "+record.Body]++
		}
	}
	var values []int
	total := 0
	for _, count := range counts {
		values = append(values, count)
		total += count
	}
	sort.Ints(values)
	most := 0
	if len(values) > 0 {
		most = values[len(values)-1]
	}
	_, _ = fmt.Fprintf(ts.Stdout(), "runs %d of %d requests, at most %d of one\n", total, len(values), most)
}

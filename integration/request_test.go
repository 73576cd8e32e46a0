package integration

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// backgroundJob is a request or load command that can run in the background.
type backgroundJob struct {
	done   chan struct{}
	output string
}

// requestSpec describes the requests of one request command.
type requestSpec struct {
	vm, key, method, path, body string
	// address is the address to connect to; empty means the proxy of the VM.
	address    string
	header     http.Header
	background string
	count      int
	timeout    time.Duration
}

func parseRequest(ts *testscript.TestScript, args []string) requestSpec {
	spec := requestSpec{vm: "vm1", key: "trust-key", method: "GET", path: "/v1/models", header: http.Header{}, count: 1, timeout: 30 * time.Second}
	for _, arg := range args {
		name, value, _ := strings.Cut(arg, "=")
		var err error
		switch name {
		case "vm":
			spec.vm = value
		case "key":
			spec.key = value
		case "method":
			spec.method = value
		case "path":
			spec.path = value
		case "body":
			spec.body = value
		case "header":
			field, content, _ := strings.Cut(value, ":")
			spec.header.Set(field, content)
		case "background":
			spec.background = value
		case "count":
			spec.count, err = strconv.Atoi(value)
		case "timeout":
			spec.timeout, err = time.ParseDuration(value)
		default:
			ts.Fatalf("unknown request argument %q", arg)
		}
		ts.Check(err)
	}
	if spec.body != "" && spec.method == "GET" {
		spec.method = "POST"
	}
	return spec
}

// callerTransport is shared by all requests, so that they reuse connections as a load
// balancer does.
var callerTransport = &http.Transport{MaxIdleConnsPerHost: 100}

// notConnected is the result of a request whose connection could not be opened.
const notConnected = "no connection\n"

// send sends one request and returns the response as text that is the same in each run.
func (f *fleet) send(spec requestSpec) string {
	client := &http.Client{Transport: callerTransport, Timeout: spec.timeout}
	if spec.address == "" {
		spec.address = f.proxies[spec.vm].Address()
	}
	req, err := spec.request()
	if err != nil {
		return err.Error() + "\n"
	}
	res, err := client.Do(req)
	if err != nil {
		callerTransport.CloseIdleConnections()
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return notConnected
		}
		return "no answer\n"
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	text := fmt.Sprintf("%d\n", res.StatusCode)
	for _, name := range []string{"X-Not-Run", "Retry-After"} {
		if value := res.Header.Get(name); value != "" {
			text += name + ": " + value + "\n"
		}
	}
	text += strings.TrimRight(normalize(string(body)), "\n") + "\n"
	if err != nil {
		text += "cut short\n"
	}
	return text
}

// request returns the HTTP request of the spec. net/http would send a request with an
// Idempotency-Key again when a kept connection breaks, and report the error of the second
// connection; without GetBody it cannot.
func (spec requestSpec) request() (*http.Request, error) {
	req, err := http.NewRequest(spec.method, "http://"+spec.address+spec.path, strings.NewReader(spec.body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	for name, values := range spec.header {
		req.Header[name] = values
	}
	if spec.key != "" {
		req.Header.Set("Authorization", "Bearer "+spec.key)
	}
	return req, nil
}

var (
	uuidPattern    = regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`)
	createdPattern = regexp.MustCompile(`"created":\d+`)
)

// normalize replaces IDs and creation times, which differ between runs.
func normalize(text string) string {
	text = uuidPattern.ReplaceAllString(text, "ID")
	return createdPattern.ReplaceAllString(text, `"created":0`)
}

// cmdRequest sends requests and prints their responses. With background it returns at
// once and stores the responses for cmdAnswers.
func cmdRequest(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	spec := parseRequest(ts, args)
	j := &backgroundJob{done: make(chan struct{})}
	if spec.background != "" {
		f.jobs[spec.background] = j
		go j.run(f, spec)
		return
	}
	j.run(f, spec)
	_, _ = io.WriteString(ts.Stdout(), j.output)
}

// run sends all requests of the job concurrently. Its output lists each distinct response
// with its count.
func (j *backgroundJob) run(f *fleet, spec requestSpec) {
	defer close(j.done)
	answers := make(chan string, spec.count)
	for range spec.count {
		go func() { answers <- f.send(spec) }()
	}
	counts := map[string]int{}
	for range spec.count {
		counts[<-answers]++
	}
	var lines []string
	for answer, count := range counts {
		if spec.count > 1 {
			answer = fmt.Sprintf("%d times: %s", count, answer)
		}
		lines = append(lines, answer)
	}
	sort.Strings(lines)
	j.output = strings.Join(lines, "")
}

// cmdAnswers waits for a background job and prints its output.
func cmdAnswers(ts *testscript.TestScript, _ bool, args []string) {
	j := fleetOf(ts).jobs[args[0]]
	<-j.done
	_, _ = io.WriteString(ts.Stdout(), j.output)
}

// cmdRunning checks that a background job has not ended yet.
func cmdRunning(ts *testscript.TestScript, neg bool, args []string) {
	select {
	case <-fleetOf(ts).jobs[args[0]].done:
		if !neg {
			ts.Fatalf("job %s has ended", args[0])
		}
	default:
		if neg {
			ts.Fatalf("job %s still runs", args[0])
		}
	}
}

// cmdRaw writes text to a VM over a new connection and prints the status line and error
// code of the response: raw VM TEXT [open N]. With "open N" it holds N idle connections
// to the VM open meanwhile.
func cmdRaw(ts *testscript.TestScript, _ bool, args []string) {
	address := fleetOf(ts).proxies[args[0]].Address()
	if len(args) == 4 && args[2] == "open" {
		count, err := strconv.Atoi(args[3])
		ts.Check(err)
		for range count {
			idle, err := net.Dial("tcp", address)
			ts.Check(err)
			defer idle.Close()
		}
		time.Sleep(300 * time.Millisecond)
	}
	conn, err := net.Dial("tcp", address)
	ts.Check(err)
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	_, err = io.WriteString(conn, strings.NewReplacer(`\r`, "\r", `\n`, "\n").Replace(args[1]))
	ts.Check(err)
	answer, err := io.ReadAll(io.LimitReader(conn, 4096))
	status, _, _ := strings.Cut(string(answer), "\r\n")
	code := regexp.MustCompile(`"code":"[a-z_]+"|"not_run":[a-z]+`).FindAllString(string(answer), -1)
	_, _ = fmt.Fprintln(ts.Stdout(), status, code, err)
}

package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/operator"
	"github.com/bergamotgrade/bergamotgrade/standin"
)

// TestScripts runs each session of testdata against real processes.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			f := &fleet{processes: map[string]*process{}, proxies: map[string]*standin.FaultProxy{}, direct: map[string]string{}, jobs: map[string]*job{}, number: fleets.Add(1)}
			env.Values[fleetKey{}] = f
			env.Defer(f.close)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"fleet":    withFleet(cmdFleet),
			"request":  withFleet(cmdRequest),
			"answers":  withFleet(cmdAnswers),
			"running":  withFleet(cmdRunning),
			"raw":      withFleet(cmdRaw),
			"signal":   withFleet(cmdSignal),
			"link":     withFleet(cmdLink),
			"fault":    withFleet(cmdFault),
			"ledger":   withFleet(cmdLedger),
			"fetch":    withFleet(cmdFetch),
			"note":     withFleet(cmdNote),
			"sleep":    cmdSleep,
			"items":    cmdItems,
			"upload":   withFleet(cmdUpload),
			"submit":   withFleet(cmdSubmit),
			"batch":    withFleet(cmdBatch),
			"verify":   withFleet(cmdVerify),
			"runs":     withFleet(cmdRuns),
			"orders":   withFleet(cmdOrders),
			"loaded":   withFleet(cmdLoaded),
			"client":   withFleet(cmdClient),
			"http2":    withFleet(cmdHTTP2),
			"restart":  withFleet(cmdRestart),
			"settled":  withFleet(cmdSettled),
			"load":     withFleet(cmdLoad),
			"revision": withFleet(cmdRevision),
		},
		RequireUniqueNames: true,
		UpdateScripts:      os.Getenv("BERGAMOT_UPDATE_GOLDEN") != "",
	})
}

func withFleet(command func(*testscript.TestScript, bool, []string)) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		fleetOf(ts).ts = ts
		command(ts, neg, args)
	}
}

// job is one request that runs in the background.
type job struct {
	done   chan struct{}
	output string
}

// requestSpec is one request as a script writes it.
type requestSpec struct {
	vm, key, method, path, body string
	// address is where the VM is reached, its proxy if empty.
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

// callerClients keeps one client for each script, so that connections are
// reused as a router would.
var callerTransport = &http.Transport{MaxIdleConnsPerHost: 100}

// notConnected is the outcome of a request whose connection was refused.
const notConnected = "no connection\n"

// send performs one request and returns its answer in a stable form.
func (f *fleet) send(spec requestSpec) string {
	client := &http.Client{Transport: callerTransport, Timeout: spec.timeout}
	if spec.address == "" {
		spec.address = f.proxies[spec.vm].Address()
	}
	req, err := http.NewRequest(spec.method, "http://"+spec.address+spec.path, strings.NewReader(spec.body))
	if err != nil {
		return err.Error() + "\n"
	}
	for name, values := range spec.header {
		req.Header[name] = values
	}
	if spec.key != "" {
		req.Header.Set("Authorization", "Bearer "+spec.key)
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

var (
	uuidPattern    = regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`)
	createdPattern = regexp.MustCompile(`"created":\d+`)
)

// normalize replaces what differs between runs.
func normalize(text string) string {
	text = uuidPattern.ReplaceAllString(text, "ID")
	return createdPattern.ReplaceAllString(text, `"created":0`)
}

// cmdRequest sends requests and prints their answers, or in the background
// keeps them for wait.
func cmdRequest(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	spec := parseRequest(ts, args)
	j := &job{done: make(chan struct{})}
	if spec.background != "" {
		f.jobs[spec.background] = j
		go j.run(f, spec)
		return
	}
	j.run(f, spec)
	_, _ = io.WriteString(ts.Stdout(), j.output)
}

// run sends all requests of the job at the same time and prints each different
// answer with its count.
func (j *job) run(f *fleet, spec requestSpec) {
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

// cmdAnswers waits for a background job and prints its answers.
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

// cmdRaw writes text to a VM over a new connection and prints the status line
// and the error code of the answer. With "open N" first, as many idle
// connections stand open meanwhile.
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

// cmdSignal sends a signal to a process; EXIT waits for its end.
func cmdSignal(ts *testscript.TestScript, _ bool, args []string) {
	p := fleetOf(ts).processes[args[0]]
	signals := map[string]syscall.Signal{"KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "TERM": syscall.SIGTERM}
	if args[1] == "EXIT" {
		select {
		case <-p.done:
		case <-time.After(20 * time.Second):
			ts.Fatalf("%s did not end", args[0])
		}
		return
	}
	ts.Check(p.command.Process.Signal(signals[args[1]]))
}

// cmdRestart starts a process that has ended with the same arguments, and
// further ones, and waits until it serves operators.
func cmdRestart(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	old := f.processes[args[0]]
	<-old.done
	f.start(args[0], io.Discard, append(old.args, args[1:]...)...)
	f.waitReachable(args[0])
}

// cmdRevision waits until the VM has a revision in force.
func cmdRevision(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	f.poll(args[0]+" has revision "+args[1], func() bool {
		status, err := operator.NewClient(f.direct[args[0]+"-operator"]).Status(context.Background())
		return err == nil && strconv.FormatInt(status.Revision, 10) == args[1]
	})
	f.waitReady(args[0])
}

// loadedOn returns what an engine has loaded, as model=version words.
func (f *fleet) loadedOn(engine string) string {
	res, err := http.Get("http://" + f.direct[engine] + "/orders")
	f.ts.Check(err)
	defer res.Body.Close()
	var state bergamotgrade.EngineState
	f.ts.Check(json.NewDecoder(res.Body).Decode(&state))
	var words []string
	for model, version := range state.Loaded {
		words = append(words, model+"="+version)
	}
	sort.Strings(words)
	if len(words) == 0 {
		return "none"
	}
	return strings.Join(words, " ")
}

// cmdOrders waits until an engine has loaded what the script says.
func cmdOrders(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	f.poll(args[0]+" has loaded "+args[1], func() bool { return f.loadedOn(args[0]) == strings.Join(args[1:], " ") })
}

// cmdLoaded prints what engines have loaded.
func cmdLoaded(ts *testscript.TestScript, _ bool, args []string) {
	for _, engine := range args {
		_, _ = fmt.Fprintln(ts.Stdout(), engine, fleetOf(ts).loadedOn(engine))
	}
}

// cmdSettled waits until the VMs are ready and have settled rates.
func cmdSettled(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		fleetOf(ts).waitReady(name)
		fleetOf(ts).waitSettled(name)
	}
}

// cmdLink sets a fault on the proxy of a link.
func cmdLink(ts *testscript.TestScript, _ bool, args []string) {
	p := fleetOf(ts).proxies[args[0]]
	switch args[1] {
	case "cut":
		p.Cut()
	case "silence":
		p.Silence(true, true)
	case "silence-to-client":
		p.Silence(false, true)
	case "close":
		p.Close()
	case "swallow":
		p.SetSwallow(true)
		p.Silence(true, true)
	case "delay":
		delay, err := time.ParseDuration(args[2])
		ts.Check(err)
		p.SetDelay(delay)
	case "truncate":
		after, err := strconv.ParseInt(args[2], 10, 64)
		ts.Check(err)
		p.Truncate(after)
	case "accept":
		ts.Check(p.Reopen())
		go p.Run()
	case "heal":
		p.SetSwallow(false)
		p.SetDelay(0)
		p.Cut()
	default:
		ts.Fatalf("unknown link fault %q", args[1])
	}
}

// cmdFault sets the faults of a stand-in.
func cmdFault(ts *testscript.TestScript, _ bool, args []string) {
	req, err := http.NewRequest(http.MethodPut, "http://"+fleetOf(ts).direct[args[0]]+"/faults", strings.NewReader(args[1]))
	ts.Check(err)
	res, err := http.DefaultClient.Do(req)
	ts.Check(err)
	_ = res.Body.Close()
}

// cmdLedger prints how often stand-ins ran a request path, or with "raw" all
// that they saw.
func cmdLedger(ts *testscript.TestScript, _ bool, args []string) {
	raw := args[0] == "raw"
	counts := map[string]int{}
	for _, name := range args {
		if raw && name == "raw" {
			continue
		}
		res, err := http.Get("http://" + fleetOf(ts).direct[name] + "/ledger")
		ts.Check(err)
		var body bytes.Buffer
		_, err = body.ReadFrom(res.Body)
		ts.Check(err)
		_ = res.Body.Close()
		if raw {
			_, _ = body.WriteTo(ts.Stdout())
			continue
		}
		var entries []standin.LedgerEntry
		ts.Check(json.Unmarshal(body.Bytes(), &entries))
		for _, entry := range entries {
			counts[fmt.Sprintf("%s %s", entry.Method, entry.URL)]++
		}
	}
	printCounts(ts, counts)
}

func printCounts(ts *testscript.TestScript, counts map[string]int) {
	var lines []string
	for what, count := range counts {
		lines = append(lines, fmt.Sprintf("%d %s\n", count, what))
	}
	sort.Strings(lines)
	_, _ = io.WriteString(ts.Stdout(), strings.Join(lines, ""))
}

// cmdFetch prints a page of a VM's operators' interface.
func cmdFetch(ts *testscript.TestScript, _ bool, args []string) {
	res, err := http.Get(fleetOf(ts).operatorURL(args[0], args[1]))
	ts.Check(err)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	ts.Check(err)
	_, _ = ts.Stdout().Write(body)
}

func cmdSleep(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(d)
}

// cmdNote submits a note file, with its variables expanded, at a VM and prints the
// answer.
func cmdNote(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	res, err := http.Post(f.operatorURL(args[0], "/notes"), "application/json", strings.NewReader(os.Expand(ts.ReadFile(args[1]), ts.Getenv)))
	ts.Check(err)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	ts.Check(err)
	_, _ = fmt.Fprintf(ts.Stdout(), "%d %s", res.StatusCode, body)
}

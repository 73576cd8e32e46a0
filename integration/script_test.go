package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
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
	"github.com/bergamotgrade/bergamotgrade/tcpproxy"
)

// TestScripts runs each script in testdata against real processes.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			f := &fleet{processes: map[string]*process{}, proxies: map[string]*tcpproxy.Proxy{}, direct: map[string]string{}, jobs: map[string]*backgroundJob{}, addresses: standin.NewAddresses()}
			env.Values[fleetKey{}] = f
			env.Defer(func() { f.close(t) })
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

// cmdSignal sends a signal to a process; EXIT waits until it has exited.
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

// cmdRestart waits until a process has exited, starts it again with the same arguments
// and any given ones, and waits until it serves operators.
func cmdRestart(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	old := f.processes[args[0]]
	<-old.done
	f.start(args[0], io.Discard, append(old.args, args[1:]...)...)
	f.waitReachable(args[0])
}

// cmdRevision waits until a revision is in force on the VM and the VM is ready.
func cmdRevision(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	f.poll(args[0]+" has revision "+args[1], func() bool {
		status, err := operator.NewClient(f.direct[args[0]+"-operator"]).Status(context.Background())
		return err == nil && strconv.FormatInt(status.Revision, 10) == args[1]
	})
	f.waitReady(args[0])
}

// loadedModels returns the models that an engine has loaded, as sorted model=version
// words, or "none".
func (f *fleet) loadedModels(engine string) string {
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

// cmdOrders waits until an engine has loaded exactly the given models.
func cmdOrders(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	f.poll(args[0]+" has loaded "+args[1], func() bool { return f.loadedModels(args[0]) == strings.Join(args[1:], " ") })
}

// cmdLoaded prints the models that engines have loaded.
func cmdLoaded(ts *testscript.TestScript, _ bool, args []string) {
	for _, engine := range args {
		_, _ = fmt.Fprintln(ts.Stdout(), engine, fleetOf(ts).loadedModels(engine))
	}
}

// cmdSettled waits until the VMs are ready and their rates are settled.
func cmdSettled(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		fleetOf(ts).waitReady(name)
		fleetOf(ts).waitRatesSettled(name)
	}
}

// cmdLink injects a fault into the proxy of a link or removes it.
func cmdLink(ts *testscript.TestScript, _ bool, args []string) {
	p := fleetOf(ts).proxies[args[0]]
	switch args[1] {
	case "cut":
		p.ResetOpen()
	case "silence":
		p.BlackholeOpen(true, true)
	case "silence-to-client":
		p.BlackholeOpen(false, true)
	case "close":
		p.Close()
	case "swallow":
		p.BlackholeNew(true)
		p.BlackholeOpen(true, true)
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
		p.BlackholeNew(false)
		p.SetDelay(0)
		p.ResetOpen()
	default:
		ts.Fatalf("unknown link fault %q", args[1])
	}
}

// cmdFault replaces the injected faults of a stand-in.
func cmdFault(ts *testscript.TestScript, _ bool, args []string) {
	req, err := http.NewRequest(http.MethodPut, "http://"+fleetOf(ts).direct[args[0]]+"/faults", strings.NewReader(args[1]))
	ts.Check(err)
	res, err := http.DefaultClient.Do(req)
	ts.Check(err)
	_ = res.Body.Close()
}

// cmdLedger prints how often the stand-ins ran each method and path, or with "raw" their
// complete request records.
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
		var records []standin.RequestRecord
		ts.Check(json.Unmarshal(body.Bytes(), &records))
		for _, record := range records {
			counts[fmt.Sprintf("%s %s", record.Method, record.URL)]++
		}
	}
	printCounts(ts, counts)
}

func printCounts(ts *testscript.TestScript, counts map[string]int) {
	var lines []string
	for name, count := range counts {
		lines = append(lines, fmt.Sprintf("%d %s\n", count, name))
	}
	sort.Strings(lines)
	_, _ = io.WriteString(ts.Stdout(), strings.Join(lines, ""))
}

// cmdFetch prints the response of a VM's operator API to a GET request.
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

// cmdNote submits a note file, with its variables expanded, to a VM and prints the
// response.
func cmdNote(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	res, err := http.Post(f.operatorURL(args[0], "/notes"), "application/json", strings.NewReader(os.Expand(ts.ReadFile(args[1]), ts.Getenv)))
	ts.Check(err)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	ts.Check(err)
	_, _ = fmt.Fprintf(ts.Stdout(), "%d %s", res.StatusCode, body)
}

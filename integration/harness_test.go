package integration

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/ctl"
	"github.com/bergamotgrade/bergamotgrade/daemon"
	"github.com/bergamotgrade/bergamotgrade/operator"
	"github.com/bergamotgrade/bergamotgrade/release"
	"github.com/bergamotgrade/bergamotgrade/standin"
	"github.com/bergamotgrade/bergamotgrade/tcpproxy"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"bergamotd": func() {
			if err := daemon.Main(context.Background()); err != nil {
				fmt.Fprintln(os.Stderr, "bergamotd:", err)
				os.Exit(1)
			}
		},
		"bergamotctl": func() {
			if err := ctl.NewCommand().ExecuteContext(context.Background()); err != nil {
				fmt.Fprintln(os.Stderr, "bergamotctl:", err)
				os.Exit(ctl.ExitCode(err))
			}
		},
		"standin": func() {
			if err := standin.NewCommand().ExecuteContext(context.Background()); err != nil {
				os.Exit(1)
			}
		},
	})
}

// reportedLogBytes bounds the part of each process's log that a failing test prints.
const reportedLogBytes = 4096

// testSecret is the secret that the VMs of every fleet under test share.
const testSecret = "integration-test-secret"

// fleet is a system of real processes with a fault-injecting proxy on each link.
type fleet struct {
	ts        *testscript.TestScript
	processes map[string]*process
	proxies   map[string]*tcpproxy.Proxy
	// direct holds the addresses of the processes themselves, which bypass the proxies.
	direct map[string]string
	jobs   map[string]*backgroundJob
	// inner holds the proxied inner addresses of the VMs started so far.
	inner     []string
	addresses *standin.Addresses
}

type process struct {
	command *exec.Cmd
	args    []string
	log     *os.File
	logPath string
	done    chan struct{}
}

func fleetOf(ts *testscript.TestScript) *fleet {
	return ts.Value(fleetKey{}).(*fleet)
}

type fleetKey struct{}

// start starts a process and registers it under the name.
func (f *fleet) start(name string, stdout io.Writer, args ...string) {
	path, err := exec.LookPath(args[0])
	f.ts.Check(err)
	log, err := os.OpenFile(f.ts.MkAbs(name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	f.ts.Check(err)
	command := exec.Command(path, args[1:]...)
	command.Env = append(os.Environ(), "BERGAMOT_INNER_SECRET="+testSecret)
	command.Stderr = log
	command.Stdout = stdout
	f.ts.Check(command.Start())
	p := &process{command: command, args: args, log: log, logPath: log.Name(), done: make(chan struct{})}
	f.processes[name] = p
	go p.run()
}

// run waits for the process to exit.
func (p *process) run() {
	_ = p.command.Wait()
	close(p.done)
	_ = p.log.Close()
}

// startStandin starts a stand-in and returns the address that it prints.
func (f *fleet) startStandin(name string, args ...string) string {
	reader, writer, err := os.Pipe()
	f.ts.Check(err)
	f.start(name, writer, append([]string{"standin"}, args...)...)
	_ = writer.Close()
	line, err := bufio.NewReader(reader).ReadString('\n')
	f.ts.Check(err)
	f.direct[name] = strings.TrimSpace(line)
	return f.direct[name]
}

// proxy starts a fault-injecting proxy for the target and returns the proxy's address.
func (f *fleet) proxy(name, target string) string {
	p, err := tcpproxy.New(f.addresses.Next(), target)
	f.ts.Check(err)
	f.proxies[name] = p
	go p.Run()
	return p.Address()
}

// close kills all processes and fails the test if one has reported a data race.
func (f *fleet) close(t *testing.T) {
	for _, p := range f.proxies {
		p.Close()
	}
	for name, p := range f.processes {
		_ = p.command.Process.Kill()
		<-p.done
		if log, err := os.ReadFile(p.logPath); err == nil && bytes.Contains(log, []byte("DATA RACE")) {
			t.Errorf("%s reported a data race:\n%s", name, log)
		}
	}
}

// shape is the size of a fleet, read from key=value arguments.
type shape struct {
	vms, engines, services, dataCentres int
	rate, burst                         float64
	engineFlags, vmFlags                []string
	// disks is the number of VMs with a data folder; these are the last ones.
	disks int
}

func parseShape(ts *testscript.TestScript, args []string) shape {
	s := shape{vms: 3, engines: 2, services: 1, dataCentres: 3, rate: 1000, burst: 1000}
	for _, arg := range args {
		name, value, _ := strings.Cut(arg, "=")
		var err error
		switch name {
		case "vms":
			_, err = fmt.Sscan(value, &s.vms)
		case "engines":
			_, err = fmt.Sscan(value, &s.engines)
		case "services":
			_, err = fmt.Sscan(value, &s.services)
		case "disks":
			_, err = fmt.Sscan(value, &s.disks)
		case "rate":
			_, err = fmt.Sscan(value, &s.rate)
		case "burst":
			_, err = fmt.Sscan(value, &s.burst)
		case "engine-flags":
			s.engineFlags = strings.Fields(value)
		case "vm-flags":
			s.vmFlags = strings.Fields(value)
		default:
			ts.Fatalf("unknown fleet argument %q", arg)
		}
		ts.Check(err)
	}
	return s
}

// cmdFleet starts a fleet and waits until every VM is ready and its rates are settled.
func cmdFleet(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	s := parseShape(ts, args)
	f.startStandin("platform", "platform")
	note := baseNote(f, s)
	address := f.proxy("platform", f.direct["platform"])
	for i := 1; i <= s.vms; i++ {
		f.startVM(i, s, address)
	}
	f.waitReachable("vm1")
	f.submit(note)
	for i := 1; i <= s.vms; i++ {
		f.waitReady(fmt.Sprintf("vm%d", i))
	}
	for i := 1; i <= s.vms; i++ {
		f.waitRatesSettled(fmt.Sprintf("vm%d", i))
	}
}

// baseNote starts the backend servers and returns the note that configures them.
func baseNote(f *fleet, s shape) release.Note {
	note := release.Note{NoteID: "base", Set: release.Records{
		Teams: []bergamotgrade.Team{{TeamID: "trust", Rate: s.rate, Burst: s.burst}, {TeamID: "authority", Rate: s.rate, Burst: s.burst}},
		Keys:  []bergamotgrade.Key{{KeyHash: bergamotgrade.HashKey("trust-key"), TeamID: "trust"}, {KeyHash: bergamotgrade.HashKey("authority-key"), TeamID: "authority"}},
	}}
	var engines, services []string
	for i := 1; i <= s.engines; i++ {
		id := fmt.Sprintf("engine%d", i)
		address := f.startStandin(id, append([]string{"engine", "--token-time=5ms", "--slots=8", "--report-lag=50ms"}, s.engineFlags...)...)
		engines = append(engines, id)
		address = f.proxy(id, address)
		f.ts.Setenv(strings.ToUpper(id), address)
		note.Set.BackendServers = append(note.Set.BackendServers, bergamotgrade.BackendServer{BackendServerID: id, Address: address, Slots: 8})
	}
	for i := 1; i <= s.services; i++ {
		id := fmt.Sprintf("service%d", i)
		address := f.startStandin(id, "service")
		services = append(services, id)
		note.Set.BackendServers = append(note.Set.BackendServers, bergamotgrade.BackendServer{BackendServerID: id, Address: f.proxy(id, address), Slots: 16})
	}
	note.Set.Models = []bergamotgrade.Model{{ModelID: "note-writer", BackendServerIDs: engines}}
	note.Set.Services = []bergamotgrade.Service{{ServiceID: "manifests", BackendServerIDs: services, Routes: []bergamotgrade.Route{
		{Method: http.MethodGet, PathPrefix: "/status", Idempotent: true, Anonymous: true},
		{Method: http.MethodGet, PathPrefix: "/", Idempotent: true},
		{Method: http.MethodPut, PathPrefix: "/", Idempotent: true},
		{Method: http.MethodPost, PathPrefix: "/"},
	}}}
	return note
}

func (f *fleet) startVM(number int, s shape, platformAddress string) {
	name := fmt.Sprintf("vm%d", number)
	caller, operator, inner := f.addresses.Next(), f.addresses.Next(), f.addresses.Next()
	f.direct[name] = caller
	f.direct[name+"-inner"] = inner
	f.ts.Setenv(strings.ToUpper(name), operator)
	f.direct[name+"-operator"] = operator
	f.proxy(name, caller)
	innerProxy := f.proxy(name+"-inner", inner)
	f.inner = append(f.inner, innerProxy)
	args := []string{
		"bergamotd", "serve", "--vm-id", name, "--data-centre", fmt.Sprintf("dc%d", (number-1)%s.dataCentres+1),
		"--caller-address", caller, "--operator-address", operator, "--inner-address", inner,
		"--advertise-inner-address", innerProxy, "--peer-addresses", strings.Join(f.inner, ","),
		"--platform-address", f.proxy(name+"-platform", platformAddress),
		"--first-token-timeout", "2s", "--token-gap-timeout", "700ms", "--drain-notice", "300ms", "--drain-quiet", "200ms", "--lease-term", "5s",
	}
	if number > s.vms-s.disks {
		args = append(args, "--data-folder", f.ts.MkAbs(name+"-data"))
	}
	f.start(name, io.Discard, append(args, s.vmFlags...)...)
}

func (f *fleet) operatorURL(vm, path string) string {
	return "http://" + f.direct[vm+"-operator"] + path
}

// poll calls try until it returns true. After 20 seconds it logs the state of all VMs and
// fails the test.
func (f *fleet) poll(description string, try func() bool) {
	deadline := time.Now().Add(20 * time.Second)
	for !try() {
		if time.Now().After(deadline) {
			f.logState()
			f.ts.Fatalf("not true within 20 seconds: %s", description)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// logState logs the status of each VM and the end of its log.
func (f *fleet) logState() {
	for name, p := range f.processes {
		address, ok := f.direct[name+"-operator"]
		if !ok {
			continue
		}
		status := "no answer"
		if res, err := http.Get("http://" + address + "/status"); err == nil {
			body, _ := io.ReadAll(res.Body)
			_ = res.Body.Close()
			status = string(body)
		}
		log, err := os.ReadFile(p.logPath)
		f.ts.Logf("%s: status %s, log (%v):\n%s", name, status, err, log[max(0, len(log)-reportedLogBytes):])
	}
}

func (f *fleet) waitReachable(vm string) {
	f.poll(vm+" serves operators", func() bool {
		res, err := http.Get(f.operatorURL(vm, "/healthz"))
		if err != nil {
			return false
		}
		_ = res.Body.Close()
		return true
	})
}

func (f *fleet) waitReady(vm string) {
	f.poll(vm+" is ready", func() bool {
		res, err := http.Get(f.operatorURL(vm, "/readyz"))
		if err != nil {
			return false
		}
		_ = res.Body.Close()
		return res.StatusCode == http.StatusOK
	})
}

// waitRatesSettled waits until the VM reports that all rate shares are assigned and
// pledged.
func (f *fleet) waitRatesSettled(vm string) {
	f.poll(vm+" has settled rates", func() bool {
		res, err := http.Get(f.operatorURL(vm, "/status"))
		if err != nil {
			return false
		}
		defer res.Body.Close()
		var status operator.Status
		return json.NewDecoder(res.Body).Decode(&status) == nil && status.RatesSettled
	})
}

// submit submits the note at vm1 and retries while vm1 reaches no majority of the VMs.
func (f *fleet) submit(note release.Note) {
	f.poll("note "+note.NoteID+" is accepted", func() bool {
		_, err := operator.NewClient(f.direct["vm1-operator"]).Submit(context.Background(), note)
		if err != nil && !bergamotgrade.IsKind(err, bergamotgrade.KindNotReady) {
			f.ts.Fatalf("note refused: %v", err)
		}
		return err == nil
	})
}

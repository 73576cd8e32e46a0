package hostile

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/operator"
	"github.com/bergamotgrade/bergamotgrade/platform"
	"github.com/bergamotgrade/bergamotgrade/platform/standin"
	"github.com/bergamotgrade/bergamotgrade/release"
	ownstandin "github.com/bergamotgrade/bergamotgrade/standin"
)

const (
	// memoryMB and fileDescriptors are the limits of each process under test; smallestMB is the
	// memory of the smallest VM.
	memoryMB        = 160
	smallestMB      = 144
	fileDescriptors = 512
	// patience bounds each wait for a process; the checks are on figures, not on times.
	patience = 60 * time.Second

	key         = "key"
	innerSecret = "hostile-test-secret"
	metricsPort = 18690
	innerPort   = 17360
)

// binaries is the folder of the programs, which are built once for a run of the tests.
var binaries string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	folder, err := os.MkdirTemp("", "hostile")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(folder)
	build := exec.Command("go", "build", "-o", folder+"/", "../cmd/bergamot-vm", "../cmd/bergamotd")
	if output, err := build.CombinedOutput(); err != nil {
		panic(string(output))
	}
	binaries = folder
	return m.Run()
}

// process is a process under test and the highest figures seen of it.
type process struct {
	t       *testing.T
	command *exec.Cmd
	log     string
	exited  chan struct{}
	// addresses holds the addresses of the listeners by name.
	addresses map[string]string
	// peakDescriptors is the highest number of open descriptors seen.
	peakDescriptors atomic.Int64
	memoryMB        int
	sampling        sync.WaitGroup
	// ask sends one ordinary request; it returns an error unless it was served.
	ask func(id string) error
}

// start starts the program; its output goes to a log file.
func start(t *testing.T, environment []string, program string, args ...string) *process {
	p := &process{t: t, log: filepath.Join(t.TempDir(), "log"), exited: make(chan struct{}), memoryMB: memoryMB, addresses: map[string]string{}}
	log, err := os.Create(p.log)
	qt.Assert(t, err, qt.IsNil)
	p.command = exec.Command(filepath.Join(binaries, program), args...)
	p.command.Env = append(os.Environ(), environment...)
	p.command.Stdout, p.command.Stderr = log, log
	qt.Assert(t, p.command.Start(), qt.IsNil)
	go func() {
		_ = p.command.Wait()
		_ = log.Close()
		close(p.exited)
	}()
	p.sampling.Go(p.runSampling)
	t.Cleanup(func() {
		_ = p.command.Process.Kill()
		<-p.exited
		p.sampling.Wait()
	})
	return p
}

// runSampling reads the number of open descriptors until the process exits.
func (p *process) runSampling() {
	for {
		select {
		case <-p.exited:
			return
		case <-time.After(10 * time.Millisecond):
			p.peakDescriptors.Store(max(p.peakDescriptors.Load(), int64(p.descriptors())))
		}
	}
}

func (p *process) descriptors() int {
	open, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	return len(open)
}

// peakMB returns the highest resident memory of the process so far.
func (p *process) peakMB() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	qt.Assert(p.t, err, qt.IsNil)
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	fields := strings.Fields(rest)
	qt.Assert(p.t, len(fields) > 0, qt.IsTrue, qt.Commentf("the process has ended"))
	kilobytes, err := strconv.Atoi(fields[0])
	qt.Assert(p.t, err, qt.IsNil)
	return kilobytes >> 10
}

// check fails the test if the process has ended or has exceeded a limit, or if it serves no
// ordinary request.
func (p *process) check() {
	p.settle()
	served := p.retry("an ordinary request is served", p.ask)
	p.t.Logf("peak: %d MB resident of %d, %d descriptors of %d; ordinary request after %s", p.peakMB(), p.memoryMB, p.peakDescriptors.Load(), fileDescriptors, served.Round(time.Millisecond))
	qt.Check(p.t, p.peakMB() <= p.memoryMB, qt.IsTrue, qt.Commentf("resident memory"))
	qt.Check(p.t, p.peakDescriptors.Load() <= fileDescriptors, qt.IsTrue, qt.Commentf("descriptors"))
}

// settle waits until the figures have not grown for a second: the process may still be reading
// what the crowd has sent.
func (p *process) settle() {
	type figures struct {
		megabytes   int
		descriptors int64
	}
	var last figures
	for began, changed := time.Now(), time.Now(); time.Since(changed) < time.Second && time.Since(began) < patience; time.Sleep(50 * time.Millisecond) {
		if now := (figures{p.peakMB(), p.peakDescriptors.Load()}); now != last {
			last, changed = now, time.Now()
		}
	}
}

// retry calls try with a new id until it returns nil, and returns the time that this took.
func (p *process) retry(condition string, try func(id string) error) time.Duration {
	p.t.Helper()
	began := time.Now()
	for i := 0; ; i++ {
		err := try(fmt.Sprintf("ask%d-%d", began.UnixNano(), i))
		if err == nil {
			return time.Since(began)
		}
		select {
		case <-p.exited:
			log, _ := os.ReadFile(p.log)
			p.t.Fatalf("the process has ended; its log:\n%s", log[max(0, len(log)-4096):])
		default:
		}
		if time.Since(began) > patience {
			p.t.Fatalf("not true within %s: %s: %v", patience, condition, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// newClient returns a client with connections of its own.
func newClient() *http.Client {
	return &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
}

// dropBodies passes requests on without their bodies, which the stand-ins would keep.
func dropBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		buffer := make([]byte, 64<<10)
		for {
			if _, err := r.Body.Read(buffer); err != nil {
				break
			}
		}
		r.Body = http.NoBody
		next.ServeHTTP(w, r)
	})
}

func serve(t *testing.T, handler http.Handler) string {
	server := httptest.NewServer(handler)
	t.Cleanup(server.CloseClientConnections)
	return strings.TrimPrefix(server.URL, "http://")
}

// startVM starts bergamot-vm with a stand-in of the store and of four servers.
func startVM(t *testing.T) *process { return startVMOf(t, memoryMB) }

// startVMOf is startVM with the memory limit in MiB.
func startVMOf(t *testing.T, memoryMB int) *process {
	store := standin.NewStore(bergamotgrade.SystemClock{})
	configuration := standin.NewConfiguration(1, "svc", key)
	configuration.Limits = bergamotgrade.CallerLimits{HeaderBytes: 16384, BodyBytes: bodyBytes, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	write, err := configuration.Write()
	qt.Assert(t, err, qt.IsNil)
	writes := []bergamotgrade.KeyWrite{write}
	for i := range 4 {
		engine := standin.NewEngine(standin.EngineConfig{ServerID: fmt.Sprint("e", i), Service: "svc", DataCentre: "here", Slots: 8, EventTime: 10 * time.Millisecond})
		writes = append(writes, engine.RegistryWrite(serve(t, dropBodies(engine)), "ready"))
	}
	_, err = store.Commit(context.Background(), bergamotgrade.KeyCommit{Writes: writes})
	qt.Assert(t, err, qt.IsNil)
	settings := standin.Settings{
		VMID: "vm1", DataCentre: "here", IP: "127.0.79.1", ServesCallers: true, StoreAddress: serve(t, standin.NewStoreServer(store)),
		MemoryMB: memoryMB, FileDescriptors: fileDescriptors,
	}
	path := filepath.Join(t.TempDir(), "settings.toml")
	qt.Assert(t, os.WriteFile(path, []byte(settings.Text()), 0o600), qt.IsNil)
	p := start(t, []string{platform.SettingsVariable + "=" + path}, "bergamot-vm", "entry", "--metrics-port", strconv.Itoa(metricsPort))
	p.memoryMB = memoryMB
	p.addresses["callers"] = settings.CallerAddress()
	p.addresses["ready"] = strings.TrimSuffix(strings.TrimPrefix(settings.ReadyURL(), "http://"), standin.ReadyPath)
	p.addresses["metrics"] = fmt.Sprintf("%s:%d", settings.IP, metricsPort)
	p.addresses["inner"] = fmt.Sprintf("%s:%d", settings.IP, innerPort)
	p.ask = func(id string) error {
		reply, err := standin.Caller{Address: settings.CallerAddress(), Key: key, Client: newClient()}.Stream(standin.ResumePath+"ask", id)
		if err == nil && (reply.Status != http.StatusOK || reply.Body != standin.StreamText(id)) {
			err = fmt.Errorf("status %d: %s", reply.Status, reply.Body)
		}
		return err
	}
	p.retry("the VM is ready", p.ask)
	return p
}

// startDaemon starts bergamotd with a stand-in of the store, of an engine and of a service.
func startDaemon(t *testing.T) *process {
	addresses := ownstandin.NewAddresses()
	callers, operators, inner := addresses.Next(), addresses.Next(), addresses.Next()
	p := start(t, []string{"BERGAMOT_INNER_SECRET=" + innerSecret, fmt.Sprint("BERGAMOT_MEMORY_MB=", memoryMB), fmt.Sprint("BERGAMOT_FILE_DESCRIPTORS=", fileDescriptors)},
		"bergamotd", "serve", "--vm-id", "vm1", "--data-centre", "here", "--caller-address", callers, "--operator-address", operators, "--inner-address", inner,
		"--platform-address", serve(t, standin.NewStoreServer(standin.NewStore(bergamotgrade.SystemClock{}))), "--lease-term", "5s")
	p.addresses["callers"], p.addresses["operators"], p.addresses["inner"] = callers, operators, inner
	note := release.Note{NoteID: "base", Set: release.Records{
		Teams:          []bergamotgrade.Team{{TeamID: "team", Rate: 10000, Burst: 10000}},
		Keys:           []bergamotgrade.Key{{KeyHash: bergamotgrade.HashKey(key), TeamID: "team"}},
		BackendServers: []bergamotgrade.BackendServer{{BackendServerID: "echo", Address: serve(t, dropBodies(ownstandin.NewService())), Slots: 16}},
		Services:       []bergamotgrade.Service{{ServiceID: "echo", BackendServerIDs: []string{"echo"}, Routes: []bergamotgrade.Route{{Method: http.MethodPost, PathPrefix: "/"}}}},
	}}
	p.retry("the note is accepted", func(string) error {
		_, err := operator.NewClient(operators).Submit(context.Background(), note)
		return err
	})
	p.ask = func(string) error {
		request, err := http.NewRequest(http.MethodPost, "http://"+callers+"/v1/services/echo/ask", strings.NewReader("hello"))
		if err != nil {
			return err
		}
		request.Header.Set("Authorization", "Bearer "+key)
		response, err := newClient().Do(request)
		if err != nil {
			return err
		}
		defer response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return fmt.Errorf("status %d", response.StatusCode)
		}
		return nil
	}
	p.retry("the daemon serves", p.ask)
	return p
}

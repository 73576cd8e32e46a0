// Package measure starts fleets of real processes on this machine, runs load against
// them, and reports latency, throughput, rate limiting and resource use.
package measure

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/operator"
	"github.com/bergamotgrade/bergamotgrade/release"
	"github.com/bergamotgrade/bergamotgrade/standin"
)

// Shape is the size of a fleet.
type Shape struct {
	Name        string
	DataCentres int
	VMs         int
	Engines     int
	Teams       int
	// Rate and Burst are each team's limits.
	Rate, Burst float64
	// VMFlags are additional flags of every VM.
	VMFlags []string
	// ExtraServers is the number of backend servers in the configuration in addition
	// to the engines; they share the engines' addresses.
	ExtraServers int
}

// Fleet is a running fleet of VMs, stand-ins for the platform and backend servers.
type Fleet struct {
	shape     Shape
	binaries  string
	processes []*exec.Cmd
	callers   []string
	operators []string
	engines   []string
	services  []string
	pids      []int
	revision  int64
	addresses *standin.Addresses
}

// Start runs the processes of a fleet and waits until all VMs are ready.
func Start(ctx context.Context, binaries string, shape Shape) (*Fleet, error) {
	f := &Fleet{shape: shape, binaries: binaries, addresses: standin.NewAddresses()}
	if err := f.start(ctx); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	platform, err := f.startStandin("platform")
	if err != nil {
		return err
	}
	for range f.shape.Engines {
		address, err := f.startStandin("engine", "--slots", fmt.Sprint(engineSlots), "--token-time", tokenTime.String(),
			"--prefill-block-time", prefillBlockTime.String(), "--cache-blocks", fmt.Sprint(cacheBlocks), "--report-lag", "200ms")
		if err != nil {
			return err
		}
		f.engines = append(f.engines, address)
	}
	service, err := f.startStandin("service")
	if err != nil {
		return err
	}
	f.services = []string{service}
	for i := range f.shape.VMs {
		if err := f.startVM(i, platform); err != nil {
			return err
		}
	}
	if err := f.waitFor(ctx, 1, func(operator.Status) bool { return true }); err != nil {
		return err
	}
	notes := f.notes()
	for _, note := range notes {
		if err := f.submit(ctx, note); err != nil {
			return err
		}
	}
	f.revision = int64(len(notes))
	return f.waitFor(ctx, len(f.operators), func(s operator.Status) bool {
		return s.Ready && s.RatesSettled && s.Revision >= f.revision && len(s.Members) == f.shape.VMs
	})
}

// submit submits the note and retries while the VM reaches no majority of the VMs yet.
func (f *Fleet) submit(ctx context.Context, note release.Note) error {
	deadline := time.Now().Add(startTimeout)
	for {
		_, err := operator.NewClient(f.operators[0]).Submit(ctx, note)
		if !bergamotgrade.IsKind(err, bergamotgrade.KindNotReady) || time.Now().After(deadline) {
			return err
		}
		time.Sleep(pollInterval)
	}
}

func (f *Fleet) startProcess(command *exec.Cmd) error {
	if err := command.Start(); err != nil {
		return err
	}
	f.processes = append(f.processes, command)
	return nil
}

// startStandin starts a stand-in and returns the address that it prints.
func (f *Fleet) startStandin(args ...string) (string, error) {
	reader, writer, err := os.Pipe()
	if err != nil {
		return "", err
	}
	defer reader.Close()
	command := exec.Command(filepath.Join(f.binaries, "standin"), args...)
	command.Stdout = writer
	err = f.startProcess(command)
	_ = writer.Close()
	if err != nil {
		return "", err
	}
	line, err := bufio.NewReader(reader).ReadString('\n')
	return strings.TrimSpace(line), err
}

func (f *Fleet) startVM(index int, platform string) error {
	var addresses [3]string
	for i := range addresses {
		addresses[i] = f.addresses.Next()
	}
	args := []string{
		"serve", "--vm-id", fmt.Sprintf("vm%03d", index), "--data-centre", fmt.Sprintf("dc%d", index%f.shape.DataCentres),
		"--caller-address", addresses[0], "--operator-address", addresses[1], "--inner-address", addresses[2],
		"--platform-address", platform, "--inner-secret", innerSecret,
		"--slot-count", fmt.Sprint(f.shape.VMs), "--drain-notice", "0s", "--drain-quiet", "50ms", "--platform-rate", "40",
	}
	command := exec.Command(filepath.Join(f.binaries, "bergamotd"), append(args, f.shape.VMFlags...)...)
	command.Stderr = io.Discard
	if err := f.startProcess(command); err != nil {
		return err
	}
	f.pids = append(f.pids, command.Process.Pid)
	f.callers = append(f.callers, addresses[0])
	f.operators = append(f.operators, addresses[1])
	return nil
}

// notes returns the release notes with the configuration of the fleet: the backend
// servers first, then the teams in notes of at most teamsPerNote.
func (f *Fleet) notes() []release.Note {
	notes := []release.Note{f.serverNote()}
	for first := 0; first < f.shape.Teams; first += teamsPerNote {
		notes = append(notes, f.teamNote(first, min(first+teamsPerNote, f.shape.Teams)))
	}
	for i := range notes {
		notes[i].BaseRevision = int64(i)
	}
	return notes
}

func (f *Fleet) teamNote(first, end int) release.Note {
	note := release.Note{NoteID: fmt.Sprintf("teams-%d", first)}
	for i := first; i < end; i++ {
		id := fmt.Sprintf("team%05d", i)
		note.Set.Teams = append(note.Set.Teams, bergamotgrade.Team{TeamID: id, Rate: f.shape.Rate, Burst: f.shape.Burst})
		note.Set.Keys = append(note.Set.Keys, bergamotgrade.Key{KeyHash: bergamotgrade.HashKey(teamKey(i)), TeamID: id})
	}
	return note
}

func (f *Fleet) serverNote() release.Note {
	note := release.Note{NoteID: "servers"}
	var engines []string
	for i := range len(f.engines) + f.shape.ExtraServers {
		id := fmt.Sprintf("engine%04d", i)
		engines = append(engines, id)
		note.Set.BackendServers = append(note.Set.BackendServers, bergamotgrade.BackendServer{BackendServerID: id, Address: f.engines[i%len(f.engines)], Slots: engineSlots})
	}
	note.Set.BackendServers = append(note.Set.BackendServers, bergamotgrade.BackendServer{BackendServerID: "service", Address: f.services[0], Slots: 1000})
	note.Set.Models = []bergamotgrade.Model{{ModelID: "writer", BackendServerIDs: engines}}
	note.Set.Services = []bergamotgrade.Service{{ServiceID: "echo", BackendServerIDs: []string{"service"}, Routes: []bergamotgrade.Route{{Method: "GET", PathPrefix: "/", Idempotent: true}}}}
	return note
}

func teamKey(team int) string { return fmt.Sprintf("%s%05d", keyPrefix, team) }

// waitFor waits until each of the first n VMs satisfies the condition, and returns an
// error after startTimeout.
func (f *Fleet) waitFor(ctx context.Context, n int, condition func(operator.Status) bool) error {
	deadline := time.Now().Add(startTimeout)
	for _, address := range f.operators[:n] {
		for {
			status, err := operator.NewClient(address).Status(ctx)
			if err == nil && condition(status) {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("VM at %s is not ready within %v: revision %d, rates settled %t, slots %v, %d members, reason %q", address, startTimeout, status.Revision, status.RatesSettled, status.Slots, len(status.Members), status.Reason)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// Stop kills all processes.
func (f *Fleet) Stop() {
	for _, command := range f.processes {
		_ = command.Process.Kill()
	}
	for _, command := range f.processes {
		_ = command.Wait()
	}
}

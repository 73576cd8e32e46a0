package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
	"golang.org/x/sync/errgroup"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/platform"
	platformstandin "github.com/bergamotgrade/bergamotgrade/platform/standin"
	"github.com/bergamotgrade/bergamotgrade/release"
	"github.com/bergamotgrade/bergamotgrade/standin"
)

const (
	demoCallerAddress   = "127.0.0.1:8080"
	demoOperatorAddress = "127.0.0.1:8081"
	demoKey             = "demo-key"
	demoEngines         = 2
	// demoCallsPerSecond is the platform call budget, far above the demo's demand.
	demoCallsPerSecond = 1000
)

// demo runs one VM, its platform, model engines and plain service in one process.
type demo struct {
	group   *errgroup.Group
	ctx     context.Context
	servers []*http.Server
}

func newDemoCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "demo",
		Short: "Run one VM for callers on 127.0.0.1:8080 with stand-in engines, service and platform",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(command.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			return runDemo(ctx, command)
		},
	}
}

func runDemo(ctx context.Context, command *cobra.Command) error {
	d := &demo{}
	d.group, d.ctx = errgroup.WithContext(ctx)
	store := platformstandin.NewStore(bergamotgrade.SystemClock{})
	platformAddress, err := d.serve(platformstandin.NewStoreServer(store))
	if err != nil {
		return err
	}
	note := release.Note{NoteID: "demo", Set: release.Records{
		Teams: []bergamotgrade.Team{{TeamID: "demo", Rate: 100, Burst: 200}},
		Keys:  []bergamotgrade.Key{{KeyHash: bergamotgrade.HashKey(demoKey), TeamID: "demo"}},
	}}
	if err := d.addBackends(&note.Set); err != nil {
		return err
	}
	if _, err := release.NewStore(platform.NewRateLimitedClient(store, demoCallsPerSecond)).Submit(ctx, note, release.NewState(), nil); err != nil {
		return err
	}
	vm, err := New(demoSettings(platformAddress))
	if err != nil {
		return err
	}
	d.group.Go(func() error { return vm.Run(d.ctx) })
	fmt.Fprintf(command.OutOrStdout(), "Serving callers on http://%s and operators on http://%s. Try:\n\n"+
		"curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' -d '{\"model\":\"note-writer\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"Vial 7 reads 0.4 mm/m: shim or reject?\"}]}'\n\n",
		demoCallerAddress, demoOperatorAddress, demoCallerAddress, demoKey)
	<-d.ctx.Done()
	for _, server := range d.servers {
		_ = server.Close()
	}
	return d.group.Wait()
}

// addBackends starts the model engines and the plain service and adds them to set.
func (d *demo) addBackends(set *release.Records) error {
	var engineIDs []string
	for i := range demoEngines {
		engine := standin.NewEngine(standin.EngineConfig{Slots: 8, TokenTime: 30 * time.Millisecond, PrefillBlockTime: time.Millisecond, CacheBlocks: 4096, ReportLag: 200 * time.Millisecond})
		d.group.Go(func() error { engine.Run(d.ctx); return nil })
		address, err := d.serve(engine)
		if err != nil {
			return err
		}
		id := fmt.Sprintf("engine%d", i+1)
		engineIDs = append(engineIDs, id)
		set.BackendServers = append(set.BackendServers, bergamotgrade.BackendServer{BackendServerID: id, Address: address, Slots: 8})
	}
	address, err := d.serve(standin.NewService())
	if err != nil {
		return err
	}
	set.BackendServers = append(set.BackendServers, bergamotgrade.BackendServer{BackendServerID: "echo1", Address: address, Slots: 32})
	set.Models = []bergamotgrade.Model{{ModelID: "note-writer", BackendServerIDs: engineIDs}}
	set.Services = []bergamotgrade.Service{{ServiceID: "echo", BackendServerIDs: []string{"echo1"}, Routes: []bergamotgrade.Route{
		{Method: http.MethodGet, PathPrefix: "/", Idempotent: true},
		{Method: http.MethodPost, PathPrefix: "/"},
	}}}
	return nil
}

// serve starts a stand-in on a free loopback port.
func (d *demo) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	d.servers = append(d.servers, server)
	d.group.Go(func() error { return ignoreServerClosed(server.Serve(listener)) })
	return listener.Addr().String(), nil
}

// demoSettings returns the default settings with the overrides of the demo.
func demoSettings(platformAddress string) Settings {
	var settings Settings
	settings.Register(pflag.NewFlagSet("demo", pflag.ContinueOnError))
	settings.VMID = "demo"
	settings.DataCentre = "demo"
	settings.CallerAddress = demoCallerAddress
	settings.OperatorAddress = demoOperatorAddress
	settings.InnerAddress = "127.0.0.1:0"
	settings.PlatformAddress = platformAddress
	settings.InnerSecret = "demo-secret-demo-secret"
	settings.DrainNotice = 0
	settings.DrainQuiet = 100 * time.Millisecond
	settings.SlotCount = 1
	return settings
}

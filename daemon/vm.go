// Package daemon puts the parts of one VM together.
package daemon

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/backend"
	"github.com/bergamotgrade/bergamotgrade/caller"
	"github.com/bergamotgrade/bergamotgrade/dispatch"
	"github.com/bergamotgrade/bergamotgrade/idempotency"
	"github.com/bergamotgrade/bergamotgrade/limit"
	"github.com/bergamotgrade/bergamotgrade/operator"
	"github.com/bergamotgrade/bergamotgrade/platform"
	"github.com/bergamotgrade/bergamotgrade/release"
	"github.com/bergamotgrade/bergamotgrade/route"
	"github.com/bergamotgrade/bergamotgrade/timeline"
)

// VM is one entry VM of the system.
type VM struct {
	settings Settings
	ring     *timeline.Ring
	store    *release.Store
	follower *release.Follower
	fleet    *dispatch.Fleet
	backend  *backend.Client
	caller   *caller.Server
	wake     chan struct{}
}

// New returns a VM with checked settings; Run starts it.
func New(settings Settings) (*VM, error) {
	clock := bergamotgrade.SystemClock{}
	ring := timeline.New(clock, settings.VMID)
	service := platform.New(settings.PlatformAddress, settings.PlatformRate, metricMap("platform_calls"))
	store := release.NewStore(service)
	client := backend.New(backend.Timeouts{FirstToken: settings.FirstToken, TokenGap: settings.TokenGap, IdempotentCall: settings.FirstToken})
	vm := &VM{
		settings: settings,
		ring:     ring,
		store:    store,
		follower: release.NewFollower(clock, store, ring),
		fleet:    dispatch.New(clock, client, ring, route.Policy(settings.RoutePolicy)),
		backend:  client,
		wake:     make(chan struct{}, 1),
	}
	server, err := caller.New(callerConfig(settings), caller.Dependencies{
		Clock:   clock,
		Source:  vm,
		Limiter: limit.NewStatic(clock, settings.SlotCount),
		Fleet:   vm.fleet,
		Records: idempotency.New(service, clock),
		Ring:    ring,
		Metrics: metricMap("caller"),
	})
	if err != nil {
		return nil, err
	}
	vm.caller = server
	vm.follower.OnChange(vm.applyState)
	return vm, nil
}

func callerConfig(settings Settings) caller.Config {
	return caller.Config{
		MaxBodyBytes:   settings.MaxBodyBytes,
		MaxConnections: settings.MaxConnections,
		HeaderTimeout:  settings.HeaderTimeout,
		BodyTimeout:    settings.BodyTimeout,
		RequestTimeout: settings.RequestTimeout,
	}
}

// metricMap returns the expvar map of the name, made on first use.
func metricMap(name string) *expvar.Map {
	if found, ok := expvar.Get(name).(*expvar.Map); ok {
		return found
	}
	return expvar.NewMap(name)
}

func (vm *VM) applyState(state *release.State) {
	vm.fleet.SetState(state, 1)
	vm.caller.EnforceState(state)
	klog.InfoS("configuration in force", "revision", state.Revision())
}

// State implements caller.StateSource.
func (vm *VM) State() *release.State { return vm.follower.State() }

// Fresh implements caller.StateSource.
func (vm *VM) Fresh() error { return nil }

// Run serves until the context ends and then stops without cutting a request.
func (vm *VM) Run(ctx context.Context) error {
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	group, groupCtx := errgroup.WithContext(background)
	callers, err := net.Listen("tcp", vm.settings.CallerAddress)
	if err != nil {
		return err
	}
	operators, err := net.Listen("tcp", vm.settings.OperatorAddress)
	if err != nil {
		return err
	}
	callerServer := vm.caller.HTTPServer()
	operatorServer := &http.Server{Handler: operator.Handler(vm.status, vm.ring, operator.NewNoteHandler(vm)), ReadHeaderTimeout: 5 * time.Second}
	group.Go(func() error { vm.follower.Run(groupCtx, vm.wake); return nil })
	group.Go(func() error { vm.fleet.Run(groupCtx); return nil })
	group.Go(func() error { vm.backend.Run(groupCtx); return nil })
	group.Go(func() error { return closed(operatorServer.Serve(operators)) })
	group.Go(func() error { return closed(callerServer.Serve(callers)) })
	klog.InfoS("serving", "vm_id", vm.settings.VMID, "caller_address", callers.Addr().String(), "operator_address", operators.Addr().String())
	select {
	case <-ctx.Done():
	case <-groupCtx.Done():
		return group.Wait()
	}
	klog.InfoS("stopping", "vm_id", vm.settings.VMID, "in_flight", vm.caller.InFlight())
	drainCtx, cancel := context.WithTimeout(background, vm.settings.DrainTimeout)
	defer cancel()
	err = vm.caller.Drain(drainCtx, callerServer, vm.settings.DrainNotice, vm.settings.DrainQuiet)
	_ = operatorServer.Close()
	stopBackground()
	_ = group.Wait()
	klog.InfoS("stopped", "vm_id", vm.settings.VMID)
	return err
}

// closed turns the ordinary end of a server into no error.
func closed(err error) error {
	if err == http.ErrServerClosed {
		return nil
	}
	return err
}

func (vm *VM) status() operator.Status {
	state := vm.follower.State()
	status := operator.Status{
		VMID:       vm.settings.VMID,
		DataCentre: vm.settings.DataCentre,
		Revision:   state.Revision(),
		Draining:   vm.caller.Draining(),
		InFlight:   vm.caller.InFlight(),
		Waiting:    vm.fleet.QueueLength(),
		Teams:      state.TeamCount(),
		Keys:       state.KeyCount(),
	}
	switch {
	case status.Draining:
		status.Reason = "the VM is stopping"
	case state.Revision() == 0:
		status.Reason = "no configuration has been read yet"
	default:
		status.Ready = true
	}
	return status
}

// Submit implements operator.NoteService.
func (vm *VM) Submit(ctx context.Context, note release.Note) (int64, error) {
	revision, err := vm.store.Submit(ctx, note)
	if err == nil {
		err = vm.follower.Refresh(ctx)
	}
	return revision, err
}

// History implements operator.NoteService.
func (vm *VM) History(ctx context.Context, above int64) ([]release.AcceptedNote, error) {
	head, _, err := vm.store.Head(ctx)
	if err != nil {
		return nil, err
	}
	return vm.store.Notes(ctx, head, above)
}

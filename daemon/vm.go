// Package daemon puts the parts of one VM together.
package daemon

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/backend"
	"github.com/bergamotgrade/bergamotgrade/batch"
	"github.com/bergamotgrade/bergamotgrade/caller"
	"github.com/bergamotgrade/bergamotgrade/disk"
	"github.com/bergamotgrade/bergamotgrade/dispatch"
	"github.com/bergamotgrade/bergamotgrade/idempotency"
	"github.com/bergamotgrade/bergamotgrade/limit"
	"github.com/bergamotgrade/bergamotgrade/member"
	"github.com/bergamotgrade/bergamotgrade/operator"
	"github.com/bergamotgrade/bergamotgrade/orders"
	"github.com/bergamotgrade/bergamotgrade/platform"
	"github.com/bergamotgrade/bergamotgrade/rate"
	"github.com/bergamotgrade/bergamotgrade/release"
	"github.com/bergamotgrade/bergamotgrade/route"
	"github.com/bergamotgrade/bergamotgrade/timeline"
	"github.com/bergamotgrade/bergamotgrade/vm"
)

// operatorHeaderTimeout bounds the header of an operator's request.
const operatorHeaderTimeout = 5 * time.Second

// batchSharesInterval is the time between two looks at which VMs have batch
// work.
const batchSharesInterval = 500 * time.Millisecond

// VM is one entry VM of the system.
type VM struct {
	settings Settings
	ring     *timeline.Ring
	follower *release.Follower
	courier  *courier
	keeper   *member.Keeper
	limiter  *rate.Limiter
	giver    *orders.Giver
	segments *disk.Segments
	runner   *batch.Runner
	jobs     *operator.JobHandler
	inner    *vm.Server
	fleet    *dispatch.Fleet
	backend  *backend.Client
	caller   *caller.Server
	// ratesSeen is set once all standing shares were held and lent.
	ratesSeen atomic.Bool
}

// New returns a VM with checked settings; Run starts it.
func New(settings Settings) (*VM, error) {
	clock := bergamotgrade.SystemClock{}
	ring := timeline.New(clock, settings.VMID)
	service := platform.New(platform.NewStore(settings.PlatformAddress, metricMap("platform_calls")), settings.PlatformRate)
	store := release.NewStore(service)
	peers := vm.NewPeers(settings.InnerSecret, metricMap("inner"))
	client := backend.New(backend.Timeouts{FirstToken: settings.FirstToken, TokenGap: settings.TokenGap, IdempotentCall: settings.FirstToken})
	v := &VM{
		settings: settings,
		ring:     ring,
		follower: release.NewFollower(clock, store, ring),
		fleet:    dispatch.New(clock, client, ring, route.Policy(settings.RoutePolicy), dispatch.BatchPolicy(settings.BatchPolicy)),
		backend:  client,
	}
	v.courier = newCourier(v.follower, store, peers, settings.PeerAddresses)
	revision := func() int64 { return v.follower.State().Revision() }
	v.keeper = member.New(keeperConfig(settings), clock, service, peers, ring, revision, func() int { return v.runner.Jobs() }, v.courier.hear)
	v.courier.keeper = v.keeper
	v.limiter = rate.New(rate.Config{SlotCount: settings.SlotCount, Patient: settings.RateMode == RateModePledge}, clock, v.keeper, peers, v.follower.State, metricMap("rate"))
	v.giver = orders.New(orders.Dependencies{
		Clock:    clock,
		Platform: service,
		Members:  v.keeper,
		Engines:  client,
		Peers:    peers,
		Limiter:  v.limiter,
		State:    v.follower.State,
		InUse:    v.fleet.InUse,
		Ring:     ring,
	})
	v.inner = vm.NewServer(settings.InnerSecret, inner{v}, metricMap("inner"))
	folder, err := openFolder(settings.DataFolder)
	if err != nil {
		return nil, err
	}
	// Bulk data has connections of its own: a control call that times out closes
	// its connection, and a large transfer would delay heartbeats.
	bulkPeers := vm.NewPeers(settings.InnerSecret, metricMap("inner"))
	v.segments = disk.NewSegments(folder, v.keeper, bulkPeers, batch.NewPlatformSegments(service, clock, settings.BatchBytes))
	repository := batch.NewRepository(service, v.segments, clock)
	v.caller, err = caller.New(callerConfig(settings), caller.Dependencies{
		Clock:    clock,
		Source:   v,
		Limiter:  v.chooseLimiter(clock),
		Fleet:    v.fleet,
		Records:  idempotency.New(service, clock),
		Batches:  repository,
		Announce: v.announceJob,
		Ring:     ring,
		Metrics:  metricMap("caller"),
	})
	if err != nil {
		return nil, err
	}
	v.jobs = operator.NewJobHandler(repository, v.announceJob)
	v.runner = batch.NewRunner(clock, repository, v.keeper, v.caller.Executor(), ring, metricMap("batch"))
	v.follower.OnChange(v.applyState)
	v.keeper.OnChange(func() { v.fleet.SetState(v.follower.State(), v.neighbours()) })
	v.keeper.OnChange(v.limiter.Nudge)
	return v, nil
}

// announceJob tells this VM's runner and all others of a batch job.
func (v *VM) announceJob(jobID string, cancelled bool) {
	v.runner.JobChanged(jobID, cancelled)
	v.courier.announceJob(vm.JobCall{JobID: jobID, Cancelled: cancelled})
}

// openFolder returns the data folder, or nil for a VM without one.
func openFolder(path string) (*disk.Folder, error) {
	if path == "" {
		return nil, nil
	}
	return disk.NewFolder(path)
}

func (v *VM) chooseLimiter(clock bergamotgrade.Clock) bergamotgrade.Limiter {
	if v.settings.RateMode == RateModeStatic {
		return limit.NewStatic(clock, v.settings.SlotCount)
	}
	return v.limiter
}

func keeperConfig(settings Settings) member.Config {
	record := bergamotgrade.VMRecord{
		VMID:            settings.VMID,
		DataCentre:      settings.DataCentre,
		InnerAddress:    orElse(settings.AdvertiseInner, settings.InnerAddress),
		OperatorAddress: orElse(settings.AdvertiseOperate, settings.OperatorAddress),
		HasDisk:         settings.DataFolder != "",
	}
	return member.Config{
		Record:        member.Identify(record),
		SlotCount:     settings.SlotCount,
		LeaseTerm:     settings.LeaseTerm,
		PeerAddresses: settings.PeerAddresses,
	}
}

func orElse(value, fallback string) string {
	if value != "" {
		return value
	}
	return fallback
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

// neighbours are the VMs that share the backend servers.
func (v *VM) neighbours() dispatch.Neighbours {
	return dispatch.Neighbours{Self: v.settings.VMID, Count: max(1, len(v.keeper.Table().Members)), WithBatch: v.keeper.WithBatch()}
}

// runBatchShares divides the backend servers' batch work anew whenever other
// VMs have some.
func (v *VM) runBatchShares(ctx context.Context) {
	ticker := time.NewTicker(batchSharesInterval)
	defer ticker.Stop()
	var before []string
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if now := v.keeper.WithBatch(); !slices.Equal(now, before) {
			before = now
			v.fleet.SetState(v.follower.State(), v.neighbours())
		}
	}
}

func (v *VM) applyState(state *release.State) {
	v.fleet.SetState(state, v.neighbours())
	v.caller.EnforceState(state)
	klog.InfoS("configuration in force", "revision", state.Revision())
}

// State implements caller.StateSource.
func (v *VM) State() *release.State { return v.follower.State() }

// Fresh implements caller.StateSource: a VM that is cut off from the platform
// and from most others must not trust its keys.
func (v *VM) Fresh() error {
	if v.keeper.Holds() {
		return nil
	}
	return bergamotgrade.NewError(bergamotgrade.KindNotReady, "this VM is cut off from the platform and from most other VMs", "try again at another VM").
		WithNotRun().WithRetryAt(time.Now().Add(time.Second))
}

// KeyDoubtful implements caller.StateSource.
func (v *VM) KeyDoubtful(key bergamotgrade.Key) bool { return v.follower.KeyDoubtful(key) }

// Run serves until the context ends and then stops without cutting a request.
func (v *VM) Run(ctx context.Context) error {
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	listeners, err := v.listen()
	if err != nil {
		return err
	}
	var parts group
	parts.start(background, func(ctx context.Context) { v.follower.Run(ctx, v.keeper.IsReader) })
	parts.start(background, v.courier.run)
	parts.start(background, v.keeper.Run)
	parts.start(background, v.limiter.Run)
	parts.start(background, v.giver.Run)
	parts.start(background, v.runner.Run)
	parts.start(background, v.runBatchShares)
	parts.start(background, v.segments.Run)
	parts.start(background, v.fleet.Run)
	parts.start(background, v.backend.Run)
	parts.start(background, func(ctx context.Context) { v.inner.Run(ctx, listeners.inner) })
	err = v.serve(ctx, background, listeners)
	stopBackground()
	parts.parts.Wait()
	klog.InfoS("stopped", "vm_id", v.settings.VMID)
	return err
}

// listeners are the addresses that a VM serves on.
type listeners struct {
	callers, operators, inner net.Listener
}

func (v *VM) listen() (listeners, error) {
	var l listeners
	var err error
	if l.callers, err = net.Listen("tcp", v.settings.CallerAddress); err != nil {
		return l, err
	}
	if l.operators, err = net.Listen("tcp", v.settings.OperatorAddress); err != nil {
		return l, err
	}
	l.inner, err = net.Listen("tcp", v.settings.InnerAddress)
	return l, err
}

// serve answers callers and operators until the stop, and then drains.
func (v *VM) serve(ctx, background context.Context, l listeners) error {
	callerServer := v.caller.HTTPServer()
	operatorServer := &http.Server{Handler: operator.Handler(v.status, v.ring, operator.NewNoteHandler(v.courier), v.jobs, v.keeper), ReadHeaderTimeout: operatorHeaderTimeout}
	servers, serversCtx := errgroup.WithContext(background)
	servers.Go(func() error { return closed(operatorServer.Serve(l.operators)) })
	servers.Go(func() error { return closed(callerServer.Serve(l.callers)) })
	klog.InfoS("serving", "vm_id", v.settings.VMID, "caller_address", l.callers.Addr().String(), "operator_address", l.operators.Addr().String(), "inner_address", l.inner.Addr().String())
	select {
	case <-ctx.Done():
	case <-serversCtx.Done():
		return servers.Wait()
	}
	klog.InfoS("stopping", "vm_id", v.settings.VMID, "in_flight", v.caller.InFlight())
	drainCtx, cancel := context.WithTimeout(background, v.settings.DrainTimeout)
	defer cancel()
	v.keeper.SetLeaving(drainCtx)
	var handOver group
	handOver.start(drainCtx, v.runner.Stop)
	err := v.caller.Drain(drainCtx, callerServer, v.settings.DrainNotice, v.settings.DrainQuiet)
	handOver.parts.Wait()
	v.keeper.Leave(background)
	_ = operatorServer.Close()
	_ = servers.Wait()
	return err
}

// closed turns the ordinary end of a server into no error.
func closed(err error) error {
	if err == http.ErrServerClosed {
		return nil
	}
	return err
}

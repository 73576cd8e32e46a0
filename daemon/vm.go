// Package daemon assembles the components of one VM, starts them and stops them.
package daemon

import (
	"context"
	"expvar"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/backend"
	"github.com/bergamotgrade/bergamotgrade/batch"
	"github.com/bergamotgrade/bergamotgrade/caller"
	"github.com/bergamotgrade/bergamotgrade/disk"
	"github.com/bergamotgrade/bergamotgrade/dispatch"
	"github.com/bergamotgrade/bergamotgrade/follow"
	"github.com/bergamotgrade/bergamotgrade/idempotency"
	"github.com/bergamotgrade/bergamotgrade/limit"
	"github.com/bergamotgrade/bergamotgrade/member"
	"github.com/bergamotgrade/bergamotgrade/memory"
	"github.com/bergamotgrade/bergamotgrade/operator"
	"github.com/bergamotgrade/bergamotgrade/orders"
	"github.com/bergamotgrade/bergamotgrade/platform"
	"github.com/bergamotgrade/bergamotgrade/quarantine"
	"github.com/bergamotgrade/bergamotgrade/rate"
	"github.com/bergamotgrade/bergamotgrade/release"
	"github.com/bergamotgrade/bergamotgrade/route"
	"github.com/bergamotgrade/bergamotgrade/timeline"
	"github.com/bergamotgrade/bergamotgrade/vm"
)

// operatorHeaderTimeout bounds reading the header of an operator's request.
const operatorHeaderTimeout = 5 * time.Second

// batchSharingInterval is the time between checks of which VMs have batch work.
const batchSharingInterval = 500 * time.Millisecond

// VM is one entry VM of the system.
type VM struct {
	settings    Settings
	ring        *timeline.Ring
	follower    *release.Follower
	distributor *distributor
	membership  *member.Membership
	limiter     *rate.Limiter
	controller  *orders.Controller
	segments    *disk.Segments
	runner      *batch.Runner
	jobs        *operator.JobHandler
	peerServer  *vm.Server
	dispatcher  *dispatch.Dispatcher
	backend     *backend.Client
	guard       *quarantine.Guard
	guardMirror *follow.Mirror
	caller      *caller.Server
	account     *memory.Account
	bodies      *memory.Bodies
	// bounded holds the listeners by name once the VM runs.
	bounded map[string]*memory.Listener
	// ratesSettledOnce is set once ratesSettled has returned true.
	ratesSettledOnce atomic.Bool
}

// New returns a VM; Run starts it. The settings must have passed Check.
func New(settings Settings) (*VM, error) {
	clock := bergamotgrade.SystemClock{}
	ring := timeline.New(clock, settings.VMID)
	storeClient := platform.NewStoreClient(settings.PlatformAddress, metricMap("platform_calls"))
	platformClient := platform.NewRateLimitedClient(storeClient, settings.PlatformRate)
	store := release.NewStore(platformClient)
	peers := vm.NewPeers(settings.InnerSecret, metricMap("inner"))
	backendClient := backend.New(backend.Timeouts{FirstToken: settings.FirstTokenTimeout, TokenGap: settings.TokenGapTimeout, IdempotentCall: settings.FirstTokenTimeout})
	log := slog.New(logr.ToSlogHandler(klog.Background()))
	v := &VM{
		settings: settings,
		ring:     ring,
		follower: release.NewFollower(clock, store, ring),
		backend:  backendClient,
		account:  newAccount(settings),
		bounded:  map[string]*memory.Listener{},
	}
	v.bodies = memory.NewBodies(v.account, memory.Progress{Bytes: settings.BodyProgressBytes, Window: settings.BodyProgressWindow})
	peers.SetAccount(v.account)
	v.guard = quarantine.New(quarantine.Config{
		Clock: clock, VMID: settings.VMID, Store: storeClient, Prober: quarantine.NewDialProber(),
		VMs: func() int { return v.vmSet().Count }, Log: log,
	})
	v.guardMirror = quarantine.NewStoreMirror(storeClient, clock, v.guard, log)
	v.dispatcher = dispatch.New(clock, backendClient, v.guard, ring, route.Policy(settings.RoutePolicy), dispatch.BatchPolicy(settings.BatchPolicy))
	v.distributor = newDistributor(v.follower, store, peers, settings.PeerAddresses)
	revision := func() int64 { return v.follower.State().Revision() }
	v.membership = member.New(membershipConfig(settings), clock, platformClient, peers, ring, revision, func() int { return v.runner.Jobs() }, v.distributor.enqueuePeer)
	v.distributor.membership = v.membership
	v.limiter = rate.New(rate.Config{SlotCount: settings.SlotCount, WaitForBroker: settings.RateMode == RateModePledge}, clock, v.membership, peers, v.follower.State, metricMap("rate"))
	v.controller = orders.New(orders.Dependencies{
		Clock:    clock,
		Platform: platformClient,
		Members:  v.membership,
		Engines:  backendClient,
		Peers:    peers,
		Limiter:  v.limiter,
		State:    v.follower.State,
		InUse:    v.dispatcher.InUse,
		Ring:     ring,
	})
	v.peerServer = vm.NewServer(settings.InnerSecret, peerHandler{v}, metricMap("inner"))
	folder, err := openFolder(settings.DataFolder)
	if err != nil {
		return nil, err
	}
	// Bulk data uses separate connections: a control call that times out closes its
	// connection, and a large transfer would delay heartbeats on a shared one.
	bulkPeers := vm.NewPeers(settings.InnerSecret, metricMap("inner"))
	bulkPeers.SetAccount(v.account)
	v.segments = disk.NewSegments(folder, v.membership, bulkPeers, batch.NewPlatformSegments(platformClient, clock, settings.BatchPlatformBytes))
	repository := batch.NewRepository(platformClient, v.segments, clock)
	v.caller, err = caller.New(callerConfig(settings), caller.Dependencies{
		Clock:              clock,
		Source:             v,
		Limiter:            v.chooseLimiter(clock),
		Dispatcher:         v.dispatcher,
		IdempotencyRecords: idempotency.New(platformClient, clock),
		Batches:            repository,
		Bodies:             v.bodies,
		AnnounceJob:        v.announceJob,
		Ring:               ring,
		Metrics:            metricMap("caller"),
	})
	if err != nil {
		return nil, err
	}
	v.jobs = operator.NewJobHandler(repository, v.announceJob)
	v.runner = batch.NewRunner(clock, repository, v.membership, v.caller.Executor(), ring, metricMap("batch"))
	v.follower.OnChange(v.applyState)
	v.membership.OnChange(func() { v.dispatcher.SetState(v.follower.State(), v.vmSet()) })
	v.membership.OnChange(v.limiter.TriggerPledge)
	return v, nil
}

// announceJob notifies the batch runners of this and all other VMs of a new or
// cancelled job.
func (v *VM) announceJob(jobID string, cancelled bool) {
	v.runner.JobChanged(jobID, cancelled)
	v.distributor.announceJob(vm.JobCall{JobID: jobID, Cancelled: cancelled})
}

// openFolder opens the data folder; it returns nil if the path is empty.
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

func membershipConfig(settings Settings) member.Config {
	record := bergamotgrade.VMRecord{
		VMID:            settings.VMID,
		DataCentre:      settings.DataCentre,
		InnerAddress:    orElse(settings.AdvertiseInnerAddress, settings.InnerAddress),
		OperatorAddress: orElse(settings.AdvertiseOperatorAddress, settings.OperatorAddress),
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

// metricMap returns the expvar map with the name and publishes it on first use.
func metricMap(name string) *expvar.Map {
	if found, ok := expvar.Get(name).(*expvar.Map); ok {
		return found
	}
	return expvar.NewMap(name)
}

// vmSet returns the VMs that share the backend servers.
func (v *VM) vmSet() dispatch.VMSet {
	return dispatch.VMSet{Self: v.settings.VMID, Count: max(1, len(v.membership.Table().Members)), BatchVMs: v.membership.BatchVMs()}
}

// runBatchSharing redistributes the backend servers' batch capacity whenever the set of
// VMs with batch work changes.
func (v *VM) runBatchSharing(ctx context.Context) {
	ticker := time.NewTicker(batchSharingInterval)
	defer ticker.Stop()
	var previous []string
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if current := v.membership.BatchVMs(); !slices.Equal(current, previous) {
			previous = current
			v.dispatcher.SetState(v.follower.State(), v.vmSet())
		}
	}
}

func (v *VM) applyState(state *release.State) {
	v.dispatcher.SetState(state, v.vmSet())
	v.caller.CancelWithdrawnKeys(state)
	klog.InfoS("configuration in force", "revision", state.Revision())
}

// State implements caller.StateSource.
func (v *VM) State() *release.State { return v.follower.State() }

// CheckFresh implements caller.StateSource. It returns an error while this VM is cut off
// from the platform and from most other VMs, since its keys may have been withdrawn.
func (v *VM) CheckFresh() error {
	if v.membership.MayServe() {
		return nil
	}
	return bergamotgrade.NewError(bergamotgrade.KindNotReady, "this VM is cut off from the platform and from most other VMs", "try again at another VM").
		WithNotRun().WithRetryAt(time.Now().Add(time.Second))
}

// KeyMayBeWithdrawn implements caller.StateSource.
func (v *VM) KeyMayBeWithdrawn(key bergamotgrade.Key) bool { return v.follower.KeyMayBeWithdrawn(key) }

// Run serves until ctx ends, then drains: it returns once the requests in flight are
// finished or the drain timeout has passed.
func (v *VM) Run(ctx context.Context) error {
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	plain, err := v.listen()
	if err != nil {
		return err
	}
	listeners := v.bound(plain)
	v.publishHeld()
	var tasks backgroundTasks
	tasks.start(background, func(ctx context.Context) { v.follower.Run(ctx, v.membership.IsWatcher) })
	tasks.start(background, v.distributor.run)
	tasks.start(background, v.membership.Run)
	tasks.start(background, v.limiter.Run)
	tasks.start(background, v.controller.Run)
	tasks.start(background, v.runner.Run)
	tasks.start(background, v.runBatchSharing)
	tasks.start(background, v.segments.Run)
	tasks.start(background, v.dispatcher.Run)
	tasks.start(background, v.guard.Run)
	tasks.start(background, v.guardMirror.Run)
	tasks.start(background, v.backend.Run)
	tasks.start(background, func(ctx context.Context) { v.peerServer.Run(ctx, listeners.peers) })
	err = v.serve(ctx, background, listeners)
	stopBackground()
	tasks.wg.Wait()
	klog.InfoS("VM stopped", "vm_id", v.settings.VMID)
	return err
}

// listeners holds the listeners of a VM for callers, operators and other VMs.
type listeners struct {
	callers, operators, peers net.Listener
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
	l.peers, err = net.Listen("tcp", v.settings.InnerAddress)
	return l, err
}

// serve serves callers and operators until ctx ends, and then drains. Work that must
// outlive ctx, such as the drain, runs on background.
func (v *VM) serve(ctx, background context.Context, l listeners) error {
	callerServer := v.caller.HTTPServer()
	operators := operator.Handler(v.status, v.ring, operator.NewNoteHandler(v.distributor), v.jobs, v.membership)
	operatorServer := &http.Server{Handler: v.operatorHandler(operators), ReadHeaderTimeout: operatorHeaderTimeout, IdleTimeout: operatorIdleTimeout}
	memory.Attach(operatorServer)
	servers, serversCtx := errgroup.WithContext(background)
	servers.Go(func() error { return ignoreServerClosed(operatorServer.Serve(l.operators)) })
	servers.Go(func() error { return ignoreServerClosed(callerServer.Serve(l.callers)) })
	klog.InfoS("VM serving callers, operators and other VMs", "vm_id", v.settings.VMID, "caller_address", l.callers.Addr().String(), "operator_address", l.operators.Addr().String(), "inner_address", l.peers.Addr().String())
	select {
	case <-ctx.Done():
	case <-serversCtx.Done():
		return servers.Wait()
	}
	klog.InfoS("VM stopping; draining requests in flight", "vm_id", v.settings.VMID, "in_flight", v.caller.InFlight())
	drainCtx, cancel := context.WithTimeout(background, v.settings.DrainTimeout)
	defer cancel()
	v.membership.AnnounceLeaving(drainCtx)
	var handover backgroundTasks
	handover.start(drainCtx, v.runner.Stop)
	err := v.caller.Drain(drainCtx, callerServer, v.settings.DrainNotice, v.settings.DrainQuiet)
	handover.wg.Wait()
	v.membership.Leave(background)
	_ = operatorServer.Close()
	_ = servers.Wait()
	return err
}

// ignoreServerClosed returns nil for the error of a server that was shut down, and any
// other error unchanged.
func ignoreServerClosed(err error) error {
	if err == http.ErrServerClosed {
		return nil
	}
	return err
}

// Package entry assembles and runs one VM on the users' platform: a VM that takes callers'
// requests, or a disk VM, which runs batch items.
package entry

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/follow"
	"github.com/bergamotgrade/bergamotgrade/gossip"
	"github.com/bergamotgrade/bergamotgrade/jobs"
	"github.com/bergamotgrade/bergamotgrade/limit"
	"github.com/bergamotgrade/bergamotgrade/memory"
	"github.com/bergamotgrade/bergamotgrade/origin"
	"github.com/bergamotgrade/bergamotgrade/placement"
	"github.com/bergamotgrade/bergamotgrade/platform"
	"github.com/bergamotgrade/bergamotgrade/quarantine"
	"github.com/bergamotgrade/bergamotgrade/relay"
	"github.com/bergamotgrade/bergamotgrade/vm"
)

// Node is one VM.
type Node struct {
	settings    bergamotgrade.NodeSettings
	options     Options
	clock       bergamotgrade.Clock
	incarnation int64
	log         *slog.Logger
	metrics     *Metrics

	kv            *follow.MonitoredStore
	view          *view
	scheduler     *relay.Scheduler
	backend       *platform.BackendClient
	guard         *quarantine.Guard
	origins       *origin.Tracker
	gossip        *gossip.Node
	peers         *vm.Peers
	peerServer    *vm.Server
	membership    *membership
	headCache     *jobs.HeadCache
	repository    *jobs.Repository
	runner        *jobs.Runner
	callerHandler *platform.CallerHandler
	crossing      crossing
	account       *memory.Account
	mirrors       map[string]*follow.Mirror

	// peerTasks holds short calls to peers; Run waits for them before it returns.
	peerTasks sync.WaitGroup

	mu      sync.Mutex
	servers map[string]bergamotgrade.ServerRecord
	// evacuated holds the revisions of the operator's requests by data centre.
	evacuated map[string]int64
	// retiring is set once the operator has ordered the retirement of this VM,
	// retirementConfirmed once the confirmation is in the store.
	retiring            bool
	retirementConfirmed bool
	// scarce tells which services were in scarcity at the last maintenance round; only that uses it.
	scarce map[string]bool
	// invalidServers holds the keys of registry entries that were logged as invalid, and
	// their last revisions.
	invalidServers map[string]int64
}

// New returns a VM with the settings; Run serves it.
func New(settings bergamotgrade.NodeSettings, options Options, log *slog.Logger) (*Node, error) {
	n := &Node{
		settings: settings, options: options, clock: bergamotgrade.SystemClock{}, incarnation: time.Now().UnixNano(),
		log: log, metrics: NewMetrics(), invalidServers: map[string]int64{}, scarce: map[string]bool{}, servers: map[string]bergamotgrade.ServerRecord{},
	}
	takesCallers := settings.CallerAddress != ""
	n.account = n.newAccount()
	n.kv = follow.NewMonitoredStore(platform.NewStoreClient(settings.StoreAddress, n.metrics.Map("store_calls")), n.clock, n.peerStore, log)
	tolerance := limit.Tolerance{Window: settings.RateWindow, Overshoot: settings.RateOvershoot, Slack: settings.RateSlack}
	n.view = newView(n.clock, settings.VMID, n.incarnation, takesCallers, regionsOf(settings), tolerance, log)
	n.crossing = newCrossing(settings.DataCentre, n.metrics.LabelledMap("cross_data_centre_bytes", "kind"))
	n.backend = platform.NewBackendClient(n.metrics.Map("backend"))
	n.backend.OnSent(n.crossing.addRequest)
	n.scheduler = relay.NewScheduler(n.clock, placement.NewSelector(settings.VMID, settings.DataCentre), n.announce)
	n.scheduler.SetHeldBytes(cmp.Or(settings.Held.ServerBytes, defaultServerHeldBytes))
	n.origins = origin.New(n.clock, n, log)
	innerAddress := net.JoinHostPort(settings.IP, strconv.Itoa(settings.InnerPort))
	var err error
	n.gossip, err = gossip.New(gossip.Config{
		VMID: settings.VMID, Incarnation: n.incarnation,
		Self:   gossip.Peer{Address: innerAddress, DataCentre: settings.DataCentre, Weight: settings.Cores},
		Status: n.status, Receive: n.handleReport, ReceiveStreams: n.origins.Receive, Preempt: n.limitBatch, Metrics: n.metrics.Map("gossip"), OnCrossing: n.crossing.addDatagrams, Log: log,
	})
	if err != nil {
		return nil, err
	}
	n.peers = vm.NewPeers("", n.metrics.Map("inner"))
	n.peers.SetAccount(n.account)
	n.peerServer = vm.NewFuncServer("", n.handlePeerCall, n.metrics.Map("inner"))
	n.membership = &membership{
		kv: n.kv, term: max(memberLeaseTerm, settings.StoreLeaseMin), log: log,
		self: member{VMID: settings.VMID, Incarnation: n.incarnation, InnerAddress: innerAddress, DataCentre: settings.DataCentre, Callers: takesCallers, Cores: settings.Cores},
	}
	n.headCache = jobs.NewHeadCache(log)
	n.repository = jobs.NewRepository(n.kv, n.bodyStore, n.headCache, settings.StoreValueBytes, n.ownerResults)
	service := jobs.NewService(n.clock, settings.VMID, n.repository, n.headCache, n, n.refreshHeads, log)
	exchanger := relay.NewObservingExchanger(n.backend, n.scheduler, log)
	n.guard = quarantine.New(quarantine.Config{Clock: n.clock, VMID: settings.VMID, Store: n.kv, Prober: quarantine.NewDialProber(), VMs: n.view.liveVMs, Log: log})
	n.runner = jobs.NewRunner(jobs.Config{
		Clock: n.clock, VMID: settings.VMID, Incarnation: n.incarnation, Fleet: n.view, Scheduler: n.scheduler, Exchanger: exchanger, Guard: n.guard,
		Repository: n.repository, HeadCache: n.headCache, Observer: n.metrics, Log: log, ResultRetention: settings.ResultRetention,
		LoadBytes: n.account.Budget() / loadedBodiesPart,
	})
	proxy := relay.New(n.clock, n.scheduler, exchanger, n.guard, n.origins, log, n.metrics)
	if err := proxy.EnableHedging(options.HedgeShare, n.metrics); err != nil {
		return nil, err
	}
	n.callerHandler = platform.NewCallerHandler(n.view, proxy, service, n.newBodies(), n.metrics, log)
	n.mirrors = map[string]*follow.Mirror{}
	for _, mirror := range []struct {
		prefix        string
		start         follow.Start
		fetchInterval time.Duration
		watchWait     time.Duration
		onChange      func(map[string]bergamotgrade.Entry)
	}{
		// The buckets of the teams fill from the first configuration on.
		{platform.OperatorPrefix, follow.StartAtOnce, 0, follow.ShortWatchWait, n.setOperatorEntries},
		{platform.ServerPrefix, follow.StartJoined, 0, follow.LongWatchWait, n.setServers},
		{memberPrefix, follow.StartDiscovering, 0, follow.LongWatchWait, n.setMembers},
		{quarantine.Prefix, follow.StartJoined, 0, follow.LongWatchWait, n.guard.SetEntries},
		// Items of an ended job may not start later than three seconds after its end, also if an answer is lost.
		{jobs.HeadPrefix, follow.StartJoined, headFetchInterval, follow.ShortWatchWait, n.headCache.SetEntries},
	} {
		n.mirrors[mirror.prefix] = follow.NewMirror(n.kv, n.clock, mirror.prefix, mirror.start, mirror.fetchInterval, mirror.watchWait, n, n.announceCopy(mirror.onChange), log)
	}
	n.registerGauges()
	n.registerSpeedGauges()
	return n, nil
}

func (n *Node) registerGauges() {
	n.metrics.Gauge("config_version", func() int64 { return n.view.configurationVersion() })
	n.metrics.Gauge("jobs_owned", func() int64 { jobs, _ := n.runner.Count(); return int64(jobs) })
	n.metrics.Gauge("items_running", func() int64 { _, items := n.runner.Count(); return int64(items) })
	n.metrics.Gauge("job_bytes_loaded", func() int64 { bytes, _ := n.runner.Loads(); return bytes })
	n.metrics.Gauge("jobs_waiting_for_memory", func() int64 { _, waiting := n.runner.Loads(); return int64(waiting) })
	n.metrics.Gauge("prompt_parts_quarantined", func() int64 { parts, _ := n.guard.Quarantined(); return int64(parts) })
	n.metrics.Gauge("requests_quarantined", func() int64 { _, requests := n.guard.Quarantined(); return int64(requests) })
	n.metrics.Gauge("evacuated_data_centres", n.evacuatedDataCentres)
	n.metrics.Gauge("cold_servers", func() int64 { return int64(n.scheduler.ColdServers()) })
	n.metrics.Gauge("backend_servers", func() int64 { return int64(len(n.serverRecords())) })
	n.registerShareGauges()
	n.metrics.Gauge("peers_registered", func() int64 { return int64(len(n.view.peerAddresses())) })
}

// announce schedules a gossip message with the new status of this VM. The scheduler also
// calls it after each change of the VM's load, possibly before n.gossip is set.
func (n *Node) announce() {
	if n.gossip != nil {
		n.gossip.Trigger()
	}
}

// status returns the current status of this VM for its peers.
func (n *Node) status() gossip.Status {
	status := gossip.Status{
		VM: gossip.VMState{
			VMID: n.settings.VMID, Incarnation: n.incarnation, Version: n.view.configurationVersion(),
			Callers: n.settings.CallerAddress != "", Runner: n.settings.CallerAddress == "", Leaving: n.view.Leaving(),
			StoreUnreachable: n.kv.Unreachable(),
		},
		Admitted: n.view.admittedCounts(),
		Suspects: n.scheduler.Suspects(),
		Copies:   n.copyStates(),
		Leaving:  n.leavingServers(),
		Asked:    gossip.EncodeWork(n.scheduler.Asked()),
		Speeds:   n.scheduler.Speeds(),
	}
	for _, heard := range n.scheduler.Rates() {
		status.Rates = append(status.Rates, gossip.ServerRate{ServerID: heard.ServerID, Named: heard.Named, PerSecond: heard.PerSecond, AgeMs: heard.Age.Milliseconds()})
	}
	for id, load := range n.scheduler.Load() {
		status.Load = append(status.Load, gossip.ServerLoad{ServerID: id, Online: load[placement.Online], Batch: load[placement.Batch]})
	}
	slices.SortFunc(status.Load, func(a, b gossip.ServerLoad) int { return strings.Compare(a.ServerID, b.ServerID) })
	return status
}

// leavingServers returns the processes of servers that have recently told this VM that they leave,
// in order, so that an unchanged status stays the same.
func (n *Node) leavingServers() []bergamotgrade.ServerProcess {
	leaving := n.scheduler.LeavingServers()
	slices.SortFunc(leaving, func(a, b bergamotgrade.ServerProcess) int { return strings.Compare(a.ServerID, b.ServerID) })
	return leaving
}

// handleReport applies the report about the VMs of a data centre.
func (n *Node) handleReport(report gossip.Report) {
	if len(report.Limits) > 0 {
		n.scheduler.LimitBatch(report.Limits)
	}
	if report.HubID == "" {
		return // limits only
	}
	counts := n.view.recordReport(report)
	n.scheduler.SetAsked(report.DataCentre, callersOf(report), report.Asked)
	rates := make([]bergamotgrade.ServerRate, 0, len(report.Rates))
	for _, heard := range report.Rates {
		rates = append(rates, bergamotgrade.ServerRate{
			ServerID: heard.ServerID, RateLimit: bergamotgrade.RateLimit{Named: heard.Named, PerSecond: heard.PerSecond}, Age: time.Duration(heard.AgeMs) * time.Millisecond,
		})
	}
	n.scheduler.MergeRates(rates, n.view.requestingVMs)
	n.scheduler.MergeSpeeds(report.DataCentre, report.Speeds)
	for _, process := range n.scheduler.MarkLeaving(report.Leaving, false) {
		n.log.Info("another VM says that a server leaves; sending it nothing new", "server", process.ServerID, "started_at_ms", process.StartedAtMs, "hub", report.HubID)
	}
	for _, copied := range report.Copies {
		if mirror, ok := n.mirrors[copied.Prefix]; ok && mirror.IsBehind(copied.ChangedAt, copied.ListedAt) {
			mirror.Announced()
		}
	}
	if report.Current {
		byServer := make(map[string]placement.Load, len(report.Load))
		for _, load := range report.Load {
			byServer[load.ServerID] = placement.Load{load.Online, load.Batch}
		}
		n.scheduler.UpdatePeers(report.DataCentre, byServer, report.Suspects, counts)
	}
	version := int64(0)
	for _, state := range report.VMs {
		if state.Callers && state.VMID != n.settings.VMID && n.view.claimLevelFetch() {
			n.peerTasks.Go(func() { n.fetchBucketLevels(state.VMID) })
		}
		version = max(version, state.Version)
	}
	if version > n.view.configurationVersion() {
		n.mirrors[platform.OperatorPrefix].TriggerPeerFetch()
	}
}

// limitBatch returns the VMs of this data centre that have to end batch runs.
func (n *Node) limitBatch(runs []bergamotgrade.BatchRuns) []bergamotgrade.BatchRuns {
	return placement.LimitBatch(n.scheduler.ExcessBatch(), runs)
}

// refreshHeads brings the heads of jobs up to date from another VM if that is needed, and
// reports whether they were less than maxAge ago.
func (n *Node) refreshHeads(ctx context.Context, maxAge time.Duration) bool {
	return n.mirrors[jobs.HeadPrefix].Refresh(ctx, maxAge)
}

// announceCopy returns onChange, with an announcement after each change if other VMs fetch
// copies from this VM.
func (n *Node) announceCopy(onChange func(map[string]bergamotgrade.Entry)) func(map[string]bergamotgrade.Entry) {
	return func(entries map[string]bergamotgrade.Entry) {
		onChange(entries)
		if _, _, role := n.view.source(n.settings.DataCentre, n.kv.Unreachable()); role != roleFollower {
			n.announce()
		}
	}
}

// retire stops this VM's job runner, so that other VMs take over its jobs. The maintenance
// loop confirms the order afterwards.
func (n *Node) retire() {
	n.mu.Lock()
	first := !n.retiring
	n.retiring = true
	n.mu.Unlock()
	if !first {
		return
	}
	n.log.Info("retirement ordered; handing the jobs over to other VMs")
	n.view.setLeaving()
	n.runner.Stop()
	n.announce()
}

// confirmRetirement writes to the store that this VM holds no jobs: all their state is in
// the platform's store.
func (n *Node) confirmRetirement(ctx context.Context) {
	n.mu.Lock()
	due := n.retiring && !n.retirementConfirmed
	n.mu.Unlock()
	if !due {
		return
	}
	write := platform.RetirementDone(n.settings.VMID)
	if _, err := n.kv.Commit(ctx, bergamotgrade.KeyCommit{Writes: []bergamotgrade.KeyWrite{write}}); err != nil {
		n.log.Warn("retirement confirmation cannot be written to the store; retrying", "cause", err.Error())
		return
	}
	n.mu.Lock()
	n.retirementConfirmed = true
	n.mu.Unlock()
	n.log.Info("retirement confirmed; this VM holds no data")
}

// setServers replaces the backend servers with those in the registry entries.
func (n *Node) setServers(entries map[string]bergamotgrade.Entry) {
	records := make(map[string]bergamotgrade.ServerRecord, len(entries))
	n.mu.Lock()
	for key, entry := range entries {
		record, err := platform.DecodeServer(entry)
		if err != nil {
			if n.invalidServers[key] == 0 {
				n.log.Warn("registry entry is no valid backend server; ignoring it", "key", key, "revision", entry.Revision, "cause", err.Error())
			}
			n.invalidServers[key] = entry.Revision
			continue
		}
		record.Region = n.settings.Regions[record.DataCentre]
		records[record.ServerID] = record
	}
	maps.DeleteFunc(n.invalidServers, func(key string, _ int64) bool {
		_, ok := entries[key]
		return !ok
	})
	before := n.servers
	n.servers = records
	n.mu.Unlock()
	for id, record := range records {
		known, ok := before[id]
		known.ColdRemaining, known.ColdNamed = record.ColdRemaining, record.ColdNamed // changes with each heartbeat of a cold server
		if !ok || known != record {
			n.log.Info("backend server registered", "server", id, "service", record.Service, "address", record.Address, "version", record.SoftwareVersion, "draining", record.Draining, "started_at", record.StartedAt)
		}
	}
	for id := range before {
		if _, ok := records[id]; !ok {
			n.log.Info("backend server no longer registered", "server", id)
		}
	}
	n.origins.SetServers(records)
	n.scheduler.SetServers(records)
}

func (n *Node) serverRecords() map[string]bergamotgrade.ServerRecord {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.servers
}

func (n *Node) setMembers(entries map[string]bergamotgrade.Entry) {
	n.view.setMembers(entries)
	n.setRegistered()
	n.gossip.SetPeers(n.view.gossipPeers())
	n.announce()
	n.runner.Wake()
}

// ready reports whether this VM takes new connections of callers.
func (n *Node) ready() bool {
	return !n.view.Leaving() && n.view.Configuration() != nil &&
		n.mirrors[platform.ServerPrefix].Loaded() && n.mirrors[quarantine.Prefix].Loaded() && n.view.knowsMembers() && n.view.knowsLevels()
}

// Run serves until the context ends, then completes the requests in flight within the
// stop grace period. It returns an error only if it cannot listen.
func (n *Node) Run(ctx context.Context) error {
	n.log.Info("VM starting", "incarnation", n.incarnation, "data_centre", n.settings.DataCentre, "callers", n.settings.CallerAddress, "store", n.settings.StoreAddress)
	plain, err := n.listen()
	if err != nil {
		return err
	}
	listeners := n.boundListeners(plain)
	workCtx, stopWork := context.WithCancel(context.Background())
	var work sync.WaitGroup
	for _, run := range []func(context.Context){
		n.membership.run, n.gossip.RunSender, n.gossip.RunReceiver, n.runner.Run, n.guard.Run, n.runMaintenance, n.runStoreProbe,
		func(ctx context.Context) { n.peerServer.Run(ctx, listeners["inner"]) },
	} {
		work.Go(func() { run(workCtx) })
	}
	for _, listener := range listeners {
		work.Go(func() { listener.Run(workCtx) })
	}
	for _, mirror := range n.mirrors {
		work.Go(func() { mirror.Run(workCtx) })
		work.Go(func() { mirror.RunPeerFetches(workCtx) })
	}
	servers := n.httpServers()
	for name, server := range servers {
		work.Go(func() {
			if err := server.Serve(listeners[name]); err != nil && err != http.ErrServerClosed {
				n.log.Error("HTTP server stopped unexpectedly", "server", name, "cause", err.Error())
			}
		})
	}
	<-ctx.Done()
	n.shutdown(servers)
	stopWork()
	work.Wait()
	n.peerTasks.Wait()
	n.log.Info("VM stopped")
	return nil
}

// watchesStore reports whether any mirror receives changes from the store itself.
func (n *Node) watchesStore() bool {
	for _, mirror := range n.mirrors {
		if mirror.WatchesStore() {
			return true
		}
	}
	return false
}

// runStoreProbe probes the store while this VM watches it or does not reach it. Other VMs
// depend on a VM that watches, so it has to detect quickly that it no longer reaches the
// store, and its announcements have to tell how recently it did. In an outage few VMs probe
// often; the others probe as soon as one of these reports the store's return.
func (n *Node) runStoreProbe(ctx context.Context) {
	var probedAt time.Time
	peersReached := false
	for bergamotgrade.Sleep(ctx, probeInterval) {
		before := n.kv.Unreachable()
		if !n.watchesStore() && !before {
			continue
		}
		if before {
			peersReach := n.kv.PeersReach()
			returned := peersReach && !peersReached
			peersReached = peersReach
			if pause := n.view.probePause(peersReach); !returned && n.clock.Now().Sub(probedAt) < pause {
				continue
			}
		}
		probedAt = n.clock.Now()
		n.kv.Probe(ctx, n.membership.leaseID.Load(), probeTimeout)
		if n.kv.Unreachable() != before {
			n.announce() // other VMs choose their watcher by this state
		}
	}
}

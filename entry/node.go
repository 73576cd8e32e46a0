// Package entry puts together one VM on the users' platform: a VM that takes
// callers' requests, or a disk VM, which runs batch items.
package entry

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/follow"
	"github.com/bergamotgrade/bergamotgrade/gossip"
	"github.com/bergamotgrade/bergamotgrade/jobs"
	"github.com/bergamotgrade/bergamotgrade/placement"
	"github.com/bergamotgrade/bergamotgrade/platform"
	"github.com/bergamotgrade/bergamotgrade/relay"
	"github.com/bergamotgrade/bergamotgrade/vm"
)

// Node is one VM.
type Node struct {
	settings    bergamotgrade.NodeSettings
	metricsPort int
	clock       bergamotgrade.Clock
	incarnation int64
	log         *slog.Logger
	metrics     *Metrics

	kv         *follow.Reach
	view       *view
	desk       *relay.Desk
	engine     *platform.Engine
	gossip     *gossip.Node
	peers      *vm.Peers
	inner      *vm.Server
	membership *membership
	ledger     *jobs.Ledger
	repository *jobs.Repository
	runner     *jobs.Runner
	caller     *platform.Caller
	mirrors    map[string]*follow.Mirror

	// background holds short tasks that do not outlive the process's stop.
	background sync.WaitGroup

	mu      sync.Mutex
	servers map[string]bergamotgrade.ServerRecord
	// retiring is set once the operator wants this VM emptied, retired once the
	// answer to that is stored.
	retiring bool
	retired  bool
	// unreadable holds registry entries that were reported as such.
	unreadable map[string]int64
}

// New returns a VM with the settings; Run serves.
func New(settings bergamotgrade.NodeSettings, metricsPort int, log *slog.Logger) (*Node, error) {
	n := &Node{
		settings: settings, metricsPort: metricsPort, clock: bergamotgrade.SystemClock{}, incarnation: time.Now().UnixNano(),
		log: log, metrics: NewMetrics(), unreadable: map[string]int64{}, servers: map[string]bergamotgrade.ServerRecord{},
	}
	callers := settings.CallerAddress != ""
	n.kv = follow.NewReach(platform.NewStore(settings.StoreAddress, n.metrics.Map("store_calls")), n.clock, n.storeThroughPeer, log)
	n.view = newView(n.clock, settings.VMID, n.incarnation, callers, log)
	n.engine = platform.NewEngine(n.metrics.Map("backend"))
	n.desk = relay.NewDesk(n.clock, placement.NewBoard(settings.VMID, settings.DataCentre), n.announce)
	inner := net.JoinHostPort(settings.IP, strconv.Itoa(settings.InnerPort))
	var err error
	if n.gossip, err = gossip.New(settings.VMID, gossip.Peer{Address: inner, DataCentre: settings.DataCentre}, n.account, n.hear, n.metrics.Map("gossip"), log); err != nil {
		return nil, err
	}
	n.peers = vm.NewPeers("", n.metrics.Map("inner"))
	n.inner = vm.NewFuncServer("", n.serveInner, n.metrics.Map("inner"))
	n.membership = &membership{
		kv: n.kv, term: max(memberTerm, settings.StoreLeaseMin), log: log,
		self: member{VMID: settings.VMID, Incarnation: n.incarnation, InnerAddress: inner, DataCentre: settings.DataCentre, Callers: callers},
	}
	n.ledger = jobs.NewLedger(log)
	n.repository = jobs.NewRepository(n.kv, n.ledger, settings.StoreValueBytes, n.resultsFromOwner)
	service := jobs.NewService(n.clock, n.repository, n.ledger, n.view.RunnerFor, log)
	n.runner = jobs.NewRunner(jobs.Config{
		Clock: n.clock, VMID: settings.VMID, Incarnation: n.incarnation, Fleet: n.view, Desk: n.desk, Exchanger: n.engine,
		Repository: n.repository, Ledger: n.ledger, Observer: n.metrics, Log: log, StatusLife: settings.JobStatusLife,
	})
	n.caller = platform.NewCaller(n.view, relay.New(n.clock, n.desk, n.engine, log, n.metrics), service, n.metrics, log)
	n.mirrors = map[string]*follow.Mirror{}
	for prefix, onChange := range map[string]func(map[string]bergamotgrade.Entry){
		platform.OperatorPrefix: n.setOperator,
		platform.ServerPrefix:   n.setServers,
		memberPrefix:            n.setMembers,
		jobs.HeadPrefix:         n.ledger.SetEntries,
	} {
		n.mirrors[prefix] = follow.NewMirror(n.kv, n.clock, prefix, n, onChange, log)
	}
	n.registerGauges()
	return n, nil
}

func (n *Node) registerGauges() {
	n.metrics.Gauge("config_version", func() int64 { return n.view.versionInForce() })
	n.metrics.Gauge("jobs_owned", func() int64 { jobs, _ := n.runner.Count(); return int64(jobs) })
	n.metrics.Gauge("items_running", func() int64 { _, items := n.runner.Count(); return int64(items) })
	n.metrics.Gauge("backend_servers", func() int64 { return int64(len(n.serverRecords())) })
	n.metrics.Gauge("peers_registered", func() int64 { return int64(len(n.view.peerAddresses())) })
}

// announce tells peers of this VM's new load. The desk calls it.
func (n *Node) announce() {
	if n.gossip != nil {
		n.gossip.Changed()
	}
}

// account is what this VM tells its peers.
func (n *Node) account() gossip.Message {
	message := gossip.Message{
		VMID: n.settings.VMID, Incarnation: n.incarnation, Version: n.view.versionInForce(),
		Callers: n.settings.CallerAddress != "", Runner: n.settings.CallerAddress == "", Leaving: n.view.Leaving(),
		StoreAway: n.kv.Away(),
		Admitted:  n.view.admitted(),
		Suspects:  n.desk.Suspects(),
	}
	for id, load := range n.desk.Load() {
		message.Load = append(message.Load, gossip.ServerLoad{ServerID: id, Online: load[placement.Online], Batch: load[placement.Batch]})
	}
	return message
}

// hear takes a peer's account.
func (n *Node) hear(message gossip.Message) {
	if message.VMID == n.settings.VMID {
		return
	}
	callers := n.view.hear(message)
	byServer := make(map[string]placement.Load, len(message.Load))
	for _, load := range message.Load {
		byServer[load.ServerID] = placement.Load{load.Online, load.Batch}
	}
	n.desk.SetPeer(message.VMID, byServer, message.Suspects, callers)
	if message.Callers && n.view.needsLevels() {
		n.background.Go(func() { n.runLevels(message.VMID) })
	}
	if message.Version > n.view.versionInForce() {
		n.mirrors[platform.OperatorPrefix].Nudge()
	}
}

// setOperator takes what the operator has written.
func (n *Node) setOperator(entries map[string]bergamotgrade.Entry) {
	if entry, ok := entries[platform.ConfigurationKey]; ok {
		n.view.setConfiguration(entry)
		n.announce()
	}
	if _, ok := entries[platform.RetirementKey(n.settings.VMID)]; ok {
		n.retire()
	}
}

// retire gives the jobs of this VM to others; upkeep answers the order then.
func (n *Node) retire() {
	n.mu.Lock()
	first := !n.retiring
	n.retiring = true
	n.mu.Unlock()
	if !first {
		return
	}
	n.log.Info("to be retired")
	n.view.leave()
	n.runner.Stop()
	n.announce()
}

// answerRetirement says that this VM is empty: all jobs are kept in the platform's
// store.
func (n *Node) answerRetirement(ctx context.Context) {
	n.mu.Lock()
	due := n.retiring && !n.retired
	n.mu.Unlock()
	if !due {
		return
	}
	write := platform.RetirementDone(n.settings.VMID)
	if _, err := n.kv.Commit(ctx, bergamotgrade.KeyCommit{Writes: []bergamotgrade.KeyWrite{write}}); err != nil {
		n.log.Warn("retirement not answered yet", "cause", err.Error())
		return
	}
	n.mu.Lock()
	n.retired = true
	n.mu.Unlock()
	n.log.Info("retirement answered: this VM keeps nothing")
}

// setServers takes the registry of backend servers.
func (n *Node) setServers(entries map[string]bergamotgrade.Entry) {
	records := make(map[string]bergamotgrade.ServerRecord, len(entries))
	n.mu.Lock()
	for key, entry := range entries {
		record, err := platform.DecodeServer(entry)
		if err != nil {
			if n.unreadable[key] == 0 {
				n.log.Warn("registry entry names no usable backend server", "key", key, "revision", entry.Revision, "cause", err.Error())
			}
			n.unreadable[key] = entry.Revision
			continue
		}
		records[record.ServerID] = record
	}
	before := n.servers
	n.servers = records
	n.mu.Unlock()
	for id, record := range records {
		if known, ok := before[id]; !ok || known != record {
			n.log.Info("backend server registered", "server", id, "service", record.Service, "address", record.Address, "draining", record.Draining, "started_at", record.StartedAt)
		}
	}
	for id := range before {
		if _, ok := records[id]; !ok {
			n.log.Info("backend server gone", "server", id)
		}
	}
	n.desk.SetServers(records)
}

func (n *Node) serverRecords() map[string]bergamotgrade.ServerRecord {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.servers
}

func (n *Node) setMembers(entries map[string]bergamotgrade.Entry) {
	n.view.setMembers(entries)
	n.gossip.SetPeers(n.view.gossipPeers())
	n.announce()
	n.runner.Wake()
}

// ready reports whether this VM takes new connections of callers.
func (n *Node) ready() bool {
	return !n.view.Leaving() && n.view.Configuration() != nil &&
		n.mirrors[platform.ServerPrefix].Loaded() && n.view.knowsFleet()
}

// Run serves until the context ends, then stops without cutting a request.
func (n *Node) Run(ctx context.Context) error {
	n.log.Info("starting", "incarnation", n.incarnation, "data_centre", n.settings.DataCentre, "callers", n.settings.CallerAddress, "store", n.settings.StoreAddress)
	listeners, err := n.listen()
	if err != nil {
		return err
	}
	workCtx, stopWork := context.WithCancel(context.Background())
	var work sync.WaitGroup
	for _, run := range []func(context.Context){
		n.membership.run, n.gossip.RunSender, n.gossip.RunReceiver, n.runner.Run, n.runUpkeep, n.runProbe,
		func(ctx context.Context) { n.inner.Run(ctx, listeners["inner"]) },
	} {
		work.Go(func() { run(workCtx) })
	}
	for _, mirror := range n.mirrors {
		work.Go(func() { mirror.Run(workCtx) })
		work.Go(func() { mirror.RunNudged(workCtx) })
	}
	servers := n.httpServers()
	for name, server := range servers {
		work.Go(func() {
			if err := server.Serve(listeners[name]); err != nil && err != http.ErrServerClosed {
				n.log.Error("server ended", "server", name, "cause", err.Error())
			}
		})
	}
	<-ctx.Done()
	n.stop(servers)
	stopWork()
	work.Wait()
	n.background.Wait()
	n.log.Info("stopped")
	return nil
}

// listen opens all listeners by name.
func (n *Node) listen() (map[string]net.Listener, error) {
	addresses := map[string]string{"inner": net.JoinHostPort(n.settings.IP, strconv.Itoa(n.settings.InnerPort))}
	for name, address := range map[string]string{"callers": n.settings.CallerAddress, "ready": n.settings.ReadyAddress} {
		if address != "" {
			addresses[name] = address
		}
	}
	if n.metricsPort > 0 {
		addresses["metrics"] = net.JoinHostPort(n.settings.IP, strconv.Itoa(n.metricsPort))
	}
	listeners := make(map[string]net.Listener, len(addresses))
	for name, address := range addresses {
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			return nil, err
		}
		listeners[name] = listener
	}
	return listeners, nil
}

// httpServers returns the HTTP servers by the names of their listeners.
func (n *Node) httpServers() map[string]*http.Server {
	servers := map[string]*http.Server{}
	if n.settings.CallerAddress != "" {
		servers["callers"] = platform.NewServer(n.caller)
	}
	if n.settings.ReadyAddress != "" {
		servers["ready"] = platform.NewServer(platform.NewReadyHandler(n.ready))
	}
	if n.metricsPort > 0 {
		servers["metrics"] = platform.NewServer(n.metrics)
	}
	return servers
}

// stop finishes all requests within the grace period.
func (n *Node) stop(servers map[string]*http.Server) {
	endAt := time.Now().Add(n.settings.StopGrace - leaveReserve)
	n.log.Info("stopping", "grace", n.settings.StopGrace.String())
	n.view.leave()
	n.announce()
	n.runner.Stop()
	ctx, cancel := context.WithDeadline(context.Background(), endAt)
	defer cancel()
	if server, ok := servers["callers"]; ok {
		bergamotgrade.Sleep(ctx, leaveNotice)
		if err := server.Shutdown(ctx); err != nil {
			n.log.Warn("requests were still running at the end of the grace period", "cause", err.Error())
			_ = server.Close()
		}
	}
	for _, server := range servers {
		_ = server.Close()
	}
	endCtx, cancelEnd := context.WithTimeout(context.Background(), leaveReserve/2)
	defer cancelEnd()
	n.membership.end(endCtx)
}

// runProbe finds out soon when this VM, on which others rely as their watcher,
// no longer reaches the store, and when a VM that is cut off reaches it again.
func (n *Node) runProbe(ctx context.Context) {
	for bergamotgrade.Sleep(ctx, probeInterval) {
		if _, follows := n.Watcher(); follows && !n.kv.Away() {
			continue
		}
		before := n.kv.Away()
		n.kv.Probe(ctx, n.membership.leaseID.Load(), probeTimeout)
		if n.kv.Away() != before {
			n.announce() // others choose their watchers by it
		}
	}
}

// runUpkeep does what is due from time to time.
func (n *Node) runUpkeep(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	pruneAt := n.clock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		n.desk.Expire()
		n.answerRetirement(ctx)
		if now := n.clock.Now(); now.After(pruneAt) {
			pruneAt = now.Add(pruneInterval)
			n.engine.Prune(now, n.serverRecords())
		}
	}
}

package gossip

import (
	"context"
	"expvar"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/bergamotgrade/bergamotgrade"
)

// Peer is a VM of the fleet as gossip needs it.
type Peer struct {
	// Address is host:port.
	Address    string
	DataCentre string
	// Weight is the VM's strength; the strongest VMs of a data centre are its hubs.
	Weight float64
}

// peer is a Peer with its id and its resolved address.
type peer struct {
	id         string
	address    *net.UDPAddr
	dataCentre string
	weight     float64
}

// Config holds the parameters and dependencies of a Node.
type Config struct {
	VMID        string
	Incarnation int64
	// Self is this VM's own address, data centre and weight.
	Self Peer
	// Status returns this VM's current status with all its counts, without a sequence.
	Status func() Status
	// Receive is called with the report of each newer digest.
	Receive func(Report)
	// ReceiveStreams is called with the records of streams that other VMs send.
	ReceiveStreams func([]bergamotgrade.StreamRecord)
	// Preempt returns the batch runs that VMs of this data centre have to end, as limits:
	// it is called with the batch runs of its VMs.
	Preempt func(runs []bergamotgrade.BatchRuns) []bergamotgrade.BatchRuns
	Metrics *expvar.Map
	// OnCrossing is called with the number of bytes that are sent to other data centres, and what
	// they carry; nil if nobody counts them.
	OnCrossing func(content Content, bytes int)
	Log        *slog.Logger
}

// Content is what a datagram carries.
type Content int

// The contents of datagrams.
const (
	ContentStatus Content = iota
	ContentStreams
)

// Node reports this VM's status to the hubs of its data centre, receives digests, and acts
// as a hub while other VMs report to it.
type Node struct {
	config        Config
	conn          *net.UDPConn
	statusLimiter *rate.Limiter
	localLimiter  *rate.Limiter
	// forwardLimiter limits the forwarded digests of other data centres.
	forwardLimiter *rate.Limiter
	remoteLimiter  *rate.Limiter
	// statusTriggers is signalled when this VM's status has changed, localTriggers when the
	// VMs that report to this hub have to hear of a change, remoteTriggers when the hubs of
	// other data centres have to.
	statusTriggers, localTriggers, remoteTriggers chan struct{}

	mu       sync.Mutex
	peers    map[string]peer
	sequence uint64
	counts   recentCounts
	asked    askedSender
	speeds   speedTurns
	choice   *hubChoice
	hub      *hub
	tracker  *tracker
	relayed  *relayed
	// reportedTo holds the hubs of the last status; new ones get all counts.
	reportedTo []string
	// remoteTargets holds the addresses of the last digest to other data centres; new ones
	// get the roster and all counts.
	remoteTargets map[string]bool
	// slowSentAt is when the last digest to VMs with another primary hub was sent.
	slowSentAt time.Time
}

// New returns a node that listens at the address of config.Self.
func New(config Config) (*Node, error) {
	address, err := net.ResolveUDPAddr("udp4", config.Self.Address)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, err
	}
	return &Node{
		config: config, conn: conn,
		statusLimiter:  rate.NewLimiter(statusesPerSecond, statusBurst),
		localLimiter:   rate.NewLimiter(localDatagramsPerSecond, datagramBurst),
		forwardLimiter: rate.NewLimiter(forwardDatagramsPerSecond, datagramBurst),
		remoteLimiter:  rate.NewLimiter(remoteDatagramsPerSecond, datagramBurst),
		statusTriggers: make(chan struct{}, 1), localTriggers: make(chan struct{}, 1), remoteTriggers: make(chan struct{}, 1),
		peers: map[string]peer{}, choice: newHubChoice(config.VMID),
		hub:     newHub(config.Self.DataCentre, config.VMID, config.Incarnation),
		tracker: newTracker(config.VMID, config.Incarnation, config.Self.DataCentre), relayed: newRelayed(),
	}, nil
}

// SetPeers replaces the other VMs, given by VM id. Peers whose address does not resolve are
// logged and left out.
func (n *Node) SetPeers(addresses map[string]Peer) {
	peers := make(map[string]peer, len(addresses))
	for id, p := range addresses {
		parsed, err := net.ResolveUDPAddr("udp4", p.Address)
		if err != nil {
			n.config.Log.Warn("peer address does not resolve; sending it no gossip", "vm", id, "address", p.Address, "cause", err.Error())
			continue
		}
		peers[id] = peer{id: id, address: parsed, dataCentre: p.DataCentre, weight: p.Weight}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peers = peers
}

// Trigger schedules a status. It never blocks.
func (n *Node) Trigger() { signal(n.statusTriggers) }

func signal(triggers chan<- struct{}) {
	select {
	case triggers <- struct{}{}:
	default:
	}
}

// candidates returns the VMs of the data centre in the order in which they are chosen as
// hubs, without those that are leaving. The caller holds the lock.
func (n *Node) candidates(dataCentre string) []peer {
	var candidates []peer
	leaving := n.tracker.leaving()
	for _, p := range n.peers {
		if p.dataCentre == dataCentre && !leaving[p.id] {
			candidates = append(candidates, p)
		}
	}
	if dataCentre == n.config.Self.DataCentre {
		candidates = append(candidates, peer{id: n.config.VMID, dataCentre: dataCentre, weight: n.config.Self.Weight})
	}
	sortCandidates(candidates)
	return candidates
}

// RunSender sends statuses and digests until the context ends.
func (n *Node) RunSender(ctx context.Context) {
	var senders sync.WaitGroup
	senders.Go(func() { n.runStatuses(ctx) })
	senders.Go(func() { n.runDigests(ctx, n.localTriggers, n.sendLocalDigest) })
	senders.Go(func() { n.runDigests(ctx, n.remoteTriggers, n.sendRemoteDigest) })
	senders.Wait()
}

// runStatuses reports this VM's status after each change and at each statusInterval.
func (n *Node) runStatuses(ctx context.Context) {
	heartbeat := time.NewTimer(0)
	defer heartbeat.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-heartbeat.C:
		case <-n.statusTriggers:
			time.Sleep(coalesceDelay)
		}
		if n.statusLimiter.Wait(ctx) != nil {
			return
		}
		select {
		case <-n.statusTriggers:
		default:
		}
		n.reportStatus()
		heartbeat.Reset(statusInterval)
	}
}

// reportStatus sends one status to the hubs.
func (n *Node) reportStatus() {
	status := n.config.Status()
	n.mu.Lock()
	now := time.Now()
	hubs := n.choice.pick(now, n.candidates(n.config.Self.DataCentre))
	n.sequence++
	status.Sequence = n.sequence
	status.Speeds = n.speeds.take(now, status.Speeds)
	hasNewHub := false
	ids := make([]string, 0, len(hubs))
	for _, h := range hubs {
		ids = append(ids, h.id)
		hasNewHub = hasNewHub || !slices.Contains(n.reportedTo, h.id)
	}
	n.reportedTo = ids
	known, asked := n.asked.next(now, status.Asked, hasNewHub)
	status.Asked = known
	n.tracker.sent(status)
	status.Asked = asked
	status.Admitted, status.AllAdmitted = n.counts.trim(now, fullStatusInterval, status.Admitted, hasNewHub)
	n.mu.Unlock()
	for i, h := range hubs {
		status.Primary = i == 0
		if h.id == n.config.VMID {
			n.recordStatus(now, status, nil)
			continue
		}
		data, err := encode(tagStatus, status)
		if err != nil {
			n.config.Log.Error("gossip status cannot be encoded; not sent", "cause", err.Error())
			return
		}
		n.send(data, []*net.UDPAddr{h.address})
	}
}

// recordStatus applies a status as a hub.
func (n *Node) recordStatus(now time.Time, status Status, from *net.UDPAddr) {
	n.mu.Lock()
	changed, joined := n.hub.record(now, status, from)
	var full [][]byte
	if joined && from != nil {
		full = n.relayed.full()
	}
	n.mu.Unlock()
	for _, data := range full {
		n.send(data, []*net.UDPAddr{from})
	}
	if changed {
		signal(n.localTriggers)
		signal(n.remoteTriggers)
	}
}

// runDigests sends digests with send after each trigger and at each digestInterval while
// VMs report to this VM.
func (n *Node) runDigests(ctx context.Context, triggers <-chan struct{}, send func(ctx context.Context)) {
	heartbeat := time.NewTimer(digestInterval)
	defer heartbeat.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-heartbeat.C:
		case <-triggers:
			time.Sleep(coalesceDelay)
		}
		n.mu.Lock()
		active := n.hub.active(time.Now())
		n.mu.Unlock()
		if !active {
			heartbeat.Reset(time.Hour) // the next status triggers a digest
			continue
		}
		select {
		case <-triggers:
		default:
		}
		send(ctx)
		heartbeat.Reset(digestInterval)
	}
}

// sendLocalDigest applies this hub's digest to this VM and sends it, with the digests of
// other data centres, to the VMs that report to it. It waits until the sending is within
// the limit.
func (n *Node) sendLocalDigest(ctx context.Context) {
	n.mu.Lock()
	now := time.Now()
	digest, runs := n.hub.digest(now, localVMs)
	n.mu.Unlock()
	// The limits depend on the totals, which this VM takes over first.
	n.applyDigest(now, digest)
	if len(runs) > 0 {
		digest.Limits = n.config.Preempt(runs)
		n.applyLimits(digest)
	}
	data, err := encode(tagDigest, digest)
	if err != nil {
		n.config.Log.Error("gossip digest cannot be encoded; not sent", "cause", err.Error())
		return
	}
	n.mu.Lock()
	primary, secondary := n.hub.subscribers(now)
	var forwarded [][]byte
	if n.forwardLimiter.TokensAt(now) >= 0 {
		forwarded = n.relayed.take(now, n.tracker)
	}
	if digest.Roster == nil && now.Sub(n.slowSentAt) < slowInterval {
		secondary = nil
	} else {
		n.slowSentAt = now
	}
	n.mu.Unlock()
	datagrams := pack(data, forwarded)
	for _, datagram := range datagrams {
		n.send(datagram, primary)
	}
	n.send(data, secondary)
	if extra := len(primary) * (len(datagrams) - 1); extra > 0 {
		// Takes the tokens in advance; the next round does not forward before they are back.
		n.forwardLimiter.ReserveN(now, min(extra, datagramBurst))
	}
	n.wait(ctx, n.localLimiter, len(primary))
}

// sendRemoteDigest sends this hub's digest to the hubs of the other data centres. It waits
// until the sending is within the limit.
func (n *Node) sendRemoteDigest(ctx context.Context) {
	n.mu.Lock()
	now := time.Now()
	remote := n.remoteHubs(now)
	targets := make(map[string]bool, len(remote))
	for _, address := range remote {
		targets[address.String()] = true
		if !n.remoteTargets[address.String()] {
			n.hub.requestFull(remoteHubs)
		}
	}
	n.remoteTargets = targets
	digest, _ := n.hub.digest(now, remoteHubs)
	n.mu.Unlock()
	data, err := encode(tagDigest, digest)
	if err != nil {
		n.config.Log.Error("gossip digest cannot be encoded; not sent", "cause", err.Error())
		return
	}
	n.send(data, remote)
	n.countCrossing(ContentStatus, len(remote)*len(data))
	n.wait(ctx, n.remoteLimiter, len(remote))
}

// wait waits until the datagrams are within the limit, but not longer than for a burst.
func (n *Node) wait(ctx context.Context, limiter *rate.Limiter, datagrams int) {
	// An error means that the context has ended, which the caller sees by itself.
	_ = limiter.WaitN(ctx, min(datagrams, datagramBurst))
}

// remoteHubs returns the addresses of the hubs of the other data centres: those whose
// digests arrive, and if these are too few, the other VMs there in turn. The caller holds
// the lock.
func (n *Node) remoteHubs(now time.Time) []*net.UDPAddr {
	dataCentres := map[string]bool{}
	for _, p := range n.peers {
		if p.dataCentre != n.config.Self.DataCentre {
			dataCentres[p.dataCentre] = true
		}
	}
	var addresses []*net.UDPAddr
	for dataCentre := range dataCentres {
		hubs := n.tracker.hubsOf(now, dataCentre)
		candidates := n.candidates(dataCentre)
		found := 0
		for _, candidate := range candidates {
			if found < hubsPerDataCentre && slices.Contains(hubs, candidate.id) {
				addresses = append(addresses, candidate.address)
				found++
			}
		}
		for _, candidate := range unheardCandidates(now, candidates, hubs) {
			if found < hubsPerDataCentre {
				addresses = append(addresses, candidate.address)
				found++
			}
		}
	}
	return addresses
}

// unheardCandidates returns the candidates that are not among the hubs, in the order in which to try them: the first
// one, which the VMs there report to if it is up, then the others in turn. Load pattern: all VMs restart, and
// no hub has heard of the others yet; when they were only tried in turn, data centres heard of each other up to
// 1.4 s later and used a third of the teams' rates meanwhile.
func unheardCandidates(now time.Time, candidates []peer, hubs []string) []peer {
	unheard := slices.DeleteFunc(slices.Clone(candidates), func(p peer) bool { return slices.Contains(hubs, p.id) })
	if len(unheard) < 2 {
		return unheard
	}
	others := unheard[1:]
	turn := int(now.UnixMilli()/hubTimeout.Milliseconds()) % len(others)
	return slices.Concat(unheard[:1], others[turn:], others[:turn])
}

// SendStreams sends the records to the VM, in datagrams of at most maxRecordsPerDatagram.
func (n *Node) SendStreams(vmID string, records []bergamotgrade.StreamRecord) {
	n.mu.Lock()
	to, ok := n.peers[vmID]
	n.mu.Unlock()
	if !ok {
		return
	}
	for chunk := range slices.Chunk(records, maxRecordsPerDatagram) {
		data, err := encode(tagStreams, Streams{Records: chunk})
		if err != nil {
			n.config.Log.Error("records of streams cannot be encoded; not sent", "cause", err.Error())
			return
		}
		n.send(data, []*net.UDPAddr{to.address})
		if to.dataCentre != n.config.Self.DataCentre {
			n.countCrossing(ContentStreams, len(data))
		}
	}
}

func (n *Node) countCrossing(content Content, bytes int) {
	if n.config.OnCrossing != nil {
		n.config.OnCrossing(content, bytes)
	}
}

// pack joins the messages into datagrams of at most maxForwardBytes, unless one message
// alone is larger.
func pack(first []byte, others [][]byte) [][]byte {
	datagrams := [][]byte{slices.Clone(first)}
	for _, message := range others {
		last := len(datagrams) - 1
		if len(datagrams[last])+len(message) <= maxForwardBytes {
			datagrams[last] = append(datagrams[last], message...)
			continue
		}
		datagrams = append(datagrams, slices.Clone(message))
	}
	return datagrams
}

// send sends the datagram to the addresses.
func (n *Node) send(data []byte, to []*net.UDPAddr) {
	for _, address := range to {
		// An unreachable peer is detected by the absence of its own messages.
		if _, err := n.conn.WriteToUDP(data, address); err != nil {
			n.config.Metrics.Add("send_failed", 1)
		}
	}
	n.config.Metrics.Add("sent", int64(len(to)))
	n.config.Metrics.Add("sent_bytes", int64(len(to)*len(data)))
}

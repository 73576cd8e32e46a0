package vm

import (
	"context"
	"expvar"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/bergamotgrade/bergamotgrade/memory"
)

// Peers calls other VMs by address and keeps one connection to each.
type Peers struct {
	secret  []byte
	metrics *expvar.Map
	// account is charged with the answers that arrive; nil charges nothing.
	account *memory.Account

	mu    sync.Mutex
	peers map[string]*peer
}

// peer holds the connection to one VM.
type peer struct {
	address  string
	inFlight chan struct{}
	// dialLock is held by the call that checks or sets up the connection.
	dialLock chan struct{}

	mu   sync.Mutex
	conn *jsonrpc2.Conn
}

// NewPeers returns a client of the other VMs. The first call to an address connects to it.
func NewPeers(secret string, metrics *expvar.Map) *Peers {
	return &Peers{secret: []byte(secret), metrics: metrics, peers: map[string]*peer{}}
}

// Heartbeat sends this VM's heartbeat and returns the peer's.
func (p *Peers) Heartbeat(ctx context.Context, address string, call Heartbeat) (HeartbeatAnswer, error) {
	return Call[HeartbeatAnswer](ctx, p, address, methodHeartbeat, call)
}

// Notes requests accepted notes from the peer and offers notes to it.
func (p *Peers) Notes(ctx context.Context, address string, call NotesCall) (NotesAnswer, error) {
	return Call[NotesAnswer](ctx, p, address, methodNotes, call)
}

// Pending announces a note to the peer before its acceptance is attempted.
func (p *Peers) Pending(ctx context.Context, address string, call PendingCall) error {
	_, err := Call[Empty](ctx, p, address, methodPending, call)
	return err
}

// Evict asks the peer to agree to an eviction.
func (p *Peers) Evict(ctx context.Context, address string, call EvictCall) (EvictAnswer, error) {
	return Call[EvictAnswer](ctx, p, address, methodEvict, call)
}

// Pledge pledges standing shares to the peer or takes them back.
func (p *Peers) Pledge(ctx context.Context, address string, call PledgeCall) (PledgeAnswer, error) {
	return Call[PledgeAnswer](ctx, p, address, methodPledge, call)
}

// Borrow requests tokens from the peer.
func (p *Peers) Borrow(ctx context.Context, address string, call BorrowCall) (BorrowAnswer, error) {
	return Call[BorrowAnswer](ctx, p, address, methodBorrow, call)
}

// Table requests the peer's copy of the member table.
func (p *Peers) Table(ctx context.Context, address string) (TableAnswer, error) {
	return Call[TableAnswer](ctx, p, address, methodTable, TableCall{})
}

// InUse returns the number of the peer's requests of a model on a backend server.
func (p *Peers) InUse(ctx context.Context, address string, call InUseCall) (InUseAnswer, error) {
	return Call[InUseAnswer](ctx, p, address, methodInUse, call)
}

// JobChanged informs the peer that a batch job was accepted or cancelled.
func (p *Peers) JobChanged(ctx context.Context, address string, call JobCall) error {
	_, err := Call[Empty](ctx, p, address, methodJobChanged, call)
	return err
}

// PutSegment stores a segment on a disk VM.
func (p *Peers) PutSegment(ctx context.Context, address string, call SegmentCall) (SegmentAnswer, error) {
	return Call[SegmentAnswer](ctx, p, address, methodPutSegment, call)
}

// GetSegment requests a segment from a disk VM.
func (p *Peers) GetSegment(ctx context.Context, address string, call SegmentCall) (SegmentAnswer, error) {
	return Call[SegmentAnswer](ctx, p, address, methodGetSegment, call)
}

// SetAccount charges the account with the answers of peers; it is called before the first call.
func (p *Peers) SetAccount(account *memory.Account) { p.account = account }

func (p *Peers) peer(address string) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	found, ok := p.peers[address]
	if !ok {
		found = &peer{address: address, inFlight: make(chan struct{}, maxInFlightPerPeer), dialLock: make(chan struct{}, 1)}
		p.peers[address] = found
	}
	return found
}

// CloseOthers closes and removes the connections to all addresses that are not in keep.
func (p *Peers) CloseOthers(keep map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, known := range p.peers {
		if !keep[address] {
			known.closeConn(nil)
			delete(p.peers, address)
		}
	}
}

// Call makes one call. A call that fails without an answer closes the connection, because
// the connection may no longer deliver anything; the next call opens a new one.
func Call[A any](ctx context.Context, p *Peers, address, method string, call any) (A, error) {
	var result A
	target := p.peer(address)
	select {
	case target.inFlight <- struct{}{}:
		defer func() { <-target.inFlight }()
	default:
		p.metrics.Add("queue_full", 1)
		return result, errors.Newf("limit of %d concurrent calls to VM %s reached", maxInFlightPerPeer, address)
	}
	p.metrics.Add("called_"+method, 1)
	conn, err := target.connect(ctx, p)
	if err != nil {
		p.metrics.Add("failed_calls", 1)
		return result, err
	}
	err = conn.Call(ctx, method, call, &result)
	var answerError *jsonrpc2.Error
	if err != nil && !errors.As(err, &answerError) {
		p.metrics.Add("failed_calls", 1)
		target.closeConn(conn)
	}
	return result, err
}

// connect returns the open connection or sets up a new one. It waits no longer than the
// context of the call allows.
func (p *peer) connect(ctx context.Context, peers *Peers) (*jsonrpc2.Conn, error) {
	select {
	case p.dialLock <- struct{}{}:
		defer func() { <-p.dialLock }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if open := p.openConn(); open != nil {
		return open, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: 10 * time.Second}
	raw, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	if err := handshakeClient(raw, peers.secret); err != nil {
		stop()
		_ = raw.Close()
		return nil, err
	}
	if !stop() {
		return nil, ctx.Err()
	}
	var holding *memory.Holding
	if peers.account != nil {
		holding = peers.account.Open(func() { _ = raw.Close() })
	}
	conn := newConn(context.WithoutCancel(ctx), raw, jsonrpc2.HandlerWithError(rejectCall), holding, peers.metrics)
	if holding != nil {
		go p.runHolding(conn, holding)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conn = conn
	return conn, nil
}

// runHolding closes the holding when the connection has ended.
func (p *peer) runHolding(conn *jsonrpc2.Conn, holding *memory.Holding) {
	<-conn.DisconnectNotify()
	holding.Close()
}

// openConn returns the connection, or nil if there is none or it has ended.
func (p *peer) openConn() *jsonrpc2.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == nil {
		return nil
	}
	select {
	case <-p.conn.DisconnectNotify():
		return nil
	default:
		return p.conn
	}
}

// rejectCall rejects calls from the peer: only this VM makes calls on the connection.
func rejectCall(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "this connection takes no calls"}
}

// closeConn closes the current connection if it is conn; a nil conn matches any.
func (p *peer) closeConn(conn *jsonrpc2.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == nil || (conn != nil && p.conn != conn) {
		return
	}
	_ = p.conn.Close()
	p.conn = nil
}

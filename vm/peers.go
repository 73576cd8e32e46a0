package vm

import (
	"context"
	"expvar"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// Peers calls other VMs by their addresses and keeps one connection to each.
type Peers struct {
	secret  []byte
	metrics *expvar.Map

	mu    sync.Mutex
	peers map[string]*peer
}

// peer is the connection to one VM.
type peer struct {
	address string
	slots   chan struct{}
	// dialing is held by the call that sets up the connection.
	dialing chan struct{}

	mu   sync.Mutex
	conn *jsonrpc2.Conn
}

// NewPeers returns a caller without connections.
func NewPeers(secret string, metrics *expvar.Map) *Peers {
	return &Peers{secret: []byte(secret), metrics: metrics, peers: map[string]*peer{}}
}

// Heartbeat sends the caller's heartbeat and returns the peer's.
func (p *Peers) Heartbeat(ctx context.Context, address string, call Heartbeat) (HeartbeatAnswer, error) {
	return Call[HeartbeatAnswer](ctx, p, address, methodHeartbeat, call)
}

// Notes fetches accepted notes from the peer and offers some to it.
func (p *Peers) Notes(ctx context.Context, address string, call NotesCall) (NotesAnswer, error) {
	return Call[NotesAnswer](ctx, p, address, methodNotes, call)
}

// Pending announces a note before its acceptance.
func (p *Peers) Pending(ctx context.Context, address string, call PendingCall) error {
	_, err := Call[Empty](ctx, p, address, methodPending, call)
	return err
}

// Evict asks the peer to agree to an eviction.
func (p *Peers) Evict(ctx context.Context, address string, call EvictCall) (EvictAnswer, error) {
	return Call[EvictAnswer](ctx, p, address, methodEvict, call)
}

// Pledge lends standing shares to the peer.
func (p *Peers) Pledge(ctx context.Context, address string, call PledgeCall) (PledgeAnswer, error) {
	return Call[PledgeAnswer](ctx, p, address, methodPledge, call)
}

// Borrow asks the peer for tokens.
func (p *Peers) Borrow(ctx context.Context, address string, call BorrowCall) (BorrowAnswer, error) {
	return Call[BorrowAnswer](ctx, p, address, methodBorrow, call)
}

// Table fetches the peer's copy of the member table.
func (p *Peers) Table(ctx context.Context, address string) (TableAnswer, error) {
	return Call[TableAnswer](ctx, p, address, methodTable, TableCall{})
}

// InUse asks the peer for its requests of a model on a backend server.
func (p *Peers) InUse(ctx context.Context, address string, call InUseCall) (InUseAnswer, error) {
	return Call[InUseAnswer](ctx, p, address, methodInUse, call)
}

// JobChanged tells the peer of a batch job.
func (p *Peers) JobChanged(ctx context.Context, address string, call JobCall) error {
	_, err := Call[Empty](ctx, p, address, methodJob, call)
	return err
}

// PutSegment stores a segment on a disk VM.
func (p *Peers) PutSegment(ctx context.Context, address string, call SegmentCall) (SegmentAnswer, error) {
	return Call[SegmentAnswer](ctx, p, address, methodPut, call)
}

// GetSegment fetches a segment from a disk VM.
func (p *Peers) GetSegment(ctx context.Context, address string, call SegmentCall) (SegmentAnswer, error) {
	return Call[SegmentAnswer](ctx, p, address, methodGet, call)
}

func (p *Peers) peer(address string) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	found, ok := p.peers[address]
	if !ok {
		found = &peer{address: address, slots: make(chan struct{}, maxInFlight), dialing: make(chan struct{}, 1)}
		p.peers[address] = found
	}
	return found
}

// Forget closes the connections to all addresses but the given ones.
func (p *Peers) Forget(keep map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, known := range p.peers {
		if !keep[address] {
			known.drop(nil)
			delete(p.peers, address)
		}
	}
}

// Call makes one call. A call that fails closes the connection, since it
// may have gone silent for good; the next call opens a new one.
func Call[A any](ctx context.Context, p *Peers, address, method string, call any) (A, error) {
	var result A
	target := p.peer(address)
	select {
	case target.slots <- struct{}{}:
		defer func() { <-target.slots }()
	default:
		p.metrics.Add("queue_full", 1)
		return result, errors.Newf("%d calls to VM %s are under way", maxInFlight, address)
	}
	p.metrics.Add("called_"+method, 1)
	conn, err := target.connect(ctx, p)
	if err != nil {
		p.metrics.Add("failed_calls", 1)
		return result, err
	}
	err = conn.Call(ctx, method, call, &result)
	var refusal *jsonrpc2.Error
	if err != nil && !errors.As(err, &refusal) {
		p.metrics.Add("failed_calls", 1)
		target.drop(conn)
	}
	return result, err
}

// connect returns the open connection or sets up a new one. Calls wait for a
// connection no longer than their own context allows.
func (t *peer) connect(ctx context.Context, p *Peers) (*jsonrpc2.Conn, error) {
	select {
	case t.dialing <- struct{}{}:
		defer func() { <-t.dialing }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if open := t.open(); open != nil {
		return open, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: 10 * time.Second}
	raw, err := dialer.DialContext(ctx, "tcp", t.address)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	if err := handshakeClient(raw, p.secret); err != nil {
		stop()
		_ = raw.Close()
		return nil, err
	}
	if !stop() {
		return nil, ctx.Err()
	}
	conn := newConn(context.WithoutCancel(ctx), raw, jsonrpc2.HandlerWithError(refuseCalls), p.metrics)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conn = conn
	return conn, nil
}

// open returns the connection if it has not ended.
func (t *peer) open() *jsonrpc2.Conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn == nil {
		return nil
	}
	select {
	case <-t.conn.DisconnectNotify():
		return nil
	default:
		return t.conn
	}
}

// refuseCalls answers calls on a connection that only this VM calls on.
func refuseCalls(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "this connection takes no calls"}
}

// drop closes the connection if it is still the current one; nil means any.
func (t *peer) drop(conn *jsonrpc2.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn == nil || (conn != nil && t.conn != conn) {
		return
	}
	_ = t.conn.Close()
	t.conn = nil
}

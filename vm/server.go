package vm

import (
	"context"
	"encoding/json"
	"expvar"
	"net"
	"sync"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/bergamotgrade/bergamotgrade/memory"
)

// ServeFunc handles one call of another VM and returns its answer.
type ServeFunc func(ctx context.Context, method string, params *json.RawMessage) (any, error)

// Server answers the calls of other VMs.
type Server struct {
	secret      []byte
	serve       ServeFunc
	metrics     *expvar.Map
	callSlots   chan struct{}
	connections sync.WaitGroup
}

// NewServer returns a server that passes calls to the handler; Run accepts connections.
func NewServer(secret string, handler Handler, metrics *expvar.Map) *Server {
	return NewFuncServer(secret, func(ctx context.Context, method string, params *json.RawMessage) (any, error) {
		return Serve(ctx, handler, method, params)
	}, metrics)
}

// NewFuncServer returns a server that passes calls to the function.
func NewFuncServer(secret string, serve ServeFunc, metrics *expvar.Map) *Server {
	return &Server{secret: []byte(secret), serve: serve, metrics: metrics, callSlots: make(chan struct{}, maxConcurrentCalls)}
}

// Run accepts connections until the context ends or the listener fails, then waits until the
// open connections have ended.
func (s *Server) Run(ctx context.Context, listener net.Listener) {
	defer s.connections.Wait()
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s.connections.Go(func() { s.run(ctx, conn) })
	}
}

// run serves one connection until it is closed or the context ends.
func (s *Server) run(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	if err := handshakeServer(conn, s.secret); err != nil {
		s.metrics.Add("refused_connections", 1)
		return
	}
	var holding *memory.Holding
	if counted, ok := conn.(*memory.Conn); ok {
		holding = counted.Holding()
	}
	handle := func(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
		return s.handle(ctx, holding, req)
	}
	rpc := newConn(ctx, conn, jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(handle)), holding, s.metrics)
	defer rpc.Close()
	select {
	case <-ctx.Done():
	case <-rpc.DisconnectNotify():
	}
}

// handle handles one call. It rejects calls beyond maxConcurrentCalls, or for whose parameters
// there is no room, immediately.
func (s *Server) handle(ctx context.Context, holding *memory.Holding, req *jsonrpc2.Request) (any, error) {
	select {
	case s.callSlots <- struct{}{}:
		defer func() { <-s.callSlots }()
	default:
		s.metrics.Add("overloaded", 1)
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: "too many calls are under way; try again"}
	}
	if req.Params != nil {
		// The parameters are held as they arrived and decoded.
		held := 2 * int64(len(*req.Params))
		if err := holding.Reserve(held); err != nil {
			s.metrics.Add("overloaded", 1)
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error() + "; try again"}
		}
		defer holding.Release(held)
	}
	s.metrics.Add("served_"+req.Method, 1)
	return s.serve(ctx, req.Method, req.Params)
}

// Serve decodes the parameters of one call and passes them to the handler's method.
func Serve(ctx context.Context, handler Handler, method string, params *json.RawMessage) (any, error) {
	if params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "the call has no parameters"}
	}
	switch method {
	case methodHeartbeat:
		return DecodeAndHandle(*params, func(c Heartbeat) any { return handler.Heartbeat(ctx, c) })
	case methodNotes:
		return DecodeAndHandle(*params, func(c NotesCall) any { return handler.Notes(ctx, c) })
	case methodPending:
		return DecodeAndHandle(*params, func(c PendingCall) any { handler.Pending(ctx, c); return Empty{} })
	case methodEvict:
		return DecodeAndHandle(*params, func(c EvictCall) any { return handler.Evict(ctx, c) })
	case methodPledge:
		return DecodeAndHandle(*params, func(c PledgeCall) any { return handler.Pledge(ctx, c) })
	case methodBorrow:
		return DecodeAndHandle(*params, func(c BorrowCall) any { return handler.Borrow(ctx, c) })
	case methodTable:
		return DecodeAndHandle(*params, func(c TableCall) any { return handler.Table(ctx, c) })
	case methodInUse:
		return DecodeAndHandle(*params, func(c InUseCall) any { return handler.InUse(ctx, c) })
	case methodJobChanged:
		return DecodeAndHandle(*params, func(c JobCall) any { handler.JobChanged(ctx, c); return Empty{} })
	case methodPutSegment:
		return DecodeAndHandle(*params, func(c SegmentCall) any { return handler.PutSegment(ctx, c) })
	case methodGetSegment:
		return DecodeAndHandle(*params, func(c SegmentCall) any { return handler.GetSegment(ctx, c) })
	}
	// During an upgrade an older VM receives methods that only newer VMs know.
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "this VM does not know the method"}
}

// DecodeAndHandle decodes the parameters of a call and returns the result of handle.
func DecodeAndHandle[C any](params []byte, handle func(C) any) (any, error) {
	var call C
	if err := json.Unmarshal(params, &call); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	return handle(call), nil
}

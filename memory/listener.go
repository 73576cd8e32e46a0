package memory

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Limits bound the connections of a listener. A zero field sets no limit.
type Limits struct {
	// HeadBytes bounds the head of a request.
	HeadBytes int
	// HeadTimeout bounds the time from the first byte of a head to its end.
	HeadTimeout time.Duration
	// IdleTimeout bounds the time without a request.
	IdleTimeout time.Duration
}

// Listener accepts connections within a bound and closes those that exceed the limits.
type Listener struct {
	net.Listener
	account *Account
	most    int
	limits  func() Limits
	// countsHeads is set for listeners of HTTP servers.
	countsHeads bool
	closed      atomic.Int64

	mu    sync.Mutex
	conns map[*Conn]struct{}
}

// NewHTTPListener returns a listener for an HTTP server that Attach was called for, with at most the
// number of open connections. limits is asked again for each look at the connections, since a
// configuration may change it.
func NewHTTPListener(inner net.Listener, account *Account, most int, limits func() Limits) *Listener {
	return &Listener{Listener: inner, account: account, most: most, limits: limits, countsHeads: true, conns: map[*Conn]struct{}{}}
}

// NewListener returns a listener for a protocol without heads, with at most the number of open
// connections.
func NewListener(inner net.Listener, account *Account, most int) *Listener {
	return &Listener{Listener: inner, account: account, most: most, limits: func() Limits { return Limits{} }, conns: map[*Conn]struct{}{}}
}

// Accept implements net.Listener. Beyond the bound it closes the connection that has been without
// a request for longest; if all have one, it closes the new one.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		now := l.account.clock.Now()
		conn := &Conn{Conn: raw, listener: l, waitsSince: now}
		conn.holding = l.account.Open(conn.evict)
		if l.add(now, conn) && conn.holding.Reserve(connBytes) == nil {
			return conn, nil
		}
		_ = conn.Close()
	}
}

// add registers the connection. It returns false if there is no room for it.
func (l *Listener) add(now time.Time, conn *Conn) bool {
	l.mu.Lock()
	var oldest *Conn
	if len(l.conns) >= l.most {
		longest := time.Duration(-1)
		for other := range l.conns {
			if waited, waits := other.waited(now); waits && waited > longest {
				oldest, longest = other, waited
			}
		}
		if oldest == nil {
			l.mu.Unlock()
			return false
		}
		delete(l.conns, oldest)
	}
	l.conns[conn] = struct{}{}
	l.mu.Unlock()
	if oldest != nil {
		oldest.evict()
	}
	return true
}

// Run closes connections that exceed the limits until the context ends.
func (l *Listener) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.sweep(l.account.clock.Now())
		}
	}
}

func (l *Listener) sweep(now time.Time) {
	limits := l.limits()
	l.mu.Lock()
	var overdue []*Conn
	open := make([]*Conn, 0, len(l.conns))
	for conn := range l.conns {
		open = append(open, conn)
		if conn.isOverdue(now, limits) {
			overdue = append(overdue, conn)
		}
	}
	l.mu.Unlock()
	for _, conn := range open {
		conn.holding.SetUnread(conn.unreadBytes())
	}
	for _, conn := range overdue {
		conn.evict()
	}
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// Closed returns the number of connections that were closed because of a limit or the budget.
func (l *Listener) Closed() int64 { return l.closed.Load() }

// Attach makes the HTTP server report the states of its connections to the listener, and gives its
// handlers the holding of their connection.
func Attach(server *http.Server) {
	before := server.ConnState
	server.ConnState = func(raw net.Conn, state http.ConnState) {
		if conn, ok := raw.(*Conn); ok {
			conn.setState(state)
		}
		if before != nil {
			before(raw, state)
		}
	}
	server.ConnContext = func(ctx context.Context, raw net.Conn) context.Context {
		if conn, ok := raw.(*Conn); ok {
			return context.WithValue(ctx, holdingKey{}, conn.holding)
		}
		return ctx
	}
}

type holdingKey struct{}

// Of returns the holding of the request's connection, or a new one of the account if the
// connection has none. The caller calls done at the end of the request.
func (a *Account) Of(ctx context.Context) (holding *Holding, done func()) {
	if holding, ok := ctx.Value(holdingKey{}).(*Holding); ok {
		return holding, func() {}
	}
	holding = a.Open(nil)
	return holding, holding.Close
}

// Conn is a connection of a Listener.
type Conn struct {
	net.Conn
	listener *Listener
	holding  *Holding

	mu sync.Mutex
	// hasRequest is set between the end of a head and the end of the response.
	hasRequest bool
	// waitsSince is the end of the last request; headSince is zero before the first byte of a head.
	waitsSince, headSince time.Time
	// headBytes and headLines are what was read of the head, headHeld is what is held for it.
	headBytes, headHeld int64
	headLines           int
	// lineBytes is the number of bytes of the current line of the head; headEnded is set by an empty line.
	lineBytes int
	headEnded bool
}

// errHeadTooLarge is returned to the reader of a head that exceeds its limit.
var errHeadTooLarge = errors.New("the head of the request exceeds its limit")

// Read implements net.Conn. It counts the bytes of heads.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		if limitErr := c.countHead(p[:n]); limitErr != nil {
			return 0, limitErr
		}
	}
	return n, err
}

// countHead counts bytes read if they belong to a head. It calls the account without the
// connection's lock: an eviction takes the locks of the listener and of other connections.
func (c *Conn) countHead(data []byte) error {
	limit := c.listener.limits().HeadBytes
	now := c.listener.account.clock.Now()
	c.mu.Lock()
	if !c.listener.countsHeads {
		c.waitsSince = now
		c.mu.Unlock()
		return nil
	}
	if c.hasRequest {
		c.mu.Unlock()
		return nil
	}
	if c.headSince.IsZero() {
		c.headSince = now
	}
	lines := c.countLines(data)
	cost := int64(len(data)) + int64(lines)*fieldBytes
	c.headBytes += int64(len(data))
	c.headLines += lines
	tooLarge := limit > 0 && c.headBytes > int64(limit)+headSlopBytes || c.headLines > maxHeadFields
	c.mu.Unlock()
	if tooLarge {
		c.listener.closed.Add(1)
		return errHeadTooLarge
	}
	if err := c.holding.Reserve(cost); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headHeld += cost
	return nil
}

// countLines returns the number of lines of the head that end in the data. The body may follow in it. The caller
// holds the lock.
func (c *Conn) countLines(data []byte) int {
	lines := 0
	for _, b := range data {
		switch {
		case c.headEnded:
			return lines
		case b == '\n':
			lines++
			c.headEnded = c.lineBytes == 0
			c.lineBytes = 0
		case b != '\r':
			c.lineBytes++
		}
	}
	return lines
}

// setState follows the states of net/http.
func (c *Conn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateActive:
		c.hasRequest = true
	case http.StateIdle:
		c.holding.Release(c.headHeld)
		c.hasRequest, c.headBytes, c.headHeld, c.headLines, c.headSince = false, 0, 0, 0, time.Time{}
		c.lineBytes, c.headEnded = 0, false
		c.waitsSince = c.listener.account.clock.Now()
		c.holding.Progress()
	}
}

// waited returns how long the connection has been without a request; waits is false if it has one.
func (c *Conn) waited(now time.Time) (waited time.Duration, waits bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.waitsSince), !c.hasRequest
}

func (c *Conn) isOverdue(now time.Time, limits Limits) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.hasRequest:
		return false
	case !c.headSince.IsZero():
		return limits.HeadTimeout > 0 && now.Sub(c.headSince) > limits.HeadTimeout
	}
	return limits.IdleTimeout > 0 && now.Sub(c.waitsSince) > limits.IdleTimeout
}

// unreadBytes returns the number of bytes that have arrived and were not read.
func (c *Conn) unreadBytes() int64 {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0 // the connection is closed
	}
	unread := 0
	if err := raw.Control(func(fd uintptr) { unread, _ = unix.IoctlGetInt(int(fd), unix.SIOCINQ) }); err != nil {
		return 0
	}
	return int64(unread)
}

// Holding returns the bytes that are held for the connection.
func (c *Conn) Holding() *Holding { return c.holding }

// evict closes the connection because of a limit or the budget.
func (c *Conn) evict() {
	c.listener.closed.Add(1)
	_ = c.Close()
}

// CloseWrite closes the sending side. net/http calls it so that the client receives the last
// response although bytes of its request are unread.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	c.holding.Close()
	return c.Conn.Close()
}

// Package tcpproxy forwards TCP connections and injects network faults between the
// processes of a test.
package tcpproxy

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Proxy forwards TCP connections to a target and injects faults into them.
type Proxy struct {
	address string
	delay   atomic.Int64
	// blackholeNew drops all data on new connections.
	blackholeNew atomic.Bool

	mu          sync.Mutex
	target      string
	listener    net.Listener
	connections map[*connection]struct{}
}

// connection is one forwarded connection.
type connection struct {
	proxy  *Proxy
	client net.Conn
	server net.Conn
	// dropToServer and dropToClient drop the data in their direction.
	dropToServer atomic.Bool
	dropToClient atomic.Bool
	// truncateAfter is the number of further bytes to the client after which the
	// connection is reset; negative means never.
	truncateAfter atomic.Int64
}

// New returns a proxy to the target that listens on the address, both host:port. Run
// accepts its connections. The port has to lie below the range of outgoing connections:
// one of these could otherwise take it between Close and Reopen.
func New(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &Proxy{target: target, address: listener.Addr().String(), listener: listener, connections: map[*connection]struct{}{}}, nil
}

// Address returns the host:port that the proxy listens on.
func (p *Proxy) Address() string { return p.address }

// Run accepts and forwards connections until Close.
func (p *Proxy) Run() {
	p.mu.Lock()
	listener := p.listener
	p.mu.Unlock()
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		go p.forward(client)
	}
}

// Close closes the listener and resets all open connections; new connections are refused.
func (p *Proxy) Close() {
	p.mu.Lock()
	stopListening(p.listener)
	p.mu.Unlock()
	p.ResetOpen()
}

// stopListening closes the listener. A process that this one has forked and that has not yet
// executed its program holds the socket too, so closing alone would leave it listening.
func stopListening(listener net.Listener) {
	if raw, err := listener.(*net.TCPListener).SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = unix.Shutdown(int(fd), unix.SHUT_RDWR) })
	}
	_ = listener.Close()
}

// Reopen listens on the same address again after Close; Run has to be called again.
func (p *Proxy) Reopen() error {
	listener, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listener = listener
	return nil
}

// SetTarget forwards new connections to another target and resets the open ones.
func (p *Proxy) SetTarget(target string) {
	p.mu.Lock()
	p.target = target
	p.mu.Unlock()
	p.ResetOpen()
}

// Target returns the target (host:port) of new connections.
func (p *Proxy) Target() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.target
}

// SetDelay delays the data of every read in both directions; zero disables the delay.
func (p *Proxy) SetDelay(delay time.Duration) { p.delay.Store(int64(delay)) }

// BlackholeNew makes the proxy accept new connections but drop all their data.
func (p *Proxy) BlackholeNew(enabled bool) { p.blackholeNew.Store(enabled) }

// ResetOpen resets all open connections.
func (p *Proxy) ResetOpen() {
	for _, c := range p.openConnections() {
		reset(c.client)
		reset(c.server)
	}
}

// BlackholeOpen drops the data on all open connections, in the given directions, without
// closing them; new connections are not affected. Two false values end the dropping.
func (p *Proxy) BlackholeOpen(toServer, toClient bool) {
	for _, c := range p.openConnections() {
		c.dropToServer.Store(toServer)
		c.dropToClient.Store(toClient)
	}
}

// Truncate resets each open connection after the given number of further bytes to the
// client.
func (p *Proxy) Truncate(after int64) {
	for _, c := range p.openConnections() {
		c.truncateAfter.Store(after)
	}
}

func (p *Proxy) openConnections() []*connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	connections := make([]*connection, 0, len(p.connections))
	for c := range p.connections {
		connections = append(connections, c)
	}
	return connections
}

// forward forwards one connection in both directions until it ends.
func (p *Proxy) forward(client net.Conn) {
	defer client.Close()
	server, err := net.Dial("tcp", p.Target())
	if err != nil {
		reset(client)
		return
	}
	defer server.Close()
	c := &connection{proxy: p, client: client, server: server}
	c.truncateAfter.Store(-1)
	c.dropToServer.Store(p.blackholeNew.Load())
	c.dropToClient.Store(p.blackholeNew.Load())
	p.mu.Lock()
	p.connections[c] = struct{}{}
	p.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { c.copyDirection(server, client, &c.dropToServer, false) })
	directions.Go(func() { c.copyDirection(client, server, &c.dropToClient, true) })
	directions.Wait()
	p.mu.Lock()
	delete(p.connections, c)
	p.mu.Unlock()
}

// copyDirection copies the data of one direction and applies the faults to it.
func (c *connection) copyDirection(to, from net.Conn, drop *atomic.Bool, toClient bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !drop.Load() {
			time.Sleep(time.Duration(c.proxy.delay.Load()))
			if _, werr := to.Write(c.truncate(buffer[:n], toClient)); werr != nil {
				return
			}
		}
		if err == nil {
			continue
		}
		if drop.Load() {
			return // a blackholed direction does not forward the end of the stream either
		}
		if tcp, ok := to.(*net.TCPConn); ok && err == io.EOF {
			_ = tcp.CloseWrite()
			return
		}
		reset(to)
		return
	}
}

// truncate returns the data to forward. If the data exceeds the remaining bytes to the
// client, it writes the remaining bytes, resets the connection and returns nil.
func (c *connection) truncate(data []byte, toClient bool) []byte {
	remaining := c.truncateAfter.Load()
	if !toClient || remaining < 0 {
		return data
	}
	if int64(len(data)) <= remaining {
		c.truncateAfter.Add(-int64(len(data)))
		return data
	}
	_, _ = c.client.Write(data[:remaining])
	reset(c.client)
	reset(c.server)
	return nil
}

// reset closes a connection with RST instead of FIN.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

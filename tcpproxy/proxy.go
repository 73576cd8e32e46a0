// Package tcpproxy forwards TCP connections and injects faults into them, for tests
// of real processes.
package tcpproxy

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Proxy forwards TCP connections to a target and injects faults.
type Proxy struct {
	address string
	delay   atomic.Int64
	// swallow makes new connections silent too.
	swallow atomic.Bool

	mu       sync.Mutex
	target   string
	listener net.Listener
	links    map[*link]struct{}
}

// link is one forwarded connection.
type link struct {
	proxy  *Proxy
	client net.Conn
	server net.Conn
	// toServer and toClient drop what passes in their direction.
	toServer atomic.Bool
	toClient atomic.Bool
	// truncate is the number of bytes to the client after which the link is
	// cut; negative means never.
	truncate atomic.Int64
}

// New returns a proxy that listens on a free loopback port.
func New(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &Proxy{target: target, address: listener.Addr().String(), listener: listener, links: map[*link]struct{}{}}, nil
}

// Address returns the host:port that the proxy listens on.
func (p *Proxy) Address() string { return p.address }

// Run forwards connections until the listener closes.
func (p *Proxy) Run() {
	p.mu.Lock()
	listener := p.listener
	p.mu.Unlock()
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		go p.run(client)
	}
}

// Close stops the proxy and cuts all links; new connections are refused.
func (p *Proxy) Close() {
	p.mu.Lock()
	_ = p.listener.Close()
	p.mu.Unlock()
	p.Cut()
}

// Reopen listens again after Close; Run has to be called again.
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

// SetTarget has new connections go to another target, and cuts the open ones.
func (p *Proxy) SetTarget(target string) {
	p.mu.Lock()
	p.target = target
	p.mu.Unlock()
	p.Cut()
}

// Target returns where new connections go.
func (p *Proxy) Target() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.target
}

// SetDelay delays each piece of data in both directions.
func (p *Proxy) SetDelay(delay time.Duration) { p.delay.Store(int64(delay)) }

// SetSwallow makes new connections silent.
func (p *Proxy) SetSwallow(swallow bool) { p.swallow.Store(swallow) }

// Cut resets all open links.
func (p *Proxy) Cut() {
	for _, l := range p.open() {
		reset(l.client)
		reset(l.server)
	}
}

// Silence makes all open links drop data without closing, in one direction or
// in both; new connections work.
func (p *Proxy) Silence(toServer, toClient bool) {
	for _, l := range p.open() {
		l.toServer.Store(toServer)
		l.toClient.Store(toClient)
	}
}

// Truncate cuts each open link after as many further bytes to the client.
func (p *Proxy) Truncate(after int64) {
	for _, l := range p.open() {
		l.truncate.Store(after)
	}
}

func (p *Proxy) open() []*link {
	p.mu.Lock()
	defer p.mu.Unlock()
	links := make([]*link, 0, len(p.links))
	for l := range p.links {
		links = append(links, l)
	}
	return links
}

// run forwards one connection until it ends.
func (p *Proxy) run(client net.Conn) {
	defer client.Close()
	server, err := net.Dial("tcp", p.Target())
	if err != nil {
		reset(client)
		return
	}
	defer server.Close()
	l := &link{proxy: p, client: client, server: server}
	l.truncate.Store(-1)
	l.toServer.Store(p.swallow.Load())
	l.toClient.Store(p.swallow.Load())
	p.mu.Lock()
	p.links[l] = struct{}{}
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { l.loop(server, client, &l.toServer, false) })
	both.Go(func() { l.loop(client, server, &l.toClient, true) })
	both.Wait()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

// loop copies one direction and applies the faults to it.
func (l *link) loop(to, from net.Conn, silent *atomic.Bool, toClient bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !silent.Load() {
			time.Sleep(time.Duration(l.proxy.delay.Load()))
			if _, werr := to.Write(l.cutShort(buffer[:n], toClient)); werr != nil {
				return
			}
		}
		if err == nil {
			continue
		}
		if silent.Load() {
			return // a silent link does not pass the end on either
		}
		if tcp, ok := to.(*net.TCPConn); ok && err == io.EOF {
			_ = tcp.CloseWrite()
			return
		}
		reset(to)
		return
	}
}

// cutShort applies the truncation and resets the link once it is used up.
func (l *link) cutShort(data []byte, toClient bool) []byte {
	left := l.truncate.Load()
	if !toClient || left < 0 {
		return data
	}
	if int64(len(data)) <= left {
		l.truncate.Add(-int64(len(data)))
		return data
	}
	_, _ = l.client.Write(data[:left])
	reset(l.client)
	reset(l.server)
	return nil
}

// reset closes a connection with RST in place of FIN.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

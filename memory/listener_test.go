package memory

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
)

// serveHTTP serves the handler on a Listener with the limits.
func serveHTTP(t *testing.T, most int, limits Limits, handler http.Handler) (*Listener, *Account) {
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	account := New(bergamotgrade.SystemClock{}, 8<<20, nil)
	listener := NewHTTPListener(inner, account, most, func() Limits { return limits })
	server := &http.Server{Handler: handler}
	Attach(server)
	ctx, cancel := context.WithCancel(context.Background())
	go listener.Run(ctx)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { cancel(); _ = server.Close() })
	return listener, account
}

func dial(t *testing.T, listener *Listener, text string) net.Conn {
	conn, err := net.Dial("tcp4", listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, text)
	qt.Assert(t, err, qt.IsNil)
	return conn
}

// expectEnd waits until the server has closed the connection, and returns what it sent.
func expectEnd(t *testing.T, conn net.Conn) string {
	qt.Assert(t, conn.SetReadDeadline(time.Now().Add(20*time.Second)), qt.IsNil)
	data, err := io.ReadAll(conn)
	qt.Assert(t, os.IsTimeout(err), qt.IsFalse, qt.Commentf("the connection is still open"))
	return string(data)
}

// TestConnectionsWithoutRequest guards against connections that stay open without a request: idle ones,
// half heads and heads over the limit.
func TestConnectionsWithoutRequest(t *testing.T) {
	listener, account := serveHTTP(t, 10, Limits{HeadBytes: 1024, HeadTimeout: 50 * time.Millisecond, IdleTimeout: 100 * time.Millisecond}, http.NotFoundHandler())
	for _, text := range []string{"", "GET / HTTP/1.1\r\nHost:", "GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 64<<10), "GET / HTTP/1.1\r\nHost: h\r\n\r\n"} {
		expectEnd(t, dial(t, listener, text))
	}
	for listener.Open() > 0 {
		time.Sleep(time.Millisecond)
	}
	account.mu.Lock()
	defer account.mu.Unlock()
	qt.Assert(t, account.held, qt.Equals, int64(0))
}

// TestBoundOfConnections guards against a new client that is turned away while idle connections use up
// the bound, and against the end of a connection whose request runs.
func TestBoundOfConnections(t *testing.T) {
	hold, began := make(chan struct{}), make(chan struct{})
	listener, _ := serveHTTP(t, 2, Limits{}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(began)
			<-hold
		}
		_, _ = io.WriteString(w, "served")
	}))
	slow := dial(t, listener, "GET /slow HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	idle := dial(t, listener, "")
	<-began
	for listener.Open() < 2 {
		time.Sleep(time.Millisecond)
	}
	next := dial(t, listener, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	qt.Assert(t, strings.HasSuffix(expectEnd(t, next), "served"), qt.IsTrue)
	expectEnd(t, idle)
	close(hold)
	qt.Assert(t, strings.HasSuffix(expectEnd(t, slow), "served"), qt.IsTrue)
}

// TestStoppedBody guards against bodies that stop short: they end with a refusal, whether the handler
// reads them or not, and nothing stays reserved but the connection.
func TestStoppedBody(t *testing.T) {
	var bodies *Bodies
	listener, account := serveHTTP(t, 10, Limits{}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		bodies.Begin(w, r)
		if r.URL.Path == "/unread" {
			return
		}
		data, _, release, err := bodies.Read(w, r, 1<<20, time.Now().Add(time.Minute))
		if err != nil {
			http.Error(w, err.Error(), http.StatusRequestTimeout)
			return
		}
		defer release()
		_, _ = w.Write(data)
	}))
	bodies = NewBodies(account, Progress{Bytes: 10, Window: time.Second})
	for _, path := range []string{"/unread", "/read"} {
		reply := expectEnd(t, dial(t, listener, "POST "+path+" HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\nbegun"))
		qt.Assert(t, strings.Contains(reply, "408") || path == "/unread", qt.IsTrue, qt.Commentf(reply))
	}
	// A body that is slow but makes progress is read to its end.
	slow := dial(t, listener, "POST /read HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 150\r\n\r\n")
	for range 15 {
		time.Sleep(100 * time.Millisecond)
		_, err := io.WriteString(slow, "0123456789")
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Assert(t, strings.HasSuffix(expectEnd(t, slow), strings.Repeat("0123456789", 15)), qt.IsTrue)
}

// TestUnreadBytes guards against bytes that gather in the sockets of clients whose requests run: they
// count, and a client with many of them is closed when the budget is short.
func TestUnreadBytes(t *testing.T) {
	hold := make(chan struct{})
	defer close(hold)
	listener, account := serveHTTP(t, 10, Limits{}, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-hold }))
	conn := dial(t, listener, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	go func() { _, _ = conn.Write(make([]byte, 16<<20)) }()
	held := func() int64 {
		account.mu.Lock()
		defer account.mu.Unlock()
		return account.held
	}
	for held() < connBytes+pinnedUnreadBytes {
		time.Sleep(time.Millisecond)
	}
	for account.Open(nil).Reserve(1<<20) == nil && listener.Open() > 0 {
		time.Sleep(time.Millisecond)
	}
	qt.Assert(t, listener.Open(), qt.Equals, 0)
}

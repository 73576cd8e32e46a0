package backend

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against bytes without end that a client keeps: in a head, in interim heads, in a body, between events.
func TestEndlessBytes(t *testing.T) {
	const maxBytes = maxAnswerBytes + 8<<20 // buffers of the kernel on both sides included
	const head = "HTTP/1.1 200 OK\r\n" + headerAttemptID + ": r\r\n"
	block := strings.Repeat("x", 1<<10)
	for _, test := range []struct {
		name, prefix, pattern string
		most                  int64
	}{
		{"status line", "", block, 8 << 20},
		{"header value", "HTTP/1.1 200 OK\r\nX-A: ", block, 8 << 20},
		{"headers", "HTTP/1.1 200 OK\r\n", "X-A: " + block + "\r\n", 8 << 20},
		{"interim heads", "", "HTTP/1.1 103 Early Hints\r\n\r\n", 8 << 20},
		{"body", head + "\r\n", block, maxBytes},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var sent atomic.Int64
			server := rawServer(t, test.prefix, func(conn *net.TCPConn, request *http.Request) {
				_, _ = io.Copy(io.Discard, request.Body)
				for n, err := 0, error(nil); err == nil; sent.Add(int64(n)) {
					n, err = io.WriteString(conn, test.pattern)
				}
			})
			began := time.Now()
			_, err := callOnce(server, 3, false)
			qt.Assert(t, err, qt.IsNotNil)
			qt.Assert(t, time.Since(began) < 2*time.Second, qt.IsTrue)
			time.Sleep(100 * time.Millisecond)
			qt.Assert(t, sent.Load() < test.most, qt.IsTrue, qt.Commentf("%d bytes sent", sent.Load()))
		})
	}
}

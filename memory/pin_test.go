package memory

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against requests that are closed to make room while a server may be running them: with and without a
// body, and while the response is written.
func TestRunningRequestsAreKept(t *testing.T) {
	began, hold := make(chan struct{}, 3), make(chan struct{})
	var bodies *Bodies
	listener, account := serveHTTP(t, 10, Limits{}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _, release, err := bodies.Read(w, r, 1<<20, time.Now().Add(time.Minute))
		qt.Check(t, err, qt.IsNil)
		defer release()
		if r.URL.Path == "/begun" {
			_, _ = io.WriteString(w, "se")
			_ = http.NewResponseController(w).Flush()
		}
		began <- struct{}{}
		<-hold
		_, _ = io.WriteString(w, "served")
	}))
	bodies = NewBodies(account, Progress{Bytes: 1, Window: time.Minute})
	var running []net.Conn
	for _, head := range []string{"GET /none HTTP/1.1\r\n", "POST /body HTTP/1.1\r\nContent-Length: 4\r\n", "GET /begun HTTP/1.1\r\n"} {
		text := head + "Host: h\r\nConnection: close\r\n\r\n"
		if head[0] == 'P' {
			text += "body"
		}
		running = append(running, dial(t, listener, text))
		<-began
	}
	waiting := dial(t, listener, "GET / HTTP/1.1\r\nX: ")
	for listener.Open() < 4 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond)
	crowd := account.Open(nil) // large bodies whose requests run
	defer crowd.Close()
	for crowd.Reserve(64<<10) == nil {
	}
	expectEnd(t, waiting) // half a head has promised nothing
	close(hold)
	for _, conn := range running {
		qt.Check(t, expectEnd(t, conn), qt.Contains, "served")
	}
}

package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
)

// rawServer answers each request with the text before it has read the body, and then calls end.
func rawServer(t *testing.T, text string, end func(conn *net.TCPConn, request *http.Request)) bergamotgrade.BackendServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, text)
				end(conn.(*net.TCPConn), request)
			}
			_ = conn.Close()
		}
	}()
	return bergamotgrade.BackendServer{BackendServerID: "s", Address: listener.Addr().String()}
}

func callOnce(server bergamotgrade.BackendServer, bodyBytes int, idempotent bool) (bergamotgrade.ServiceAnswer, error) {
	client := New(Timeouts{IdempotentCall: 3 * time.Second})
	return client.Call(context.Background(), server, bergamotgrade.ServiceCall{
		RequestID: "r", AttemptID: "r", Method: http.MethodPost, Path: "/x", Body: make([]byte, bodyBytes), Idempotent: idempotent, Deadline: time.Now().Add(3 * time.Second),
	})
}

const unframedAnswer = "HTTP/1.1 200 OK\r\n" + headerAttemptID + ": r\r\n\r\npart of an answer"

// Guards against an answer without a length that passes for complete although its connection was reset while
// the call was still being written.
func TestResetBeforeTheCallIsWritten(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		server := rawServer(t, unframedAnswer, func(conn *net.TCPConn, _ *http.Request) {
			time.Sleep(5 * time.Millisecond) // a reset discards what the peer has not read
			_ = conn.SetLinger(0)
		})
		complete := 0
		for range 30 {
			if _, err := callOnce(server, 16<<20, idempotent); err == nil {
				complete++
			}
		}
		qt.Check(t, complete, qt.Equals, 0)
	}
}

// An answer without a length is complete if the server has read the call.
func TestUnframedAnswerToWholeCall(t *testing.T) {
	server := rawServer(t, unframedAnswer, func(_ *net.TCPConn, request *http.Request) { _, _ = io.Copy(io.Discard, request.Body) })
	for _, bytes := range []int{0, 10, 1 << 20} {
		answer, err := callOnce(server, bytes, false)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(answer.Body), qt.Equals, "part of an answer")
	}
}

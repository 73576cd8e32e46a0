package backend

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
)

// Guards against a status that is no answer: callers got it as one, and 000 ended their connection.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for status, isAnswer := range map[string]bool{"000": false, "020": false, "101": false, "600": false, "999": false, "599": true, "299": true} {
		text := fmt.Sprintf("HTTP/1.1 %s Odd\r\n%s: r\r\nContent-Length: 3\r\n\r\nodd", status, headerAttemptID)
		server := rawServer(t, text, func(_ *net.TCPConn, request *http.Request) { _, _ = io.Copy(io.Discard, request.Body) })
		answer, err := callOnce(server, 3, false)
		qt.Check(t, err == nil, qt.Equals, isAnswer, qt.Commentf("status %s: %v", status, err))
		if isAnswer {
			qt.Check(t, string(answer.Body), qt.Equals, "odd")
		}
	}
}

// Guards against a stream of tokens below a status that is no success.
func TestStreamNeedsSuccess(t *testing.T) {
	for status, isStream := range map[string]bool{"000": false, "302": false, "600": false, "999": false, "200": true} {
		text := fmt.Sprintf("HTTP/1.1 %s Odd\r\n%s: r\r\n\r\n", status, headerAttemptID) + `data: {"id":"r","token_index":0,"choices":[]}` + "\n\n"
		server := rawServer(t, text, func(_ *net.TCPConn, request *http.Request) { _, _ = io.Copy(io.Discard, request.Body) })
		client := New(Timeouts{FirstToken: time.Second, TokenGap: time.Second})
		stream, err := client.Complete(context.Background(), server, bergamotgrade.Completion{AttemptID: "r", Path: "/x", Deadline: time.Now().Add(time.Second)})
		qt.Check(t, err == nil, qt.Equals, isStream, qt.Commentf("status %s: %v", status, err))
		if err == nil {
			_ = stream.Close()
		}
	}
}

package backend

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/standin"
	"github.com/bergamotgrade/bergamotgrade/tcpproxy"
)

// When open connections to a server go silent, the stream that stalls closes the idle ones
// too: the next attempt opens a new connection, which works, instead of waiting for its
// first token on another silent one.
func TestStalledStreamClosesIdleConnections(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(headerAttemptID)
		w.Header().Set(headerAttemptID, id)
		fmt.Fprintf(w, "data: {\"id\":%q,\"token_index\":0,\"choices\":[{\"text\":\"a\",\"finish_reason\":null}]}\n\n", id)
		_ = http.NewResponseController(w).Flush()
		if strings.HasPrefix(id, "held") {
			select {
			case <-release:
			case <-r.Context().Done():
			}
		}
		fmt.Fprintf(w, "data: {\"id\":%q,\"token_index\":1,\"choices\":[{\"text\":\"b\",\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n", id)
	}))
	defer server.Close()
	defer close(release)
	proxy, err := tcpproxy.New(standin.NewAddresses().Next(), strings.TrimPrefix(server.URL, "http://"))
	qt.Assert(t, err, qt.IsNil)
	go proxy.Run()
	defer proxy.Close()
	client := New(Timeouts{FirstToken: 2 * time.Second, TokenGap: 200 * time.Millisecond})
	record := bergamotgrade.BackendServer{BackendServerID: "s", Address: proxy.Address()}
	open := func(attemptID string) (bergamotgrade.ChunkStream, error) {
		return client.Complete(context.Background(), record, bergamotgrade.Completion{AttemptID: attemptID, Deadline: time.Now().Add(10 * time.Second)})
	}
	read := func(stream bergamotgrade.ChunkStream) error {
		for {
			if _, err := stream.Next(); err != nil {
				return err
			}
		}
	}
	// Two streams at once leave two kept connections; one of them then carries the held one.
	first, err := open("a")
	qt.Assert(t, err, qt.IsNil)
	second, err := open("b")
	qt.Assert(t, err, qt.IsNil)
	for _, stream := range []bergamotgrade.ChunkStream{first, second} {
		qt.Assert(t, read(stream), qt.ErrorMatches, "EOF")
		qt.Assert(t, stream.Close(), qt.IsNil)
	}
	held, err := open("held")
	qt.Assert(t, err, qt.IsNil)
	_, err = held.Next()
	qt.Assert(t, err, qt.IsNil)
	proxy.BlackholeOpen(true, true)
	_, err = held.Next()
	qt.Assert(t, err, qt.IsNotNil)
	_ = held.Close()
	began := time.Now()
	next, err := open("c")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, read(next), qt.ErrorMatches, "EOF")
	_ = next.Close()
	qt.Assert(t, time.Since(began) < time.Second, qt.IsTrue, qt.Commentf("took %s", time.Since(began)))
}

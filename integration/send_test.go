package integration

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

// A request of the harness is sent once, also with an Idempotency-Key on a kept connection
// that breaks; the result says that the connection broke, not that none could be opened.
func TestRequestsAreSentOnce(t *testing.T) {
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if calls.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
	}))
	defer server.Close()
	spec := requestSpec{
		method: http.MethodPost, path: "/", body: "x", key: "k", timeout: 5_000_000_000,
		address: strings.TrimPrefix(server.URL, "http://"), header: http.Header{"Idempotency-Key": {"a"}},
	}
	f := &fleet{}
	qt.Assert(t, f.send(spec), qt.Equals, "200\n\n")
	qt.Assert(t, f.send(spec), qt.Equals, "no answer\n")
	qt.Assert(t, calls.Load(), qt.Equals, int64(2))
}

package memory

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// headOf returns a head with the number of empty fields beside the host.
func headOf(fields int) string {
	var head strings.Builder
	head.WriteString("GET / HTTP/1.1\r\nHost: h\r\n")
	for field := range fields {
		fmt.Fprintf(&head, "%x:\r\n", field)
	}
	return head.String()
}

// Guards against heads of legal size that cost many times their bytes once they are parsed.
func TestFieldsOfHeadsAreCharged(t *testing.T) {
	const fields = 200
	hold := make(chan struct{})
	heldBy := make(chan int64, 1)
	var account *Account
	listener, account := serveHTTP(t, 10, Limits{HeadBytes: 16 << 10}, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		account.mu.Lock()
		heldBy <- account.held
		account.mu.Unlock()
		<-hold
		_, _ = io.WriteString(w, "served")
	}))
	conn := dial(t, listener, headOf(fields)+"Connection: close\r\n\r\n")
	held := <-heldBy
	qt.Check(t, held > fields*fieldBytes, qt.IsTrue, qt.Commentf("%d bytes held", held))
	close(hold)
	qt.Check(t, expectEnd(t, conn), qt.Contains, "served")
	for listener.Open() > 0 {
		time.Sleep(time.Millisecond)
	}
	account.mu.Lock()
	defer account.mu.Unlock()
	qt.Check(t, account.held, qt.Equals, int64(0))
}

// Guards against heads with any number of fields, and against a limit that counts the fields of all requests of a
// connection.
func TestFieldsOfHeadsAreBounded(t *testing.T) {
	served := make(chan struct{}, 10)
	listener, _ := serveHTTP(t, 10, Limits{HeadBytes: 64 << 10}, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		served <- struct{}{}
		_, _ = io.WriteString(w, "served")
	}))
	conn := dial(t, listener, headOf(maxHeadFields)+"\r\n")
	qt.Check(t, strings.Contains(expectEnd(t, conn), "200 OK"), qt.IsFalse)
	qt.Check(t, served, qt.HasLen, 0)
	kept := dial(t, listener, "")
	for range 3 {
		_, err := io.WriteString(kept, headOf(maxHeadFields-10)+"\r\n")
		qt.Assert(t, err, qt.IsNil)
		<-served
		time.Sleep(10 * time.Millisecond) // the response is written
	}
}

// Guards against bodies whose lines count as fields because they arrive together with their head.
func TestLinesOfBodiesAreNoFields(t *testing.T) {
	listener, _ := serveHTTP(t, 10, Limits{HeadBytes: 16 << 10}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		_, _ = fmt.Fprintf(w, "%d bytes", len(data))
	}))
	body := strings.Repeat("\n", 2*maxHeadFields)
	conn := dial(t, listener, fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	qt.Assert(t, expectEnd(t, conn), qt.Contains, fmt.Sprintf("%d bytes", len(body)))
}

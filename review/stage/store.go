package stage

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// AnswerLoss is the platform's store, whose answers may be lost: a call is done, its caller gets no
// answer, and the connection returns nothing further.
type AnswerLoss struct {
	inner  http.Handler
	record *Record

	// latency is the time that the store takes for an answer.
	latency time.Duration

	mu sync.Mutex
	// isLost selects the answers that are lost; nil selects none.
	isLost func(call Call) bool
	// waiting counts the watches that wait, by prefix.
	waiting map[string]int
}

// Call is a call of the store that has been done.
type Call struct {
	// Path is the call's path, Prefix that of a watch or listing, Source the address of the caller.
	Path, Prefix, Source string
	// HasEvents is set for a watch that has found changes.
	HasEvents bool
}

func newAnswerLoss(inner http.Handler, latency time.Duration, record *Record) *AnswerLoss {
	return &AnswerLoss{inner: inner, latency: latency, record: record, waiting: map[string]int{}}
}

// Lose selects the answers that are lost from now on; nil selects none.
func (a *AnswerLoss) Lose(isLost func(call Call) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.isLost = isLost
}

// Waiting returns the number of watches of the prefix that wait now.
func (a *AnswerLoss) Waiting(prefix string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.waiting[prefix]
}

func (a *AnswerLoss) count(prefix string, n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting[prefix] += n
}

// ServeHTTP implements http.Handler.
func (a *AnswerLoss) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call := Call{Path: r.URL.Path, Prefix: r.URL.Query().Get("prefix"), Source: r.RemoteAddr}
	isWatch := call.Path == "/api/kv-watch"
	if isWatch {
		a.count(call.Prefix, 1)
	}
	time.Sleep(a.latency)
	answer := httptest.NewRecorder()
	a.inner.ServeHTTP(answer, r)
	if isWatch {
		a.count(call.Prefix, -1)
		call.HasEvents = answer.Code == http.StatusOK && strings.Contains(answer.Body.String(), `"key"`)
	}
	a.mu.Lock()
	lost := a.isLost != nil && r.Context().Err() == nil && a.isLost(call)
	a.mu.Unlock()
	if lost {
		a.record.Add("store: answer of %s %s is lost", call.Path, call.Prefix)
		<-r.Context().Done()
		a.record.Add("store: the caller of %s %s has closed the connection", call.Path, call.Prefix)
		panic(http.ErrAbortHandler)
	}
	for name, values := range answer.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}

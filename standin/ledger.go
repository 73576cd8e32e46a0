package standin

import (
	"encoding/json"
	"net/http"
	"sync"
)

// LedgerEntry is all that a backend server saw of one request.
type LedgerEntry struct {
	RequestID string      `json:"request_id"`
	AttemptID string      `json:"attempt_id"`
	Method    string      `json:"method"`
	URL       string      `json:"url"`
	Header    http.Header `json:"header"`
	Body      string      `json:"body"`
	Offset    int         `json:"offset,omitempty"`
	// Cancelled is set when the attempt was stopped before its end.
	Cancelled bool `json:"cancelled,omitempty"`
	Completed bool `json:"completed,omitempty"`
}

// Ledger records every request that reached a stand-in.
type Ledger struct {
	mu      sync.Mutex
	entries []*LedgerEntry
}

func (l *Ledger) add(req *http.Request, body []byte, offset int) *LedgerEntry {
	entry := &LedgerEntry{
		RequestID: req.Header.Get(headerRequestID),
		AttemptID: req.Header.Get(headerAttemptID),
		Method:    req.Method,
		URL:       req.URL.String(),
		Header:    req.Header.Clone(),
		Body:      string(body),
		Offset:    offset,
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.entries) < ledgerCapacity {
		l.entries = append(l.entries, entry)
	}
	return entry
}

func (l *Ledger) finish(entry *LedgerEntry, completed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry.Completed = completed
	entry.Cancelled = !completed
}

// ServeHTTP answers with all entries.
func (l *Ledger) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = json.NewEncoder(w).Encode(l.entries)
}

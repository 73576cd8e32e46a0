package standin

import (
	"encoding/json"
	"net/http"
	"sync"
)

// RequestRecord is the record of one request that a stand-in received.
type RequestRecord struct {
	RequestID string      `json:"request_id"`
	AttemptID string      `json:"attempt_id"`
	Method    string      `json:"method"`
	URL       string      `json:"url"`
	Header    http.Header `json:"header"`
	Body      string      `json:"body"`
	Offset    int         `json:"offset,omitempty"`
	// Cancelled is set if the attempt ended before its answer was complete.
	Cancelled bool `json:"cancelled,omitempty"`
	Completed bool `json:"completed,omitempty"`
}

// RequestLog records the requests that a stand-in receives, up to a bound.
type RequestLog struct {
	mu      sync.Mutex
	records []*RequestRecord
}

func (l *RequestLog) add(req *http.Request, body []byte, offset int) *RequestRecord {
	record := &RequestRecord{
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
	if len(l.records) < requestLogCapacity {
		l.records = append(l.records, record)
	}
	return record
}

func (l *RequestLog) finish(record *RequestRecord, completed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	record.Completed = completed
	record.Cancelled = !completed
}

// ServeHTTP answers with all records as a JSON array.
func (l *RequestLog) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = json.NewEncoder(w).Encode(l.records)
}

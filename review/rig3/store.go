package rig3

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/bergamotgrade/bergamotgrade/platform/standin"
)

// StoreServer serves the store of the rig. All answers take storeAnswerTime, and listings come in pages, as
// the pages of the platform say.
type StoreServer struct {
	rig    *Rig
	server *standin.StoreServer
	// OnCommit is called after a commit was answered with 200, with the keys that it wrote; nil for nobody.
	OnCommit func(keys []string)
}

const (
	storeAnswerTime = 4 * time.Millisecond
	pageItems       = 500
	pageBytes       = 1 << 20
)

// NewStoreServer returns a server of the rig's store, and its address.
func (r *Rig) NewStoreServer() (*StoreServer, string, error) {
	s := &StoreServer{rig: r, server: standin.NewStoreServer(r.Store)}
	address, _, err := r.Listen(s)
	return s, address, err
}

// ServeHTTP implements http.Handler.
func (s *StoreServer) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	time.Sleep(storeAnswerTime)
	switch req.URL.Path {
	case "/api/kv-range":
		s.serveRange(w, req)
	case "/api/kv-txn":
		s.serveCommit(w, req)
	default:
		s.server.ServeHTTP(w, req)
	}
}

func (s *StoreServer) serveRange(w http.ResponseWriter, req *http.Request) {
	entries, revision, _ := s.rig.Store.Range(req.Context(), req.URL.Query().Get("prefix"), false)
	after := req.URL.Query().Get("after")
	items := []map[string]any{}
	bytes, more := 0, false
	for _, entry := range entries {
		if after != "" && entry.Key <= after {
			continue
		}
		size := len(entry.Key) + base64.StdEncoding.EncodedLen(len(entry.Value))
		if len(items) == pageItems || len(items) > 0 && bytes+size > pageBytes {
			more = true
			break
		}
		bytes += size
		items = append(items, map[string]any{"key": entry.Key, "value": entry.Value, "revision": entry.Revision, "lease": 0})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "hasMore": more, "at": revision})
}

// statusWriter keeps the status of an answer.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

func (s *StoreServer) serveCommit(w http.ResponseWriter, req *http.Request) {
	var raw json.RawMessage
	if err := json.NewDecoder(req.Body).Decode(&raw); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var body struct {
		ExpectedRevision []struct{}
		PutItems         []struct{ Key string }
	}
	_ = json.Unmarshal(raw, &body)
	req.Body = io.NopCloser(bytes.NewReader(raw))
	answer := &statusWriter{ResponseWriter: w}
	s.server.ServeHTTP(answer, req)
	if answer.status != http.StatusOK || s.OnCommit == nil {
		return
	}
	_ = http.NewResponseController(w).Flush()
	keys := make([]string, 0, len(body.PutItems))
	for _, put := range body.PutItems {
		keys = append(keys, put.Key)
	}
	s.OnCommit(keys)
}

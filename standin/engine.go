package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/timeline"
)

// EngineConfig configures the capacity and the speed of a model engine.
type EngineConfig struct {
	Slots int
	// TokenTime is the time per token with one running request.
	TokenTime time.Duration
	// PrefillBlockTime is the time per uncached block of the prompt.
	PrefillBlockTime time.Duration
	// CacheBlocks is the capacity of the prefix cache in blocks.
	CacheBlocks int
	// ReportLag is the interval between load reports, which is also the maximum age of a
	// report. The shortest interval is 1 ms.
	ReportLag time.Duration
	// IgnoreFences makes the engine accept orders with old fencing numbers.
	IgnoreFences bool
}

// EngineFaults are the faults of an engine, which tests set with PUT /faults.
type EngineFaults struct {
	// WrongAttemptID sends chunks with the id of another attempt.
	WrongAttemptID bool `json:"cross_answers,omitempty"`
	// DuplicateTokens sends each token twice.
	DuplicateTokens bool `json:"duplicate_tokens,omitempty"`
	// TruncateAfter, if positive, ends the answer at this token index.
	TruncateAfter int `json:"truncate_after,omitempty"`
	// StallAfter, if positive, sends nothing more from this token index on but keeps the
	// connection open.
	StallAfter int `json:"stall_after,omitempty"`
}

// Engine simulates a model engine with continuous batching, a prefix cache, resume and
// cancel. Its answers depend on the model and the prompt only.
type Engine struct {
	config     EngineConfig
	requestLog *RequestLog
	ring       *timeline.Ring
	cache      *prefixCache
	orders     *orderHandler
	faults     atomic.Pointer[EngineFaults]
	slots      chan struct{}

	running atomic.Int64
	waiting atomic.Int64
	report  atomic.Pointer[bergamotgrade.LoadReport]

	cachedBlocks atomic.Int64
	totalBlocks  atomic.Int64

	mu        sync.Mutex
	attempts  map[string]context.CancelFunc
	cancelled map[string]time.Time
}

// NewEngine returns an idle engine. Its load report does not change until Run is called.
func NewEngine(config EngineConfig) *Engine {
	e := &Engine{
		config:     config,
		requestLog: &RequestLog{},
		ring:       timeline.New(bergamotgrade.SystemClock{}, "engine"),
		cache:      newPrefixCache(config.CacheBlocks),
		orders:     newOrderHandler(config.IgnoreFences),
		slots:      make(chan struct{}, config.Slots),
		attempts:   map[string]context.CancelFunc{},
		cancelled:  map[string]time.Time{},
	}
	e.faults.Store(&EngineFaults{})
	e.publishLoad()
	return e
}

// Run publishes load reports until the context is cancelled.
func (e *Engine) Run(ctx context.Context) {
	ticker := time.NewTicker(max(e.config.ReportLag, time.Millisecond))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.publishLoad()
		}
	}
}

func (e *Engine) publishLoad() {
	e.report.Store(&bergamotgrade.LoadReport{
		Running:    int(e.running.Load()),
		Waiting:    int(e.waiting.Load()),
		Slots:      e.config.Slots,
		MeasuredAt: time.Now(),
	})
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	switch req.URL.Path {
	case "/load":
		_ = json.NewEncoder(w).Encode(e.report.Load())
	case "/ledger":
		e.requestLog.ServeHTTP(w, req)
	case "/timeline":
		e.ring.ServeHTTP(w, req)
	case "/orders":
		e.orders.ServeHTTP(w, req)
	case "/cache_hits":
		_ = json.NewEncoder(w).Encode([]int64{e.cachedBlocks.Load(), e.totalBlocks.Load()})
	case "/faults":
		var faults EngineFaults
		if json.NewDecoder(req.Body).Decode(&faults) == nil {
			e.faults.Store(&faults)
		}
	case "/v1/cancel":
		e.serveCancel(req)
	case "/v1/chat/completions", "/v1/completions":
		e.serveCompletion(w, req)
	default:
		http.NotFound(w, req)
	}
}

// cancelRequest is the body of /v1/cancel.
type cancelRequest struct {
	AttemptID string `json:"attempt_id"`
}

func (e *Engine) serveCancel(req *http.Request) {
	var body cancelRequest
	if json.NewDecoder(req.Body).Decode(&body) != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if cancel, ok := e.attempts[body.AttemptID]; ok {
		cancel()
		return
	}
	e.cancelled[body.AttemptID] = time.Now()
}

// register stores the cancel function of the attempt. It returns false if the attempt was
// cancelled before it arrived.
func (e *Engine) register(attemptID string, cancel context.CancelFunc) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, at := range e.cancelled {
		if time.Since(at) > earlyCancelRetention {
			delete(e.cancelled, id)
		}
	}
	if _, ok := e.cancelled[attemptID]; ok {
		return false
	}
	e.attempts[attemptID] = cancel
	return true
}

func (e *Engine) unregister(attemptID string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.attempts, attemptID)
}

func (e *Engine) serveCompletion(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(io.LimitReader(req.Body, maxBodyBytes))
	if err != nil {
		return
	}
	prompt, err := parsePrompt(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	offset, _ := strconv.Atoi(req.Header.Get(headerResumeOffset))
	record := e.requestLog.add(req, body, offset)
	ctx, cancel := context.WithCancel(req.Context())
	defer cancel()
	if !e.register(record.AttemptID, cancel) {
		e.requestLog.finish(record, false)
		return
	}
	defer e.unregister(record.AttemptID)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(headerAttemptID, record.AttemptID)
	if !e.acquireSlot(ctx) {
		e.requestLog.finish(record, false)
		return
	}
	defer e.releaseSlot()
	g := &generation{engine: e, w: w, ctx: ctx, prompt: prompt, attemptID: record.AttemptID, offset: offset, chat: req.URL.Path == "/v1/chat/completions"}
	e.ring.Record(timeline.KindAccept, record.RequestID, record.AttemptID, "")
	completed := g.stream()
	kind := timeline.KindCancel
	if completed {
		kind = timeline.KindComplete
	}
	e.ring.Record(kind, record.RequestID, record.AttemptID, "")
	e.requestLog.finish(record, completed)
}

func (e *Engine) acquireSlot(ctx context.Context) bool {
	e.waiting.Add(1)
	defer e.waiting.Add(-1)
	select {
	case e.slots <- struct{}{}:
		e.running.Add(1)
		return true
	case <-ctx.Done():
		return false
	}
}

func (e *Engine) releaseSlot() {
	e.running.Add(-1)
	<-e.slots
}

package standin

import (
	"encoding/json"
	"net/http"
	"sync"
)

// EngineOrder tells an engine to load or unload a model version.
type EngineOrder struct {
	Kind    string `json:"kind"`
	ModelID string `json:"model_id"`
	Version string `json:"version,omitempty"`
	// Fence rises with each holder of the order-giver's lease.
	Fence int64 `json:"fence"`
}

// EngineState is what an engine has loaded.
type EngineState struct {
	Fence  int64             `json:"fence"`
	Loaded map[string]string `json:"loaded"`
}

// orderBook applies orders, refusing old fences unless told to ignore them.
type orderBook struct {
	ignoreFences bool

	mu    sync.Mutex
	state EngineState
}

func newOrderBook(ignoreFences bool) *orderBook {
	return &orderBook{ignoreFences: ignoreFences, state: EngineState{Loaded: map[string]string{}}}
}

// ServeHTTP takes an order by POST and answers GET with the state.
func (b *orderBook) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if req.Method == http.MethodPost {
		var order EngineOrder
		if err := json.NewDecoder(req.Body).Decode(&order); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if order.Fence < b.state.Fence && !b.ignoreFences {
			http.Error(w, "old fencing number", http.StatusConflict)
			return
		}
		b.apply(order)
	}
	_ = json.NewEncoder(w).Encode(b.state)
}

func (b *orderBook) apply(order EngineOrder) {
	b.state.Fence = max(b.state.Fence, order.Fence)
	if order.Kind == "unload" {
		delete(b.state.Loaded, order.ModelID)
		return
	}
	b.state.Loaded[order.ModelID] = order.Version
}

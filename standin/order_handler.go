package standin

import (
	"encoding/json"
	"net/http"
	"sync"

	"github.com/bergamotgrade/bergamotgrade"
)

// orderHandler applies orders to load or unload a model. It refuses an order whose fencing
// number is lower than the highest one applied, unless ignoreFences is set.
type orderHandler struct {
	ignoreFences bool

	mu    sync.Mutex
	state bergamotgrade.EngineState
}

func newOrderHandler(ignoreFences bool) *orderHandler {
	return &orderHandler{ignoreFences: ignoreFences, state: bergamotgrade.EngineState{Loaded: map[string]string{}}}
}

// ServeHTTP applies the order of a POST and answers all methods with the state.
func (h *orderHandler) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if req.Method == http.MethodPost {
		var order bergamotgrade.EngineOrder
		if err := json.NewDecoder(req.Body).Decode(&order); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if order.Fence < h.state.Fence && !h.ignoreFences {
			http.Error(w, "old fencing number", http.StatusConflict)
			return
		}
		h.apply(order)
	}
	_ = json.NewEncoder(w).Encode(h.state)
}

func (h *orderHandler) apply(order bergamotgrade.EngineOrder) {
	h.state.Fence = max(h.state.Fence, order.Fence)
	if order.Kind == bergamotgrade.OrderUnload {
		delete(h.state.Loaded, order.ModelID)
		return
	}
	h.state.Loaded[order.ModelID] = order.Version
}

package standin

import (
	"encoding/json"
	"net/http"
	"sync"

	"github.com/bergamotgrade/bergamotgrade"
)

// orderBook applies orders, refusing old fences unless told to ignore them.
type orderBook struct {
	ignoreFences bool

	mu    sync.Mutex
	state bergamotgrade.EngineState
}

func newOrderBook(ignoreFences bool) *orderBook {
	return &orderBook{ignoreFences: ignoreFences, state: bergamotgrade.EngineState{Loaded: map[string]string{}}}
}

// ServeHTTP takes an order by POST and answers GET with the state.
func (b *orderBook) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if req.Method == http.MethodPost {
		var order bergamotgrade.EngineOrder
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

func (b *orderBook) apply(order bergamotgrade.EngineOrder) {
	b.state.Fence = max(b.state.Fence, order.Fence)
	if order.Kind == bergamotgrade.OrderUnload {
		delete(b.state.Loaded, order.ModelID)
		return
	}
	b.state.Loaded[order.ModelID] = order.Version
}

package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/platform"
	"github.com/bergamotgrade/bergamotgrade/timeline"
)

// PlatformFaults are the faults of the platform's service that a test sets
// with PUT /faults.
type PlatformFaults struct {
	// Down answers every call with 503.
	Down bool `json:"down,omitempty"`
	// DropAnswers lets calls take effect and then closes the connection.
	DropAnswers bool          `json:"drop_answers,omitempty"`
	Delay       time.Duration `json:"delay,omitempty"`
}

// PlatformServer serves a KeyValue over HTTP with faults.
type PlatformServer struct {
	keyValue *KeyValue
	ring     *timeline.Ring
	faults   atomic.Pointer[PlatformFaults]
}

// NewPlatformServer returns a server without faults.
func NewPlatformServer(keyValue *KeyValue) *PlatformServer {
	s := &PlatformServer{keyValue: keyValue, ring: timeline.New(bergamotgrade.SystemClock{}, "platform")}
	s.faults.Store(&PlatformFaults{})
	return s
}

// ServeHTTP implements http.Handler.
func (s *PlatformServer) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path == "/faults" {
		var faults PlatformFaults
		if json.NewDecoder(req.Body).Decode(&faults) == nil {
			s.faults.Store(&faults)
		}
		return
	}
	if req.URL.Path == "/timeline" {
		s.ring.ServeHTTP(w, req)
		return
	}
	faults := s.faults.Load()
	time.Sleep(faults.Delay)
	if faults.Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	var call platform.Call
	if err := json.NewDecoder(req.Body).Decode(&call); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	method := platform.Method(strings.TrimPrefix(req.URL.Path, "/v1/kv/"))
	s.ring.Record(timeline.KindCall, "", string(method), call.Key)
	answer, err := s.answer(req.Context(), method, call)
	if bergamotgrade.IsKind(err, bergamotgrade.KindConflict) {
		answer.Conflict = true
	} else if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	now := s.faults.Load()
	if now.DropAnswers || now.Down {
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(answer)
}

func (s *PlatformServer) answer(ctx context.Context, method platform.Method, call platform.Call) (platform.Answer, error) {
	var answer platform.Answer
	var err error
	switch method {
	case platform.MethodGet:
		var entry bergamotgrade.Entry
		if entry, err = s.keyValue.Get(ctx, call.Key); entry.Revision > 0 {
			answer.Entries = []bergamotgrade.Entry{entry}
		}
	case platform.MethodList:
		answer.Entries, err = s.keyValue.List(ctx, call.Key)
	case platform.MethodSwap:
		answer.Revision, err = s.keyValue.CompareAndSwap(ctx, call.Key, call.Value, call.Revision, call.LeaseID)
	case platform.MethodDelete:
		err = s.keyValue.Delete(ctx, call.Key, call.Revision)
	case platform.MethodWatch:
		watchCtx, cancel := context.WithTimeout(ctx, call.WaitFor)
		defer cancel()
		answer.Entries, err = s.keyValue.Watch(watchCtx, call.Key, call.Revision)
	case platform.MethodGrant:
		err = s.keyValue.GrantLease(ctx, call.LeaseID, call.Term)
	case platform.MethodRenew:
		err = s.keyValue.RenewLease(ctx, call.LeaseID)
	case platform.MethodRevoke:
		err = s.keyValue.RevokeLease(ctx, call.LeaseID)
	default:
		err = conflict("unknown method " + string(method))
	}
	return answer, err
}

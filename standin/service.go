package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/timeline"
)

// ServiceFaults are the faults of a service, which tests set with PUT /faults.
type ServiceFaults struct {
	// WrongAttemptID sends answers with the id of another attempt.
	WrongAttemptID bool `json:"cross_answers,omitempty"`
	// CloseAfterRun runs the request and closes the connection without an answer.
	CloseAfterRun bool          `json:"close_after_run,omitempty"`
	Delay         time.Duration `json:"delay,omitempty"`
}

// Service is a plain service that echoes and records its requests.
type Service struct {
	requestLog *RequestLog
	ring       *timeline.Ring
	faults     atomic.Pointer[ServiceFaults]
}

// NewService returns a service without faults.
func NewService() *Service {
	s := &Service{requestLog: &RequestLog{}, ring: timeline.New(bergamotgrade.SystemClock{}, "service")}
	s.faults.Store(&ServiceFaults{})
	return s
}

// ServiceEcho is the body of an answer.
type ServiceEcho struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	switch req.URL.Path {
	case "/load":
		_ = json.NewEncoder(w).Encode(bergamotgrade.LoadReport{Slots: 1, MeasuredAt: time.Now()})
		return
	case "/timeline":
		s.ring.ServeHTTP(w, req)
		return
	case "/ledger":
		s.requestLog.ServeHTTP(w, req)
		return
	case "/faults":
		var faults ServiceFaults
		if json.NewDecoder(req.Body).Decode(&faults) == nil {
			s.faults.Store(&faults)
		}
		return
	}
	body, err := io.ReadAll(io.LimitReader(req.Body, maxBodyBytes))
	if err != nil {
		return
	}
	record := s.requestLog.add(req, body, 0)
	s.ring.Record(timeline.KindAccept, record.RequestID, record.AttemptID, "")
	faults := s.faults.Load()
	time.Sleep(faults.Delay)
	s.requestLog.finish(record, true)
	if faults.CloseAfterRun {
		panic(http.ErrAbortHandler)
	}
	attemptID := record.AttemptID
	if faults.WrongAttemptID {
		attemptID = "other-" + attemptID
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(headerAttemptID, attemptID)
	_ = json.NewEncoder(w).Encode(ServiceEcho{Method: req.Method, Path: req.URL.Path, Body: string(body)})
}

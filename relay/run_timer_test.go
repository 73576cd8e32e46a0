package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
)

// pacedExchanger answers with a part of the body every 5 ms.
type pacedExchanger struct {
	status int
	parts  []string
	err    error
}

func (e pacedExchanger) Exchange(context.Context, bergamotgrade.ServerRecord, bergamotgrade.Attempt) (*bergamotgrade.Answer, error) {
	body, w := io.Pipe()
	go func() {
		for _, part := range e.parts {
			time.Sleep(5 * time.Millisecond)
			if _, err := io.WriteString(w, part); err != nil {
				return
			}
		}
		w.CloseWithError(e.err)
	}()
	return &bergamotgrade.Answer{Status: e.status, Header: http.Header{}, Length: -1, Body: body, Signed: true}, nil
}

// slowRecorder takes 5 ms for each write.
type slowRecorder struct{ recorder }

func (r *slowRecorder) Write(data []byte) error {
	time.Sleep(5 * time.Millisecond)
	return r.recorder.Write(data)
}

// TestCompleteRunsAreReported guards against speeds that are learned from anything but complete
// runs: a refusal is quick, a response that broke off says nothing of its length, and a slow caller
// holds a quick server up.
func TestCompleteRunsAreReported(t *testing.T) {
	var events []string
	for i := 1; i <= 6; i++ {
		events = append(events, fmt.Sprintf("id: %d\ndata: x\n\n", i))
	}
	for name, test := range map[string]struct {
		streams  bool
		exchange pacedExchanger
		out      Responder
		reported int
	}{
		"stream":           {true, pacedExchanger{http.StatusOK, events, nil}, &recorder{}, 1},
		"body":             {false, pacedExchanger{http.StatusOK, []string{"a", "b", "c"}, nil}, &recorder{}, 1},
		"truncated stream": {true, pacedExchanger{http.StatusOK, events, io.ErrUnexpectedEOF}, &recorder{}, 0},
		"slow caller":      {true, pacedExchanger{http.StatusOK, events, nil}, &slowRecorder{}, 0},
		"refusal":          {true, pacedExchanger{http.StatusUnprocessableEntity, []string{"a", "b", "c"}, nil}, &recorder{}, 0},
	} {
		scheduler := newScheduler("a")
		relay, _ := newRelay(scheduler)
		relay.exchanger = test.exchange
		request := newStreamRequest(false, 1)
		request.Streams, request.Cost = test.streams, 100
		_ = relay.Serve(context.Background(), request, test.out) // the truncated stream is an error
		runs := 0
		for _, speed := range scheduler.Speeds() {
			runs += speed.Runs
		}
		qt.Check(t, runs, qt.Equals, test.reported, qt.Commentf(name))
	}
}

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

// TestCompleteRunsAreReported guards against speeds that are learned from anything but complete
// runs: a refusal is quick, and a response that broke off says nothing of its length.
func TestCompleteRunsAreReported(t *testing.T) {
	var events []string
	for i := 1; i <= 6; i++ {
		events = append(events, fmt.Sprintf("id: %d\ndata: x\n\n", i))
	}
	for name, test := range map[string]struct {
		streams  bool
		exchange pacedExchanger
		reported int
	}{
		"stream":           {true, pacedExchanger{http.StatusOK, events, nil}, 1},
		"body":             {false, pacedExchanger{http.StatusOK, []string{"a", "b", "c"}, nil}, 1},
		"truncated stream": {true, pacedExchanger{http.StatusOK, events, io.ErrUnexpectedEOF}, 0},
		"refusal":          {true, pacedExchanger{http.StatusUnprocessableEntity, []string{"a", "b", "c"}, nil}, 0},
	} {
		scheduler := newScheduler("a")
		relay, _ := newRelay(scheduler)
		relay.exchanger = test.exchange
		request := newStreamRequest(false, 1)
		request.Streams, request.Cost = test.streams, 100
		var out recorder
		_ = relay.Serve(context.Background(), request, &out) // the truncated stream is an error
		runs := 0
		for _, speed := range scheduler.Speeds() {
			runs += speed.Runs
		}
		qt.Check(t, runs, qt.Equals, test.reported, qt.Commentf(name))
	}
}

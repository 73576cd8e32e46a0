package stage

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Pauses describe a replica that preempts runs in the middle of their streams: after each Every events of a
// run it is silent for Length, then it goes on. Zero Every never pauses.
type Pauses struct {
	Every  int
	Length time.Duration
}

// PausingReplica is a stand-in replica whose memory runs out: "the newest request is preempted, even in the
// middle of its stream, and is read again from the start".
type PausingReplica struct {
	id        string
	eventTime time.Duration
	pauses    Pauses
	record    *Record
}

// ServeHTTP implements http.Handler.
func (p *PausingReplica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Bergamotgrade-Attempt-Id")
	header := w.Header()
	header.Set("Bergamotgrade-Attempt-Id", id)
	if expected := r.Header.Get("Bergamotgrade-Expect-Instance"); expected != "" && expected != p.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, output, _ := strings.Cut(r.Header.Get("Bergamotgrade-Token-Usage"), ",")
	events, _ := strconv.Atoi(output)
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	p.record.Add("replica %s gets request %s (after event %d)", p.id, id, from)
	header.Set("Bergamotgrade-Server-Seal", "seal-"+id)
	header.Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for n := from + 1; n <= events; n++ {
		wait := p.eventTime
		if made := n - from - 1; p.pauses.Every > 0 && made > 0 && made%p.pauses.Every == 0 {
			wait = p.pauses.Length
		}
		select {
		case <-r.Context().Done():
			p.record.Add("replica %s: the connection of request %s is closed before event %d", p.id, id, n)
			return
		case <-time.After(wait):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", n, id, n); err != nil {
			return
		}
		_ = control.Flush()
	}
	p.record.Add("replica %s ends request %s", p.id, id)
}

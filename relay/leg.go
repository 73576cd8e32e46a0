package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/placement"
)

// leg is one of the runs of a request that race for its response.
type leg struct {
	slot   *Slot
	timer  *RunTimer
	sentAt time.Time
	// cancel closes the connection of the leg.
	cancel context.CancelFunc
	// ended is closed once the fields below are set.
	ended  chan struct{}
	answer *bergamotgrade.Answer
	err    error
	// headAt is when the exchange returned, begunAt when the leg ended; usable is set if its answer is
	// for the caller.
	headAt, begunAt time.Time
	usable          bool
}

// newLeg returns a leg that is sent now with the slot, and its context, which ends with ctx.
func (run *requestRun) newLeg(ctx context.Context, slot *Slot) (*leg, context.Context) {
	legCtx, cancel := context.WithCancel(ctx)
	return &leg{slot: slot, timer: slot.StartRun(), sentAt: run.relay.clock.Now(), cancel: cancel, ended: make(chan struct{})}, legCtx
}

// runLeg sends the attempt and receives the head of its response, of a stream also the first event.
func (run *requestRun) runLeg(ctx context.Context, l *leg, attempt bergamotgrade.Attempt) {
	defer close(l.ended)
	l.answer, l.err = run.relay.exchanger.Exchange(ctx, l.slot.server, attempt)
	l.headAt = run.relay.clock.Now()
	if l.usable = l.err == nil && isFinal(l.answer); l.usable && run.req.Streams && l.answer.Status < 300 {
		l.usable = peekEvent(l.answer)
	}
	l.begunAt = run.relay.clock.Now()
}

// close closes the connection of a leg that has ended or lost.
func (l *leg) close() {
	l.cancel()
	<-l.ended
	if l.answer != nil {
		_ = l.answer.Body.Close()
	}
}

// runClose closes the connection of a leg that has lost, and releases its slot.
func (l *leg) runClose() {
	l.close()
	l.slot.Release(placement.OutcomeAborted)
}

// cause returns why the leg, which has ended, has no usable answer.
func (l *leg) cause() error {
	if l.err != nil {
		return l.err
	}
	if peeked, ok := l.answer.Body.(*peekedBody); ok && peeked.err != nil {
		return errors.Wrap(peeked.err, "the stream ended before its first event")
	}
	return errors.Newf("server %s returned status %d", l.slot.server.ServerID, l.answer.Status)
}

// hasEnded reports whether the result of the leg is known.
func (l *leg) hasEnded() bool {
	select {
	case <-l.ended:
		return true
	default:
		return false
	}
}

// isFinal reports whether the head of the answer is one that the caller gets, whatever another server says.
func isFinal(answer *bergamotgrade.Answer) bool {
	return answer.Signed && !answer.NotRun && answer.Status >= 200 && answer.Status < http.StatusInternalServerError && answer.Status != http.StatusTooManyRequests
}

// peekEvent reads up to the first event with data and reports whether the caller may get the stream: there was
// one, or maxEventBytes of others, or the stream is complete without any. The body of the answer begins anew with what has been read, also with its error.
func peekEvent(answer *bergamotgrade.Answer) bool {
	peeked := &peekedBody{ReadCloser: answer.Body}
	answer.Body = peeked
	events := NewEventReader(recordingReader{peeked})
	for {
		event, err := events.Next()
		switch {
		case err == io.EOF:
			return !answer.EndsWithConnection // a complete stream without events
		case err != nil:
			return false
		case event.HasData(), peeked.read.Len() > maxEventBytes:
			return true
		}
	}
}

// peekedBody is a body of which the beginning was read before.
type peekedBody struct {
	io.ReadCloser
	read bytes.Buffer
	err  error
}

// Read implements io.Reader.
func (b *peekedBody) Read(p []byte) (int, error) {
	if b.read.Len() > 0 {
		return b.read.Read(p)
	}
	if b.err != nil {
		return 0, b.err
	}
	return b.ReadCloser.Read(p)
}

// recordingReader reads the body and keeps what it has read.
type recordingReader struct{ body *peekedBody }

// Read implements io.Reader.
func (r recordingReader) Read(p []byte) (int, error) {
	n, err := r.body.ReadCloser.Read(p)
	r.body.read.Write(p[:n])
	r.body.err = err
	return n, err
}

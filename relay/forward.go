package relay

import (
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/bergamotgrade/bergamotgrade"
)

// forward sends a successful response to the caller.
func (run *requestRun) forward(server bergamotgrade.ServerRecord, answer *bergamotgrade.Answer) error {
	if run.req.Streams {
		return run.forwardEvents(server, answer)
	}
	return run.forwardBody(answer)
}

// forwardEvents sends each event to the caller as soon as it is complete.
func (run *requestRun) forwardEvents(server bergamotgrade.ServerRecord, answer *bergamotgrade.Answer) error {
	resumed := run.headSent
	if resumed && mediaType(answer.Header) != run.mediaType {
		return errors.Newf("content type %q does not go on with a stream of type %q", mediaType(answer.Header), run.mediaType)
	}
	events := NewEventReader(answer.Body)
	for received := 0; ; received++ {
		event, err := events.Next()
		if err == io.EOF && received == 0 && answer.EndsWithConnection {
			return io.ErrUnexpectedEOF // the server ended before its first event
		}
		if err == io.EOF && received == 0 && run.events.Last() != "" && !run.confirmEnd(server) {
			return errors.Newf("nothing follows event %q", run.events.Last())
		}
		if err == io.EOF {
			return run.sendHead(answer, -1)
		}
		if err != nil {
			return err
		}
		if err := run.events.Append(event); err != nil {
			return err
		}
		if received == 0 && event.ID == "" && run.events.Last() != "" {
			received-- // no part of the stream
			continue
		}
		if run.origin.IsZero() {
			run.origin = bergamotgrade.OriginOf(server)
		}
		if err := run.sendHead(answer, -1); err != nil {
			return err
		}
		if err := run.send(event.Raw); err != nil {
			return err
		}
		if event.HasData() {
			answer.MadeProgress()
			run.timer.Event()
		}
	}
}

// confirmEnd reports whether a stream is complete after its last event: another server had nothing
// to go on with either. One alone may be in trouble.
func (run *requestRun) confirmEnd(server bergamotgrade.ServerRecord) bool {
	last := run.events.Last()
	confirmed := run.emptyServerID != "" && run.emptyServerID != server.ServerID && run.emptyAfter == last
	run.emptyServerID, run.emptyAfter = server.ServerID, last
	return confirmed
}

// forwardBody sends a response that is not an event stream. A body of at most
// maxBufferedBytes is sent only once it is complete.
func (run *requestRun) forwardBody(answer *bergamotgrade.Answer) error {
	buffered := make([]byte, 0, readBufferBytes)
	chunk := make([]byte, readBufferBytes)
	for {
		n, err := answer.Body.Read(chunk)
		switch {
		case run.bodyBegun:
			if writeErr := run.send(chunk[:n]); writeErr != nil {
				return writeErr
			}
		default:
			buffered = append(buffered, chunk[:n]...)
		}
		if err != nil && err != io.EOF {
			return err
		}
		if !run.bodyBegun && (err == io.EOF || len(buffered) > maxBufferedBytes) {
			run.bodyBegun = true
			if headErr := run.sendHead(answer, answer.Length); headErr != nil {
				return headErr
			}
			if writeErr := run.send(buffered); writeErr != nil {
				return writeErr
			}
		}
		if err == io.EOF {
			return nil
		}
	}
}

// mediaType returns the type in the Content-Type header, without its parameters.
func mediaType(header http.Header) string {
	name, _, _ := strings.Cut(header.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// sendHead sends status and headers unless an earlier attempt has sent them.
func (run *requestRun) sendHead(answer *bergamotgrade.Answer, length int64) error {
	if run.headSent {
		return nil
	}
	run.headSent, run.mediaType = true, mediaType(answer.Header)
	now := run.relay.clock.Now()
	run.relay.observer.Observe("first_event", now.Sub(run.arrivedAt))
	if now.After(run.req.LatestStart) {
		run.relay.log.Info("response began after its objective", "request_id", run.req.RequestID, "server", run.serverID, "took", now.Sub(run.arrivedAt).String(),
			"sent_after", run.sentAt.Sub(run.arrivedAt).String(), "runs", run.runs, "rejections", run.rejections)
	}
	run.callerErr = run.out.Begin(answer.Status, answer.Header, length)
	return run.callerErr
}

func (run *requestRun) send(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	before := run.relay.clock.Now()
	run.callerErr = run.out.Write(data)
	run.timer.WaitedForCaller(run.relay.clock.Now().Sub(before))
	return run.callerErr
}

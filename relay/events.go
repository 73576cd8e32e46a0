package relay

import (
	"bytes"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
)

// Event is one event of a text/event-stream.
type Event struct {
	// Raw is the event as it came, with the empty line that ends it.
	Raw []byte
	// ID is the event's id; empty where it has none.
	ID string
}

// Data returns the event's data; several lines are joined by line feeds.
func (e Event) Data() string {
	var lines []string
	for line := range strings.SplitSeq(string(e.Raw), "\n") {
		line = strings.TrimSuffix(line, "\r")
		if value, ok := field(line, "data"); ok {
			lines = append(lines, value)
		}
	}
	return strings.Join(lines, "\n")
}

// HasData reports whether the event carries any data.
func (e Event) HasData() bool {
	return bytes.HasPrefix(e.Raw, []byte("data")) || bytes.Contains(e.Raw, []byte("\ndata"))
}

func field(line, name string) (string, bool) {
	value, ok := strings.CutPrefix(line, name)
	if !ok {
		return "", false
	}
	if value == "" {
		return "", true
	}
	value, ok = strings.CutPrefix(value, ":")
	return strings.TrimPrefix(value, " "), ok
}

// EventReader cuts a stream into whole events.
type EventReader struct {
	body   io.Reader
	buffer []byte
	chunk  []byte
	err    error
}

// NewEventReader returns a reader of the events of the body.
func NewEventReader(body io.Reader) *EventReader {
	return &EventReader{body: body, chunk: make([]byte, readBuffer)}
}

// Next returns the next whole event. It fails with io.EOF after the last one,
// and with io.ErrUnexpectedEOF when the stream ends within an event.
func (r *EventReader) Next() (Event, error) {
	for {
		if end := eventEnd(r.buffer); end > 0 {
			raw := bytes.Clone(r.buffer[:end])
			r.buffer = r.buffer[:copy(r.buffer, r.buffer[end:])]
			return Event{Raw: raw, ID: eventID(raw)}, nil
		}
		if r.err != nil {
			if r.err == io.EOF && len(bytes.TrimSpace(r.buffer)) > 0 {
				return Event{}, io.ErrUnexpectedEOF
			}
			return Event{}, r.err
		}
		if len(r.buffer) > maxEventBytes {
			return Event{}, errors.Newf("an event is longer than %d bytes", maxEventBytes)
		}
		n, err := r.body.Read(r.chunk)
		r.buffer = append(r.buffer, r.chunk[:n]...)
		r.err = err
	}
}

// eventEnd returns the length of the first whole event, or 0.
func eventEnd(data []byte) int {
	end := 0
	if at := bytes.Index(data, []byte("\n\n")); at >= 0 {
		end = at + 2
	}
	if at := bytes.Index(data, []byte("\r\n\r\n")); at >= 0 && (end == 0 || at+4 < end) {
		end = at + 4
	}
	return end
}

func eventID(raw []byte) string {
	for line := range strings.SplitSeq(string(raw), "\n") {
		if value, ok := field(strings.TrimSuffix(line, "\r"), "id"); ok {
			return value
		}
	}
	return ""
}

package relay

import (
	"bytes"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
)

// Event is one event of a text/event-stream body.
type Event struct {
	// Raw holds the bytes as received, including the empty line that ends the event.
	Raw []byte
	// ID is the value of the id field; empty if the event has no id.
	ID string
}

// Data returns the values of the data fields, joined by line feeds.
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

// HasData reports whether the event has a data field.
func (e Event) HasData() bool {
	for line := range strings.SplitSeq(string(e.Raw), "\n") {
		if _, ok := field(strings.TrimSuffix(line, "\r"), "data"); ok {
			return true
		}
	}
	return false
}

// field returns the value of the line if its field has this name.
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

// errNoEvent is returned for bytes that are no event of an event stream.
var errNoEvent = errors.New("body holds bytes that are no event")

// isValid reports whether the lines are an event: they hold its data or its id, or nothing but
// comments and fields that say nothing of the stream's content. The head of an answer and the text
// of an error are none, although some of their lines look like fields.
func (e Event) isValid() bool {
	ids, onlyKnown := 0, true
	for line := range strings.SplitSeq(string(e.Raw), "\n") {
		line = strings.TrimSuffix(line, "\r")
		name, _, isField := strings.Cut(line, ":")
		switch {
		case line == "":
		case name == "id":
			ids++
		case name == "data", name == "event", name == "retry":
		case isField && name == "":
		default:
			onlyKnown = false
		}
	}
	return ids <= 1 && (ids == 1 || e.HasData() || onlyKnown)
}

// EventReader splits a text/event-stream body into complete events.
type EventReader struct {
	body   io.Reader
	buffer []byte
	chunk  []byte
	err    error
	// emptyLines counts the empty lines since the last event.
	emptyLines int
}

// NewEventReader returns a reader for the events of body.
func NewEventReader(body io.Reader) *EventReader {
	return &EventReader{body: body, chunk: make([]byte, readBufferBytes)}
}

// Next returns the next complete event. It returns io.EOF after the last event and
// io.ErrUnexpectedEOF if the stream ends within an event. Bytes that are no event are an
// error, as they may come without end.
func (r *EventReader) Next() (Event, error) {
	for {
		if end := eventEnd(r.buffer); end > 0 {
			raw := bytes.Clone(r.buffer[:end])
			r.buffer = r.buffer[:copy(r.buffer, r.buffer[end:])]
			event := Event{Raw: raw, ID: eventID(raw)}
			if len(bytes.TrimSpace(raw)) == 0 {
				if r.emptyLines++; r.emptyLines > maxEmptyLines {
					return Event{}, errNoEvent
				}
				continue // an empty line more than needed
			}
			if !event.isValid() {
				return Event{}, errNoEvent
			}
			r.emptyLines = 0
			return event, nil
		}
		if r.err != nil {
			if r.err == io.EOF && len(bytes.TrimSpace(r.buffer)) > 0 {
				return Event{}, io.ErrUnexpectedEOF
			}
			return Event{}, r.err
		}
		if len(r.buffer) > maxEventBytes {
			return Event{}, errors.Newf("event is longer than %d bytes", maxEventBytes)
		}
		n, err := r.body.Read(r.chunk)
		r.buffer = append(r.buffer, r.chunk[:n]...)
		r.err = err
	}
}

// eventEnd returns the length of the first complete event, or 0 if there is none.
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

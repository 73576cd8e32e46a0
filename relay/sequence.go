package relay

import (
	"strconv"

	"github.com/cockroachdb/errors"
)

// Sequence checks that the events of a stream follow each other, in all the answers of servers that
// bring it together.
type Sequence struct {
	// last is the id of the last event; empty before the first one that has an id.
	last string
	// unnumbered is set once an event with data had no id. Such a stream cannot go on in another
	// answer, since no server knows how much of it there is.
	unnumbered bool
}

// NewSequence returns a sequence that goes on after the event; an empty id begins it.
func NewSequence(last string) *Sequence { return &Sequence{last: last} }

// Last returns the id of the last event; empty before the first one that has an id.
func (s *Sequence) Last() string { return s.last }

// CanResume reports whether another answer may bring the events after the last one.
func (s *Sequence) CanResume() bool { return !s.unnumbered }

// Append adds the next event. It fails if the event does not follow the last one: text of a server
// in trouble, or events of another run, may stand where the next event is due.
func (s *Sequence) Append(event Event) error {
	switch {
	case event.ID == "" && !event.HasData():
		return nil // a comment
	case event.ID == "" && s.last != "":
		return errors.Newf("event without id after event %q", s.last)
	case event.ID == "":
		s.unnumbered = true
		return nil
	case s.unnumbered:
		return errors.Newf("event %q after events without ids", event.ID)
	case s.last != "" && !follows(event.ID, s.last):
		return errors.Newf("event %q does not follow event %q", event.ID, s.last)
	}
	s.last = event.ID
	return nil
}

// follows reports whether id is the successor of previous. Ids that are not numbers have no known
// order; they only have to differ.
func follows(id, previous string) bool {
	last, err := strconv.ParseInt(previous, 10, 64)
	if err != nil {
		return id != previous
	}
	next, err := strconv.ParseInt(id, 10, 64)
	return err == nil && next == last+1
}

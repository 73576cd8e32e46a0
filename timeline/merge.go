package timeline

import (
	"fmt"
	"io"
	"sort"
	"time"
)

// Source is the page of one process with the reader's clock around its fetch.
type Source struct {
	Page       Page
	AskedAt    time.Time
	AnsweredAt time.Time
}

// offset estimates how far the process's clock runs ahead of the reader's: the
// page was stamped halfway between question and answer.
func (s Source) offset() time.Duration {
	middle := s.AskedAt.Add(s.AnsweredAt.Sub(s.AskedAt) / 2)
	return s.Page.Now.Sub(middle)
}

// Merge orders the events of all sources by the reader's clock. Events of one
// process keep their order, whatever its clock did between them.
func Merge(sources []Source) []Event {
	var merged []Event
	for _, source := range sources {
		offset := source.offset()
		var last time.Time
		for _, event := range source.Page.Events {
			event.At = event.At.Add(-offset)
			if event.At.Before(last) {
				event.At = last
			}
			last = event.At
			merged = append(merged, event)
		}
	}
	sort.SliceStable(merged, func(i, j int) bool { return merged[i].At.Before(merged[j].At) })
	return merged
}

// WriteText prints one event a line.
func WriteText(w io.Writer, events []Event) error {
	for _, e := range events {
		_, err := fmt.Fprintf(w, "%s %-12s %-13s %-20s %s %s\n",
			e.At.UTC().Format("15:04:05.000000"), e.Process, e.Kind, e.RequestID, e.Subject, e.Detail)
		if err != nil {
			return err
		}
	}
	return nil
}

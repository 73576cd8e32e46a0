package timeline

import (
	"fmt"
	"io"
	"sort"
	"time"
)

// Source is the page of one process with the reader's times before and after the fetch.
type Source struct {
	Page        Page
	RequestedAt time.Time
	RespondedAt time.Time
}

// clockOffset estimates how far the process's clock is ahead of the reader's. It assumes
// that the page was created halfway between request and response.
func (s Source) clockOffset() time.Duration {
	middle := s.RequestedAt.Add(s.RespondedAt.Sub(s.RequestedAt) / 2)
	return s.Page.Now.Sub(middle)
}

// Merge orders the events of all sources by the reader's clock. Events of one process
// keep their order even if its clock was set back between them.
func Merge(sources []Source) []Event {
	var merged []Event
	for _, source := range sources {
		clockOffset := source.clockOffset()
		var latest time.Time
		for _, event := range source.Page.Events {
			event.At = event.At.Add(-clockOffset)
			if event.At.Before(latest) {
				event.At = latest
			}
			latest = event.At
			merged = append(merged, event)
		}
	}
	sort.SliceStable(merged, func(i, j int) bool { return merged[i].At.Before(merged[j].At) })
	return merged
}

// WriteText writes one line per event.
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

// Package batch accepts batch jobs, gives each item exactly one result and keeps the
// results readable for the retention time.
package batch

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
)

// Item is one line of an input file.
type Item struct {
	CustomID string          `json:"custom_id"`
	Method   string          `json:"method"`
	URL      string          `json:"url"`
	Body     json.RawMessage `json:"body"`
}

// IsCompletion reports whether the item is a completion request to a model.
func (i Item) IsCompletion() bool {
	return i.URL == "/v1/chat/completions" || i.URL == "/v1/completions"
}

// Result is one line of an output or error file.
type Result struct {
	ID       string          `json:"id"`
	CustomID string          `json:"custom_id"`
	Response *ResultResponse `json:"response"`
	Error    *ResultError    `json:"error"`
}

// ResultResponse is the response of a completed item.
type ResultResponse struct {
	StatusCode int             `json:"status_code"`
	RequestID  string          `json:"request_id"`
	Body       json.RawMessage `json:"body"`
}

// ResultError says why an item has no response.
type ResultError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// LineError is the error of one invalid line of an input file.
type LineError struct {
	Line    int    `json:"line"`
	Message string `json:"message"`
}

// ItemChecker returns why an item can never be dispatched, or an empty text if it can.
type ItemChecker func(Item) string

// DecodeItem decodes and validates one line of an input file.
func DecodeItem(line []byte) (Item, error) {
	var item Item
	if err := json.Unmarshal(line, &item); err != nil {
		return item, fmt.Errorf("no JSON object with custom_id, method, url and body: %w", err)
	}
	switch {
	case item.CustomID == "":
		return item, fmt.Errorf("custom_id is missing")
	case item.Method == "":
		return item, fmt.Errorf("method is missing")
	case strings.ContainsFunc(item.URL, endsPath):
		return item, fmt.Errorf("url %q holds a space, a control character or a #", item.URL)
	case !item.IsCompletion() && !strings.HasPrefix(item.URL, "/v1/services/"):
		return item, fmt.Errorf("url %q is neither a completion path nor below /v1/services/", item.URL)
	}
	return item, nil
}

// endsPath reports whether a path ends before the character in a request line or a URL, so that
// the server would get another path.
func endsPath(r rune) bool { return r <= ' ' || r == 0x7f || r == '#' }

// splitLines returns the non-empty lines of a segment.
func splitLines(data []byte) [][]byte {
	var lines [][]byte
	for _, line := range bytes.Split(data, []byte("\n")) {
		if line = bytes.TrimSpace(line); len(line) > 0 {
			lines = append(lines, line)
		}
	}
	return lines
}

package batch

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
)

// writeResultSegments writes the results of consecutive items, beginning at item first, in
// segments of bounded size.
func (r *Repository) writeResultSegments(ctx context.Context, keyPrefix string, first int, results []Result) ([]FileSegment, error) {
	var segments []FileSegment
	var pending bytes.Buffer
	start := first
	flush := func(end int) error {
		if end == start {
			return nil
		}
		ref, err := r.segments.Put(ctx, fmt.Sprintf("%s-%06d", keyPrefix, start), bytes.Clone(pending.Bytes()))
		if err != nil {
			return err
		}
		segments = append(segments, FileSegment{SegmentRef: ref, FirstItem: start, Items: end - start})
		start = end
		pending.Reset()
		return nil
	}
	for i, result := range results {
		line, err := encodeResult(result)
		if err != nil {
			return nil, err
		}
		pending.Write(line)
		if pending.Len() >= resultSegmentBytes {
			if err := flush(first + i + 1); err != nil {
				return nil, err
			}
		}
	}
	return segments, flush(first + len(results))
}

func encodeResult(result Result) ([]byte, error) {
	line, err := json.Marshal(result)
	if err == nil && len(line) > maxResultBytes {
		result.Response = nil
		result.Error = &ResultError{Code: "answer_too_large", Message: fmt.Sprintf("the answer holds more than %d bytes; ask for less", maxResultBytes)}
		line, err = json.Marshal(result)
	}
	return append(line, '\n'), err
}

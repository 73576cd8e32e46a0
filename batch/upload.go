package batch

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/bergamotgrade/bergamotgrade"
)

// upload reads an input file line by line and writes it in segments, so that the VM holds
// at most one segment in memory.
type upload struct {
	repository   *Repository
	file         File
	check        ItemChecker
	atMostOnce   func(Item) bool
	firstLines   map[string]int
	lineErrors   []LineError
	pending      bytes.Buffer
	pendingFirst int
}

// Upload validates and stores an input file. If any line is invalid, it returns the
// errors of all invalid lines, at most maxReportedErrors, and does not accept the file.
// An accepted file is durable when Upload returns.
func (r *Repository) Upload(ctx context.Context, file File, body io.Reader, check ItemChecker, atMostOnce func(Item) bool) (File, []LineError, error) {
	u := &upload{repository: r, file: file, check: check, atMostOnce: atMostOnce, firstLines: map[string]int{}}
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 64<<10), MaxLineBytes)
	line := 0
	for scanner.Scan() {
		line++
		if text := bytes.TrimSpace(scanner.Bytes()); len(text) > 0 {
			if err := u.add(ctx, line, text); err != nil {
				return file, nil, err
			}
		}
	}
	if err := scanner.Err(); err != nil {
		if !errors.Is(err, bufio.ErrTooLong) {
			return file, nil, err
		}
		u.addError(line+1, fmt.Sprintf("longer than %d bytes", MaxLineBytes))
	}
	if u.file.Items == 0 && len(u.lineErrors) == 0 {
		u.addError(1, "the file has no items")
	}
	if len(u.lineErrors) > 0 {
		return file, u.lineErrors, nil
	}
	if err := u.flush(ctx); err != nil {
		return file, nil, err
	}
	_, err := r.write(ctx, filePrefix+u.file.FileID, u.file, 0)
	return u.file, nil, err
}

func (u *upload) addError(line int, message string) {
	if len(u.lineErrors) < maxReportedErrors {
		u.lineErrors = append(u.lineErrors, LineError{Line: line, Message: message})
	}
}

func (u *upload) add(ctx context.Context, line int, text []byte) error {
	item, err := DecodeItem(text)
	if err != nil {
		u.addError(line, err.Error())
		return nil
	}
	if first, ok := u.firstLines[item.CustomID]; ok {
		u.addError(line, fmt.Sprintf("custom_id %q stands in line %d too", item.CustomID, first))
		return nil
	}
	u.firstLines[item.CustomID] = line
	if problem := u.check(item); problem != "" {
		u.addError(line, problem)
		return nil
	}
	if u.file.Items++; u.file.Items > MaxItems {
		return bergamotgrade.NewError(bergamotgrade.KindRequestTooLarge, fmt.Sprintf("the file holds more than %d items", MaxItems), "cut it into several files").WithNotRun()
	}
	u.file.Once = u.file.Once || u.atMostOnce(item)
	u.file.Bytes += int64(len(text)) + 1
	if limit := u.repository.segments.Limit(); limit > 0 && u.file.Bytes > limit {
		return bergamotgrade.NewError(bergamotgrade.KindRequestTooLarge, fmt.Sprintf("the file holds more than the %d bytes that this fleet keeps without disk VMs", limit), "cut it into several files, or ask your operator for VMs with a data folder").WithNotRun()
	}
	u.pending.Write(text)
	u.pending.WriteByte('\n')
	// After an invalid line no more segments are written, because the file will be refused.
	if u.pending.Len() >= segmentBytes && len(u.lineErrors) == 0 {
		return u.flush(ctx)
	}
	return nil
}

func (u *upload) flush(ctx context.Context) error {
	items := u.file.Items - u.pendingFirst
	if items == 0 {
		return nil
	}
	key := fmt.Sprintf("%s/input/%06d", u.file.FileID, len(u.file.Segments))
	ref, err := u.repository.segments.Put(ctx, key, bytes.Clone(u.pending.Bytes()))
	if err != nil {
		return err
	}
	u.file.Segments = append(u.file.Segments, FileSegment{SegmentRef: ref, FirstItem: u.pendingFirst, Items: items})
	u.pendingFirst = u.file.Items
	u.pending.Reset()
	return nil
}

// Items returns the items of a file from first up to but not including end.
func (r *Repository) Items(ctx context.Context, file File, first, end int) ([]Item, error) {
	var items []Item
	for _, segment := range file.Segments {
		if segment.FirstItem >= end || segment.FirstItem+segment.Items <= first {
			continue
		}
		data, err := r.segments.Get(ctx, segment.SegmentRef)
		if err != nil {
			return nil, err
		}
		for i, line := range splitLines(data) {
			if at := segment.FirstItem + i; at < first || at >= end {
				continue
			}
			item, err := DecodeItem(line)
			if err != nil {
				return nil, err
			}
			items = append(items, item)
		}
	}
	return items, nil
}

// WriteFile writes the lines of an input file to w.
func (r *Repository) WriteFile(ctx context.Context, file File, w io.Writer) error {
	for _, segment := range file.Segments {
		data, err := r.segments.Get(ctx, segment.SegmentRef)
		if err != nil {
			return err
		}
		if _, err := w.Write(data); err != nil {
			return err
		}
	}
	return nil
}

// WriteResults writes the committed results of a job to w in input order: those with an
// error if failed is set, otherwise those with a response.
func (r *Repository) WriteResults(ctx context.Context, job Job, failed bool, w io.Writer) error {
	ranges, err := r.Ranges(ctx, job)
	if err != nil {
		return err
	}
	for _, progress := range ranges {
		for _, segment := range progress.Results {
			if err := r.writeSegment(ctx, segment, failed, w); err != nil {
				return err
			}
		}
	}
	return nil
}

func (r *Repository) writeSegment(ctx context.Context, segment FileSegment, failed bool, w io.Writer) error {
	data, err := r.segments.Get(ctx, segment.SegmentRef)
	if err != nil {
		return err
	}
	for _, line := range splitLines(data) {
		var result Result
		if err := json.Unmarshal(line, &result); err != nil {
			return err
		}
		if (result.Error != nil) != failed {
			continue
		}
		if _, err := w.Write(append(line, '\n')); err != nil {
			return err
		}
	}
	return nil
}

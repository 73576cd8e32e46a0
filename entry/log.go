package entry

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
)

const (
	// maxQueuedLines is the number of lines that wait to be written; further lines are
	// dropped and counted.
	maxQueuedLines = 2048
	// maxWriteBytes is the number of bytes after which no further line is added to one
	// write.
	maxWriteBytes = 64 << 10
)

// logWriter writes log lines in the background, without blocking the goroutines that log.
type logWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

func newLogWriter(out io.Writer) *logWriter {
	return &logWriter{out: out, lines: make(chan []byte, maxQueuedLines)}
}

// Write implements io.Writer. It queues the line, or drops it if the queue is full; it
// never blocks.
func (w *logWriter) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case w.lines <- copied:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// run writes queued lines until the context ends, then writes those still in the queue.
func (w *logWriter) run(ctx context.Context) {
	var batch []byte
	for {
		select {
		case line := <-w.lines:
			batch = append(batch[:0], line...)
		case <-ctx.Done():
			w.writeQueued()
			return
		}
		for len(batch) < maxWriteBytes && len(w.lines) > 0 {
			batch = append(batch, <-w.lines...)
		}
		// A failure to write the log can be reported nowhere.
		_, _ = w.out.Write(batch)
	}
}

func (w *logWriter) writeQueued() {
	for {
		select {
		case line := <-w.lines:
			_, _ = w.out.Write(line)
		default:
			return
		}
	}
}

func newLogger(w io.Writer, vmID string) *slog.Logger {
	return slog.New(slog.NewJSONHandler(w, nil)).With("vm", vmID)
}

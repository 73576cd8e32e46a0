package entry

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
)

const (
	// logLines is the number of lines that wait to be written; further ones are
	// dropped and counted.
	logLines = 2048
	// logBatch bounds the bytes of one write.
	logBatch = 64 << 10
)

// logWriter writes lines without blocking those who log.
type logWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

func newLogWriter(out io.Writer) *logWriter {
	return &logWriter{out: out, lines: make(chan []byte, logLines)}
}

// Write implements io.Writer; it never blocks.
func (w *logWriter) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case w.lines <- copied:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// run writes lines until the context ends and all that wait are written.
func (w *logWriter) run(ctx context.Context) {
	var batch []byte
	for {
		select {
		case line := <-w.lines:
			batch = append(batch[:0], line...)
		case <-ctx.Done():
			w.drain()
			return
		}
		for len(batch) < logBatch && len(w.lines) > 0 {
			batch = append(batch, <-w.lines...)
		}
		// There is nowhere to report a failure to write logs.
		_, _ = w.out.Write(batch)
	}
}

func (w *logWriter) drain() {
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

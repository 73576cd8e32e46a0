package stage

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes what was sent, answered and run to a file, each line with the seconds since the start.
type Record struct {
	mu        sync.Mutex
	file      *os.File
	startedAt time.Time
}

func newRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	return &Record{file: file, startedAt: time.Now()}, err
}

// Add writes one line.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

func (r *Record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.file.Close()
}

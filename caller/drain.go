package caller

import (
	"context"
	"net/http"
	"time"
)

// Drain stops the server without interrupting requests. Responses ask callers to close
// their connections. The server accepts connections for the notice period, and after it
// until no new connection has arrived for the quiet period; then Drain waits for all
// requests to finish. If ctx ends before the quiet period has passed, the server closes
// all connections at once, which interrupts open requests.
func (s *Server) Drain(ctx context.Context, server *http.Server, notice, quiet time.Duration) error {
	s.draining.Store(true)
	noticeEnd := time.Now().Add(notice)
	ticker := time.NewTicker(max(quiet/10, time.Millisecond))
	defer ticker.Stop()
	for {
		lastAccept := time.Unix(0, s.lastAccept.Load())
		if time.Now().After(noticeEnd) && time.Since(lastAccept) > quiet {
			break
		}
		select {
		case <-ctx.Done():
			return server.Close()
		case <-ticker.C:
		}
	}
	return server.Shutdown(ctx)
}

// Draining reports whether Drain has been called.
func (s *Server) Draining() bool { return s.draining.Load() }

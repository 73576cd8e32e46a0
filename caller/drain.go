package caller

import (
	"context"
	"net/http"
	"time"
)

// Drain stops the server without cutting a request. It tells kept connections
// to close, goes on accepting for the notice period and until no connection has
// arrived for the quiet period, and then waits for all requests to finish.
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

// Draining reports whether a stop is under way.
func (s *Server) Draining() bool { return s.draining.Load() }

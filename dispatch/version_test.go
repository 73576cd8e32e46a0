package dispatch

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/queue"
)

// breakingBackend breaks each stream off after two tokens, and records the versions of the
// servers that wrote the tokens.
type breakingBackend struct {
	bergamotgrade.Backend
	mu       sync.Mutex
	versions []string
}

func (b *breakingBackend) Complete(_ context.Context, server bergamotgrade.BackendServer, completion bergamotgrade.Completion) (bergamotgrade.ChunkStream, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.versions = append(b.versions, server.SoftwareVersion)
	return &breakingStream{next: completion.ResumeOffset, end: completion.ResumeOffset + 2}, nil
}

type breakingStream struct{ next, end int }

func (s *breakingStream) Next() (bergamotgrade.Chunk, error) {
	if s.next == s.end {
		return bergamotgrade.Chunk{}, bergamotgrade.MaybeRan(io.ErrNoProgress)
	}
	s.next++
	return bergamotgrade.Chunk{Index: s.next - 1, Finished: s.next == 6}, nil
}

func (s *breakingStream) Close() error { return nil }

// A completion whose engine fails goes on at an engine of the same software version, and fails
// at once if there is none.
func TestCompletionGoesOnAtAnotherVersion(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		t.Run(fmt.Sprintf("leaving=%t", leaving), func(t *testing.T) {
			f := newCrashTest(t, "model/m")
			backend := &breakingBackend{}
			f.dispatcher.backend = backend
			var servers []bergamotgrade.BackendServer
			for i := range 20 {
				servers = append(servers, bergamotgrade.BackendServer{BackendServerID: fmt.Sprint("e", i), SoftwareVersion: fmt.Sprint("v", i%2), Slots: 4})
			}
			pool := f.dispatcher.pools["model/m"]
			pool.setServers(servers, VMSet{Self: "vm1", Count: 1})
			for class := queue.ClassOnline; class <= queue.ClassBatch; class++ {
				backend.versions = nil
				begunAt := time.Now()
				err := f.dispatcher.Complete(f.ctx, CompletionRequest{RequestID: "r", Model: bergamotgrade.Model{ModelID: "m"}, Class: class, Deadline: time.Now().Add(10 * time.Second)},
					func(bergamotgrade.Chunk) error {
						if !leaving {
							return nil
						}
						var others []bergamotgrade.BackendServer
						for _, server := range servers {
							if server.SoftwareVersion != backend.versions[0] {
								others = append(others, server)
							}
						}
						pool.setServers(others, VMSet{Self: "vm1", Count: 1})
						return nil
					})
				for _, version := range backend.versions {
					qt.Check(t, version, qt.Equals, backend.versions[0])
				}
				if leaving {
					qt.Check(t, bergamotgrade.IsKind(err, bergamotgrade.KindNoBackendServer), qt.IsTrue, qt.Commentf("%v", err))
					qt.Check(t, time.Since(begunAt) < 5*time.Second, qt.IsTrue)
				} else {
					qt.Check(t, err, qt.IsNil)
					qt.Check(t, backend.versions, qt.HasLen, 3)
				}
				pool.setServers(servers, VMSet{Self: "vm1", Count: 1})
			}
		})
	}
}

// Package hostile tests that processes of the system outlive clients outside the limits. Each
// test checks that the process lives, that its resident memory and descriptors stay within
// the limits in its settings, and that it serves one ordinary request while the crowd is still
// connected. The crowds and the bounds were fixed on code that had no budget of bytes.
package hostile

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade/platform/standin"
)

// connections is the size of a crowd that sends bodies.
const connections = 96

// crowdCase is one crowd at one listener of a process.
type crowdCase struct {
	name, listener string
	number         int
	send           client
}

// runCrowds runs each crowd at a process of its own, one after the other.
func runCrowds(t *testing.T, begin func(*testing.T) *process, cases []crowdCase) {
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := begin(t)
			crowd(t, p.addresses[c.listener], c.number, c.send)
			p.check()
		})
	}
}

// TestVM guards against a VM that ends or stops serving under clients outside the limits.
func TestVM(t *testing.T) {
	stream := target{http.MethodPost, standin.ResumePath + "x"}
	once := target{http.MethodPost, standin.UnsafePath + "x"}
	job := target{http.MethodPost, standin.JobsPath + "x"}
	ready := target{http.MethodGet, standin.ReadyPath}
	runCrowds(t, startVM, []crowdCase{
		{"body_one_byte_short", "callers", connections, shortBody(stream, bodyBytes, 1)},
		{"body_in_pieces", "callers", connections, bodyInPieces(once, bodyBytes)},
		{"one_large_chunk", "callers", connections, oneChunk(stream, bodyBytes)},
		{"one_byte_chunks", "callers", connections, smallChunks(stream, 100_000)},
		{"batch_one_byte_short", "callers", connections, shortBody(job, bodyBytes, 1)},
		{"whole_bodies", "callers", connections, shortBody(once, bodyBytes, 0)},
		{"head_over_limit", "callers", connections, endlessHead(stream, 1<<20)},
		{"endless_header_line", "callers", connections, endlessLine(stream, 1<<20)},
		{"empty_lines", "callers", connections, emptyLines(1 << 20)},
		{"idle_connections", "callers", 1000, idle},
		{"half_heads", "callers", 1000, halfHead},
		{"many_fields", "callers", 1000, manyFields(stream, 2600)},
		{"ready_idle", "ready", 1000, idle},
		{"ready_bodies", "ready", connections, shortBody(ready, bodyBytes, 1)},
		{"metrics_idle", "metrics", 1000, idle},
		{"metrics_head_over_limit", "metrics", connections, endlessHead(ready, 1<<20)},
		{"inner_idle", "inner", 1000, idle},
		{"inner_short_frames", "inner", 24, shortFrame("", 16<<20, 12<<20)},
	})
}

// TestSlowReaders guards against answers that pile up at a VM because their clients do not read.
func TestSlowReaders(t *testing.T) {
	t.Run("streams", func(t *testing.T) {
		p := startVM(t)
		// The stand-in repeats the long id in each of 4000 events, 40 MB in all.
		crowd(t, p.addresses["callers"], connections, unread(func(number int) string {
			return fmt.Sprintf("POST %sx HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n"+standin.AttemptIDHeader+": %s%d\r\n"+standin.TokenUsageHeader+": 10,4000\r\nContent-Length: 0\r\n\r\n",
				standin.ResumePath, key, content[1:10000], number)
		}))
		p.check()
	})
	t.Run("item_bodies", func(t *testing.T) {
		p := startVM(t)
		caller := standin.Caller{Address: p.addresses["callers"], Key: key, Client: newClient()}
		crowd(t, p.addresses["callers"], 1, func(conn net.Conn, number int) error {
			body := jobOfSize(600 << 10)
			_, err := fmt.Fprintf(conn, "POST %sj HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n"+standin.AttemptIDHeader+": j\r\nContent-Length: %d\r\n\r\n%s", standin.JobsPath, key, len(body), body)
			return err
		})
		p.retry("the job is accepted", func(string) error {
			reply, err := caller.ItemBody("j", "big")
			if err == nil && reply.Status != http.StatusOK {
				err = fmt.Errorf("status %d", reply.Status)
			}
			return err
		})
		crowd(t, p.addresses["callers"], 400, unread(func(int) string {
			return fmt.Sprintf("GET "+standin.ItemsPath+"j?identifier=big HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n\r\n", key)
		}))
		p.check()
	})
}

// TestDatagrams guards against a VM that ends under datagrams that are no messages.
func TestDatagrams(t *testing.T) {
	p := startVM(t)
	randomDatagrams(t, p.addresses["inner"], 5000)
	p.check()
}

// TestDaemon guards against a daemon that ends or stops serving under clients outside the limits.
func TestDaemon(t *testing.T) {
	chat := target{http.MethodPost, "/v1/chat/completions"}
	service := target{http.MethodPost, "/v1/services/echo/x"}
	note := target{http.MethodPost, "/notes"}
	runCrowds(t, startDaemon, []crowdCase{
		{"body_one_byte_short", "callers", connections, shortBody(chat, bodyBytes, 1)},
		{"body_in_pieces", "callers", connections, bodyInPieces(service, bodyBytes)},
		{"one_large_chunk", "callers", connections, oneChunk(service, bodyBytes)},
		{"whole_bodies", "callers", connections, shortBody(service, bodyBytes, 0)},
		{"idle_connections", "callers", 1000, idle},
		{"operators_notes", "operators", 2 * connections, shortBody(note, 1<<20, 1)},
		{"operators_idle", "operators", 1000, idle},
		{"inner_short_frames", "inner", 24, shortFrame(innerSecret, 16<<20, 12<<20)},
		{"inner_idle", "inner", 1000, idle},
	})
}

// TestLargestBody guards against limits that a client inside them meets: a body of the full size
// is accepted by an unloaded VM of the smallest memory.
func TestLargestBody(t *testing.T) {
	p := startVMOf(t, smallestMB)
	for _, path := range []string{standin.ResumePath, standin.UnsafePath} {
		reply, err := standin.Caller{Address: p.addresses["callers"], Key: key, Client: newClient(), Body: string(content)}.Stream(path+"full", "full"+path[1:3])
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, reply.Status, qt.Equals, http.StatusOK)
	}
	p.check()
}

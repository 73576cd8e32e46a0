package backend

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bergamotgrade/bergamotgrade"
)

// event holds the fields of a streamed chunk that the stream evaluates.
type event struct {
	ID         string          `json:"id"`
	TokenIndex *int            `json:"token_index"`
	Choices    json.RawMessage `json:"choices"`
	Usage      json.RawMessage `json:"usage"`
}

// choice holds the fields of a choice that the stream evaluates.
type choice struct {
	FinishReason *string `json:"finish_reason"`
}

var (
	dataPrefix = []byte("data:")
	doneMark   = []byte("[DONE]")
	emptyList  = []byte("[]")
)

// stream reads the chunks of one attempt and verifies their attempt id and token order.
type stream struct {
	client     *Client
	server     bergamotgrade.BackendServer
	completion bergamotgrade.Completion
	transport  *http.Transport
	cancel     context.CancelFunc
	watchdog   *time.Timer
	timedOut   atomic.Bool

	body    io.ReadCloser
	scanner *bufio.Scanner
	// next is the expected index of the next token.
	next int
	// finished is set once a chunk carried a finish reason.
	finished bool
	// done is set once the stream ended completely.
	done   bool
	closed bool
}

func (s *stream) start(body io.ReadCloser) {
	s.body = body
	s.scanner = bufio.NewScanner(body)
	s.scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
}

// timeOut cancels an attempt whose next token did not arrive in time.
func (s *stream) timeOut() {
	s.timedOut.Store(true)
	s.cancel()
}

func (s *stream) wrapTimeout(err error) error {
	if s.timedOut.Load() {
		return errors.Wrap(err, "the server was silent for too long")
	}
	return err
}

// Next implements bergamotgrade.ChunkStream.
func (s *stream) Next() (bergamotgrade.Chunk, error) {
	for s.scanner.Scan() {
		line := bytes.TrimSpace(s.scanner.Bytes())
		data, ok := bytes.CutPrefix(line, dataPrefix)
		if !ok {
			continue // comment or blank line, sent as keep-alive
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, doneMark) {
			return s.end()
		}
		s.watchdog.Reset(s.client.timeouts.TokenGap)
		return s.decode(data)
	}
	err := s.scanner.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	// What broke or silenced this connection may have done so to the idle ones; closing them
	// makes the next attempt open a new one.
	s.transport.CloseIdleConnections()
	return bergamotgrade.Chunk{}, bergamotgrade.MaybeRan(s.wrapTimeout(err))
}

func (s *stream) end() (bergamotgrade.Chunk, error) {
	if !s.finished {
		return bergamotgrade.Chunk{}, bergamotgrade.MaybeRan(errors.New("the stream ended without a finish reason"))
	}
	s.done = true
	return bergamotgrade.Chunk{}, io.EOF
}

func (s *stream) decode(data []byte) (bergamotgrade.Chunk, error) {
	decoded, err := decodeEvent(data)
	if err != nil {
		return bergamotgrade.Chunk{}, bergamotgrade.MaybeRan(err)
	}
	if decoded.ID != s.completion.AttemptID {
		return bergamotgrade.Chunk{}, bergamotgrade.MaybeRan(errors.Newf("chunk of attempt %q arrived for attempt %q", decoded.ID, s.completion.AttemptID))
	}
	if decoded.TokenIndex == nil {
		return bergamotgrade.Chunk{Index: -1, Choices: emptyList, Usage: decoded.Usage}, nil
	}
	if *decoded.TokenIndex != s.next {
		return bergamotgrade.Chunk{}, bergamotgrade.MaybeRan(errors.Newf("token %d arrived in place of token %d", *decoded.TokenIndex, s.next))
	}
	s.next++
	finished := isFinished(decoded.Choices)
	s.finished = s.finished || finished
	return bergamotgrade.Chunk{Index: s.next - 1, Choices: decoded.Choices, Usage: decoded.Usage, Finished: finished}, nil
}

func decodeEvent(data []byte) (event, error) {
	var decoded event
	if err := json.Unmarshal(data, &decoded); err != nil {
		return event{}, errors.Wrap(err, "a chunk cannot be decoded")
	}
	return decoded, nil
}

func isFinished(choices []byte) bool {
	if !bytes.Contains(choices, []byte("finish_reason")) {
		return false
	}
	var parsed []choice
	if json.Unmarshal(choices, &parsed) != nil {
		return false
	}
	for _, c := range parsed {
		if c.FinishReason != nil {
			return true
		}
	}
	return false
}

// Close implements bergamotgrade.ChunkStream.
func (s *stream) Close() error {
	if s.closed {
		return nil
	}
	if s.done {
		// Reading the body to its end makes the connection reusable.
		_, _ = io.CopyN(io.Discard, s.body, 1)
	} else {
		s.client.enqueueCancel(s.server, s.completion.AttemptID)
	}
	s.release()
	if s.body == nil {
		return nil
	}
	return s.body.Close()
}

func (s *stream) release() {
	s.closed = true
	s.watchdog.Stop()
	s.cancel()
}

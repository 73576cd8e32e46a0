package backend

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
)

// FuzzStream checks that a stream of arbitrary bytes from a model engine yields tokens
// in order without gaps, or ends with an error.
func FuzzStream(f *testing.F) {
	f.Add([]byte("data: {\"id\":\"a\",\"token_index\":0,\"choices\":[{\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n"))
	f.Add([]byte("data: {\"id\":\"a\",\"token_index\":1,\"choices\":null}\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		_ = ctx
		s := &stream{client: New(Timeouts{TokenGap: time.Minute}), transport: &http.Transport{}, completion: bergamotgrade.Completion{AttemptID: "a"}, cancel: cancel}
		s.watchdog = time.AfterFunc(time.Minute, func() {})
		s.start(io.NopCloser(bytes.NewReader(data)))
		defer s.Close()
		next := 0
		for {
			chunk, err := s.Next()
			if err != nil {
				var dispatch *bergamotgrade.DispatchError
				qt.Assert(t, errors.Is(err, io.EOF) || errors.As(err, &dispatch), qt.IsTrue)
				return
			}
			if chunk.Index >= 0 {
				qt.Assert(t, chunk.Index, qt.Equals, next)
				next++
			}
		}
	})
}

package caller

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"
)

// FuzzDecodeCompletion checks that each accepted body is sent to the engine as a JSON
// request with streaming enabled.
func FuzzDecodeCompletion(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":3}`), true)
	f.Add([]byte(`{"model":"m","prompt":"x","n":1}`), false)
	f.Fuzz(func(t *testing.T, data []byte, chat bool) {
		if _, err := decodeCompletion(data, chat); err != nil {
			return
		}
		body, err := engineBody(data)
		qt.Assert(t, err, qt.IsNil)
		var sent struct{ Stream bool }
		qt.Assert(t, json.Unmarshal(body, &sent), qt.IsNil)
		qt.Assert(t, sent.Stream, qt.IsTrue)
	})
}

package batch

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestItemURLReachesTheServiceUnchanged guards against an item whose path ends early on its way
// to the service, and against a second object on its line that nobody would run.
func TestItemURLReachesTheServiceUnchanged(t *testing.T) {
	const valid = `{"custom_id":"a","method":"POST","url":"/v1/services/s/x?y=z","body":{}}`
	_, err := DecodeItem([]byte(valid))
	qt.Assert(t, err, qt.IsNil)
	for _, line := range []string{
		`{"custom_id":"a","method":"POST","url":"/v1/services/s/x y","body":{}}`,
		`{"custom_id":"a","method":"POST","url":"/v1/services/s/x#y","body":{}}`,
		`{"custom_id":"a","method":"POST","url":"/v1/services/s/x\r\nX-A: 1","body":{}}`,
		valid + valid, valid + "x",
	} {
		_, err := DecodeItem([]byte(line))
		qt.Assert(t, err, qt.IsNotNil, qt.Commentf(line))
	}
}

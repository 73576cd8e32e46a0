package bergamotgrade

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Requests that differ in any field must not be taken for repeats of each other, also where
// the fields joined together are the same.
func TestFingerprintTellsRequestsApart(t *testing.T) {
	fingerprints := map[string]bool{}
	for _, fields := range [][5]string{
		{"team", "POST", "host", "/x", "body"},
		{"tea", "mPOST", "host", "/x", "body"},
		{"team", "POST", "host", "/xb", "ody"},
		{"team", "POST", "host", "/x", ""},
		{"", "POST", "host", "/x", "body"},
		{"team", "PUT", "host", "/x", "body"},
	} {
		fingerprint := Fingerprint(fields[0], fields[1], fields[2], fields[3], []byte(fields[4]))
		qt.Assert(t, fingerprint, qt.Equals, Fingerprint(fields[0], fields[1], fields[2], fields[3], []byte(fields[4])))
		fingerprints[fingerprint] = true
	}
	qt.Assert(t, fingerprints, qt.HasLen, 6)
}

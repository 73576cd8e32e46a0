package quarantine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
)

// TestEndsOfServersAreApart guards against the ends of two servers that count as those of one, because
// their ids hold the character that parts the keys.
func TestEndsOfServersAreApart(t *testing.T) {
	entries := map[string]bergamotgrade.Entry{}
	for _, id := range []string{"a", "a/b", "a/c", "a%2Fb", "a.5"} {
		start := serverStart(bergamotgrade.ServerRecord{ServerID: id, StartedAt: time.UnixMilli(5)})
		entries[endKey(start, "vm")] = bergamotgrade.Entry{Value: []byte(`{}`)}
	}
	decoded, invalid := decodeRecords(entries)
	qt.Assert(t, invalid, qt.HasLen, 0)
	qt.Assert(t, decoded.ends, qt.HasLen, 5)
	for _, byVM := range decoded.ends {
		qt.Assert(t, byVM, qt.HasLen, 1)
		_, ok := byVM["vm"]
		qt.Assert(t, ok, qt.IsTrue)
	}
}

package bergamotgrade

import (
	"bytes"
	"math"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"
)

// TestCheckMessagePack guards against a VM that a few bytes end, because a list or text claims a length
// that they do not have, or nests without end.
func TestCheckMessagePack(t *testing.T) {
	for _, value := range []any{
		nil, true, -1, 5, 200, 70000, math.MaxInt64, math.MinInt64, 1.5, float32(1), "", "text", strings.Repeat("x", 40), strings.Repeat("x", 300), strings.Repeat("x", 70000),
		[]byte("bytes"), make([]byte, 70000),
		[]int{1, 2, 3},
		make([]string, 70000),
		map[string]any{"a": []any{1, map[string]int{"b": 2}}},
		struct{ A, B string }{"a", "b"},
	} {
		data, err := msgpack.Marshal(value)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, CheckMessagePack(data), qt.IsNil, qt.Commentf("%T", value))
		qt.Assert(t, CheckMessagePack(append(data, 0xc1)), qt.IsNil) // what follows is not looked at
		for cut := range min(len(data), 50) {
			qt.Assert(t, CheckMessagePack(data[:cut]), qt.IsNotNil, qt.Commentf("%T cut to %d bytes", value, cut))
		}
	}
	for _, data := range []string{
		"", "\xc1", "\xdd\xff\xff\xff\xff\xc0", "\xdf\xff\xff\xff\xff\xc0", "\xc6\xff\xff\xff\xff", "\xdb\xff\xff\xff\xff", "\xc9\xff\xff\xff\xff\x01", "\x91", "\xdc\x00",
		string(bytes.Repeat([]byte{0x91}, 1<<20)) + "\xc0",
	} {
		qt.Assert(t, CheckMessagePack([]byte(data)), qt.IsNotNil, qt.Commentf("%.10x", data))
	}
}

package gossip

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestEncodeDecode(t *testing.T) {
	message := Message{
		VMID: "front-a-1", Incarnation: 1700000000000000000, Sequence: 9, Version: 7, Callers: true, StoreUnreachable: true,
		Load:     []ServerLoad{{ServerID: "i-1", Online: 3, Batch: 2}, {ServerID: "i-2", Online: 1}},
		Suspects: []string{"i-9"},
		Admitted: map[string]uint64{"team": 12345},
	}
	data, err := Encode(message)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(data) < 100, qt.IsTrue, qt.Commentf("%d bytes", len(data)))
	decoded, size, err := Decode(append(data, data...))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, size, qt.Equals, len(data))
	qt.Assert(t, decoded, qt.DeepEquals, message)
}

func FuzzDecode(f *testing.F) {
	data, _ := Encode(Message{VMID: "vm", Load: []ServerLoad{{ServerID: "i"}}})
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) { _, _, _ = Decode(data) })
}

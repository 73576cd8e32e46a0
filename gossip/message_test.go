package gossip

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
)

func TestEncodeDecode(t *testing.T) {
	status := &Status{
		VM:       VMState{VMID: "front-a-1", Incarnation: 1700000000000000000, Version: 7, Callers: true, StoreUnreachable: true},
		Sequence: 9, Primary: true,
		Load:     []ServerLoad{{ServerID: "i-1", Online: 3, Batch: 2}, {ServerID: "i-2", Online: 1}},
		Suspects: []string{"i-9"},
		Admitted: map[string]uint64{"team": 12345},
		Speeds:   []bergamotgrade.ServerSpeed{{ServerID: "i-1", Time: 130, Runs: 12}},
	}
	data, err := encode(tagStatus, status)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(data) < 100, qt.IsTrue, qt.Commentf("%d bytes", len(data)))
	digest := &Digest{
		DataCentre: "a", HubID: "front-a-1", Incarnation: 1, Sequence: 2, RosterVersion: 3, Roster: []VMState{status.VM}, Seen: []uint64{9},
		Load: status.Load, Suspects: []ServerCount{{ServerID: "i-9", Count: 1}}, Limits: []bergamotgrade.BatchRuns{{VMID: "v", ServerID: "i-1", Runs: 1}},
		Admitted: status.Admitted, AllAdmitted: true, Speeds: status.Speeds,
	}
	second, err := encode(tagDigest, digest)
	qt.Assert(t, err, qt.IsNil)
	decoded, size, err := decode(append(append([]byte{}, data...), second...))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, size, qt.Equals, len(data))
	qt.Assert(t, decoded, qt.DeepEquals, status)
	decoded, size, err = decode(second)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, size, qt.Equals, len(second))
	qt.Assert(t, decoded, qt.DeepEquals, digest)
}

// TestLeavingMarkIsSmall bounds what a server that leaves adds to each status and digest.
func TestLeavingMarkIsSmall(t *testing.T) {
	without, err := encode(tagStatus, Status{VM: VMState{VMID: "front-a-1"}})
	qt.Assert(t, err, qt.IsNil)
	with, err := encode(tagStatus, Status{VM: VMState{VMID: "front-a-1"}, Leaving: []bergamotgrade.ServerProcess{{ServerID: "i-7f3a91c2", StartedAtMs: 1769837272006}}})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(with)-len(without) <= 24, qt.IsTrue, qt.Commentf("%d bytes", len(with)-len(without)))
	t.Logf("%d bytes", len(with)-len(without))
}

// No datagram makes a VM panic, and whatever decodes can be applied.
func FuzzDecode(f *testing.F) {
	status, _ := encode(tagStatus, Status{VM: VMState{VMID: "vm"}, Load: []ServerLoad{{ServerID: "i"}}})
	digest, _ := encode(tagDigest, Digest{HubID: "vm", Roster: []VMState{{VMID: "vm"}}, Seen: []uint64{1, 2}})
	asked, _ := encode(tagStatus, Status{VM: VMState{VMID: "vm"}, Asked: []ServiceWork{{Service: "svc", Teams: []TeamWork{{1, 2}}, RestTeams: 3, RestPerSecond: 4}}})
	f.Add(status)
	f.Add(digest)
	f.Add(asked)
	f.Fuzz(func(_ *testing.T, data []byte) {
		message, _, err := decode(data)
		if err != nil {
			return
		}
		switch m := message.(type) {
		case *Status:
			h := newHub("a", "hub", 1)
			h.record(testStart, *m, nil)
			h.digest(testStart, localVMs)
		case *Digest:
			newTracker("vm", 0, "a").apply(testStart, *m)
		}
	})
}

package entry

import (
	"encoding/json"
	"io"
	"log/slog"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/platform/standin"
)

// registered returns the registrations of VMs that take callers.
func registered(t *testing.T, vmIDs ...string) map[string]bergamotgrade.Entry {
	entries := map[string]bergamotgrade.Entry{}
	for _, id := range vmIDs {
		value, err := json.Marshal(member{VMID: id, Incarnation: 1, Callers: true})
		qt.Assert(t, err, qt.IsNil)
		entries[memberPrefix+id] = bergamotgrade.Entry{Key: memberPrefix + id, Value: value}
	}
	return entries
}

// TestUnlistedVMAdmitsNothing: a VM that has not seen its own registration does not
// know which others there are, and they do not know of it; it must not take the
// whole rate for itself. Seen when the store went away right after the start of
// all VMs: one read an empty list and admitted 20/s beside the others' 20/s.
func TestUnlistedVMAdmitsNothing(t *testing.T) {
	v := newView(bergamotgrade.SystemClock{}, "vm1", 1, true, slog.New(slog.NewTextHandler(io.Discard, nil)))
	write, err := standin.NewConfiguration(1, "svc", "k").Write()
	qt.Assert(t, err, qt.IsNil)
	v.setConfiguration(bergamotgrade.Entry{Key: write.Key, Value: write.Value, Revision: 1})
	team := bergamotgrade.FleetTeam{Name: "team", Rate: 2000, Burst: 2000}
	for _, others := range []map[string]bergamotgrade.Entry{nil, registered(t), registered(t, "vm2")} {
		if others != nil {
			v.setMembers(others)
		}
		refusal := bergamotgrade.AsError(v.Admit(team))
		qt.Assert(t, refusal.Kind(), qt.Equals, bergamotgrade.KindNotReady)
		qt.Assert(t, refusal.NotRun(), qt.IsTrue)
		qt.Assert(t, v.knowsFleet(), qt.IsFalse)
	}
	qt.Assert(t, v.Admit(bergamotgrade.FleetTeam{Name: "unlimited"}), qt.IsNil)
	v.setMembers(registered(t, "vm1", "vm2"))
	qt.Assert(t, v.knowsFleet(), qt.IsTrue)
	// The registration may lapse; what the VM knows of the others is kept.
	v.setMembers(registered(t, "vm2"))
	qt.Assert(t, v.knowsFleet(), qt.IsTrue)
}

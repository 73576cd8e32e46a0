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

// registrations returns the store entries of VMs that take callers' requests.
func registrations(t *testing.T, vmIDs ...string) map[string]bergamotgrade.Entry {
	entries := map[string]bergamotgrade.Entry{}
	for _, id := range vmIDs {
		value, err := json.Marshal(member{VMID: id, Incarnation: 1, Callers: true})
		qt.Assert(t, err, qt.IsNil)
		entries[memberPrefix+id] = bergamotgrade.Entry{Key: memberPrefix + id, Value: value}
	}
	return entries
}

// A VM that has not read its own registration does not know the other VMs, and they do
// not know it: it must not use the whole rate of a team by itself. When the store became
// unreachable right after the start of all VMs, one VM had read an empty list of members
// and admitted 20/s in addition to the 20/s of the others.
func TestUnregisteredVMRefusesRequests(t *testing.T) {
	v := newView(bergamotgrade.SystemClock{}, "vm1", 1, true, slog.New(slog.NewTextHandler(io.Discard, nil)))
	write, err := standin.NewConfiguration(1, "svc", "k").Write()
	qt.Assert(t, err, qt.IsNil)
	v.setConfiguration(bergamotgrade.Entry{Key: write.Key, Value: write.Value, Revision: 1})
	team := bergamotgrade.FleetTeam{Name: "team", Rate: 2000, Burst: 2000}
	for _, others := range []map[string]bergamotgrade.Entry{nil, registrations(t), registrations(t, "vm2")} {
		if others != nil {
			v.setMembers(others)
		}
		refusal := bergamotgrade.AsError(v.Admit(team))
		qt.Assert(t, refusal.Kind(), qt.Equals, bergamotgrade.KindNotReady)
		qt.Assert(t, refusal.NotRun(), qt.IsTrue)
		qt.Assert(t, v.knowsMembers(), qt.IsFalse)
	}
	qt.Assert(t, v.Admit(bergamotgrade.FleetTeam{Name: "unlimited"}), qt.IsNil)
	v.setMembers(registrations(t, "vm1", "vm2"))
	qt.Assert(t, v.knowsMembers(), qt.IsTrue)
	// After its own registration has expired the VM still knows the other members.
	v.setMembers(registrations(t, "vm2"))
	qt.Assert(t, v.knowsMembers(), qt.IsTrue)
}

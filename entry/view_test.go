package entry

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/gossip"
	"github.com/bergamotgrade/bergamotgrade/limit"
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
	v := newView(bergamotgrade.SystemClock{}, "vm1", 1, true, regions{}, limit.Tolerance{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
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

// reportOf returns a report that lists the VMs.
func reportOf(vmIDs ...string) gossip.Report {
	report := gossip.Report{DataCentre: "here", HubID: vmIDs[0], HubIncarnation: 1, AllAdmitted: true}
	for _, id := range vmIDs {
		report.VMs = append(report.VMs, gossip.VMState{VMID: id, Incarnation: 1})
	}
	return report
}

// A silent VM whose lease is valid counts as alive, even for a VM that hears most others:
// two data centres that did not hear each other for a moment took each other's jobs in turn,
// and an item that fails at each run was run again by each new owner (further-grown, scale-2,
// seed 142883499: BUDGET).
func TestRunnerAlive(t *testing.T) {
	clock := &manualClock{now: time.Unix(1000, 0)}
	v := newView(clock, "vm1", 1, false, regions{}, limit.Tolerance{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	v.setMembers(registrations(t, "vm1", "vm2", "vm3", "vm4"))
	v.recordReport(reportOf("vm2", "vm3", "vm4"))
	clock.now = clock.now.Add(time.Minute)
	v.recordReport(reportOf("vm2", "vm3"))
	qt.Assert(t, v.RunnerAlive("vm4", 1), qt.IsTrue)
	qt.Assert(t, v.RunnerAlive("vm2", 1), qt.IsTrue)
	qt.Assert(t, v.RunnerAlive("vm2", 0), qt.IsFalse) // an earlier process
	v.setMembers(registrations(t, "vm1", "vm2", "vm3"))
	qt.Assert(t, v.RunnerAlive("vm4", 1), qt.IsFalse) // the lease has expired
	qt.Assert(t, v.RunnerAlive("vm2", 1), qt.IsTrue)
}

// The strongest VM that reaches the store watches it for the fleet; the strongest of each
// other data centre relays its changes there.
func TestSource(t *testing.T) {
	clock := &manualClock{now: time.Unix(1000, 0)}
	entries := map[string]bergamotgrade.Entry{}
	for i, m := range []member{
		{VMID: "a1", DataCentre: "a", Cores: 0.2},
		{VMID: "a2", DataCentre: "a", Cores: 0.5},
		{VMID: "b1", DataCentre: "b", Cores: 0.8},
		{VMID: "b2", DataCentre: "b", Cores: 0.2},
	} {
		m.InnerAddress, m.Incarnation = "address-"+m.VMID, 1
		value, err := json.Marshal(m)
		qt.Assert(t, err, qt.IsNil)
		entries[fmt.Sprint(i)] = bergamotgrade.Entry{Key: fmt.Sprint(i), Value: value}
	}
	sourceOf := func(self, dataCentre string, unreachable ...string) (string, sourceRole) {
		v := newView(clock, self, 1, true, regions{}, limit.Tolerance{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
		v.setMembers(entries)
		report := reportOf("a1", "a2", "b1", "b2")
		for i := range report.VMs {
			report.VMs[i].StoreUnreachable = slices.Contains(unreachable, report.VMs[i].VMID)
		}
		v.recordReport(report)
		vmID, _, role := v.source(dataCentre, slices.Contains(unreachable, self))
		return vmID, role
	}
	for _, test := range []struct {
		self, dataCentre string
		unreachable      []string
		source           string
		role             sourceRole
	}{
		{"b1", "b", nil, "", roleWatcher},
		{"b2", "b", nil, "b1", roleFollower},
		{"a2", "a", nil, "b1", roleRelay},
		{"a1", "a", nil, "a2", roleFollower},
		// The watcher loses the store: the next one takes over, and the first becomes relay.
		{"b1", "b", []string{"b1"}, "a2", roleRelay},
		{"a2", "a", []string{"b1"}, "", roleWatcher},
		{"b2", "b", []string{"b1"}, "b1", roleFollower},
		// Nobody reaches the store.
		{"a1", "a", []string{"a1", "a2", "b1", "b2"}, "", roleWatcher},
	} {
		source, role := sourceOf(test.self, test.dataCentre, test.unreachable...)
		qt.Check(t, source, qt.Equals, test.source, qt.Commentf("%+v", test))
		qt.Check(t, role, qt.Equals, test.role, qt.Commentf("%+v", test))
	}
}

// manualClock is a clock that tests set.
type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time { return c.now }

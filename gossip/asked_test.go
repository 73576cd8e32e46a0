package gossip

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade/share"
)

// A VM hears what the others of its data centre are asked for, without its own part, also if its statuses in between omit
// it; an end of the work is told once.
func TestAskedExcludesOwn(t *testing.T) {
	h, tracker := newHub("a", "hub", 1), newTracker("vm1", 1, "a")
	senders := map[string]*askedSender{"vm1": {}, "vm2": {}}
	now, sequence := testStart, uint64(0)
	report := func(vmID string, perSecond float64) {
		sequence++
		works := []share.ServiceWork{}
		if perSecond > 0 {
			works = []share.ServiceWork{{Service: "svc", Teams: []share.TeamWork{{Team: 7, PerSecond: perSecond}}, RestTeams: 1, RestPerSecond: 10}}
		}
		status := Status{VM: VMState{VMID: vmID, Incarnation: 1, Callers: true}, Sequence: sequence}
		known, sent := senders[vmID].next(now, EncodeWork(works), false)
		status.Asked = known
		if vmID == "vm1" {
			tracker.sent(status)
		}
		status.Asked = sent
		h.record(now, status, nil)
	}
	digest := func() []share.ServiceWork {
		digest, _ := h.digest(now, localVMs)
		report, listed, ok := tracker.apply(now, digest)
		qt.Assert(t, ok && listed, qt.IsTrue)
		return report.Asked
	}
	others := []share.ServiceWork{{Service: "svc", Teams: []share.TeamWork{{Team: 7, PerSecond: 500}}, RestTeams: 1, RestPerSecond: 10}}
	report("vm1", 300)
	report("vm2", 500)
	qt.Assert(t, digest(), qt.DeepEquals, others)
	now = now.Add(askedInterval / 4)
	report("vm1", 900) // too early to be sent; digests with the roster hold the work always
	qt.Assert(t, digest(), qt.DeepEquals, others)
	now = now.Add(askedInterval) // from the digest before, which held the work
	report("vm2", 500)
	qt.Assert(t, digest(), qt.DeepEquals, others)
	now = now.Add(askedInterval)
	report("vm1", 0)
	report("vm2", 0)
	qt.Assert(t, digest(), qt.HasLen, 0)
	for range 3 {
		now = now.Add(askedInterval)
		report("vm1", 0)
		report("vm2", 0)
		qt.Assert(t, digest(), qt.IsNil)
	}
	// What a restarted VM was asked for before does not count.
	report("vm2", 500)
	h.record(now, Status{VM: VMState{VMID: "vm2", Incarnation: 2, Callers: true}, Sequence: 1}, nil)
	now = now.Add(askedInterval)
	qt.Assert(t, digest(), qt.HasLen, 0)
}

// TestAskedIsSmall bounds what 64 teams add to a message, and guards the difference between no work and no message of it.
func TestAskedIsSmall(t *testing.T) {
	work := ServiceWork{Service: "chat-large", RestTeams: 12936, RestPerSecond: 40_000_000}
	for i := range 64 {
		work.Teams = append(work.Teams, TeamWork{share.TeamKey(fmt.Sprint("team", i)), 200_000})
	}
	size := func(asked []ServiceWork) int {
		data, err := encode(tagStatus, Status{VM: VMState{VMID: "front-a-1"}, Asked: asked})
		qt.Assert(t, err, qt.IsNil)
		decoded, _, err := decode(data)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, decoded.(*Status).Asked == nil, qt.Equals, asked == nil)
		qt.Assert(t, decoded.(*Status).Asked, qt.HasLen, len(asked))
		return len(data)
	}
	none, empty, full := size(nil), size([]ServiceWork{}), size([]ServiceWork{work})
	t.Logf("no work told %d, none %d, 64 teams %d bytes", none, empty, full)
	qt.Assert(t, full-none <= 750, qt.IsTrue)
}

// A hub forwards the last digest that holds the work, although later ones omit it.
func TestForwardedWorkIsNotReplaced(t *testing.T) {
	var pending pendingDigests
	pending.add([]byte("full"), Digest{Roster: []VMState{}})
	pending.add([]byte("asked"), Digest{Asked: []ServiceWork{}})
	pending.add([]byte("later"), Digest{})
	pending.add([]byte("last"), Digest{})
	got := fmt.Sprintf("%s %s %s", pending.full, pending.asked, pending.latest)
	qt.Assert(t, got, qt.Equals, "full asked last")
}

// The work of a VM does not count for ever if the status that tells its end is lost.
func TestAskedExpires(t *testing.T) {
	h, sender, now := newHub("a", "hub", 1), askedSender{}, testStart
	sequence := uint64(0)
	report := func(works []share.ServiceWork, lost bool) {
		sequence++
		status := Status{VM: VMState{VMID: "vm1", Incarnation: 1, Callers: true}, Sequence: sequence}
		_, status.Asked = sender.next(now, EncodeWork(works), false)
		if !lost {
			h.record(now, status, nil)
		}
	}
	report([]share.ServiceWork{{Service: "svc", Teams: []share.TeamWork{{Team: 7, PerSecond: 500}}}}, false)
	now = now.Add(askedInterval)
	report([]share.ServiceWork{}, true)
	for end := now.Add(askedRetention); now.Before(end); {
		now = now.Add(statusInterval)
		report([]share.ServiceWork{}, false)
	}
	digest, _ := h.digest(now, localVMs)
	qt.Assert(t, digest.Asked, qt.HasLen, 0)
}

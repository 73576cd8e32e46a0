package origin

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/scripttest"
)

// originScript runs the steps of one script file against the trackers of several VMs, each
// with the same servers unless a step says otherwise.
type originScript struct {
	clock    *scripttest.Clock
	trackers map[string]*Tracker
	// order holds the ids of the VMs in the order in which they keep every record.
	order []string
	// cutOff holds the VMs that others do not reach and that do not reach others.
	cutOff map[string]bool
}

// scriptFleet is the fleet as one VM sees it.
type scriptFleet struct {
	script *originScript
	vmID   string
}

func (f scriptFleet) isReached(vmID string) bool {
	return f.script.trackers[vmID] != nil && !f.script.cutOff[vmID] && !f.script.cutOff[f.vmID]
}

func (f scriptFleet) Keepers(_ uint64, most int, live bool) []string {
	var keepers []string
	for _, id := range f.script.order {
		if id != f.vmID && len(keepers) < most && (!live || f.isReached(id)) {
			keepers = append(keepers, id)
		}
	}
	return keepers
}

func (f scriptFleet) SendRecords(vmID string, records []bergamotgrade.StreamRecord) {
	if f.isReached(vmID) {
		f.script.trackers[vmID].Receive(records)
	}
}

func (f scriptFleet) AskOrigin(_ context.Context, vmID string, question Question) (Answer, error) {
	if !f.isReached(vmID) {
		return Answer{}, errors.New("not reached")
	}
	return f.script.trackers[vmID].Answer(question), nil
}

func newOriginScript() *originScript {
	return &originScript{clock: scripttest.NewClock(), trackers: map[string]*Tracker{}, cutOff: map[string]bool{}}
}

func (s *originScript) start(vmID string) {
	s.trackers[vmID] = New(s.clock, scriptFleet{s, vmID}, slog.New(slog.NewTextHandler(io.Discard, nil)))
}

func (s *originScript) step(words []string) string {
	switch words[0] {
	case "vms": // vms VM... : they keep records in this order
		s.order = words[1:]
		for _, id := range s.order {
			s.start(id)
		}
	case "servers": // servers VM,...|all VERSION,... : servers of these versions serve, as the VMs see it
		for _, id := range s.selected(words[1]) {
			servers := map[string]bergamotgrade.ServerRecord{}
			for version := range strings.SplitSeq(words[2], ",") {
				servers[version] = bergamotgrade.ServerRecord{ServerID: version, Service: "svc", SoftwareVersion: version}
			}
			s.trackers[id].SetServers(servers)
		}
	case "begin": // begin VM REQUEST VERSION [ATTEMPT]
		attempt := 0
		if len(words) > 4 {
			attempt = len(words[4])
		}
		s.trackers[words[1]].Began(words[2], bergamotgrade.StreamOrigin{Service: "svc", SoftwareVersion: words[3]}, attempt)
	case "end": // end VM : its process ends
		delete(s.trackers, words[1])
	case "start": // start VM : it starts again, without memory
		s.start(words[1])
	case "cut", "join":
		s.cutOff[words[1]] = words[0] == "cut"
	case "wait":
		d, _ := time.ParseDuration(words[1])
		s.clock.Advance(d)
	case "find": // find VM REQUEST [SERVICE,...]
		services := []string{"svc"}
		if len(words) > 3 {
			services = strings.Split(words[3], ",")
		}
		found, err := s.trackers[words[1]].Find(context.Background(), words[2], services)
		if bergamotgrade.IsKind(err, bergamotgrade.KindOriginUnknown) {
			return "refused"
		}
		return found.SoftwareVersion
	default:
		return "unknown step"
	}
	return ""
}

func (s *originScript) selected(list string) []string {
	if list == "all" {
		return s.order
	}
	return strings.Split(list, ",")
}

func TestTrackerScripts(t *testing.T) {
	scripttest.Run(t, func() scripttest.Step { return newOriginScript().step })
}

// However many streams begin, a VM keeps at most maxRecords records, the newest ones.
func TestRecordsAreBounded(t *testing.T) {
	s := newOriginScript()
	s.step([]string{"vms", "vm1", "vm2"})
	s.step([]string{"servers", "all", "v1,v2"})
	for i := range 3 * maxRecords {
		s.step([]string{"begin", "vm1", fmt.Sprint("r", i), "v2"})
	}
	for _, id := range []string{"vm1", "vm2"} {
		qt.Check(t, len(s.trackers[id].records.byKey) <= maxRecords, qt.IsTrue)
	}
	qt.Check(t, s.step([]string{"find", "vm2", fmt.Sprint("r", 3*maxRecords-1)}), qt.Equals, "v2")
}

// Versions that have left long ago take no memory.
func TestVersionsAreForgotten(t *testing.T) {
	s := newOriginScript()
	s.step([]string{"vms", "vm1"})
	for i := range 100 {
		s.step([]string{"servers", "vm1", fmt.Sprint("v", i)})
		s.step([]string{"wait", retention.String()})
	}
	known := s.trackers["vm1"].versions.leftAt["svc"]
	qt.Assert(t, len(known) <= 3, qt.IsTrue, qt.Commentf("%v", slices.Collect(func(yield func(string) bool) {
		for version := range known {
			if !yield(version) {
				return
			}
		}
	})))
}

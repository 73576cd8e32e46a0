package measure

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/operator"
	"github.com/bergamotgrade/bergamotgrade/release"
)

// idleCostDuration is the duration over which the cost of an idle fleet is averaged.
const idleCostDuration = 6 * time.Second

// ScalingPoint is the cost of a fleet at one value of the dimension Name.
type ScalingPoint struct {
	Name  string `json:"name"`
	Count int    `json:"count"`
	Cost  Cost   `json:"cost"`
	// NoteMilliseconds is the time from the submission of a small note until it is in
	// force on all VMs. NoteBytes is the sum over all VMs of the bytes exchanged with
	// other VMs in that time.
	NoteMilliseconds float64 `json:"note_milliseconds"`
	NoteBytes        float64 `json:"note_bytes"`
}

// RunScaling measures the cost of idle fleets with growing numbers of teams, VMs and
// backend servers, and prints a line for each. After an error it returns the points
// measured before it.
func RunScaling(ctx context.Context, binaries string, w io.Writer) ([]ScalingPoint, error) {
	base := Shape{Name: "base", DataCentres: 3, VMs: 9, Engines: 2, Teams: 80, Rate: 100, Burst: 100}
	var points []ScalingPoint
	add := func(name string, count int, shape Shape) error {
		point, err := measurePoint(ctx, binaries, name, count, shape)
		if err != nil {
			return fmt.Errorf("%s %d: %w", name, count, err)
		}
		points = append(points, point)
		c := point.Cost
		_, err = fmt.Fprintf(w, "%-16s %6d  core %.2f%%  resident %.1f MB  heap %.1f MB  inner %.0f B/s (max %.0f)  platform %.1f/s %v  note %.0f ms %.0f B\n",
			name, count, c.CorePercent, c.ResidentMB, c.HeapMB, c.InnerBytesPerSecond, c.MaxInnerBytesPerSecond, sumCalls(c.PlatformCallsPerSecond), formatCalls(c.PlatformCallsPerSecond), point.NoteMilliseconds, point.NoteBytes)
		return err
	}
	for _, teams := range []int{80, 1300, 13000} {
		shape := base
		shape.Teams = teams
		if err := add("teams", teams, shape); err != nil {
			return points, err
		}
	}
	for _, vms := range []int{9, 30, 90} {
		shape := base
		shape.VMs = vms
		if err := add("vms", vms, shape); err != nil {
			return points, err
		}
	}
	for _, servers := range []int{20, 200, 1300} {
		shape := base
		shape.ExtraServers = servers - shape.Engines
		if err := add("backend_servers", servers, shape); err != nil {
			return points, err
		}
	}
	return points, nil
}

func sumCalls(calls map[string]float64) float64 {
	sum := 0.0
	for _, count := range calls {
		sum += count
	}
	return sum
}

func formatCalls(calls map[string]float64) string {
	text := ""
	for _, method := range []string{"get", "list", "compare_and_swap", "renew_lease", "watch"} {
		text += fmt.Sprintf("%s=%.1f ", method, calls[method])
	}
	return text
}

func measurePoint(ctx context.Context, binaries, name string, count int, shape Shape) (ScalingPoint, error) {
	point := ScalingPoint{Name: name, Count: count}
	fleet, err := Start(ctx, binaries, shape)
	if err != nil {
		return point, err
	}
	defer fleet.Stop()
	time.Sleep(memorySettleTime)
	if point.Cost, err = fleet.MeasureCost(ctx, idleCostDuration); err != nil {
		return point, err
	}
	point.NoteMilliseconds, point.NoteBytes, err = fleet.measureNote(ctx)
	return point, err
}

// measureNote submits a note that changes one team and waits until it is in force on
// all VMs.
func (f *Fleet) measureNote(ctx context.Context) (milliseconds, bytes float64, err error) {
	before := f.totalInnerBytes(ctx)
	note := release.Note{NoteID: "change", BaseRevision: f.revision, Set: release.Records{Teams: []bergamotgrade.Team{{TeamID: "team00000", Rate: f.shape.Rate + 1, Burst: f.shape.Burst}}}}
	startedAt := time.Now()
	answer, err := operator.NewClient(f.operators[0]).Submit(ctx, note)
	if err != nil {
		return 0, 0, err
	}
	err = f.waitFor(ctx, len(f.operators), func(s operator.Status) bool { return s.Revision >= answer.Revision })
	took := time.Since(startedAt)
	return took.Seconds() * 1000, f.totalInnerBytes(ctx) - before, err
}

func (f *Fleet) totalInnerBytes(ctx context.Context) float64 {
	sum := 0.0
	for i := range f.pids {
		if r, err := f.readCounters(ctx, i); err == nil {
			sum += r.vars.Inner["bytes_read"] + r.vars.Inner["bytes_written"]
		}
	}
	return sum
}

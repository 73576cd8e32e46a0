package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/bergamotgrade/bergamotgrade/operator"
)

// Cost is what control costs a VM on average.
type Cost struct {
	// CorePercent is the processor time in percent of one core.
	CorePercent float64 `json:"core_percent"`
	// ResidentMB is the resident memory, HeapMB the live heap, in megabytes.
	ResidentMB float64 `json:"resident_mb"`
	HeapMB     float64 `json:"heap_mb"`
	// InnerBytes counts what goes between VMs, both ways, in bytes a second.
	InnerBytes float64 `json:"inner_bytes_per_second"`
	// InnerBytesMost is that of the busiest VM.
	InnerBytesMost float64 `json:"inner_bytes_per_second_most"`
	// PlatformCalls counts the whole fleet's calls a second by method.
	PlatformCalls map[string]float64 `json:"platform_calls_per_second"`
}

// reading is the state of one VM's counters.
type reading struct {
	ticks    float64
	resident float64
	vars     struct {
		Inner    map[string]float64 `json:"inner"`
		Platform map[string]float64 `json:"platform_calls"`
		Memory   struct {
			HeapAlloc float64
		} `json:"memstats"`
	}
}

// clockTicks is the number of processor time units in a second.
const clockTicks = 100

func (f *Fleet) read(ctx context.Context, vm int) (reading, error) {
	var r reading
	page, err := operator.NewClient(f.operators[vm]).Metrics(ctx)
	if err != nil {
		return r, err
	}
	if err := json.Unmarshal(page, &r.vars); err != nil {
		return r, err
	}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", f.pids[vm]))
	if err != nil {
		return r, err
	}
	// The fields follow the command name in parentheses.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	pages, _ := strconv.ParseFloat(fields[21], 64)
	r.ticks = user + system
	r.resident = pages * float64(os.Getpagesize())
	return r, nil
}

// MeasureCost watches the fleet for the time.
func (f *Fleet) MeasureCost(ctx context.Context, length time.Duration) (Cost, error) {
	cost := Cost{PlatformCalls: map[string]float64{}}
	before := make([]reading, len(f.pids))
	for i := range f.pids {
		var err error
		if before[i], err = f.read(ctx, i); err != nil {
			return cost, err
		}
	}
	time.Sleep(length)
	seconds, vms := length.Seconds(), float64(len(f.pids))
	for i := range f.pids {
		after, err := f.read(ctx, i)
		if err != nil {
			return cost, err
		}
		bytes := func(r reading) float64 { return r.vars.Inner["bytes_read"] + r.vars.Inner["bytes_written"] }
		inner := (bytes(after) - bytes(before[i])) / seconds
		cost.CorePercent += (after.ticks - before[i].ticks) / clockTicks / seconds * 100 / vms
		cost.ResidentMB += after.resident / 1e6 / vms
		cost.HeapMB += after.vars.Memory.HeapAlloc / 1e6 / vms
		cost.InnerBytes += inner / vms
		cost.InnerBytesMost = max(cost.InnerBytesMost, inner)
		for method, count := range after.vars.Platform {
			cost.PlatformCalls[method] += (count - before[i].vars.Platform[method]) / seconds
		}
	}
	return cost, nil
}

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

// Cost is the average resource use of a VM of an idle fleet.
type Cost struct {
	// CorePercent is the CPU time in percent of one core.
	CorePercent float64 `json:"core_percent"`
	// ResidentMB is the resident memory, HeapMB the allocated heap, both in megabytes.
	ResidentMB float64 `json:"resident_mb"`
	HeapMB     float64 `json:"heap_mb"`
	// InnerBytesPerSecond is the traffic with other VMs, sent and received.
	InnerBytesPerSecond float64 `json:"inner_bytes_per_second"`
	// MaxInnerBytesPerSecond is the InnerBytesPerSecond of the VM with the most traffic.
	MaxInnerBytesPerSecond float64 `json:"inner_bytes_per_second_most"`
	// PlatformCallsPerSecond holds the rate of platform calls of the whole fleet by
	// method.
	PlatformCallsPerSecond map[string]float64 `json:"platform_calls_per_second"`
}

// sample holds the counters of one VM at one time.
type sample struct {
	cpuTicks      float64
	residentBytes float64
	vars          struct {
		Inner    map[string]float64 `json:"inner"`
		Platform map[string]float64 `json:"platform_calls"`
		Memory   struct {
			HeapAlloc float64
		} `json:"memstats"`
	}
}

// ticksPerSecond is the number of CPU time units of /proc/PID/stat in a second.
const ticksPerSecond = 100

func (f *Fleet) readCounters(ctx context.Context, vm int) (sample, error) {
	var r sample
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
	// The command name in parentheses may hold spaces; the other fields follow it.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	pages, _ := strconv.ParseFloat(fields[21], 64)
	r.cpuTicks = user + system
	r.residentBytes = pages * float64(os.Getpagesize())
	return r, nil
}

// MeasureCost returns the average cost of the fleet's VMs over the given duration.
func (f *Fleet) MeasureCost(ctx context.Context, length time.Duration) (Cost, error) {
	cost := Cost{PlatformCallsPerSecond: map[string]float64{}}
	before := make([]sample, len(f.pids))
	for i := range f.pids {
		var err error
		if before[i], err = f.readCounters(ctx, i); err != nil {
			return cost, err
		}
	}
	time.Sleep(length)
	seconds, vms := length.Seconds(), float64(len(f.pids))
	for i := range f.pids {
		after, err := f.readCounters(ctx, i)
		if err != nil {
			return cost, err
		}
		bytes := func(r sample) float64 { return r.vars.Inner["bytes_read"] + r.vars.Inner["bytes_written"] }
		inner := (bytes(after) - bytes(before[i])) / seconds
		cost.CorePercent += (after.cpuTicks - before[i].cpuTicks) / ticksPerSecond / seconds * 100 / vms
		cost.ResidentMB += after.residentBytes / 1e6 / vms
		cost.HeapMB += after.vars.Memory.HeapAlloc / 1e6 / vms
		cost.InnerBytesPerSecond += inner / vms
		cost.MaxInnerBytesPerSecond = max(cost.MaxInnerBytesPerSecond, inner)
		for method, count := range after.vars.Platform {
			cost.PlatformCallsPerSecond[method] += (count - before[i].vars.Platform[method]) / seconds
		}
	}
	return cost, nil
}

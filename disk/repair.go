package disk

import (
	"context"
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/vm"
)

const (
	// diskVMCheckInterval is the time between two checks whether the set of disk VMs has
	// changed.
	diskVMCheckInterval = 2 * time.Second
	// repairInterval is the longest time between two repair rounds.
	repairInterval = 30 * time.Minute
	// repairSegmentsPerSecond is the number of segments that a repair round checks per
	// second.
	repairSegmentsPerSecond = 200
	// segmentRetention is the age at which a segment is deleted. It exceeds the retention of
	// files and results (7 days) plus the span of the lease that their records share (1 day).
	segmentRetention = 9 * 24 * time.Hour
)

// Run keeps two intact copies of this VM's segments until the context ends. A repair round
// runs after each change of the set of disk VMs, and at least every repairInterval. Before
// the round, Run deletes the segments that are older than segmentRetention.
func (s *Segments) Run(ctx context.Context) {
	if s.folder == nil {
		return
	}
	ticker := time.NewTicker(diskVMCheckInterval)
	defer ticker.Stop()
	var lastIncarnations string
	var lastRepair time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		incarnations := s.diskVMIncarnations()
		if incarnations == lastIncarnations && time.Since(lastRepair) < repairInterval {
			continue
		}
		lastIncarnations, lastRepair = incarnations, time.Now()
		_ = s.folder.RemoveBefore(time.Now().Add(-segmentRetention))
		s.repair(ctx)
	}
}

// diskVMIncarnations returns the sorted incarnations of the present disk VMs, separated by
// spaces.
func (s *Segments) diskVMIncarnations() string {
	var incarnations []string
	for _, m := range s.rankedDiskVMs("") {
		incarnations = append(incarnations, m.Incarnation)
	}
	sort.Strings(incarnations)
	return strings.Join(incarnations, " ")
}

// repair checks each segment of the folder once.
func (s *Segments) repair(ctx context.Context) {
	keys, err := s.folder.Keys()
	if err != nil {
		return
	}
	limiter := rate.NewLimiter(repairSegmentsPerSecond, 1)
	for _, key := range keys {
		if limiter.Wait(ctx) != nil {
			return
		}
		s.repairSegment(ctx, key)
	}
}

// repairSegment ensures that a disk VM of another data centre has an intact copy too. It
// skips a copy that is damaged on this VM: the repair round of the VM with the intact copy
// replaces it.
func (s *Segments) repairSegment(ctx context.Context, key string) {
	data, err := s.folder.Get(key)
	if err != nil {
		return
	}
	self := s.membership.Self()
	ref := bergamotgrade.SegmentRef{Key: key, Hash: xxhash.Sum64(data)}
	for _, diskVM := range s.rankedDiskVMs(key) {
		if diskVM.Incarnation == self.Incarnation || diskVM.DataCentre == self.DataCentre || !s.membership.Reachable(diskVM.Incarnation) {
			continue
		}
		if s.hasIntactCopy(ctx, diskVM, ref) || s.putToVM(ctx, diskVM, ref, data) {
			return
		}
	}
}

func (s *Segments) hasIntactCopy(ctx context.Context, diskVM bergamotgrade.VMRecord, ref bergamotgrade.SegmentRef) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := s.peers.GetSegment(ctx, diskVM.InnerAddress, vm.SegmentCall{Key: ref.Key, Hash: ref.Hash, Probe: true})
	return err == nil && answer.Stored
}

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
	// repairTick is the time between two looks at which disk VMs there are.
	repairTick = 2 * time.Second
	// repairInterval is the longest time between two rounds of repair.
	repairInterval = 30 * time.Minute
	// repairRate is the number of segments that a round looks at in a second.
	repairRate = 200
	// segmentLife is the age at which a segment is deleted: the retention of
	// files and results and a day.
	segmentLife = 9 * 24 * time.Hour
)

// Run keeps two sound copies of this VM's segments until the context ends: a
// round of repair follows each change of the disk VMs, and each interval.
func (s *Segments) Run(ctx context.Context) {
	if s.folder == nil {
		return
	}
	ticker := time.NewTicker(repairTick)
	defer ticker.Stop()
	var seen string
	var repairedAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		disks := s.diskVMs()
		if disks == seen && time.Since(repairedAt) < repairInterval {
			continue
		}
		seen, repairedAt = disks, time.Now()
		_ = s.folder.RemoveBefore(time.Now().Add(-segmentLife))
		s.repair(ctx)
	}
}

// diskVMs names the disk VMs that are there, in one string.
func (s *Segments) diskVMs() string {
	var names []string
	for _, m := range s.candidates("") {
		names = append(names, m.Incarnation)
	}
	sort.Strings(names)
	return strings.Join(names, " ")
}

// repair looks at each segment of the folder once.
func (s *Segments) repair(ctx context.Context) {
	keys, err := s.folder.Keys()
	if err != nil {
		return
	}
	limiter := rate.NewLimiter(repairRate, 1)
	for _, key := range keys {
		if limiter.Wait(ctx) != nil {
			return
		}
		s.repairSegment(ctx, key)
	}
}

// repairSegment makes sure that a disk VM of another data centre has a sound
// copy too. A copy that is damaged here is left to the VM with the sound one,
// whose round writes it anew.
func (s *Segments) repairSegment(ctx context.Context, key string) {
	data, err := s.folder.Get(key)
	if err != nil {
		return
	}
	self := s.members.Self()
	ref := bergamotgrade.SegmentRef{Key: key, Hash: xxhash.Sum64(data)}
	for _, disk := range s.candidates(key) {
		if disk.Incarnation == self.Incarnation || disk.DataCentre == self.DataCentre || !s.members.Reachable(disk.Incarnation) {
			continue
		}
		if s.probe(ctx, disk, ref) || s.putAt(ctx, disk, ref, data) {
			return
		}
	}
}

func (s *Segments) probe(ctx context.Context, disk bergamotgrade.VMRecord, ref bergamotgrade.SegmentRef) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := s.peers.GetSegment(ctx, disk.InnerAddress, vm.SegmentCall{Key: ref.Key, Hash: ref.Hash, Probe: true})
	return err == nil && answer.Stored
}

package disk

import (
	"context"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/member"
	"github.com/bergamotgrade/bergamotgrade/vm"
)

const (
	// copies is the number of disk VMs that hold each segment.
	copies = 2
	// putTries is the number of tries at one disk VM.
	putTries = 2
	// callTimeout bounds one transfer to or from a disk VM.
	callTimeout = 5 * time.Second
)

// Members tells who is there; member.Keeper implements it.
type Members interface {
	Self() bergamotgrade.VMRecord
	Table() member.Table
	Reachable(incarnation string) bool
}

// Segments keeps each segment on two disk VMs of different data centres, and in
// the fallback while there are none.
type Segments struct {
	folder   *Folder
	members  Members
	peers    *vm.Peers
	fallback bergamotgrade.Segments
}

var _ bergamotgrade.Segments = (*Segments)(nil)

// NewSegments returns a store; folder is nil on a VM without a disk.
func NewSegments(folder *Folder, members Members, peers *vm.Peers, fallback bergamotgrade.Segments) *Segments {
	return &Segments{folder: folder, members: members, peers: peers, fallback: fallback}
}

// candidates returns the disk VMs in the order in which a segment goes to them:
// reachable ones first, then by rendezvous hashing.
func (s *Segments) candidates(key string) []bergamotgrade.VMRecord {
	var disks []bergamotgrade.VMRecord
	for _, m := range s.members.Table().Members {
		if m.HasDisk && !m.Leaving {
			disks = append(disks, m)
		}
	}
	score := func(m bergamotgrade.VMRecord) uint64 { return xxhash.Sum64String(m.VMID + "/" + key) }
	sort.Slice(disks, func(i, j int) bool {
		a, b := s.members.Reachable(disks[i].Incarnation), s.members.Reachable(disks[j].Incarnation)
		if a != b {
			return a
		}
		return score(disks[i]) > score(disks[j])
	})
	return disks
}

// enough reports whether the disk VMs stand in at least two data centres.
func enough(disks []bergamotgrade.VMRecord) bool {
	for _, disk := range disks {
		if disk.DataCentre != disks[0].DataCentre {
			return true
		}
	}
	return false
}

// Put implements bergamotgrade.Segments.
func (s *Segments) Put(ctx context.Context, key string, data []byte) (bergamotgrade.SegmentRef, error) {
	disks := s.candidates(key)
	if !enough(disks) {
		return s.fallback.Put(ctx, key, data)
	}
	ref := bergamotgrade.SegmentRef{Key: key, Bytes: len(data), Hash: xxhash.Sum64(data)}
	taken := map[string]bool{}
	for _, disk := range disks {
		if taken[disk.DataCentre] || !s.putAgain(ctx, disk, ref, data) {
			continue
		}
		taken[disk.DataCentre] = true
		if ref.VMIDs = append(ref.VMIDs, disk.VMID); len(ref.VMIDs) == copies {
			return ref, nil
		}
	}
	return ref, bergamotgrade.NewError(bergamotgrade.KindOverloaded, "no two disk VMs of different data centres took the data", "try again; operators: see the disk VMs' free space and links").WithNotRun()
}

// putAgain stores a segment on a disk VM, with a second try after a failure that
// may have been the connection's.
func (s *Segments) putAgain(ctx context.Context, disk bergamotgrade.VMRecord, ref bergamotgrade.SegmentRef, data []byte) bool {
	for range putTries {
		if s.putAt(ctx, disk, ref, data) {
			return true
		}
	}
	return false
}

func (s *Segments) putAt(ctx context.Context, disk bergamotgrade.VMRecord, ref bergamotgrade.SegmentRef, data []byte) bool {
	call := vm.SegmentCall{Key: ref.Key, Hash: ref.Hash, Data: data}
	if disk.Incarnation == s.members.Self().Incarnation {
		return s.Take(call).Stored
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := s.peers.PutSegment(ctx, disk.InnerAddress, call)
	return err == nil && answer.Stored
}

// Get implements bergamotgrade.Segments. The holders are asked first; any other
// disk VM may have a re-made copy.
func (s *Segments) Get(ctx context.Context, ref bergamotgrade.SegmentRef) ([]byte, error) {
	if len(ref.VMIDs) == 0 {
		return s.fallback.Get(ctx, ref)
	}
	holders := map[string]bool{}
	for _, id := range ref.VMIDs {
		holders[id] = true
	}
	disks := s.candidates(ref.Key)
	sort.SliceStable(disks, func(i, j int) bool { return holders[disks[i].VMID] && !holders[disks[j].VMID] })
	for _, disk := range disks {
		if data, ok := s.getAt(ctx, disk, ref); ok {
			return data, nil
		}
	}
	return nil, bergamotgrade.NewError(bergamotgrade.KindOverloaded, "no disk VM gives segment "+ref.Key, "try again when the disk VMs are back")
}

func (s *Segments) getAt(ctx context.Context, disk bergamotgrade.VMRecord, ref bergamotgrade.SegmentRef) ([]byte, bool) {
	call := vm.SegmentCall{Key: ref.Key, Hash: ref.Hash}
	if disk.Incarnation == s.members.Self().Incarnation {
		answer := s.Give(call)
		return answer.Data, answer.Stored
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := s.peers.GetSegment(ctx, disk.InnerAddress, call)
	return answer.Data, err == nil && answer.Stored && xxhash.Sum64(answer.Data) == ref.Hash
}

// Limit implements bergamotgrade.Segments.
func (s *Segments) Limit() int64 {
	if disks := s.candidates(""); enough(disks) {
		return 0
	}
	return s.fallback.Limit()
}

// Take stores a segment in this VM's folder.
func (s *Segments) Take(call vm.SegmentCall) vm.SegmentAnswer {
	if s.folder == nil || xxhash.Sum64(call.Data) != call.Hash {
		return vm.SegmentAnswer{}
	}
	return vm.SegmentAnswer{Stored: s.folder.Put(call.Key, call.Data) == nil}
}

// Give reads a segment from this VM's folder.
func (s *Segments) Give(call vm.SegmentCall) vm.SegmentAnswer {
	if s.folder == nil {
		return vm.SegmentAnswer{}
	}
	data, err := s.folder.Get(call.Key)
	if err != nil || xxhash.Sum64(data) != call.Hash {
		return vm.SegmentAnswer{}
	}
	if call.Probe {
		return vm.SegmentAnswer{Stored: true}
	}
	return vm.SegmentAnswer{Stored: true, Data: data}
}

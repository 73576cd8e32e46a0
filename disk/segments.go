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
	// copiesPerSegment is the number of disk VMs that store each segment.
	copiesPerSegment = 2
	// putAttempts is the number of attempts to store a segment on one disk VM.
	putAttempts = 2
	// callTimeout bounds one transfer to or from a disk VM.
	callTimeout = 5 * time.Second
)

// Membership provides the member table and the reachability of members; member.Membership
// implements it.
type Membership interface {
	Self() bergamotgrade.VMRecord
	Table() member.Table
	Reachable(incarnation string) bool
}

// Segments stores each segment on two disk VMs of different data centres, or in the
// fallback while the disk VMs do not span two data centres.
type Segments struct {
	folder     *Folder
	membership Membership
	peers      *vm.Peers
	fallback   bergamotgrade.Segments
}

var _ bergamotgrade.Segments = (*Segments)(nil)

// NewSegments returns a segment store; folder is nil on a VM without a data folder.
func NewSegments(folder *Folder, membership Membership, peers *vm.Peers, fallback bergamotgrade.Segments) *Segments {
	return &Segments{folder: folder, membership: membership, peers: peers, fallback: fallback}
}

// rankedDiskVMs returns the disk VMs that are not leaving in their order of preference for
// the key: reachable VMs first, then by rendezvous hashing.
func (s *Segments) rankedDiskVMs(key string) []bergamotgrade.VMRecord {
	var diskVMs []bergamotgrade.VMRecord
	for _, m := range s.membership.Table().Members {
		if m.HasDisk && !m.Leaving {
			diskVMs = append(diskVMs, m)
		}
	}
	score := func(m bergamotgrade.VMRecord) uint64 { return xxhash.Sum64String(m.VMID + "/" + key) }
	sort.Slice(diskVMs, func(i, j int) bool {
		a, b := s.membership.Reachable(diskVMs[i].Incarnation), s.membership.Reachable(diskVMs[j].Incarnation)
		if a != b {
			return a
		}
		return score(diskVMs[i]) > score(diskVMs[j])
	})
	return diskVMs
}

// spanDataCentres reports whether the disk VMs are in at least two data centres.
func spanDataCentres(diskVMs []bergamotgrade.VMRecord) bool {
	for _, diskVM := range diskVMs {
		if diskVM.DataCentre != diskVMs[0].DataCentre {
			return true
		}
	}
	return false
}

// Put implements bergamotgrade.Segments.
func (s *Segments) Put(ctx context.Context, key string, data []byte) (bergamotgrade.SegmentRef, error) {
	diskVMs := s.rankedDiskVMs(key)
	if !spanDataCentres(diskVMs) {
		return s.fallback.Put(ctx, key, data)
	}
	ref := bergamotgrade.SegmentRef{Key: key, Bytes: len(data), Hash: xxhash.Sum64(data)}
	usedDataCentres := map[string]bool{}
	for _, diskVM := range diskVMs {
		if usedDataCentres[diskVM.DataCentre] || !s.putWithRetry(ctx, diskVM, ref, data) {
			continue
		}
		usedDataCentres[diskVM.DataCentre] = true
		if ref.VMIDs = append(ref.VMIDs, diskVM.VMID); len(ref.VMIDs) == copiesPerSegment {
			return ref, nil
		}
	}
	return ref, bergamotgrade.NewError(bergamotgrade.KindOverloaded, "no two disk VMs of different data centres took the data", "try again; operators: see the disk VMs' free space and links").WithNotRun()
}

// putWithRetry stores a segment on a disk VM. It retries because a failure may have been
// caused by the connection.
func (s *Segments) putWithRetry(ctx context.Context, diskVM bergamotgrade.VMRecord, ref bergamotgrade.SegmentRef, data []byte) bool {
	for range putAttempts {
		if s.putToVM(ctx, diskVM, ref, data) {
			return true
		}
	}
	return false
}

func (s *Segments) putToVM(ctx context.Context, diskVM bergamotgrade.VMRecord, ref bergamotgrade.SegmentRef, data []byte) bool {
	call := vm.SegmentCall{Key: ref.Key, Hash: ref.Hash, Data: data}
	if diskVM.Incarnation == s.membership.Self().Incarnation {
		return s.StoreLocal(call).Stored
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := s.peers.PutSegment(ctx, diskVM.InnerAddress, call)
	return err == nil && answer.Stored
}

// Get implements bergamotgrade.Segments. It asks the disk VMs recorded in ref first,
// then the others, which may have a copy written by a repair.
func (s *Segments) Get(ctx context.Context, ref bergamotgrade.SegmentRef) ([]byte, error) {
	if len(ref.VMIDs) == 0 {
		return s.fallback.Get(ctx, ref)
	}
	recordedVMs := map[string]bool{}
	for _, id := range ref.VMIDs {
		recordedVMs[id] = true
	}
	diskVMs := s.rankedDiskVMs(ref.Key)
	sort.SliceStable(diskVMs, func(i, j int) bool { return recordedVMs[diskVMs[i].VMID] && !recordedVMs[diskVMs[j].VMID] })
	for _, diskVM := range diskVMs {
		if data, ok := s.getFromVM(ctx, diskVM, ref); ok {
			return data, nil
		}
	}
	return nil, bergamotgrade.NewError(bergamotgrade.KindOverloaded, "no disk VM gives segment "+ref.Key, "try again when the disk VMs are back")
}

func (s *Segments) getFromVM(ctx context.Context, diskVM bergamotgrade.VMRecord, ref bergamotgrade.SegmentRef) ([]byte, bool) {
	call := vm.SegmentCall{Key: ref.Key, Hash: ref.Hash}
	if diskVM.Incarnation == s.membership.Self().Incarnation {
		answer := s.ReadLocal(call)
		return answer.Data, answer.Stored
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := s.peers.GetSegment(ctx, diskVM.InnerAddress, call)
	return answer.Data, err == nil && answer.Stored && xxhash.Sum64(answer.Data) == ref.Hash
}

// Limit implements bergamotgrade.Segments.
func (s *Segments) Limit() int64 {
	if diskVMs := s.rankedDiskVMs(""); spanDataCentres(diskVMs) {
		return 0
	}
	return s.fallback.Limit()
}

// StoreLocal stores a segment in this VM's folder if its data matches its hash.
func (s *Segments) StoreLocal(call vm.SegmentCall) vm.SegmentAnswer {
	if s.folder == nil || xxhash.Sum64(call.Data) != call.Hash {
		return vm.SegmentAnswer{}
	}
	return vm.SegmentAnswer{Stored: s.folder.Put(call.Key, call.Data) == nil}
}

// ReadLocal reads a segment from this VM's folder if its data matches the hash of the call.
func (s *Segments) ReadLocal(call vm.SegmentCall) vm.SegmentAnswer {
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

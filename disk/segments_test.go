package disk

import (
	"context"
	"errors"
	"expvar"
	"net"
	"os"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/member"
	"github.com/bergamotgrade/bergamotgrade/vm"
)

// diskVMHandler serves segments from a folder after it has failed failingPuts puts.
type diskVMHandler struct {
	vm.Handler
	segments    *Segments
	mu          sync.Mutex
	failingPuts int
}

func (d *diskVMHandler) PutSegment(_ context.Context, call vm.SegmentCall) vm.SegmentAnswer {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.failingPuts > 0 {
		d.failingPuts--
		return vm.SegmentAnswer{}
	}
	return d.segments.StoreLocal(call)
}

func (d *diskVMHandler) GetSegment(_ context.Context, call vm.SegmentCall) vm.SegmentAnswer {
	return d.segments.ReadLocal(call)
}

// fixedMembership provides a member table in which every VM is reachable.
type fixedMembership struct {
	table member.Table
}

func (f *fixedMembership) Self() bergamotgrade.VMRecord {
	return bergamotgrade.VMRecord{Incarnation: "self"}
}
func (f *fixedMembership) Table() member.Table   { return f.table }
func (f *fixedMembership) Reachable(string) bool { return true }

// newDiskVMs starts two disk VMs in different data centres, each of which fails its first
// failingPuts puts, and returns a client of both and their folders.
func newDiskVMs(t *testing.T, failingPuts int) (*Segments, []*Folder) {
	const secret = "a secret for this test"
	membership := &fixedMembership{}
	var folders []*Folder
	for _, id := range []string{"a", "b"} {
		folder, err := NewFolder(t.TempDir())
		qt.Assert(t, err, qt.IsNil)
		folders = append(folders, folder)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		handler := &diskVMHandler{segments: NewSegments(folder, membership, nil, nil), failingPuts: failingPuts}
		go vm.NewServer(secret, handler, new(expvar.Map)).Run(ctx, listener)
		membership.table = membership.table.Join(bergamotgrade.VMRecord{VMID: id, Incarnation: id, DataCentre: "dc-" + id, HasDisk: true, InnerAddress: listener.Addr().String()})
	}
	return NewSegments(nil, membership, vm.NewPeers(secret, new(expvar.Map)), nil), folders
}

func TestPutRetriesEachDiskVM(t *testing.T) {
	segments, _ := newDiskVMs(t, 1)
	ref, err := segments.Put(context.Background(), "job/1", []byte("results"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, ref.VMIDs, qt.HasLen, copiesPerSegment)
}

// TestGetWithOneBadCopy guards against a read that fails because one of the two copies is
// corrupt, truncated or missing.
func TestGetWithOneBadCopy(t *testing.T) {
	corruptions := map[string]func(path string) error{
		"flipped byte": func(path string) error {
			data, err := os.ReadFile(path)
			data[len(data)-1] ^= 1
			return errors.Join(err, os.WriteFile(path, data, filePermissions))
		},
		"torn write": func(path string) error { return os.Truncate(path, 9) },
		"empty":      func(path string) error { return os.Truncate(path, 0) },
		"removed":    os.Remove,
	}
	for name, corrupt := range corruptions {
		t.Run(name, func(t *testing.T) {
			for index := range copiesPerSegment {
				segments, folders := newDiskVMs(t, 0)
				ref, err := segments.Put(context.Background(), "job/1", []byte("results"))
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, corrupt(folders[index].segmentPath("job/1")), qt.IsNil)
				data, err := segments.Get(context.Background(), ref)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, string(data), qt.Equals, "results")
			}
		})
	}
}

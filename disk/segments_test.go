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

// diskVM serves segments from a folder; its first put fails.
type diskVM struct {
	vm.Handler
	segments *Segments
	mu       sync.Mutex
	refusals int
}

func (d *diskVM) PutSegment(_ context.Context, call vm.SegmentCall) vm.SegmentAnswer {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.refusals > 0 {
		d.refusals--
		return vm.SegmentAnswer{}
	}
	return d.segments.Take(call)
}

func (d *diskVM) GetSegment(_ context.Context, call vm.SegmentCall) vm.SegmentAnswer {
	return d.segments.Give(call)
}

// fixedMembers is a table that does not change.
type fixedMembers struct {
	table member.Table
}

func (f *fixedMembers) Self() bergamotgrade.VMRecord {
	return bergamotgrade.VMRecord{Incarnation: "self"}
}
func (f *fixedMembers) Table() member.Table   { return f.table }
func (f *fixedMembers) Reachable(string) bool { return true }

// newDisks starts two disk VMs of different data centres.
func newDisks(t *testing.T, refusals int) (*Segments, []*Folder) {
	const secret = "a secret for this test"
	members := &fixedMembers{}
	var folders []*Folder
	for _, id := range []string{"a", "b"} {
		folder, err := NewFolder(t.TempDir())
		qt.Assert(t, err, qt.IsNil)
		folders = append(folders, folder)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		handler := &diskVM{segments: NewSegments(folder, members, nil, nil), refusals: refusals}
		go vm.NewServer(secret, handler, new(expvar.Map)).Run(ctx, listener)
		members.table = members.table.Join(bergamotgrade.VMRecord{VMID: id, Incarnation: id, DataCentre: "dc-" + id, HasDisk: true, InnerAddress: listener.Addr().String()})
	}
	return NewSegments(nil, members, vm.NewPeers(secret, new(expvar.Map)), nil), folders
}

func TestPutTriesEachDiskAgain(t *testing.T) {
	segments, _ := newDisks(t, 1)
	ref, err := segments.Put(context.Background(), "job/1", []byte("results"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, ref.VMIDs, qt.HasLen, copies)
}

// TestGetSurvivesOneCopy damages, cuts short or removes one copy.
func TestGetSurvivesOneCopy(t *testing.T) {
	harms := map[string]func(path string) error{
		"flipped byte": func(path string) error {
			data, err := os.ReadFile(path)
			data[len(data)-1] ^= 1
			return errors.Join(err, os.WriteFile(path, data, filePermissions))
		},
		"torn write": func(path string) error { return os.Truncate(path, 9) },
		"empty":      func(path string) error { return os.Truncate(path, 0) },
		"removed":    os.Remove,
	}
	for name, harm := range harms {
		t.Run(name, func(t *testing.T) {
			for victim := range copies {
				segments, folders := newDisks(t, 0)
				ref, err := segments.Put(context.Background(), "job/1", []byte("results"))
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, harm(folders[victim].file("job/1")), qt.IsNil)
				data, err := segments.Get(context.Background(), ref)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, string(data), qt.Equals, "results")
			}
		})
	}
}

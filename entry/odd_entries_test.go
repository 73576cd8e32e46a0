package entry

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/platform/standin"
)

// TestOddEntriesAmongServers guards against VMs that end, stop following the registry or send
// requests to an entry that is no server's, because another writer left odd entries there.
func TestOddEntriesAmongServers(t *testing.T) {
	f := newTestFleet(t)
	f.addEngine("e1")
	// An engine that nobody may use: it answers for any id that a VM expects.
	bait := standin.NewEngine(standin.EngineConfig{ServerID: "odd2", Service: "svc", DataCentre: "here", Slots: 4})
	odd := standin.OddRegistryWrites("svc", f.serve(bait))
	f.write(odd...)
	vm, follower := f.addVM(1, true), f.addVM(2, true)
	f.addEngine("e2")
	for _, node := range []*testNode{vm, follower} {
		f.waitFor("VM follows the registry", 2*time.Second, func() bool { return len(node.serverRecords()) == 2 })
		for i := range 10 {
			reply, err := node.caller("k1").Stream(standin.OncePath, fmt.Sprint(node.settings.VMID, "-", i))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, reply.Status, qt.Equals, http.StatusOK)
		}
		node.mu.Lock()
		qt.Assert(t, node.invalidServers, qt.HasLen, len(odd))
		node.mu.Unlock()
	}
	qt.Assert(t, bait.Runs(), qt.HasLen, 0)
	var keys []string
	for _, write := range odd {
		keys = append(keys, write.Key)
	}
	_, err := f.store.Commit(context.Background(), bergamotgrade.KeyCommit{Deletes: keys})
	qt.Assert(t, err, qt.IsNil)
	f.waitFor("VM forgets entries that are gone", 2*time.Second, func() bool {
		vm.mu.Lock()
		defer vm.mu.Unlock()
		return len(vm.invalidServers) == 0
	})
}

package orders

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/release"
)

func TestPlanLoadsBeforeItUnloads(t *testing.T) {
	state := release.NewState().Apply(release.AcceptedNote{Revision: 1, Note: release.Note{Set: release.Records{Models: []bergamotgrade.Model{
		{ModelID: "a", Version: "v2", BackendServerIDs: []string{"e1"}},
		{ModelID: "b", Version: "v1", BackendServerIDs: []string{"e1", "e2"}},
		{ModelID: "c", Version: "v1", BackendServerIDs: []string{"e2"}},
	}}}})
	plan := Plan(state, "e1", map[string]string{"a": "v1", "c": "v1", "b": "v1"}, 7)
	qt.Assert(t, plan, qt.DeepEquals, []bergamotgrade.EngineOrder{
		{Kind: bergamotgrade.OrderLoad, ModelID: "a", Version: "v2", Fence: 7},
		{Kind: bergamotgrade.OrderUnload, ModelID: "c", Fence: 7},
	})
	qt.Assert(t, Plan(state, "e1", map[string]string{"a": "v2", "b": "v1"}, 7), qt.HasLen, 0)
}

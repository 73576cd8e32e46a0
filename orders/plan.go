// Package orders has each engine load what the configuration lists, through one
// order-giver per engine.
package orders

import (
	"sort"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/release"
)

// Plan returns the orders that bring the engine from what it has loaded to what
// the configuration lists, loads before unloads. It is pure.
func Plan(state *release.State, backendServerID string, loaded map[string]string, fence int64) []bergamotgrade.EngineOrder {
	wanted := map[string]string{}
	for _, model := range state.Models() {
		for _, id := range model.BackendServerIDs {
			if id == backendServerID {
				wanted[model.ModelID] = model.Version
			}
		}
	}
	var plan []bergamotgrade.EngineOrder
	for _, id := range sorted(wanted) {
		if version, ok := loaded[id]; !ok || version != wanted[id] {
			plan = append(plan, bergamotgrade.EngineOrder{Kind: bergamotgrade.OrderLoad, ModelID: id, Version: wanted[id], Fence: fence})
		}
	}
	for _, id := range sorted(loaded) {
		if _, ok := wanted[id]; !ok {
			plan = append(plan, bergamotgrade.EngineOrder{Kind: bergamotgrade.OrderUnload, ModelID: id, Fence: fence})
		}
	}
	return plan
}

func sorted(m map[string]string) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

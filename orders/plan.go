// Package orders reconciles the models loaded on each engine with the configuration. One
// VM is the controller of an engine and sends it load and unload orders.
package orders

import (
	"sort"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/release"
)

// Plan returns the orders that bring the engine from its loaded models (versions by model
// ID) to the models that the configuration lists, loads before unloads. It has no side
// effects.
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
	for _, id := range sortedKeys(wanted) {
		if version, ok := loaded[id]; !ok || version != wanted[id] {
			plan = append(plan, bergamotgrade.EngineOrder{Kind: bergamotgrade.OrderLoad, ModelID: id, Version: wanted[id], Fence: fence})
		}
	}
	for _, id := range sortedKeys(loaded) {
		if _, ok := wanted[id]; !ok {
			plan = append(plan, bergamotgrade.EngineOrder{Kind: bergamotgrade.OrderUnload, ModelID: id, Fence: fence})
		}
	}
	return plan
}

func sortedKeys(m map[string]string) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

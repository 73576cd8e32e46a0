package entry

import (
	"maps"
	"slices"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/platform"
)

// setOperatorEntries applies the configuration, the evacuations and the retirement order that the
// operator has written to the store.
func (n *Node) setOperatorEntries(entries map[string]bergamotgrade.Entry) {
	n.setEvacuations(entries)
	if entry, ok := entries[platform.ConfigurationKey]; ok {
		n.view.setConfiguration(entry)
		n.setServices()
		n.announce()
		n.runner.Wake() // items may wait for this configuration
	}
	if _, ok := entries[platform.RetirementKey(n.settings.VMID)]; ok {
		n.retire()
	}
}

// setEvacuations applies the operator's evacuations of data centres. The entries are never older than
// those of an earlier call: the mirror drops older copies.
func (n *Node) setEvacuations(entries map[string]bergamotgrade.Entry) {
	evacuated := map[string]int64{}
	for key, entry := range entries {
		if dataCentre, ok := platform.EvacuatedDataCentre(key); ok {
			evacuated[dataCentre] = entry.Revision
		}
	}
	n.mu.Lock()
	before := n.evacuated
	n.evacuated = evacuated
	n.mu.Unlock()
	set := make(map[string]bool, len(evacuated))
	for dataCentre := range evacuated {
		set[dataCentre] = true
	}
	n.scheduler.SetEvacuated(set)
	for _, dataCentre := range slices.Sorted(maps.Keys(evacuated)) {
		if _, ok := before[dataCentre]; !ok {
			n.log.Info("data centre is evacuated; sending nothing new to its servers", "data_centre", dataCentre, "revision", evacuated[dataCentre])
		}
	}
	for _, dataCentre := range slices.Sorted(maps.Keys(before)) {
		if _, ok := evacuated[dataCentre]; !ok {
			n.log.Info("evacuation of the data centre is withdrawn", "data_centre", dataCentre, "revision", before[dataCentre])
		}
	}
}

// evacuatedDataCentres returns the number of evacuated data centres.
func (n *Node) evacuatedDataCentres() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return int64(len(n.evacuated))
}

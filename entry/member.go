package entry

import "github.com/cespare/xxhash/v2"

// member is the registration of a VM in the store.
type member struct {
	VMID         string `json:"vm_id"`
	Incarnation  int64  `json:"incarnation"`
	InnerAddress string `json:"inner_address"`
	DataCentre   string `json:"data_centre"`
	// Callers is set on VMs that take requests of callers.
	Callers bool `json:"callers"`
	// Cores is the VM's share of a core, or its number of cores.
	Cores float64 `json:"cores,omitempty"`
}

// precedes reports whether the VM comes before the other as watcher and relay: the stronger
// one, and among equals the one with the lower hash.
func (m member) precedes(other member) bool {
	switch {
	case other.VMID == "":
		return true
	case m.Cores != other.Cores:
		return m.Cores > other.Cores
	}
	return xxhash.Sum64String(m.VMID) < xxhash.Sum64String(other.VMID)
}

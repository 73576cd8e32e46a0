package bergamotgrade

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// Configuration records cross the platform's service as JSON; their fields are
// exported for the codec and are never changed once they are in a State.

// Team is a tenant whose requests are policed and accounted.
type Team struct {
	TeamID string `json:"team_id"`
	// Rate is in requests per second over all VMs together.
	Rate float64 `json:"rate"`
	// Burst is the largest number of requests admitted at one instant.
	Burst float64 `json:"burst"`
	// Weight is the team's share in a busy queue; zero counts as one.
	Weight float64 `json:"weight,omitempty"`
	// BatchRate and BatchBurst are a rate of their own for batch items; without
	// them batch draws on the team's rate as its lowest-priority use.
	BatchRate  float64 `json:"batch_rate,omitempty"`
	BatchBurst float64 `json:"batch_burst,omitempty"`
}

// Key is a caller's credential, kept only as a hash.
type Key struct {
	KeyHash string `json:"key_hash"`
	TeamID  string `json:"team_id"`
}

// BackendServer is one replica: a model engine or a plain service.
type BackendServer struct {
	BackendServerID string `json:"backend_server_id"`
	// Address is host:port.
	Address    string `json:"address"`
	DataCentre string `json:"data_centre,omitempty"`
	// Slots is the number of requests that the server runs at the same time.
	Slots int `json:"slots"`
	// Leaving marks a server that gets no new work.
	Leaving bool `json:"leaving,omitempty"`
	// IgnoresFences marks an engine that does not compare fencing numbers.
	IgnoresFences bool `json:"ignores_fences,omitempty"`
}

// Model is a model or adapter that callers name in their requests.
type Model struct {
	ModelID string `json:"model_id"`
	// BaseModelID is set for an adapter.
	BaseModelID string `json:"base_model_id,omitempty"`
	Version     string `json:"version,omitempty"`
	// BackendServerIDs lists the engines that serve the model.
	BackendServerIDs []string `json:"backend_server_ids"`
}

// Service is a plain service that callers reach under /v1/services/{name}/.
type Service struct {
	ServiceID        string   `json:"service_id"`
	BackendServerIDs []string `json:"backend_server_ids"`
	Routes           []Route  `json:"routes"`
}

// Route is one method and path of a plain service.
type Route struct {
	Method string `json:"method"`
	// PathPrefix is matched against the path below the service's own prefix.
	PathPrefix string `json:"path_prefix"`
	// Idempotent marks calls that may be repeated.
	Idempotent bool `json:"idempotent,omitempty"`
	// Open marks a route that needs no key.
	Open bool `json:"open,omitempty"`
}

// HashKey returns the form in which a key is stored and compared.
func HashKey(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// VMRecord is what a VM publishes about itself under its lease.
type VMRecord struct {
	VMID            string `json:"vm_id"`
	Incarnation     string `json:"incarnation"`
	DataCentre      string `json:"data_centre"`
	InnerAddress    string `json:"inner_address"`
	OperatorAddress string `json:"operator_address"`
	Leaving         bool   `json:"leaving,omitempty"`
	// HasDisk marks a VM with a data folder.
	HasDisk bool `json:"has_disk,omitempty"`
	// MachineID, BootID and ProcessID let a later process on the same machine
	// find that this one has ended.
	MachineID string    `json:"machine_id,omitempty"`
	BootID    string    `json:"boot_id,omitempty"`
	ProcessID int       `json:"process_id"`
	StartedAt time.Time `json:"started_at"`
}

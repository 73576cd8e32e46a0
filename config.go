package bergamotgrade

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// The configuration records are stored in the platform as JSON; their fields are
// exported for the encoder. Records in a release.State are immutable.

// Team is a tenant with its own rate limit and share of the queue.
type Team struct {
	TeamID string `json:"team_id"`
	// Rate is the limit in requests per second, summed over all VMs.
	Rate float64 `json:"rate"`
	// Burst is the maximum number of requests that are admitted at once.
	Burst float64 `json:"burst"`
	// Weight is the team's relative share of a saturated queue; zero means one.
	Weight float64 `json:"weight,omitempty"`
	// BatchRate and BatchBurst limit batch items separately. If they are zero, batch
	// items use what the online requests leave of the team's rate.
	BatchRate  float64 `json:"batch_rate,omitempty"`
	BatchBurst float64 `json:"batch_burst,omitempty"`
}

// Key is a caller's API key; only its hash is stored.
type Key struct {
	KeyHash string `json:"key_hash"`
	TeamID  string `json:"team_id"`
}

// BackendServer is one replica of a model engine or a plain service.
type BackendServer struct {
	BackendServerID string `json:"backend_server_id"`
	// Address is host:port.
	Address    string `json:"address"`
	DataCentre string `json:"data_centre,omitempty"`
	// SoftwareVersion is that of the server's software, not of its models. What two versions
	// write does not fit together in one stream.
	SoftwareVersion string `json:"software_version,omitempty"`
	// Slots is the number of requests that the server runs concurrently.
	Slots int `json:"slots"`
	// Leaving marks a server that receives no new requests.
	Leaving bool `json:"leaving,omitempty"`
	// IgnoresFences marks a model engine that does not check fencing numbers.
	IgnoresFences bool `json:"ignores_fences,omitempty"`
}

// Model is a model or adapter that callers name in their requests.
type Model struct {
	ModelID string `json:"model_id"`
	// BaseModelID is the model that an adapter extends; empty for a model.
	BaseModelID string `json:"base_model_id,omitempty"`
	Version     string `json:"version,omitempty"`
	// BackendServerIDs lists the model engines that serve the model.
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
	// Idempotent marks a route whose calls may run more than once.
	Idempotent bool `json:"idempotent,omitempty"`
	// Anonymous marks a route that accepts requests without an API key.
	Anonymous bool `json:"open,omitempty"`
}

// HashKey returns the hex-encoded SHA-256 hash under which a key is stored and compared.
func HashKey(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// VMRecord is the record that a VM publishes about itself under its lease.
type VMRecord struct {
	VMID            string `json:"vm_id"`
	Incarnation     string `json:"incarnation"`
	DataCentre      string `json:"data_centre"`
	InnerAddress    string `json:"inner_address"`
	OperatorAddress string `json:"operator_address"`
	Leaving         bool   `json:"leaving,omitempty"`
	// HasDisk marks a VM that has a data folder.
	HasDisk bool `json:"has_disk,omitempty"`
	// MachineID, BootID and ProcessID let a later process on the same machine detect
	// that this process has ended.
	MachineID string    `json:"machine_id,omitempty"`
	BootID    string    `json:"boot_id,omitempty"`
	ProcessID int       `json:"process_id"`
	StartedAt time.Time `json:"started_at"`
}

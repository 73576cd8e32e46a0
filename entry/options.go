package entry

import "github.com/bergamotgrade/bergamotgrade"

// Options are the settings of a VM that its command line names.
type Options struct {
	// MetricsPort is the port of the metrics page; 0 serves none.
	MetricsPort int
	// HedgeShare is the share of the requests that may be hedged; 0 hedges none.
	HedgeShare float64
	// Held bounds what the VM holds for its clients.
	Held bergamotgrade.HeldLimits
}

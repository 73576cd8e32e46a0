package bergamotgrade

// BatchRuns is a number of batch runs of one VM at one backend server.
type BatchRuns struct {
	VMID     string
	ServerID string
	Runs     int
}

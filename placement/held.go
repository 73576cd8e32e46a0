package placement

// SetHeldBytes sets the number of bytes of requests that a server may hold, from the given number of
// VMs that take callers' requests together; zero sets no bound. Each VM keeps to its share.
func (sel *Selector) SetHeldBytes(total int64, vms int) { sel.heldShare = total / int64(max(1, vms)) }

// AddHeldBytes adds bytes of a request that is sent to the server; negative ones when it has ended.
func (sel *Selector) AddHeldBytes(serverID string, bytes int64) {
	if s, ok := sel.servers[serverID]; ok {
		s.heldBytes = max(0, s.heldBytes+bytes)
	}
}

// holdsTooMuch reports whether the server would hold more bytes of requests of this VM than this VM's
// share. One request of any size is always within it.
func (sel *Selector) holdsTooMuch(s *serverState, bytes int64) bool {
	return sel.heldShare > 0 && s.heldBytes > 0 && s.heldBytes+bytes > sel.heldShare
}

package standin

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestAddresses checks that no two fleets of one process share an address.
func TestAddresses(t *testing.T) {
	seen := map[string]bool{}
	for range 200 {
		addresses := NewAddresses()
		for range 5 {
			address := addresses.Next()
			qt.Assert(t, seen[address], qt.IsFalse, qt.Commentf("%s twice", address))
			seen[address] = true
		}
	}
}

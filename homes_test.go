package bergamotgrade_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
)

// Guards against homes of two sources that widen each other: a region has to be in both.
func TestHomes(t *testing.T) {
	any := bergamotgrade.NewHomes()
	north, both := bergamotgrade.NewHomes("north"), bergamotgrade.NewHomes("south", "north", "south")
	for _, test := range []struct {
		homes   bergamotgrade.Homes
		regions []string
		north   bool
		unknown bool
	}{
		{any, nil, true, true},
		{north, []string{"north"}, true, false},
		{both, []string{"north", "south"}, true, false},
		{both.Intersect(north), []string{"north"}, true, false},
		{any.Intersect(both), []string{"north", "south"}, true, false},
		{north.Intersect(bergamotgrade.NewHomes("south")), nil, false, false},
	} {
		qt.Check(t, test.homes.Regions(), qt.DeepEquals, test.regions)
		qt.Check(t, test.homes.Includes("north"), qt.Equals, test.north)
		qt.Check(t, test.homes.Includes(""), qt.Equals, test.unknown)
	}
	qt.Check(t, both == bergamotgrade.NewHomes("north", "south"), qt.IsTrue)
}

package bergamotgrade

import (
	"slices"
	"strings"
)

// Homes is a set of regions in which requests may run; the zero value is any region. Homes are
// comparable.
type Homes struct {
	// regions holds the sorted names, separated by homesSeparator, which no name contains.
	regions string
	bound   bool
}

const homesSeparator = "\x00"

// NewHomes returns the set of the regions, or any region if there are none.
func NewHomes(regions ...string) Homes {
	if len(regions) == 0 {
		return Homes{}
	}
	sorted := slices.Clone(regions)
	slices.Sort(sorted)
	return Homes{regions: strings.Join(slices.Compact(sorted), homesSeparator), bound: true}
}

// IsAny reports whether the set binds requests to no region.
func (h Homes) IsAny() bool { return !h.bound }

// Regions returns the names of the regions in order; nil if the set is any region or empty.
func (h Homes) Regions() []string {
	if h.regions == "" {
		return nil
	}
	return strings.Split(h.regions, homesSeparator)
}

// Includes reports whether requests may run in the region. An unknown region, "", is in no bound set.
func (h Homes) Includes(region string) bool {
	return !h.bound || region != "" && slices.Contains(h.Regions(), region)
}

// Intersect returns the regions that are in both sets. It may be empty; then no region is included.
func (h Homes) Intersect(other Homes) Homes {
	switch {
	case h.IsAny():
		return other
	case other.IsAny():
		return h
	}
	both := slices.DeleteFunc(h.Regions(), func(region string) bool { return !other.Includes(region) })
	return Homes{regions: strings.Join(both, homesSeparator), bound: true}
}

package bergamotgrade

import (
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
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

// IsEmpty reports whether the set includes no region, so that requests can run nowhere.
func (h Homes) IsEmpty() bool { return h.bound && h.regions == "" }

// String returns the names of the regions, for logs and error messages.
func (h Homes) String() string {
	if h.IsAny() {
		return "any region"
	}
	return "[" + strings.Join(h.Regions(), " ") + "]"
}

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

// MarshalBinary returns no bytes for any region, and otherwise the names of the regions, each after a
// separator; a separator alone is the empty set.
func (h Homes) MarshalBinary() ([]byte, error) {
	if h.IsAny() {
		return nil, nil
	}
	return []byte(homesSeparator + h.regions), nil
}

// UnmarshalBinary decodes what MarshalBinary returned. Other bytes are refused, since a set that is
// read as too large would send requests out of their homes.
func (h *Homes) UnmarshalBinary(data []byte) error {
	if len(data) == 0 {
		*h = Homes{}
		return nil
	}
	names, ok := strings.CutPrefix(string(data), homesSeparator)
	if !ok {
		return errors.New("the homes do not begin with a separator")
	}
	*h = Homes{bound: true}
	if names != "" {
		*h = NewHomes(strings.Split(names, homesSeparator)...)
	}
	return nil
}

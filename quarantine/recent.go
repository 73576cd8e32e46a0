package quarantine

// recentTraits holds the traits of the requests that were served last, at most maxRecent.
type recentTraits struct {
	keys map[traitKey]bool
	// ring holds the keys in the order in which they were added, from next on.
	ring []traitKey
	next int
}

func newRecentTraits() *recentTraits {
	return &recentTraits{keys: map[traitKey]bool{}, ring: make([]traitKey, maxRecent)}
}

// add adds the trait in place of the oldest one.
func (r *recentTraits) add(trait traitKey) {
	if r.keys[trait] {
		return
	}
	delete(r.keys, r.ring[r.next])
	r.ring[r.next] = trait
	r.keys[trait] = true
	r.next = (r.next + 1) % len(r.ring)
}

func (r *recentTraits) has(trait traitKey) bool { return r.keys[trait] }

package entry

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/follow"
)

// copyID names a VM's copy of a prefix of the store.
type copyID struct{ vmID, prefix string }

// announcedCopy is the last announcement of a copy.
type announcedCopy struct {
	position follow.Position
	upToDate time.Time
}

// copySources returns the inner addresses of up to maxSources live peers: those with a newer
// configuration than this VM first, of these the ones that reach the store, as they have the newest
// copies, and of these the ones of this data centre.
func (v *view) copySources(maxSources int) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	own := int64(0)
	if v.configuration != nil {
		own = v.configuration.Version
	}
	now := v.clock.Now()
	type source struct {
		address string
		rank    int
	}
	var sources []source
	for id, p := range v.peers {
		m, ok := v.members[id]
		if !ok || !p.listedWithin(now, peerTimeout) {
			continue
		}
		rank := 0
		for _, isWorse := range []bool{p.Version <= own, !p.reachesStore(now), m.DataCentre != v.regions.own} {
			rank *= 2
			if isWorse {
				rank++
			}
		}
		sources = append(sources, source{m.InnerAddress, rank})
	}
	// Equal ones stay in the random order of the map, which spreads the calls over them.
	slices.SortStableFunc(sources, func(a, b source) int { return cmp.Compare(a.rank, b.rank) })
	addresses := make([]string, 0, maxSources)
	for _, s := range sources[:min(maxSources, len(sources))] {
		addresses = append(addresses, s.address)
	}
	return addresses
}

// storePeer returns the inner address of a VM that reaches the store and may see data with the homes,
// one in the homes if there is any.
func (v *view) storePeer(homes bergamotgrade.Homes) (address string, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	inHomes := func(dataCentre string) bool { return homes.Includes(v.regions.of(dataCentre)) }
	mayCarry := func(dataCentre string) bool { return v.regions.mayCarry(dataCentre, homes) }
	for _, isAllowed := range []func(dataCentre string) bool{inHomes, mayCarry} {
		if address, ok = v.storePeerAt(now, isAllowed); ok {
			return address, true
		}
	}
	return "", false
}

// storePeerAt returns the inner address of a VM that reaches the store, in an allowed data centre.
// Rendezvous hashing spreads the VMs over such peers. A VM that has just started and has received no
// gossip message tries the registered VMs, a different one each second. The caller holds the lock.
func (v *view) storePeerAt(now time.Time, isAllowed func(dataCentre string) bool) (address string, ok bool) {
	best := uint64(0)
	if !v.seenSelf && len(v.peers) == 0 {
		second := now.Unix()
		for id, m := range v.members {
			if !isAllowed(m.DataCentre) {
				continue
			}
			if score := xxhash.Sum64String(fmt.Sprint(second, "/", id)); !ok || score > best {
				address, best, ok = m.InnerAddress, score, true
			}
		}
		return address, ok
	}
	local := isAllowed(v.regions.own) && v.prefersLocalStore(now)
	for id, p := range v.peers {
		m, registered := v.members[id]
		if !registered || !p.reachesStore(now) || !isAllowed(m.DataCentre) || local && m.DataCentre != v.regions.own {
			continue
		}
		if score := xxhash.Sum64String(v.self + "/" + id); !ok || score > best {
			address, best, ok = m.InnerAddress, score, true
		}
	}
	return address, ok
}

// prefersLocalStore reports whether store calls go through a VM of this data centre: at least as many
// VMs here reach the store as do not, so that each makes the calls of about one other VM at most. The
// caller holds the lock.
func (v *view) prefersLocalStore(now time.Time) bool {
	reaching, cutOff := 0, 1
	for id, p := range v.peers {
		switch {
		case v.members[id].DataCentre != v.regions.own || !p.listedWithin(now, watcherTimeout):
		case p.reachesStore(now):
			reaching++
		case p.StoreUnreachable:
			cutOff++
		}
	}
	return reaching >= cutOff
}

// sourceRole is the part of a VM in the spreading of the store's changes.
type sourceRole int

const (
	// roleFollower is a VM that fetches from the relay of its data centre.
	roleFollower sourceRole = iota
	// roleRelay is the VM of a data centre that fetches from the watcher.
	roleRelay
	// roleWatcher is the VM of the fleet that watches the store.
	roleWatcher
)

// source returns the VM from which this VM receives changes of the store; the id is empty
// if it has to watch the store itself. The watcher is the first live VM that reaches the
// store, the relay the first live VM of its data centre, in the order of their strength.
func (v *view) source(dataCentre string, storeUnreachable bool) (vmID, address string, role sourceRole) {
	v.mu.Lock()
	defer v.mu.Unlock()
	own, registered := v.members[v.self]
	if !registered {
		own = member{VMID: v.self, DataCentre: dataCentre}
	}
	var watcher, relay member
	if !storeUnreachable && !v.leaving {
		watcher = own
	}
	if !v.leaving {
		relay = own
	}
	now := v.clock.Now()
	for id, p := range v.peers {
		m, registered := v.members[id]
		if !registered || p.Leaving || !p.listedWithin(now, watcherTimeout) {
			continue
		}
		if !p.StoreUnreachable && m.precedes(watcher) {
			watcher = m
		}
		if m.DataCentre == dataCentre && m.precedes(relay) {
			relay = m
		}
	}
	switch {
	case watcher.VMID == v.self, watcher.VMID == "":
		return "", "", roleWatcher
	case relay.VMID == v.self, relay.VMID == "":
		return watcher.VMID, watcher.InnerAddress, roleRelay
	}
	return relay.VMID, relay.InnerAddress, roleFollower
}

// announced returns the last announcement of the VM's copy of the prefix.
func (v *view) announced(vmID, prefix string) (position follow.Position, age time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	copied, ok := v.copies[copyID{vmID, prefix}]
	if !ok {
		return follow.Position{}, 0
	}
	return copied.position, v.clock.Now().Sub(copied.upToDate)
}

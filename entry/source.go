package entry

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bergamotgrade/bergamotgrade/follow"
)

// copyID names a VM's copy of a prefix of the store.
type copyID struct{ vmID, prefix string }

// announcedCopy is the last announcement of a copy.
type announcedCopy struct {
	position follow.Position
	upToDate time.Time
}

// copySources returns the inner addresses of up to maxSources live peers. Peers with a
// newer configuration than this VM come first.
func (v *view) copySources(maxSources int) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	own := int64(0)
	if v.configuration != nil {
		own = v.configuration.Version
	}
	now := v.clock.Now()
	var newer, others []string
	for id, p := range v.peers {
		m, ok := v.members[id]
		if !ok || !p.listedWithin(now, peerTimeout) {
			continue
		}
		if p.Version > own {
			newer = append(newer, m.InnerAddress)
		} else {
			others = append(others, m.InnerAddress)
		}
	}
	sources := append(newer, others...)
	return sources[:min(maxSources, len(sources))]
}

// storePeer returns the inner address of a VM that reaches the store. Rendezvous hashing
// spreads the VMs over such peers. A VM that has just started and has received no gossip
// message tries the registered VMs, a different one each second.
func (v *view) storePeer() (address string, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now, best := v.clock.Now(), uint64(0)
	if !v.seenSelf && len(v.peers) == 0 {
		second := now.Unix()
		for id, m := range v.members {
			if score := xxhash.Sum64String(fmt.Sprint(second, "/", id)); !ok || score > best {
				address, best, ok = m.InnerAddress, score, true
			}
		}
		return address, ok
	}
	for id, p := range v.peers {
		m, registered := v.members[id]
		if !registered || !p.reachesStore(now) {
			continue
		}
		if score := xxhash.Sum64String(v.self + "/" + id); !ok || score > best {
			address, best, ok = m.InnerAddress, score, true
		}
	}
	return address, ok
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

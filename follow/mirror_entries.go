package follow

import (
	"time"

	"github.com/bergamotgrade/bergamotgrade"
)

// applyCopy brings the mirror to the state of a copy, unless the copy is older.
// onMissing is called for each entry that is not in the copy. For a copy from a peer it
// can drop the entry: the peer's copy still has the entries of a running grace period, and
// names them in Retained.
func (m *Mirror) applyCopy(copied Copy, onMissing func(now time.Time, key string)) {
	m.mu.Lock()
	if copied.Revision < m.revision {
		m.mu.Unlock()
		return
	}
	m.revision = copied.Revision
	m.changedAt = copied.Revision
	m.listRevision = max(m.listRevision, copied.ListedAt)
	now := m.clock.Now()
	m.dropExpired(now)
	for _, entry := range copied.Entries {
		m.put(entry)
	}
	for _, key := range copied.Retained {
		m.retain(key, now.Add(recoveryGracePeriod))
	}
	listed := make(map[string]bool, len(copied.Keys))
	for _, key := range copied.Keys {
		listed[key] = true
	}
	for key := range m.entries {
		if !listed[key] && !copied.KeysOmitted {
			onMissing(now, key)
		}
	}
	m.loaded = true
	m.mu.Unlock()
	m.publish()
}

// put stores the entry unless the mirror already has it or a newer one; an entry that is
// pending removal stays so until it is written again. The caller holds the lock.
func (m *Mirror) put(entry bergamotgrade.Entry) {
	if current, ok := m.entries[entry.Key]; ok && current.Revision >= entry.Revision {
		return
	}
	delete(m.pendingRemoval, entry.Key)
	m.entries[entry.Key] = entry
}

// removeOrRetain deletes the entry or, during a grace period, marks it for later removal.
// The caller holds the lock.
func (m *Mirror) removeOrRetain(now time.Time, key string) {
	if m.kv.InGracePeriod(now) {
		m.retain(key, now)
		return
	}
	m.remove(key)
}

// retain marks the entry, if there is one, for removal at the time or at the end of the grace
// period of this VM, whichever is later. The caller holds the lock.
func (m *Mirror) retain(key string, until time.Time) {
	if _, ok := m.entries[key]; !ok {
		return
	}
	if pending, ok := m.pendingRemoval[key]; !ok || until.Before(pending) {
		m.pendingRemoval[key] = until
	}
}

// remove deletes the entry. The caller holds the lock.
func (m *Mirror) remove(key string) {
	delete(m.entries, key)
	m.removedAt = m.revision
}

// dropEntry deletes the entry at once. The caller holds the lock.
func (m *Mirror) dropEntry(_ time.Time, key string) {
	delete(m.pendingRemoval, key)
	m.remove(key)
}

// dropExpired deletes the entries that are still pending removal once the grace period
// is over, and reports whether there were any. The caller holds the lock.
func (m *Mirror) dropExpired(now time.Time) (dropped bool) {
	if len(m.pendingRemoval) == 0 || m.kv.InGracePeriod(now) {
		return false
	}
	for key, until := range m.pendingRemoval {
		if now.Before(until) {
			continue
		}
		m.dropEntry(now, key)
		m.changedAt = m.revision
		dropped = true
	}
	return dropped
}

// publish passes all entries to onChange.
func (m *Mirror) publish() {
	m.publishing.Lock()
	defer m.publishing.Unlock()
	m.mu.Lock()
	entries := make(map[string]bergamotgrade.Entry, len(m.entries))
	for key, entry := range m.entries {
		entries[key] = entry
	}
	m.mu.Unlock()
	m.onChange(entries)
}

// CopySince returns this VM's copy without the entries that a VM at the given position has
// already; it has revision zero if there is nothing newer.
func (m *Mirror) CopySince(than Position) Copy {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.loaded || !m.currentPosition().newerThan(than) {
		return Copy{}
	}
	copied := Copy{Revision: m.revision, ListedAt: m.listRevision}
	whole := than.Revision < m.listRevision || than.ListedAt < m.listRevision
	copied.KeysOmitted = !whole && than.Revision > m.removedAt
	for key, entry := range m.entries {
		if !copied.KeysOmitted {
			copied.Keys = append(copied.Keys, key)
		}
		if whole || entry.Revision > than.Revision {
			copied.Entries = append(copied.Entries, entry)
		}
	}
	for key := range m.pendingRemoval {
		copied.Retained = append(copied.Retained, key)
	}
	return copied
}

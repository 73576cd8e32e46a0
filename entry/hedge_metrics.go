package entry

import (
	"expvar"

	"github.com/bergamotgrade/bergamotgrade"
)

// hedgeCounters are the counters of hedged requests by server.
var hedgeCounters = []string{"hedges_started", "hedges_won", "hedges_cancelled", "hedge_tokens"}

// CountAt implements relay.HedgeObserver: it adds n to the named counter of the server.
func (m *Metrics) CountAt(name, serverID string, n int64) {
	m.LabelledMap(name, "server").Add(serverID, n)
}

// pruneServers removes the counters of hedged requests at servers that are not registered, so that their number
// is that of the servers in use.
func (m *Metrics) pruneServers(servers map[string]bergamotgrade.ServerRecord) {
	for _, name := range hedgeCounters {
		m.mu.Lock()
		group, ok := m.maps[name]
		m.mu.Unlock()
		if !ok {
			continue
		}
		var gone []string
		group.Do(func(kv expvar.KeyValue) {
			if _, ok := servers[kv.Key]; !ok {
				gone = append(gone, kv.Key)
			}
		})
		for _, id := range gone {
			group.Delete(id)
		}
	}
}

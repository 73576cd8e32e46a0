package release

import (
	"sort"

	"github.com/bergamotgrade/bergamotgrade"
)

// State is the immutable configuration at one revision.
type State struct {
	revision       int64
	teams          shardMap[bergamotgrade.Team]
	keys           shardMap[bergamotgrade.Key]
	backendServers shardMap[bergamotgrade.BackendServer]
	models         shardMap[bergamotgrade.Model]
	services       shardMap[bergamotgrade.Service]
}

// NewState returns the empty configuration at revision zero.
func NewState() *State {
	return &State{
		teams:          newShardMap[bergamotgrade.Team](),
		keys:           newShardMap[bergamotgrade.Key](),
		backendServers: newShardMap[bergamotgrade.BackendServer](),
		models:         newShardMap[bergamotgrade.Model](),
		services:       newShardMap[bergamotgrade.Service](),
	}
}

// Revision returns the state's revision: the number of notes applied to reach it.
func (s *State) Revision() int64 { return s.revision }

// Team returns the team with the ID.
func (s *State) Team(id string) (bergamotgrade.Team, bool) { return s.teams.get(id) }

// Key returns the key with the hash.
func (s *State) Key(hash string) (bergamotgrade.Key, bool) { return s.keys.get(hash) }

// BackendServer returns the backend server with the ID.
func (s *State) BackendServer(id string) (bergamotgrade.BackendServer, bool) {
	return s.backendServers.get(id)
}

// Model returns the model with the ID.
func (s *State) Model(id string) (bergamotgrade.Model, bool) { return s.models.get(id) }

// Service returns the plain service with the ID.
func (s *State) Service(id string) (bergamotgrade.Service, bool) { return s.services.get(id) }

// TeamCount returns the number of teams.
func (s *State) TeamCount() int { return s.teams.size }

// KeyCount returns the number of keys.
func (s *State) KeyCount() int { return s.keys.size }

// ModelIDs returns the IDs of all models in ascending order.
func (s *State) ModelIDs() []string { return sortedKeys(s.models) }

// BackendServers returns all backend servers, sorted by ID.
func (s *State) BackendServers() []bergamotgrade.BackendServer { return sortedValues(s.backendServers) }

// Models returns all models, sorted by ID.
func (s *State) Models() []bergamotgrade.Model { return sortedValues(s.models) }

// Services returns all plain services, sorted by ID.
func (s *State) Services() []bergamotgrade.Service { return sortedValues(s.services) }

// Records returns all records of the state, each kind sorted by ID (keys by hash).
func (s *State) Records() Records {
	return Records{
		Teams:          sortedValues(s.teams),
		Keys:           sortedValues(s.keys),
		BackendServers: sortedValues(s.backendServers),
		Models:         sortedValues(s.models),
		Services:       sortedValues(s.services),
	}
}

// Apply returns the state that results from the accepted note. It returns s unchanged if
// the note's revision does not directly follow s, so that the revision never decreases.
func (s *State) Apply(accepted AcceptedNote) *State {
	if accepted.Revision != s.revision+1 {
		return s
	}
	next := s.withRecords(accepted.Note.Set)
	next.withdraw(accepted.Note.Withdraw)
	next.revision = accepted.Revision
	return next
}

func (s *State) withRecords(set Records) *State {
	next := *s
	for _, r := range set.Teams {
		next.teams = next.teams.with(r.TeamID, r)
	}
	for _, r := range set.Keys {
		next.keys = next.keys.with(r.KeyHash, r)
	}
	for _, r := range set.BackendServers {
		next.backendServers = next.backendServers.with(r.BackendServerID, r)
	}
	for _, r := range set.Models {
		next.models = next.models.with(r.ModelID, r)
	}
	for _, r := range set.Services {
		next.services = next.services.with(r.ServiceID, r)
	}
	return &next
}

func (s *State) withdraw(ids RecordIDs) {
	for _, id := range ids.TeamIDs {
		s.teams = s.teams.without(id)
	}
	for _, hash := range ids.KeyHashes {
		s.keys = s.keys.without(hash)
	}
	for _, id := range ids.BackendServerIDs {
		s.backendServers = s.backendServers.without(id)
	}
	for _, id := range ids.ModelIDs {
		s.models = s.models.without(id)
	}
	for _, id := range ids.ServiceIDs {
		s.services = s.services.without(id)
	}
}

func sortedKeys[V any](m shardMap[V]) []string {
	keys := make([]string, 0, m.size)
	for key := range m.all() {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

func sortedValues[V any](m shardMap[V]) []V {
	keys := sortedKeys(m)
	values := make([]V, 0, len(keys))
	for _, key := range keys {
		value, _ := m.get(key)
		values = append(values, value)
	}
	return values
}

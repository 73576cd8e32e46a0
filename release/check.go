package release

import (
	"fmt"
	"net"
	"strings"

	"github.com/bergamotgrade/bergamotgrade"
)

// Fault describes one validation failure of a note: the field, the failure and its remedy.
type Fault struct {
	Field   string `json:"field"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// String formats the fault on one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s: %s; %s", f.Field, f.Message, f.Remedy)
}

// checker validates the state that a note would produce and collects all faults.
type checker struct {
	proposed *State
	faults   []Fault
}

// Check validates the note against the state to which it would be applied and returns all
// faults. An empty result means that the note may be accepted.
func Check(state *State, note Note) []Fault {
	next := state.withRecords(note.Set)
	next.withdraw(note.Withdraw)
	c := &checker{proposed: next}
	if note.NoteID == "" || strings.ContainsAny(note.NoteID, "/ ") {
		c.addFault("note_id", "missing or holding a slash or space", "name the note with letters, digits and hyphens")
	}
	c.checkWithdrawn(state, note.Withdraw)
	c.checkTeams()
	c.checkKeys()
	c.checkBackendServers()
	c.checkModels()
	c.checkServices()
	return c.faults
}

// CheckError combines the faults into one KindNoteInvalid error; nil if there are none.
func CheckError(faults []Fault) error {
	if len(faults) == 0 {
		return nil
	}
	lines := make([]string, len(faults))
	for i, fault := range faults {
		lines[i] = fault.String()
	}
	return bergamotgrade.NewError(bergamotgrade.KindNoteInvalid,
		fmt.Sprintf("the note has %d faults: %s", len(faults), strings.Join(lines, " | ")),
		"mend all of them and submit the note again")
}

func (c *checker) addFault(field, message, remedy string) {
	c.faults = append(c.faults, Fault{Field: field, Message: message, Remedy: remedy})
}

func (c *checker) checkWithdrawn(state *State, ids RecordIDs) {
	requireExisting := func(field, id string, ok bool) {
		if !ok {
			c.addFault(field, fmt.Sprintf("%q does not exist", id), "leave it out of the note")
		}
	}
	for _, id := range ids.TeamIDs {
		_, ok := state.Team(id)
		requireExisting("withdraw.team_ids", id, ok)
	}
	for _, id := range ids.KeyHashes {
		_, ok := state.Key(id)
		requireExisting("withdraw.key_hashes", id, ok)
	}
	for _, id := range ids.BackendServerIDs {
		_, ok := state.BackendServer(id)
		requireExisting("withdraw.backend_server_ids", id, ok)
	}
	for _, id := range ids.ModelIDs {
		_, ok := state.Model(id)
		requireExisting("withdraw.model_ids", id, ok)
	}
	for _, id := range ids.ServiceIDs {
		_, ok := state.Service(id)
		requireExisting("withdraw.service_ids", id, ok)
	}
}

func (c *checker) checkTeams() {
	for id, team := range c.proposed.teams.all() {
		field := "teams[" + id + "]"
		if id == "" {
			c.addFault(field, "team_id is empty", "give the team an id")
		}
		if team.Rate <= 0 {
			c.addFault(field+".rate", "not above zero", "give the requests a second that the team is owed")
		}
		if team.Burst < 1 {
			c.addFault(field+".burst", "below one request", "give a burst of at least 1")
		}
		if team.BatchRate < 0 || (team.BatchRate > 0 && team.BatchBurst < 1) {
			c.addFault(field+".batch_rate", "below zero, or without a batch_burst of at least 1", "give both, or neither")
		}
		if team.Weight < 0 {
			c.addFault(field+".weight", "below zero", "leave it out or give a positive weight")
		}
	}
}

func (c *checker) checkKeys() {
	for hash, key := range c.proposed.keys.all() {
		field := "keys[" + hashPrefix(hash) + "]"
		if len(hash) != 64 {
			c.addFault(field, "key_hash is not a SHA-256 in hex", "make it with `bergamotctl key hash`")
		}
		if _, ok := c.proposed.Team(key.TeamID); !ok {
			c.addFault(field, fmt.Sprintf("team %q does not exist", key.TeamID), "add the team in the same note or withdraw the key")
		}
	}
}

func (c *checker) checkBackendServers() {
	for id, server := range c.proposed.backendServers.all() {
		field := "backend_servers[" + id + "]"
		if _, _, err := net.SplitHostPort(server.Address); err != nil {
			c.addFault(field+".address", "not host:port", "give the IP number and port of the server")
		}
		if server.Slots < 1 {
			c.addFault(field+".slots", "below one", "give the number of requests that the server runs at once")
		}
	}
}

func (c *checker) checkModels() {
	for id, model := range c.proposed.models.all() {
		field := "models[" + id + "]"
		c.checkServerIDs(field, model.BackendServerIDs)
		if model.BaseModelID == "" {
			continue
		}
		if _, ok := c.proposed.Model(model.BaseModelID); !ok {
			c.addFault(field+".base_model_id", fmt.Sprintf("model %q does not exist", model.BaseModelID), "add the base model or withdraw the adapter")
		}
	}
}

func (c *checker) checkServices() {
	for id, service := range c.proposed.services.all() {
		field := "services[" + id + "]"
		c.checkServerIDs(field, service.BackendServerIDs)
		if len(service.Routes) == 0 {
			c.addFault(field+".routes", "empty", "list at least one method and path prefix")
		}
		for _, route := range service.Routes {
			if route.Method == "" || !strings.HasPrefix(route.PathPrefix, "/") {
				c.addFault(field+".routes", "a route lacks its method or a path prefix that begins with /", "give both")
			}
		}
	}
}

func (c *checker) checkServerIDs(field string, ids []string) {
	if len(ids) == 0 {
		c.addFault(field+".backend_server_ids", "empty", "list at least one backend server")
	}
	for _, id := range ids {
		if _, ok := c.proposed.BackendServer(id); !ok {
			c.addFault(field+".backend_server_ids", fmt.Sprintf("backend server %q does not exist", id), "add it in the same note or take it off the list")
		}
	}
}

// hashPrefix shortens a key hash for messages: enough to find the key without printing
// the whole hash.
func hashPrefix(hash string) string {
	if len(hash) > 8 {
		return hash[:8]
	}
	return hash
}

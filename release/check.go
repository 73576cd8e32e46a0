package release

import (
	"fmt"
	"net"
	"strings"

	"github.com/bergamotgrade/bergamotgrade"
)

// Fault is one thing wrong with a note.
type Fault struct {
	Field   string `json:"field"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// String returns the fault on one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s: %s; %s", f.Field, f.Message, f.Remedy)
}

// checker collects every fault of a note against the state that would result.
type checker struct {
	result *State
	faults []Fault
}

// Check returns all faults of the note against the state; none means that the
// note may be accepted.
func Check(state *State, note Note) []Fault {
	next := state.withRecords(note.Set)
	next.withdraw(note.Withdraw)
	c := &checker{result: next}
	if note.NoteID == "" || strings.ContainsAny(note.NoteID, "/ ") {
		c.add("note_id", "missing or holding a slash or space", "name the note with letters, digits and hyphens")
	}
	c.checkWithdrawn(state, note.Withdraw)
	c.checkTeams()
	c.checkKeys()
	c.checkBackendServers()
	c.checkModels()
	c.checkServices()
	return c.faults
}

// CheckError turns faults into one error, or nil if there are none.
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

func (c *checker) add(field, message, remedy string) {
	c.faults = append(c.faults, Fault{Field: field, Message: message, Remedy: remedy})
}

func (c *checker) checkWithdrawn(state *State, ids RecordID) {
	missing := func(field, id string, ok bool) {
		if !ok {
			c.add(field, fmt.Sprintf("%q does not exist", id), "leave it out of the note")
		}
	}
	for _, id := range ids.TeamIDs {
		_, ok := state.Team(id)
		missing("withdraw.team_ids", id, ok)
	}
	for _, id := range ids.KeyHashes {
		_, ok := state.Key(id)
		missing("withdraw.key_hashes", id, ok)
	}
	for _, id := range ids.BackendServerIDs {
		_, ok := state.BackendServer(id)
		missing("withdraw.backend_server_ids", id, ok)
	}
	for _, id := range ids.ModelIDs {
		_, ok := state.Model(id)
		missing("withdraw.model_ids", id, ok)
	}
	for _, id := range ids.ServiceIDs {
		_, ok := state.Service(id)
		missing("withdraw.service_ids", id, ok)
	}
}

func (c *checker) checkTeams() {
	for id, team := range c.result.teams.all() {
		field := "teams[" + id + "]"
		if id == "" {
			c.add(field, "team_id is empty", "give the team an id")
		}
		if team.Rate <= 0 {
			c.add(field+".rate", "not above zero", "give the requests a second that the team is owed")
		}
		if team.Burst < 1 {
			c.add(field+".burst", "below one request", "give a burst of at least 1")
		}
		if team.BatchRate < 0 || (team.BatchRate > 0 && team.BatchBurst < 1) {
			c.add(field+".batch_rate", "below zero, or without a batch_burst of at least 1", "give both, or neither")
		}
		if team.Weight < 0 {
			c.add(field+".weight", "below zero", "leave it out or give a positive weight")
		}
	}
}

func (c *checker) checkKeys() {
	for hash, key := range c.result.keys.all() {
		field := "keys[" + shortHash(hash) + "]"
		if len(hash) != 64 {
			c.add(field, "key_hash is not a SHA-256 in hex", "make it with `bergamotctl key hash`")
		}
		if _, ok := c.result.Team(key.TeamID); !ok {
			c.add(field, fmt.Sprintf("team %q does not exist", key.TeamID), "add the team in the same note or withdraw the key")
		}
	}
}

func (c *checker) checkBackendServers() {
	for id, server := range c.result.backendServers.all() {
		field := "backend_servers[" + id + "]"
		if _, _, err := net.SplitHostPort(server.Address); err != nil {
			c.add(field+".address", "not host:port", "give the IP number and port of the server")
		}
		if server.Slots < 1 {
			c.add(field+".slots", "below one", "give the number of requests that the server runs at once")
		}
	}
}

func (c *checker) checkModels() {
	for id, model := range c.result.models.all() {
		field := "models[" + id + "]"
		c.checkServerIDs(field, model.BackendServerIDs)
		if model.BaseModelID == "" {
			continue
		}
		if _, ok := c.result.Model(model.BaseModelID); !ok {
			c.add(field+".base_model_id", fmt.Sprintf("model %q does not exist", model.BaseModelID), "add the base model or withdraw the adapter")
		}
	}
}

func (c *checker) checkServices() {
	for id, service := range c.result.services.all() {
		field := "services[" + id + "]"
		c.checkServerIDs(field, service.BackendServerIDs)
		if len(service.Routes) == 0 {
			c.add(field+".routes", "empty", "list at least one method and path prefix")
		}
		for _, route := range service.Routes {
			if route.Method == "" || !strings.HasPrefix(route.PathPrefix, "/") {
				c.add(field+".routes", "a route lacks its method or a path prefix that begins with /", "give both")
			}
		}
	}
}

func (c *checker) checkServerIDs(field string, ids []string) {
	if len(ids) == 0 {
		c.add(field+".backend_server_ids", "empty", "list at least one backend server")
	}
	for _, id := range ids {
		if _, ok := c.result.BackendServer(id); !ok {
			c.add(field+".backend_server_ids", fmt.Sprintf("backend server %q does not exist", id), "add it in the same note or take it off the list")
		}
	}
}

// shortHash shows enough of a hash to find the key, and no more.
func shortHash(hash string) string {
	if len(hash) > 8 {
		return hash[:8]
	}
	return hash
}

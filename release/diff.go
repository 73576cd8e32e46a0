package release

import (
	"encoding/json"
	"fmt"
)

// Diff returns one line for each record that the note would add, change or
// withdraw.
func Diff(state *State, note Note) []string {
	var lines []string
	for _, r := range note.Set.Teams {
		old, ok := state.Team(r.TeamID)
		lines = append(lines, changeLine("team", r.TeamID, old, r, ok))
	}
	for _, r := range note.Set.Keys {
		old, ok := state.Key(r.KeyHash)
		lines = append(lines, changeLine("key", hashPrefix(r.KeyHash), old, r, ok))
	}
	for _, r := range note.Set.BackendServers {
		old, ok := state.BackendServer(r.BackendServerID)
		lines = append(lines, changeLine("backend server", r.BackendServerID, old, r, ok))
	}
	for _, r := range note.Set.Models {
		old, ok := state.Model(r.ModelID)
		lines = append(lines, changeLine("model", r.ModelID, old, r, ok))
	}
	for _, r := range note.Set.Services {
		old, ok := state.Service(r.ServiceID)
		lines = append(lines, changeLine("service", r.ServiceID, old, r, ok))
	}
	withdrawn := func(kind string, ids []string) {
		for _, id := range ids {
			lines = append(lines, fmt.Sprintf("- %s %s", kind, displayID(kind, id)))
		}
	}
	withdrawn("team", note.Withdraw.TeamIDs)
	withdrawn("key", note.Withdraw.KeyHashes)
	withdrawn("backend server", note.Withdraw.BackendServerIDs)
	withdrawn("model", note.Withdraw.ModelIDs)
	withdrawn("service", note.Withdraw.ServiceIDs)
	return lines
}

func displayID(kind, id string) string {
	if kind == "key" {
		return hashPrefix(id)
	}
	return id
}

func changeLine(kind, id string, old, updated any, exists bool) string {
	after, _ := json.Marshal(updated)
	if !exists {
		return fmt.Sprintf("+ %s %s %s", kind, id, after)
	}
	before, _ := json.Marshal(old)
	return fmt.Sprintf("~ %s %s %s -> %s", kind, id, before, after)
}

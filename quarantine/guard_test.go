package quarantine

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/platform/standin"
	"github.com/bergamotgrade/bergamotgrade/scripttest"
)

// guardScript runs the steps of one script file against the guards of several VMs.
type guardScript struct {
	clock  *scripttest.Clock
	store  *standin.Store
	guards map[string]*Guard
	// alive holds the servers that accept connections although one broke.
	alive map[string]bool
	// cutOff holds the VMs that the store does not reach.
	cutOff map[string]bool
}

func newGuardScript() *guardScript {
	clock := scripttest.NewClock()
	return &guardScript{clock: clock, store: standin.NewStore(clock), guards: map[string]*Guard{}, alive: map[string]bool{}, cutOff: map[string]bool{}}
}

// HasEnded implements bergamotgrade.ServerProber.
func (s *guardScript) HasEnded(_ context.Context, server bergamotgrade.ServerRecord) bool {
	return !s.alive[server.ServerID]
}

func (s *guardScript) guard(vmID string) *Guard {
	guard, ok := s.guards[vmID]
	if !ok {
		guard = New(Config{
			Clock: s.clock, VMID: vmID, Store: s.store, Prober: s, VMs: func() int { return 1 },
			Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		})
		s.guards[vmID] = guard
		s.mirror(vmID, guard)
	}
	return guard
}

func (s *guardScript) mirror(vmID string, guard *Guard) {
	if !s.cutOff[vmID] {
		guard.SetEntries(s.entries())
	}
}

func (s *guardScript) entries() map[string]bergamotgrade.Entry {
	found, _, _ := s.store.Range(context.Background(), Prefix, false)
	entries := make(map[string]bergamotgrade.Entry, len(found))
	for _, entry := range found {
		entries[entry.Key] = entry
	}
	return entries
}

// sync lets every VM that reaches the store write what is due and then mirror the records.
func (s *guardScript) sync() {
	for range 2 {
		for vmID, guard := range s.guards {
			guard.confirmEnds(context.Background())
			if !s.cutOff[vmID] {
				guard.write(context.Background())
			}
		}
		s.clock.Advance(servedDelayPerVM)
	}
	for vmID, guard := range s.guards {
		s.mirror(vmID, guard)
	}
}

func (s *guardScript) step(words []string) string {
	switch words[0] {
	case "lost": // lost VM SERVER TRAIT,... [RUN] : a request breaks at the server after the run time
		sentAt := s.clock.Now()
		if len(words) > 4 {
			d, _ := time.ParseDuration(words[4])
			sentAt = sentAt.Add(-d)
		}
		s.guard(words[1]).ConnectionLost(bergamotgrade.ServerRecord{ServerID: words[2], StartedAt: time.Unix(900, 0)}, parseTraits(words[3]), sentAt)
	case "alive": // alive SERVER: the server accepts connections
		s.alive[words[1]] = true
	case "served": // served VM TRAIT,... : a request is answered completely
		s.guard(words[1]).Served(parseTraits(words[2]))
	case "sync":
		s.sync()
	case "wait":
		d, _ := time.ParseDuration(words[1])
		s.clock.Advance(d)
	case "restart": // restart VM: its memory is lost
		delete(s.guards, words[1])
	case "delete": // an operator deletes the records of all ends
		var keys []string
		for key := range s.entries() {
			if strings.HasPrefix(key, endPrefix) {
				keys = append(keys, key)
			}
		}
		if _, err := s.store.Commit(context.Background(), bergamotgrade.KeyCommit{Deletes: keys}); err != nil {
			return err.Error()
		}
	case "cut", "join": // cut VM: it no longer reaches the store
		s.cutOff[words[1]] = words[0] == "cut"
	case "check": // check VM TRAIT,...
		return outcome(s.guard(words[1]).Check(parseTraits(words[2])))
	case "admit": // admit VM TRAIT,...
		return outcome(s.guard(words[1]).Admit(context.Background(), parseTraits(words[2])))
	default:
		return "unknown step"
	}
	return ""
}

// parseTraits parses a list of prompt parts; a word that begins with @ is a fingerprint.
func parseTraits(list string) bergamotgrade.RequestTraits {
	var traits bergamotgrade.RequestTraits
	for word := range strings.SplitSeq(list, ",") {
		if fingerprint, ok := strings.CutPrefix(word, "@"); ok {
			traits.Fingerprint = fingerprint
		} else {
			traits.PromptParts = append(traits.PromptParts, word)
		}
	}
	return traits
}

func outcome(err error) string {
	if bergamotgrade.IsKind(err, bergamotgrade.KindPromptQuarantined) || bergamotgrade.IsKind(err, bergamotgrade.KindRequestQuarantined) {
		return "refused"
	}
	return fmt.Sprint(err)
}

func TestGuardScripts(t *testing.T) {
	scripttest.Run(t, func() scripttest.Step { return newGuardScript().step })
}

// However many servers end under however many parts, the store holds at most maxRecords
// records, and a VM remembers at most maxOwnEnds ends.
func TestRecordsAreBounded(t *testing.T) {
	s := newGuardScript()
	for i := range 3 * maxRecords {
		s.step([]string{"lost", "vm1", fmt.Sprint("e", i), fmt.Sprintf("a%d,b%d", i, i%5)})
		s.step([]string{"sync"})
	}
	qt.Check(t, len(s.entries()) <= maxRecords+1, qt.IsTrue, qt.Commentf("%d records", len(s.entries())))
	qt.Check(t, len(s.guards["vm1"].own) <= maxOwnEnds, qt.IsTrue)
	s.step([]string{"wait", (retention + time.Second).String()})
	for i := range maxRecords {
		s.step([]string{"lost", "vm1", fmt.Sprint("late", i%3), fmt.Sprint("c", i)})
		s.step([]string{"sync"})
	}
	qt.Check(t, len(s.entries()) <= 3, qt.IsTrue, qt.Commentf("%d records", len(s.entries())))
}

// A VM that serves several suspected parts records them in one commit.
func TestServedPartsShareCommit(t *testing.T) {
	s := newGuardScript()
	for i := range endsToSuspect {
		s.step([]string{"lost", "vm1", fmt.Sprint("e", i), "a,b,c,d"})
		s.step([]string{"wait", "1s"})
	}
	s.step([]string{"sync"})
	guard := s.guards["vm1"]
	guard.config.VMs = func() int { return 1000 }
	guard.Served(parseTraits("a,b,c,d"))
	guard.mu.Lock()
	defer guard.mu.Unlock()
	earliest := s.clock.Now().Add(time.Hour)
	for _, state := range guard.ownServed {
		if state.writeAt.Before(earliest) {
			earliest = state.writeAt
		}
	}
	commit, _, served := guard.dueWrites(earliest)
	qt.Assert(t, served, qt.HasLen, 4)
	qt.Assert(t, commit.Writes, qt.HasLen, 4)
}

// A record that another program wrote in another form is ignored.
func TestUndecodableRecordIsIgnored(t *testing.T) {
	s := newGuardScript()
	_, err := s.store.Commit(context.Background(), bergamotgrade.KeyCommit{Writes: []bergamotgrade.KeyWrite{
		{Key: endPrefix + "e/vm", Value: []byte("{")}, {Key: trialPrefix + "x", Value: []byte(`{"count":"y"}`)}, {Key: Prefix + "else", Value: nil},
	}})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, outcome(s.guard("vm1").Check(parseTraits("a"))), qt.Equals, "<nil>")
}

// Waves of crashes whose records fill the store must not displace the records of a quarantined
// request.
func TestCrashWavesDisplaceQuarantine(t *testing.T) {
	s := newGuardScript()
	for i := range endsToQuarantine {
		s.step([]string{"lost", "vm1", fmt.Sprint("bad", i), "a,b,@r"})
		s.step([]string{"wait", "400ms"})
	}
	s.step([]string{"sync"})
	const lostPerSync = 10 // which VMs write before they see each other's records
	for i := range 2 * maxRecords {
		s.step([]string{"lost", fmt.Sprint("vm", i%5), fmt.Sprint("e", i/5), fmt.Sprintf("a,c%d,@s%d", i, i)})
		if i%lostPerSync == lostPerSync-1 {
			s.step([]string{"wait", "20ms"})
			s.step([]string{"sync"})
			s.step([]string{"served", "vm1", "a"})
		}
	}
	s.step([]string{"restart", "vm1"})
	qt.Check(t, s.step([]string{"check", "vm1", "b,@r"}), qt.Equals, "refused")
	qt.Check(t, s.step([]string{"check", "vm2", "@r"}), qt.Equals, "refused")
	qt.Check(t, len(s.entries()) <= maxRecords+lostPerSync, qt.IsTrue, qt.Commentf("%d records", len(s.entries())))
}

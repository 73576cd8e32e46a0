// Package origin knows at which software version each stream began, so that a stream which its
// caller takes up at another VM goes on there. While servers of several versions serve, a VM
// sends a record of each stream that it begins to two other VMs, chosen by a hash of the
// request's id; a VM at which a stream is taken up asks these.
package origin

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/bergamotgrade/bergamotgrade"
)

// Fleet reaches the other VMs.
type Fleet interface {
	// Keepers returns up to most other VMs in the order in which they keep the record with
	// the key, only live ones if live is set.
	Keepers(key uint64, most int, live bool) []string
	// SendRecords sends the records to the VM. It does not block, and records may be lost.
	SendRecords(vmID string, records []bergamotgrade.StreamRecord)
	// AskOrigin asks the VM for the answer of its Tracker.
	AskOrigin(ctx context.Context, vmID string, question Question) (Answer, error)
}

// Question asks where a stream began.
type Question struct {
	Key uint64 `json:"key"`
	// Service is the service of the stream's route; empty if there are several.
	Service string `json:"service,omitempty"`
}

// Answer is what one VM knows of a stream.
type Answer struct {
	// Found is set if the VM has the record.
	Found  bool                       `json:"found,omitempty"`
	Record bergamotgrade.StreamRecord `json:"record"`
	// IsOnly is set if the service has had no other version than OnlyVersion for long.
	IsOnly      bool   `json:"is_only,omitempty"`
	OnlyVersion string `json:"only_version,omitempty"`
}

// Tracker implements bergamotgrade.StreamOrigins. It is safe for concurrent use.
type Tracker struct {
	clock bergamotgrade.Clock
	fleet Fleet
	log   *slog.Logger

	mu       sync.Mutex
	versions *versions
	records  *records
	// mixed holds the services that had several versions at the last SetServers.
	mixed map[string]bool
}

var _ bergamotgrade.StreamOrigins = (*Tracker)(nil)

// New returns a tracker without servers and records.
func New(clock bergamotgrade.Clock, fleet Fleet, log *slog.Logger) *Tracker {
	return &Tracker{clock: clock, fleet: fleet, log: log, versions: newVersions(clock.Now()), records: newRecords(), mixed: map[string]bool{}}
}

func keyOf(requestID string) uint64 { return xxhash.Sum64String(requestID) }

// SetServers replaces the backend servers. Once a service has a second version, the records of
// the streams that may go on are sent to other VMs.
func (t *Tracker) SetServers(servers map[string]bergamotgrade.ServerRecord) {
	serving := map[string]map[string]bool{}
	for _, server := range servers {
		if serving[server.Service] == nil {
			serving[server.Service] = map[string]bool{}
		}
		serving[server.Service][server.SoftwareVersion] = true
	}
	t.mu.Lock()
	now := t.clock.Now()
	t.versions.set(now, serving)
	newlyMixed := map[string]bool{}
	for service := range serving {
		recent := t.versions.recent(now, service)
		if isMixed := len(recent) > 1; isMixed != t.mixed[service] {
			newlyMixed[service] = isMixed
			if t.mixed[service] = isMixed; !isMixed {
				delete(t.mixed, service)
			}
			t.log.Info("software versions of the service changed", "service", service, "versions", recent)
		}
	}
	unsent := t.ownRecords(now, newlyMixed)
	t.mu.Unlock()
	t.send(unsent, recordCopies)
}

// ownRecords returns the records of this VM's recent streams of the services. The caller holds
// the lock.
func (t *Tracker) ownRecords(now time.Time, services map[string]bool) []bergamotgrade.StreamRecord {
	var own []bergamotgrade.StreamRecord
	if len(services) == 0 {
		return nil
	}
	for _, record := range t.records.byKey {
		if record.own && services[record.Origin.Service] && now.Sub(record.at) <= resendAge {
			own = append(own, record.StreamRecord)
		}
	}
	return own
}

// send sends the records to so many of the VMs that keep them.
func (t *Tracker) send(records []bergamotgrade.StreamRecord, copies int) {
	byVM := map[string][]bergamotgrade.StreamRecord{}
	for _, record := range records {
		for _, vmID := range t.fleet.Keepers(record.Key, copies, true) {
			byVM[vmID] = append(byVM[vmID], record)
		}
	}
	for vmID, records := range byVM {
		t.fleet.SendRecords(vmID, records)
	}
}

// Began implements bergamotgrade.StreamOrigins.
func (t *Tracker) Began(requestID string, origin bergamotgrade.StreamOrigin, attempt int) {
	record := bergamotgrade.StreamRecord{Key: keyOf(requestID), Origin: origin, Attempt: attempt}
	t.mu.Lock()
	now := t.clock.Now()
	t.records.add(storedRecord{StreamRecord: record, at: now, own: true})
	// A VM that asks can do without the record if the service has had one version for long.
	_, isOnly := t.versions.only(now, origin.Service)
	t.mu.Unlock()
	if isOnly {
		return
	}
	copies := recordCopies
	if attempt > 0 {
		// A VM that misses this record keeps that of the attempt before, which may name another version; all VMs that
		// are asked get it, as datagrams are lost now and then.
		copies = maxAsked
	}
	t.send([]bergamotgrade.StreamRecord{record}, copies)
}

// Receive adds records that another VM has sent.
func (t *Tracker) Receive(records []bergamotgrade.StreamRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for _, record := range records {
		t.records.add(storedRecord{StreamRecord: record, at: now})
	}
}

// Answer returns what this VM knows itself.
func (t *Tracker) Answer(question Question) Answer {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var answer Answer
	if record, ok := t.records.get(now, question.Key); ok {
		answer.Found, answer.Record = true, record.StreamRecord
	}
	if question.Service != "" {
		answer.OnlyVersion, answer.IsOnly = t.versions.only(now, question.Service)
	}
	return answer
}

// beganHere reports whether this VM began the stream itself, so that its record is the last one.
func (t *Tracker) beganHere(key uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	record, ok := t.records.get(t.clock.Now(), key)
	return ok && record.own
}

// Find implements bergamotgrade.StreamOrigins.
func (t *Tracker) Find(ctx context.Context, requestID string, services []string) (bergamotgrade.StreamOrigin, error) {
	question := Question{Key: keyOf(requestID)}
	if len(services) == 1 {
		question.Service = services[0]
	}
	found, ok, cause := t.find(ctx, question)
	if ok {
		for _, service := range services {
			if found.Service == service {
				t.log.Info("stream is taken up", "resumes", requestID, "service", found.Service, "version", found.SoftwareVersion, "known_by", cause)
				return found, nil
			}
		}
		cause = "its service " + found.Service + " is no longer one of its route"
	}
	return bergamotgrade.StreamOrigin{}, bergamotgrade.NewError(bergamotgrade.KindOriginUnknown, "it is not known at which software version the stream began", "begin it anew, or try another VM").
		WithRetryAt(t.clock.Now().Add(retryDelay)).WithCause(errors.Newf("stream of request %.64s: %s", requestID, cause))
}

// find returns the origin and who knows it, or why it is not known.
func (t *Tracker) find(ctx context.Context, question Question) (origin bergamotgrade.StreamOrigin, ok bool, cause string) {
	own := t.Answer(question)
	if own.Found && t.beganHere(question.Key) {
		return own.Record.Origin, true, "this VM"
	}
	asked := t.fleet.Keepers(question.Key, maxAsked, false)
	answers := t.ask(ctx, asked, question)
	best := Answer{}
	if own.Found {
		best = own // a copy, of which another VM may have a later one
	}
	for _, answer := range answers {
		if answer.Found && (!best.Found || answer.Record.Attempt > best.Record.Attempt) {
			best = answer
		}
	}
	if best.Found {
		return best.Record.Origin, true, "a VM that keeps its record"
	}
	// Without a record the stream began while its service had one version, if it is known to
	// be the only one for long. A VM that no other answers may have missed a second one.
	if len(answers) == 0 && len(asked) > 0 {
		return origin, false, "no other VM answers"
	}
	only, isOnly := own.OnlyVersion, own.IsOnly
	t.mu.Lock()
	recent := t.versions.recent(t.clock.Now(), question.Service)
	t.mu.Unlock()
	for _, answer := range answers {
		if answer.IsOnly && !isOnly {
			only, isOnly = answer.OnlyVersion, true
		}
		if answer.IsOnly && answer.OnlyVersion != only {
			return origin, false, "VMs know of different versions"
		}
	}
	if !isOnly || len(recent) != 1 || recent[0] != only {
		return origin, false, "no VM has a record, and the service has had several versions"
	}
	return bergamotgrade.StreamOrigin{Service: question.Service, SoftwareVersion: only}, true, "the service's only version"
}

// ask asks the VMs at the same time and returns the answers that arrive in time.
func (t *Tracker) ask(ctx context.Context, vmIDs []string, question Question) []Answer {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	replies := make(chan reply, len(vmIDs))
	for _, vmID := range vmIDs {
		go t.runQuestion(ctx, vmID, question, replies)
	}
	var answers []Answer
	var late <-chan time.Time
	for range vmIDs {
		select {
		case reply := <-replies:
			if reply.err != nil {
				continue
			}
			if answers = append(answers, reply.answer); reply.answer.Found && late == nil {
				late = time.After(lateAnswerDelay)
			}
		case <-late:
			return answers
		case <-ctx.Done():
			return answers
		}
	}
	return answers
}

// reply is the outcome of a question to one VM.
type reply struct {
	answer Answer
	err    error
}

// runQuestion asks one VM; replies has to have room for the reply.
func (t *Tracker) runQuestion(ctx context.Context, vmID string, question Question, replies chan<- reply) {
	answer, err := t.fleet.AskOrigin(ctx, vmID, question)
	if err != nil {
		t.log.Info("VM does not tell where a stream began", "peer", vmID, "cause", err.Error())
	}
	replies <- reply{answer, err}
}

package quarantine

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bergamotgrade/bergamotgrade"
)

// traitKey identifies a prompt part or a request in records; it has a fixed length, unlike the
// ids that callers send.
type traitKey string

// requestKeyPrefix tells the keys of requests from those of prompt parts.
const requestKeyPrefix = "request-"

func newPartKey(id string) traitKey { return traitKey(fmt.Sprintf("%016x", xxhash.Sum64String(id))) }

func newRequestKey(fingerprint string) traitKey { return traitKey(requestKeyPrefix + fingerprint) }

func (k traitKey) isRequest() bool { return strings.HasPrefix(string(k), requestKeyPrefix) }

// traitKeys returns the keys of all traits.
func traitKeys(traits bergamotgrade.RequestTraits) []traitKey {
	keys := make([]traitKey, 0, len(traits.PromptParts)+1)
	for _, id := range traits.PromptParts {
		keys = append(keys, newPartKey(id))
	}
	if traits.Fingerprint != "" {
		keys = append(keys, newRequestKey(traits.Fingerprint))
	}
	return keys
}

// Key prefixes of the three kinds of records; the server's start and the VM, or the key of the
// trait, follow.
const (
	endPrefix    = Prefix + "end/"
	servedPrefix = Prefix + "served/"
	trialPrefix  = Prefix + "trial/"
)

// endRecord says that a server ended while it ran requests of one VM.
type endRecord struct {
	At time.Time `json:"at"`
	// Parts holds the parts of the prompts of these requests, with their positions.
	Parts map[traitKey]int `json:"parts"`
	// Requests holds when each of these requests was last sent to the server.
	Requests map[traitKey]time.Time `json:"requests,omitempty"`
	// revision is the revision of the store at which the record was written; zero while it
	// is not.
	revision int64
}

func newEndRecord(at time.Time) endRecord {
	return endRecord{At: at, Parts: map[traitKey]int{}, Requests: map[traitKey]time.Time{}}
}

// add adds the traits of a request that was sent to the server at sentAt, and reports whether
// the record has changed.
func (r *endRecord) add(traits bergamotgrade.RequestTraits, sentAt time.Time) (changed bool) {
	for position, id := range traits.PromptParts {
		part := newPartKey(id)
		if _, known := r.Parts[part]; !known && len(r.Parts) < maxParts {
			r.Parts[part] = position
			changed = true
		}
	}
	if traits.Fingerprint == "" {
		return changed
	}
	request := newRequestKey(traits.Fingerprint)
	if before, known := r.Requests[request]; sentAt.After(before) && (known || len(r.Requests) < maxRequests) {
		r.Requests[request] = sentAt
		changed = true
	}
	return changed
}

// evidence returns what the record says of each trait.
func (r *endRecord) evidence() map[traitKey]evidence {
	found := make(map[traitKey]evidence, len(r.Parts)+len(r.Requests))
	for part, position := range r.Parts {
		found[part] = evidence{position: position}
	}
	for request, sentAt := range r.Requests {
		found[request] = evidence{position: requestPosition, sentAt: sentAt}
	}
	return found
}

// servedRecord says that requests with a trait were served after servers had ended under it.
type servedRecord struct {
	At time.Time `json:"at"`
	// Through is the revision of the newest end that the writer knew of.
	Through int64 `json:"through"`
}

// trialRecord says when a request with a quarantined trait was last let through.
type trialRecord struct {
	At time.Time `json:"at"`
	// Count is the number of trials so far.
	Count int `json:"count"`

	revision int64
}

// serverStart names one process of a server. It is a part of keys, where a slash ends it.
func serverStart(server bergamotgrade.ServerRecord) string {
	return fmt.Sprintf("%s.%d", url.PathEscape(server.ServerID), server.StartedAt.UnixMilli())
}

func endKey(start, vmID string) string       { return endPrefix + start + "/" + vmID }
func servedKey(trait traitKey) string        { return servedPrefix + string(trait) }
func trialKey(trait traitKey) string         { return trialPrefix + string(trait) }
func encode(record any) ([]byte, error)      { return json.Marshal(record) }
func isOld(now time.Time, at time.Time) bool { return now.Sub(at) > retention }

// records holds the decoded records of the store.
type records struct {
	// ends holds the records by server start and VM.
	ends   map[string]map[string]endRecord
	served map[traitKey]servedRecord
	trials map[traitKey]trialRecord
	// times holds when each record was written, by key.
	times map[string]time.Time
	// revision is the newest revision of an end.
	revision int64
}

func newRecords() records {
	return records{ends: map[string]map[string]endRecord{}, served: map[traitKey]servedRecord{}, trials: map[traitKey]trialRecord{}, times: map[string]time.Time{}}
}

// decodeRecords decodes the entries below Prefix. It returns the keys of those that cannot be
// decoded.
func decodeRecords(entries map[string]bergamotgrade.Entry) (decoded records, invalid []string) {
	decoded = newRecords()
	for key, entry := range entries {
		if err := decoded.add(key, entry); err != nil {
			invalid = append(invalid, key)
		}
	}
	return decoded, invalid
}

func (r *records) add(key string, entry bergamotgrade.Entry) error {
	switch {
	case strings.HasPrefix(key, endPrefix):
		var record endRecord
		if err := json.Unmarshal(entry.Value, &record); err != nil {
			return err
		}
		start, vmID, _ := strings.Cut(strings.TrimPrefix(key, endPrefix), "/")
		record.revision = entry.Revision
		r.addEnd(start, vmID, record)
		r.times[key] = record.At
		r.revision = max(r.revision, entry.Revision)
	case strings.HasPrefix(key, servedPrefix):
		var record servedRecord
		if err := json.Unmarshal(entry.Value, &record); err != nil {
			return err
		}
		r.served[traitKey(strings.TrimPrefix(key, servedPrefix))] = record
		r.times[key] = record.At
	case strings.HasPrefix(key, trialPrefix):
		var record trialRecord
		if err := json.Unmarshal(entry.Value, &record); err != nil {
			return err
		}
		record.revision = entry.Revision
		r.trials[traitKey(strings.TrimPrefix(key, trialPrefix))] = record
		r.times[key] = record.At
	}
	return nil
}

func (r *records) addEnd(start, vmID string, record endRecord) {
	if r.ends[start] == nil {
		r.ends[start] = map[string]endRecord{}
	}
	r.ends[start][vmID] = record
}

// keysOf returns the keys of the records that concern one of the traits.
func (r *records) keysOf(traits map[traitKey]culprit) map[string]bool {
	keys := map[string]bool{}
	if len(traits) == 0 {
		return keys
	}
	for trait := range traits {
		keys[servedKey(trait)], keys[trialKey(trait)] = true, true
	}
	for start, byVM := range r.ends {
		for vmID, record := range byVM {
			for trait := range record.evidence() {
				if _, ok := traits[trait]; ok {
					keys[endKey(start, vmID)] = true
				}
			}
		}
	}
	return keys
}

// Package jobs stores batch jobs in the platform's key-value store and runs their
// items. A job consists of a head, which names the owning process and counts the
// stored results, an immutable body, which holds the items, and one entry for each
// result. Every write of an owner is conditional on the revision of the head, so a
// former owner cannot store results.
package jobs

import (
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/bergamotgrade/bergamotgrade"
)

// HeadPrefix is the store's key prefix of the heads of all jobs.
const HeadPrefix = "job/head/"

// plainIDPattern matches the job ids that stand in keys as they are.
var plainIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,100}$`)

// recordIDs returns the ids under which the records of a team's job may be, in the order in which
// they are used. A plain job id is its own record id, unless another team has a job of this name.
// Every other job gets a record id that is a hash of team and job id, so that no text of a caller
// is in a key; jobs with such ids that earlier versions stored are under the job id itself.
func recordIDs(team, jobID string) []string {
	sum := sha256.Sum256([]byte(strconv.Itoa(len(team)) + ":" + team + jobID))
	hashed := hashedIDPrefix + base64.RawURLEncoding.EncodeToString(sum[:])
	switch {
	case plainIDPattern.MatchString(jobID):
		return []string{jobID, hashed}
	case len(resultKey(jobID, 0)) <= maxKeyBytes:
		return []string{hashed, jobID}
	}
	return []string{hashed}
}

// mayCreate reports whether a new job may get the record id.
func mayCreate(recordID string) bool {
	return plainIDPattern.MatchString(recordID) || strings.HasPrefix(recordID, hashedIDPrefix)
}

func headKey(recordID string) string    { return HeadPrefix + recordID }
func bodyPrefix(recordID string) string { return "job/body/" + recordID + "/" }

func bodyKey(recordID string, part int) string {
	return fmt.Sprintf("%s%04d", bodyPrefix(recordID), part)
}

func resultPrefix(recordID string) string { return "job/result/" + recordID + "/" }

func resultKey(recordID string, position int) string {
	return fmt.Sprintf("%s%06d", resultPrefix(recordID), position)
}

// Head is the mutable part of a job: its owner and its progress.
type Head struct {
	Team string `msgpack:"team"`
	// Host and Path select the job's route in each configuration.
	Host string `msgpack:"host"`
	Path string `msgpack:"path"`
	// SubmittedAt is the time of acceptance in Unix milliseconds.
	SubmittedAt int64 `msgpack:"submitted_at"`
	// DueAt is the time at which all results are due, and KeepUntil the time after
	// which unfinished items may be abandoned, both in Unix milliseconds.
	DueAt     int64 `msgpack:"due_at"`
	KeepUntil int64 `msgpack:"keep_until"`
	Items     int   `msgpack:"items"`
	// Listed is the number of stored results; their positions are 0 to Listed-1.
	Listed int `msgpack:"listed"`
	// WaitingTokens is the number of tokens of the items that were unfinished when
	// the head was last written.
	WaitingTokens int64 `msgpack:"waiting_tokens"`
	BodyParts     int   `msgpack:"body_parts"`
	// BodyBytes is the size of the stored body; zero if a VM of an earlier release has written the head.
	BodyBytes int64 `msgpack:"body_bytes"`
	// Ended is set once a caller has cancelled the job.
	Ended bool `msgpack:"ended"`
	// Owner is the id of the VM whose process runs the items, and OwnerIncarnation
	// is the incarnation of that process. Owner is empty while none is assigned.
	Owner            string `msgpack:"owner"`
	OwnerIncarnation int64  `msgpack:"owner_incarnation"`
	// Homes are the regions of the route and the team at the acceptance. Only VMs there may own
	// the job, and AcceptedBy, the VM that accepted it, while none of them is alive.
	Homes      bergamotgrade.Homes `msgpack:"homes"`
	AcceptedBy string              `msgpack:"accepted_by"`
	// ConfigVersion is the version of the configuration under which the job was accepted; zero if a VM
	// of an earlier release has written the head.
	ConfigVersion int64 `msgpack:"config_version"`
	// Revision is the store's revision of the head's entry.
	Revision int64 `msgpack:"-"`
}

// Open reports whether the job was not cancelled and lacks results.
func (h Head) Open() bool { return !h.Ended && h.Listed < h.Items }

// isNewerThan reports whether the job was accepted under a newer configuration than the given one. The copies of
// the configuration and of the heads are followed independently, so a VM may know a job before its route.
func (h Head) isNewerThan(config *bergamotgrade.FleetConfiguration) bool {
	return config.Version < h.ConfigVersion
}

// cacheKey returns the key of a value of the job in the cache of this VM. A job that was removed may
// be followed by another one with the same records.
func (h Head) cacheKey(key string) string { return key + "@" + strconv.FormatInt(h.SubmittedAt, 36) }

// Due returns the time at which all results are due.
func (h Head) Due() time.Time { return time.UnixMilli(h.DueAt) }

// Item is one request of a job.
type Item struct {
	ItemID  string            `msgpack:"item_id"`
	Path    string            `msgpack:"path"`
	Headers map[string]string `msgpack:"headers"`
	Body    []byte            `msgpack:"body"`
	// Tokens is the number of prompt tokens plus the output limit.
	Tokens int64 `msgpack:"tokens"`
	// PromptParts holds the ids of the parts of the prompt in order; other items and requests
	// may share them.
	PromptParts []string `msgpack:"prompt_parts,omitempty"`
}

// ResultState is the final state of an item.
type ResultState int

// The final states of items.
const (
	ResultDone ResultState = iota
	ResultAbandoned
)

// Result is the outcome of one item. Its position is part of its entry's key.
type Result struct {
	ItemID string      `msgpack:"item_id"`
	State  ResultState `msgpack:"state"`
	Text   string      `msgpack:"text"`
}

func decodeHead(entry bergamotgrade.Entry) (Head, error) {
	var head Head
	if err := unmarshal(entry.Value, &head); err != nil {
		return Head{}, errors.Wrapf(err, "entry %s", entry.Key)
	}
	head.Revision = entry.Revision
	return head, nil
}

func recordIDOf(key string) string { return strings.TrimPrefix(key, HeadPrefix) }

// splitBody encodes the items and splits the encoding into values of at most
// valueBytes.
func splitBody(items []Item, valueBytes int) ([][]byte, error) {
	data, err := msgpack.Marshal(items)
	if err != nil {
		return nil, err
	}
	var parts [][]byte
	for len(data) > valueBytes {
		parts = append(parts, data[:valueBytes])
		data = data[valueBytes:]
	}
	return append(parts, data), nil
}

// joinBody decodes the items from the parts that splitBody returned.
func joinBody(parts [][]byte) ([]Item, error) {
	var data []byte
	for _, part := range parts {
		data = append(data, part...)
	}
	var items []Item
	err := unmarshal(data, &items)
	return items, err
}

// unmarshal decodes a value of the store, whoever wrote it.
func unmarshal(data []byte, value any) error {
	if err := bergamotgrade.CheckMessagePack(data); err != nil {
		return err
	}
	return msgpack.Unmarshal(data, value)
}

// Package jobs keeps and runs batch jobs on the platform's store. Each job has a
// head, which names its owner and counts its listed results, a body that never
// changes, and one entry for each result. Every write of an owner is conditional
// on the head, so a former owner cannot list anything.
package jobs

import (
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/bergamotgrade/bergamotgrade"
)

// HeadPrefix is where the heads of all jobs are.
const HeadPrefix = "job/head/"

func headKey(jobID string) string           { return HeadPrefix + jobID }
func bodyPrefix(jobID string) string        { return "job/body/" + jobID + "/" }
func bodyKey(jobID string, part int) string { return fmt.Sprintf("%s%04d", bodyPrefix(jobID), part) }
func resultPrefix(jobID string) string      { return "job/result/" + jobID + "/" }

func resultKey(jobID string, position int) string {
	return fmt.Sprintf("%s%06d", resultPrefix(jobID), position)
}

// Head is the small, changing part of a job.
type Head struct {
	Team string `msgpack:"team"`
	// Host and Path select the job's route in each configuration.
	Host string `msgpack:"host"`
	Path string `msgpack:"path"`
	// SubmittedAt is the Unix millisecond of the acceptance.
	SubmittedAt int64 `msgpack:"submitted_at"`
	// DueAt and KeepUntil are Unix milliseconds: when all results are due, and
	// from when on items may be abandoned.
	DueAt     int64 `msgpack:"due_at"`
	KeepUntil int64 `msgpack:"keep_until"`
	Items     int   `msgpack:"items"`
	// Listed is the number of results, which hold the positions below it.
	Listed int `msgpack:"listed"`
	// WaitingTokens counts the tokens of the items that are not listed.
	WaitingTokens int64 `msgpack:"waiting_tokens"`
	BodyParts     int   `msgpack:"body_parts"`
	// Ended is set once a caller has ended the job.
	Ended bool `msgpack:"ended"`
	// Owner and OwnerIncarnation name the process that runs the items.
	Owner            string `msgpack:"owner"`
	OwnerIncarnation int64  `msgpack:"owner_incarnation"`
	// Revision is the platform's revision of the head.
	Revision int64 `msgpack:"-"`
}

// Open reports whether items of the job are still to be run.
func (h Head) Open() bool { return !h.Ended && h.Listed < h.Items }

// Due returns when all results are due.
func (h Head) Due() time.Time { return time.UnixMilli(h.DueAt) }

// Item is one request of a job.
type Item struct {
	ItemID  string            `msgpack:"item_id"`
	Path    string            `msgpack:"path"`
	Headers map[string]string `msgpack:"headers"`
	Body    []byte            `msgpack:"body"`
	// Tokens is the prompt and the most output, together.
	Tokens int64 `msgpack:"tokens"`
}

// ResultState says how an item ended.
type ResultState int

// The states of results.
const (
	ResultDone ResultState = iota
	ResultAbandoned
)

// Result is the outcome of one item. Its position is that of its entry.
type Result struct {
	ItemID string      `msgpack:"item_id"`
	State  ResultState `msgpack:"state"`
	Text   string      `msgpack:"text"`
}

func decodeHead(entry bergamotgrade.Entry) (Head, error) {
	var head Head
	if err := msgpack.Unmarshal(entry.Value, &head); err != nil {
		return Head{}, errors.Wrapf(err, "entry %s", entry.Key)
	}
	head.Revision = entry.Revision
	return head, nil
}

func jobIDOf(key string) string { return strings.TrimPrefix(key, HeadPrefix) }

// splitBody cuts the encoded items into values of the store.
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

// joinBody is the inverse of splitBody.
func joinBody(parts [][]byte) ([]Item, error) {
	var data []byte
	for _, part := range parts {
		data = append(data, part...)
	}
	var items []Item
	err := msgpack.Unmarshal(data, &items)
	return items, err
}

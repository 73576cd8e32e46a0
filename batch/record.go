package batch

import (
	"time"

	"github.com/bergamotgrade/bergamotgrade"
)

// File is an accepted input file.
type File struct {
	FileID    string    `json:"file_id"`
	TeamID    string    `json:"team_id"`
	Name      string    `json:"name"`
	Bytes     int64     `json:"bytes"`
	Items     int       `json:"items"`
	CreatedAt time.Time `json:"created_at"`
	// Once is set when some items must not be repeated.
	Once     bool          `json:"once,omitempty"`
	Segments []FileSegment `json:"segments"`
	// StateRevision is the revision of the configuration state by which the items were checked.
	StateRevision int64 `json:"state_revision,omitempty"`
}

// FileSegment is a segment of a file with the range of items that it holds.
type FileSegment struct {
	bergamotgrade.SegmentRef
	FirstItem int `json:"first_item"`
	Items     int `json:"items"`
}

// JobStatus is the state of a job; JobCompleted and JobCancelled are final.
type JobStatus string

// The states of a job.
const (
	JobInProgress JobStatus = "in_progress"
	JobCompleted  JobStatus = "completed"
	JobCancelled  JobStatus = "cancelled"
)

// Job is an accepted batch job.
type Job struct {
	JobID  string `json:"job_id"`
	TeamID string `json:"team_id"`
	// KeyHash is the hash of the API key with which the job was submitted.
	KeyHash     string            `json:"key_hash"`
	FileID      string            `json:"file_id"`
	Endpoint    string            `json:"endpoint"`
	Status      JobStatus         `json:"status"`
	CreatedAt   time.Time         `json:"created_at"`
	DueAt       time.Time         `json:"due_at"`
	EndedAt     time.Time         `json:"ended_at"`
	Weight      float64           `json:"weight,omitempty"`
	Items       int               `json:"items"`
	Metadata    map[string]string `json:"metadata,omitempty"`
	RequestHash string            `json:"request_hash"`
	// StateRevision is the revision of the configuration state under which the job was accepted. A VM with an
	// older one cannot tell which of its items have no model or route.
	StateRevision int64 `json:"state_revision,omitempty"`
}

// Ranges returns the number of ranges into which the job's items are divided.
func (j Job) Ranges() int { return (j.Items + itemsPerRange - 1) / itemsPerRange }

// Range is the progress of one range of a job's items.
type Range struct {
	// Owner is the incarnation of the VM that executes the range, empty if there is none.
	Owner string `json:"owner"`
	// Epoch increases each time that a VM becomes the owner.
	Epoch int `json:"epoch"`
	// First is the index of the first item, End the index after the last.
	First int `json:"first"`
	End   int `json:"end"`
	// Committed is the index of the first item without a committed result.
	Committed int `json:"committed"`
	// Intended is the index before which items may have been dispatched. It is recorded ahead
	// of the dispatch only for files with Once set; for others it equals Committed.
	Intended int           `json:"intended"`
	Results  []FileSegment `json:"results,omitempty"`
	// Succeeded and Failed count the committed results.
	Succeeded int `json:"succeeded"`
	Failed    int `json:"failed"`
}

// NewRange returns the job's range with the index as it is before any VM claims it.
func NewRange(job Job, index int) Range {
	first := index * itemsPerRange
	return Range{First: first, End: min(first+itemsPerRange, job.Items), Committed: first, Intended: first}
}

// Done reports whether all items have committed results.
func (r Range) Done() bool { return r.Committed >= r.End }

// Claim returns the range with the new owner. It reports false if the range is done, or if
// the previous owner is still a member and may still execute it.
func (r Range) Claim(owner string, isMember func(incarnation string) bool) (Range, bool) {
	if r.Done() || (r.Owner != "" && r.Owner != owner && isMember(r.Owner)) {
		return r, false
	}
	if r.Owner != owner {
		r.Owner = owner
		r.Epoch++
	}
	return r, true
}

// NextChunk returns the next items to execute, from first up to but not including end.
// Items that a previous owner intended but did not commit come first, as one chunk.
func (r Range) NextChunk(atMostOnce bool) (first, end int) {
	size := itemsPerChunk
	if atMostOnce {
		size = itemsPerAtMostOnceChunk
	}
	if r.Intended > r.Committed {
		return r.Committed, r.Intended
	}
	return r.Committed, min(r.Committed+size, r.End)
}

// WithIntent returns the range with the intent to dispatch the items before end.
func (r Range) WithIntent(end int) Range {
	r.Intended = max(r.Intended, end)
	return r
}

// WithResults returns the range with the committed results of the segment.
func (r Range) WithResults(segment FileSegment, succeeded, failed int) Range {
	r.Results = append(append([]FileSegment(nil), r.Results...), segment)
	r.Committed = segment.FirstItem + segment.Items
	r.Intended = max(r.Intended, r.Committed)
	r.Succeeded += succeeded
	r.Failed += failed
	return r
}

// Urgency returns the factor by which the job's weight is multiplied: 1 until urgencyWindow
// before the due date, then rising to at most maxUrgency.
func (j Job) Urgency(now time.Time) float64 {
	left := j.DueAt.Sub(now)
	if left >= urgencyWindow {
		return 1
	}
	return min(maxUrgency, float64(urgencyWindow)/float64(max(left, time.Minute)))
}

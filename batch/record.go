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
	// Once is set when some items may not be repeated.
	Once     bool          `json:"once,omitempty"`
	Segments []FileSegment `json:"segments"`
}

// FileSegment is a piece of a file that begins at an item.
type FileSegment struct {
	bergamotgrade.SegmentRef
	FirstItem int `json:"first_item"`
	Items     int `json:"items"`
}

// JobStatus is how far a job has got; completed and cancelled are final.
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
	// KeyHash is the key under which the job was submitted.
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
}

// Ranges returns the number of ranges that the job's items are cut into.
func (j Job) Ranges() int { return (j.Items + rangeItems - 1) / rangeItems }

// Range is the progress of one range of a job's items.
type Range struct {
	// Owner is the incarnation of the VM that works on the range.
	Owner string `json:"owner"`
	// Epoch rises with each owner.
	Epoch int `json:"epoch"`
	// First is the range's first item, End the one behind its last.
	First int `json:"first"`
	End   int `json:"end"`
	// Committed is the first item without a result.
	Committed int `json:"committed"`
	// Intended is the item up to which dispatches may have happened.
	Intended int           `json:"intended"`
	Results  []FileSegment `json:"results,omitempty"`
	// Succeeded and Failed count the results.
	Succeeded int `json:"succeeded"`
	Failed    int `json:"failed"`
}

// NewRange returns the untouched range of the index.
func NewRange(job Job, index int) Range {
	first := index * rangeItems
	return Range{First: first, End: min(first+rangeItems, job.Items), Committed: first, Intended: first}
}

// Done reports whether all items have results.
func (r Range) Done() bool { return r.Committed >= r.End }

// Claim returns the range under a new owner. It is refused while the owner
// before is a member: it may still be running.
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

// Next returns the next items to work on as first and end.
func (r Range) Next(once bool) (first, end int) {
	size := chunkItems
	if once {
		size = onceChunkItems
	}
	if r.Intended > r.Committed {
		return r.Committed, r.Intended
	}
	return r.Committed, min(r.Committed+size, r.End)
}

// Intend returns the range with the intent to dispatch up to the item.
func (r Range) Intend(end int) Range {
	r.Intended = max(r.Intended, end)
	return r
}

// Commit returns the range with results up to the item.
func (r Range) Commit(segment FileSegment, succeeded, failed int) Range {
	r.Results = append(append([]FileSegment(nil), r.Results...), segment)
	r.Committed = segment.FirstItem + segment.Items
	r.Intended = max(r.Intended, r.Committed)
	r.Succeeded += succeeded
	r.Failed += failed
	return r
}

// Urgency is the factor on a job's weight that grows towards its due date.
func (j Job) Urgency(now time.Time) float64 {
	left := j.DueAt.Sub(now)
	if left >= urgentWindow {
		return 1
	}
	return min(maxUrgency, float64(urgentWindow)/float64(max(left, time.Minute)))
}

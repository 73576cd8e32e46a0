package batch

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/bergamotgrade/bergamotgrade"
)

// Repository stores files, jobs and ranges in the platform's store.
type Repository struct {
	platform bergamotgrade.Platform
	segments bergamotgrade.Segments
	leases   *retentionLeases
	clock    bergamotgrade.Clock
}

// NewRepository returns a repository that stores input lines and results in segments.
func NewRepository(platform bergamotgrade.Platform, segments bergamotgrade.Segments, clock bergamotgrade.Clock) *Repository {
	return &Repository{platform: platform, segments: segments, leases: newRetentionLeases(platform, clock), clock: clock}
}

func unknownRecordError(kind, id string) error {
	return bergamotgrade.NewError(bergamotgrade.KindRouteUnknown, fmt.Sprintf("%s %q does not exist", kind, id), "use the id that this system has given to your team").WithNotRun()
}

// read decodes the value of a key into record and returns its revision. A missing key has
// revision 0 and leaves the record unchanged.
func (r *Repository) read(ctx context.Context, key string, record any) (int64, error) {
	entry, err := r.platform.Get(ctx, key)
	if err != nil || entry.Revision == 0 {
		return 0, err
	}
	return entry.Revision, json.Unmarshal(entry.Value, record)
}

// write replaces the value of a key by compare-and-swap. If the response is lost, it reads
// the key back to find out whether the value was written.
func (r *Repository) write(ctx context.Context, key string, record any, expected int64) (int64, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return 0, err
	}
	lease, err := r.leases.current(ctx)
	if err != nil {
		return 0, err
	}
	revision, err := r.platform.CompareAndSwap(ctx, key, value, expected, lease)
	if !bergamotgrade.IsKind(err, bergamotgrade.KindPlatformDown) {
		return revision, err
	}
	entry, readErr := r.platform.Get(ctx, key)
	if readErr == nil && entry.Revision > expected && string(entry.Value) == string(value) {
		return entry.Revision, nil
	}
	return 0, err
}

// File returns an input file of the team.
func (r *Repository) File(ctx context.Context, teamID, fileID string) (File, error) {
	var file File
	revision, err := r.read(ctx, filePrefix+fileID, &file)
	if err == nil && (revision == 0 || file.TeamID != teamID) {
		err = unknownRecordError("file", fileID)
	}
	return file, err
}

// Job returns a job with the revision of its value. With an empty teamID the job may belong
// to any team.
func (r *Repository) Job(ctx context.Context, teamID, jobID string) (Job, int64, error) {
	var job Job
	revision, err := r.read(ctx, jobPrefix+jobID, &job)
	if err == nil && (revision == 0 || (teamID != "" && job.TeamID != teamID)) {
		err = unknownRecordError("batch", jobID)
	}
	return job, revision, err
}

// Jobs returns the jobs of the team, or of all teams for an empty teamID.
func (r *Repository) Jobs(ctx context.Context, teamID string) ([]Job, error) {
	entries, err := r.platform.List(ctx, jobPrefix)
	if err != nil {
		return nil, err
	}
	var jobs []Job
	for _, entry := range entries {
		var job Job
		if json.Unmarshal(entry.Value, &job) == nil && (teamID == "" || job.TeamID == teamID) {
			jobs = append(jobs, job)
		}
	}
	return jobs, nil
}

// CreateJob creates the job. If the job id exists already, a request with the same hash
// from the same team gets the existing job, and any other request is refused with
// KindKeyReused.
func (r *Repository) CreateJob(ctx context.Context, job Job) (Job, error) {
	// The entry in the list of open jobs is written first: an entry without a job is
	// harmless, but a job without an entry would never run.
	if _, err := r.write(ctx, openKey(job.JobID), job.JobID, 0); err != nil && !bergamotgrade.IsKind(err, bergamotgrade.KindConflict) {
		return job, err
	}
	_, err := r.write(ctx, jobPrefix+job.JobID, job, 0)
	if !bergamotgrade.IsKind(err, bergamotgrade.KindConflict) {
		return job, err
	}
	existing, _, err := r.Job(ctx, "", job.JobID)
	if err != nil {
		return job, err
	}
	if existing.TeamID != job.TeamID || existing.RequestHash != job.RequestHash {
		return job, bergamotgrade.NewError(bergamotgrade.KindKeyReused, "the Idempotency-Key belongs to another batch", "use a new key for a new batch").WithNotRun()
	}
	return existing, nil
}

// Cancel marks the job as cancelled unless it has ended, and returns the job in its final
// state.
func (r *Repository) Cancel(ctx context.Context, teamID, jobID string) (Job, error) {
	return r.endJob(ctx, teamID, jobID, JobCancelled)
}

// endJob moves a job in progress to a final state. A job that has ended is returned as it
// is.
func (r *Repository) endJob(ctx context.Context, teamID, jobID string, status JobStatus) (Job, error) {
	for range maxSwapAttempts {
		job, revision, err := r.Job(ctx, teamID, jobID)
		if err != nil || job.Status != JobInProgress {
			return job, err
		}
		job.Status = status
		job.EndedAt = r.clock.Now().UTC()
		_, err = r.write(ctx, jobPrefix+jobID, job, revision)
		if err == nil {
			return job, nil
		}
		if !bergamotgrade.IsKind(err, bergamotgrade.KindConflict) {
			return job, err
		}
	}
	return Job{}, bergamotgrade.NewError(bergamotgrade.KindConflict, "the batch keeps changing", "try again")
}

// Range returns a range of the job with the revision of its value, 0 if no VM has claimed
// the range.
func (r *Repository) Range(ctx context.Context, job Job, index int) (Range, int64, error) {
	progress := NewRange(job, index)
	revision, err := r.read(ctx, rangeKey(job.JobID, index), &progress)
	return progress, revision, err
}

// SwapRange replaces a range's value by compare-and-swap.
func (r *Repository) SwapRange(ctx context.Context, job Job, index int, progress Range, expected int64) (int64, error) {
	return r.write(ctx, rangeKey(job.JobID, index), progress, expected)
}

// Ranges returns all ranges of the job in order.
func (r *Repository) Ranges(ctx context.Context, job Job) ([]Range, error) {
	entries, err := r.platform.List(ctx, rangePrefix+job.JobID+"/")
	if err != nil {
		return nil, err
	}
	ranges := make([]Range, job.Ranges())
	for i := range ranges {
		ranges[i] = NewRange(job, i)
	}
	for _, entry := range entries {
		var index int
		if _, err := fmt.Sscanf(entry.Key[strings.LastIndex(entry.Key, "/")+1:], "%d", &index); err != nil || index >= len(ranges) {
			continue
		}
		if err := json.Unmarshal(entry.Value, &ranges[index]); err != nil {
			return nil, err
		}
	}
	return ranges, nil
}

// OpenJobs returns the ids of a partition's jobs that have not ended.
func (r *Repository) OpenJobs(ctx context.Context, partition int) ([]string, error) {
	prefix := fmt.Sprintf("%s%02d/", openPrefix, partition)
	entries, err := r.platform.List(ctx, prefix)
	if err != nil {
		return nil, err
	}
	ids := make([]string, 0, len(entries))
	for _, entry := range entries {
		ids = append(ids, strings.TrimPrefix(entry.Key, prefix))
	}
	return ids, nil
}

// RemoveOpenJob removes an ended job from the list of open jobs.
func (r *Repository) RemoveOpenJob(ctx context.Context, jobID string) {
	var value string
	if revision, err := r.read(ctx, openKey(jobID), &value); err == nil && revision > 0 {
		_ = r.platform.Delete(ctx, openKey(jobID), revision)
	}
}

// PartitionOf returns the partition of a job.
func PartitionOf(jobID string) int { return int(xxhash.Sum64String(jobID) % partitionCount) }

func openKey(jobID string) string {
	return fmt.Sprintf("%s%02d/%s", openPrefix, PartitionOf(jobID), jobID)
}

func rangeKey(jobID string, index int) string {
	return fmt.Sprintf("%s%s/%06d", rangePrefix, jobID, index)
}

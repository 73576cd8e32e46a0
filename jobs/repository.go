package jobs

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/bergamotgrade/bergamotgrade"
)

// Repository reads and writes jobs in the platform's store.
type Repository struct {
	kv         bergamotgrade.KeyValue
	headCache  *HeadCache
	valueBytes int
	cache      *lruCache
	// ownerResults reads results from the memory of the job's owner.
	ownerResults OwnerResults
}

// OwnerResults requests a job's stored results from its owner, starting at
// position from. If it returns fewer than are stored, the rest is read from the
// store.
type OwnerResults func(ctx context.Context, jobID string, head Head, from int) []Result

// NewRepository returns a repository for a store whose values hold at most
// valueBytes.
func NewRepository(kv bergamotgrade.KeyValue, headCache *HeadCache, valueBytes int, ownerResults OwnerResults) *Repository {
	return &Repository{kv: kv, headCache: headCache, valueBytes: int(usableValueFraction * float64(valueBytes)), cache: newLRUCache(maxCacheBytes), ownerResults: ownerResults}
}

// Create stores the head and the body of a new job in one commit. If the job
// already exists, created is false and stored is the existing head. A body that does
// not fit one commit gets a KindRequestTooLarge error.
func (r *Repository) Create(ctx context.Context, jobID string, head Head, items []Item) (stored Head, created bool, err error) {
	parts, err := splitBody(items, r.valueBytes)
	if err != nil {
		return Head{}, false, err
	}
	if len(parts) > maxBodyParts {
		return Head{}, false, bergamotgrade.NewError(bergamotgrade.KindRequestTooLarge, "the batch job is too large to be stored", "send it in several jobs").WithNotRun()
	}
	head.BodyParts = len(parts)
	commit, err := headCommit(jobID, 0, head)
	if err != nil {
		return Head{}, false, err
	}
	for i, part := range parts {
		commit.Writes = append(commit.Writes, bergamotgrade.KeyWrite{Key: bodyKey(jobID, i), Value: part})
	}
	stored, created, err = r.commitHead(ctx, jobID, head, commit)
	if err == nil && created {
		r.cache.put(bodyPrefix(jobID), items, totalBytes(parts))
	}
	return stored, created, err
}

// headCommit returns a commit that writes the head if its entry has the expected
// revision; zero expects that there is no entry.
func headCommit(jobID string, revision int64, head Head) (bergamotgrade.KeyCommit, error) {
	value, err := msgpack.Marshal(head)
	return bergamotgrade.KeyCommit{
		Expected: map[string]int64{headKey(jobID): revision},
		Writes:   []bergamotgrade.KeyWrite{{Key: headKey(jobID), Value: value}},
	}, err
}

// commitHead executes a commit that writes the head. If the commit's conditions do
// not hold, applied is false and current is the stored head; its revision is zero
// if the job does not exist.
func (r *Repository) commitHead(ctx context.Context, jobID string, head Head, commit bergamotgrade.KeyCommit) (current Head, applied bool, err error) {
	result, err := r.kv.Commit(ctx, commit)
	if err != nil {
		return Head{}, false, err
	}
	if result.Applied() {
		head.Revision = result.Revision
		r.headCache.Put(jobID, head)
		return head, true, nil
	}
	entry := result.Current[headKey(jobID)]
	if entry.Revision == 0 {
		return Head{}, false, nil
	}
	current, err = decodeHead(entry)
	if err == nil {
		r.headCache.Put(jobID, current)
	}
	return current, false, err
}

// ReplaceHead writes the head if the stored head still has the revision
// head.Revision. Otherwise applied is false and current is the stored head; its
// revision is zero if the job does not exist.
func (r *Repository) ReplaceHead(ctx context.Context, jobID string, head Head) (current Head, applied bool, err error) {
	commit, err := headCommit(jobID, head.Revision, head)
	if err != nil {
		return Head{}, false, err
	}
	return r.commitHead(ctx, jobID, head, commit)
}

// AppendResults stores the results at the job's next positions if the stored head
// still has the revision head.Revision. Otherwise it returns the same as ReplaceHead.
func (r *Repository) AppendResults(ctx context.Context, jobID string, head Head, results []Result) (current Head, applied bool, err error) {
	next := head
	next.Listed += len(results)
	commit, err := headCommit(jobID, head.Revision, next)
	if err != nil {
		return Head{}, false, err
	}
	for i, result := range results {
		value, err := msgpack.Marshal(result)
		if err != nil {
			return Head{}, false, err
		}
		key := resultKey(jobID, head.Listed+i)
		commit.Expected[key] = 0
		commit.Writes = append(commit.Writes, bergamotgrade.KeyWrite{Key: key, Value: value})
	}
	current, applied, err = r.commitHead(ctx, jobID, next, commit)
	if applied {
		for i, result := range results {
			r.cache.put(resultKey(jobID, head.Listed+i), result, len(result.Text))
		}
	}
	return current, applied, err
}

// Find returns the head of the job from the cache or else from the store; it
// returns false if the job does not exist.
func (r *Repository) Find(ctx context.Context, jobID string) (Head, bool, error) {
	if head, ok, _ := r.headCache.Head(jobID); ok {
		return head, true, nil
	}
	return r.Reload(ctx, jobID)
}

// Reload reads the head of the job from the store; it returns false if the job does
// not exist.
func (r *Repository) Reload(ctx context.Context, jobID string) (Head, bool, error) {
	entry, err := r.kv.Read(ctx, headKey(jobID), false)
	if err != nil || entry.Revision == 0 {
		return Head{}, false, err
	}
	head, err := decodeHead(entry)
	if err != nil {
		return Head{}, false, err
	}
	r.headCache.Put(jobID, head)
	return head, true, nil
}

// Items returns the items of the job.
func (r *Repository) Items(ctx context.Context, jobID string, head Head) ([]Item, error) {
	if items, ok := r.cache.get(bodyPrefix(jobID)); ok {
		return items.([]Item), nil
	}
	entries, _, err := r.kv.Range(ctx, bodyPrefix(jobID), true)
	if err == nil && len(entries) < head.BodyParts {
		// A stale read may predate the job.
		entries, _, err = r.kv.Range(ctx, bodyPrefix(jobID), false)
	}
	if err != nil {
		return nil, err
	}
	if len(entries) < head.BodyParts {
		return nil, bergamotgrade.NewError(bergamotgrade.KindInternal, "a part of the batch job's body is missing in the store", "report it with the job's id")
	}
	parts := make([][]byte, 0, len(entries))
	for _, entry := range entries {
		parts = append(parts, entry.Value)
	}
	items, err := joinBody(parts)
	if err != nil {
		return nil, err
	}
	r.cache.put(bodyPrefix(jobID), items, totalBytes(parts))
	return items, nil
}

func totalBytes(parts [][]byte) int {
	total := 0
	for _, part := range parts {
		total += len(part)
	}
	return total
}

// Results returns the stored results from position from on, as many as fit one
// answer. It tries the cache, the job's owner and the store, in this order.
func (r *Repository) Results(ctx context.Context, jobID string, head Head, from int) ([]Result, error) {
	found, complete := r.cachedResults(jobID, head, from)
	if complete {
		return found, nil
	}
	for i, result := range r.ownerResults(ctx, jobID, head, from+len(found)) {
		r.cache.put(resultKey(jobID, from+len(found)+i), result, len(result.Text))
	}
	if found, complete = r.cachedResults(jobID, head, from); complete {
		return found, nil
	}
	for _, stale := range []bool{true, false} {
		if stale && !r.staleReadSuffices(head) {
			continue
		}
		entries, _, err := r.kv.Range(ctx, resultPrefix(jobID), stale)
		if err != nil {
			return nil, err
		}
		for _, entry := range entries {
			var result Result
			if err := msgpack.Unmarshal(entry.Value, &result); err != nil {
				return nil, err
			}
			r.cache.put(entry.Key, result, len(result.Text))
		}
		if found, complete = r.cachedResults(jobID, head, from); complete {
			break
		}
	}
	return found, nil
}

// Cached returns the job's stored results from position from on, up to the first
// that is not cached on this VM.
func (r *Repository) Cached(jobID string, from int) []Result {
	head, ok, _ := r.headCache.Head(jobID)
	if !ok {
		return nil
	}
	found, _ := r.cachedResults(jobID, head, from)
	return found
}

// staleReadSuffices reports whether the job is complete and past its due time, so
// that a stale read is likely to return all its results.
func (r *Repository) staleReadSuffices(head Head) bool {
	return head.Listed == head.Items && time.Since(head.Due()) > 0
}

// cachedResults returns the cached results from position from on, as many as fit
// one answer. complete is false if it stopped at a stored result that is not cached.
func (r *Repository) cachedResults(jobID string, head Head, from int) (found []Result, complete bool) {
	size := 0
	for position := from; position < head.Listed; position++ {
		value, ok := r.cache.get(resultKey(jobID, position))
		if !ok {
			return found, false
		}
		result := value.(Result)
		if size += len(result.Text); len(found) > 0 && size > maxAnswerBytes {
			return found, true
		}
		found = append(found, result)
	}
	return found, true
}

// Remove deletes all entries of the job.
func (r *Repository) Remove(ctx context.Context, jobID string, head Head) error {
	var keys []string
	for part := range head.BodyParts {
		keys = append(keys, bodyKey(jobID, part))
	}
	for position := range head.Listed {
		keys = append(keys, resultKey(jobID, position))
	}
	for len(keys) > 0 {
		n := min(len(keys), maxCommitEntries)
		if _, err := r.kv.Commit(ctx, bergamotgrade.KeyCommit{Deletes: keys[:n]}); err != nil {
			return err
		}
		keys = keys[n:]
	}
	// The head is deleted last, so that an interrupted removal is retried.
	_, err := r.kv.Commit(ctx, bergamotgrade.KeyCommit{Deletes: []string{headKey(jobID)}})
	return err
}

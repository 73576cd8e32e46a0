package jobs

import (
	"cmp"
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/bergamotgrade/bergamotgrade"
)

// Repository reads and writes jobs in the platform's store.
type Repository struct {
	kv         bergamotgrade.KeyValue
	bodyStore  BodyStore
	headCache  *HeadCache
	valueBytes int
	cache      *lruCache
	// ownerResults reads results from the memory of the job's owner.
	ownerResults OwnerResults
}

// OwnerResults requests a job's stored results from its owner, starting at
// position from. If it returns fewer than are stored, the rest is read from the
// store.
type OwnerResults func(ctx context.Context, recordID string, head Head, from int) []Result

// BodyStore returns the store for calls that carry the body of the job; they pass only through VMs that
// may see it.
type BodyStore func(head Head) bergamotgrade.KeyValue

// NewRepository returns a repository for a store whose values hold at most
// valueBytes. Calls that carry the body of a job are made through bodyStore.
func NewRepository(kv bergamotgrade.KeyValue, bodyStore BodyStore, headCache *HeadCache, valueBytes int, ownerResults OwnerResults) *Repository {
	return &Repository{kv: kv, bodyStore: bodyStore, headCache: headCache, valueBytes: int(usableValueFraction * float64(valueBytes)), cache: newLRUCache(maxCacheBytes), ownerResults: ownerResults}
}

// Create stores the head and the body of a new job in one commit and returns its record id. If the
// team already has a job with the id, created is false and stored is the existing head. A body that
// does not fit one commit gets a KindRequestTooLarge error.
func (r *Repository) Create(ctx context.Context, jobID string, head Head, items []Item) (recordID string, stored Head, created bool, err error) {
	parts, err := splitBody(items, r.valueBytes)
	if err != nil {
		return "", Head{}, false, err
	}
	if len(parts) > maxBodyParts {
		return "", Head{}, false, bergamotgrade.NewError(bergamotgrade.KindRequestTooLarge, "the batch job is too large to be stored", "send it in several jobs").WithNotRun()
	}
	head.BodyParts, head.BodyBytes = len(parts), int64(totalBytes(parts))
	ids := recordIDs(head.Team, jobID)
	// others holds the revisions of the heads of other teams' jobs, by record id.
	others := make(map[string]int64, len(ids))
	for range maxCreateRounds {
		recordID := freeRecordID(ids, others)
		if recordID == "" {
			break
		}
		commit, err := headCommit(recordID, 0, head)
		if err != nil {
			return "", Head{}, false, err
		}
		for _, id := range ids {
			commit.Expected[headKey(id)] = others[id]
		}
		for i, part := range parts {
			commit.Writes = append(commit.Writes, bergamotgrade.KeyWrite{Key: bodyKey(recordID, i), Value: part})
		}
		result, err := r.bodyStore(head).Commit(ctx, commit)
		if err != nil {
			return "", Head{}, false, err
		}
		if result.Applied() {
			head.Revision = result.Revision
			r.headCache.Put(recordID, head)
			r.cache.put(head.cacheKey(bodyPrefix(recordID)), items, totalBytes(parts))
			return recordID, head, true, nil
		}
		for _, id := range ids {
			entry := result.Current[headKey(id)]
			others[id] = entry.Revision
			if existing, ok := teamHead(entry, head.Team); ok {
				r.headCache.Put(id, existing)
				return id, existing, false, nil
			}
		}
	}
	return "", Head{}, false, bergamotgrade.NewError(bergamotgrade.KindConflict, "another team's batch job has this id", "choose another id").WithNotRun()
}

// freeRecordID returns the first record id that a new job may get, or "".
func freeRecordID(ids []string, taken map[string]int64) string {
	for _, id := range ids {
		if taken[id] == 0 && mayCreate(id) {
			return id
		}
	}
	return ""
}

// teamHead decodes the entry of a head; ok is false if it is none of the team's.
func teamHead(entry bergamotgrade.Entry, team string) (head Head, ok bool) {
	if entry.Revision == 0 {
		return Head{}, false
	}
	head, err := decodeHead(entry)
	return head, err == nil && head.Team == team
}

// headCommit returns a commit that writes the head if its entry has the expected
// revision; zero expects that there is no entry.
func headCommit(recordID string, revision int64, head Head) (bergamotgrade.KeyCommit, error) {
	value, err := msgpack.Marshal(head)
	return bergamotgrade.KeyCommit{
		Expected: map[string]int64{headKey(recordID): revision},
		Writes:   []bergamotgrade.KeyWrite{{Key: headKey(recordID), Value: value}},
	}, err
}

// commitHead executes a commit that writes the head. If the commit's conditions do
// not hold, applied is false and current is the stored head; its revision is zero
// if the job does not exist.
func (r *Repository) commitHead(ctx context.Context, recordID string, head Head, commit bergamotgrade.KeyCommit) (current Head, applied bool, err error) {
	result, err := r.kv.Commit(ctx, commit)
	if err != nil {
		return Head{}, false, err
	}
	if result.Applied() {
		head.Revision = result.Revision
		r.headCache.Put(recordID, head)
		return head, true, nil
	}
	entry := result.Current[headKey(recordID)]
	if entry.Revision == 0 {
		return Head{}, false, nil
	}
	current, err = decodeHead(entry)
	if err == nil {
		r.headCache.Put(recordID, current)
	}
	return current, false, err
}

// ReplaceHead writes the head if the stored head still has the revision
// head.Revision. Otherwise applied is false and current is the stored head; its
// revision is zero if the job does not exist.
func (r *Repository) ReplaceHead(ctx context.Context, recordID string, head Head) (current Head, applied bool, err error) {
	commit, err := headCommit(recordID, head.Revision, head)
	if err != nil {
		return Head{}, false, err
	}
	return r.commitHead(ctx, recordID, head, commit)
}

// AppendResults stores the results at the job's next positions if the stored head
// still has the revision head.Revision. Otherwise it returns the same as ReplaceHead.
func (r *Repository) AppendResults(ctx context.Context, recordID string, head Head, results []Result) (current Head, applied bool, err error) {
	next := head
	next.Listed += len(results)
	commit, err := headCommit(recordID, head.Revision, next)
	if err != nil {
		return Head{}, false, err
	}
	for i, result := range results {
		value, err := msgpack.Marshal(result)
		if err != nil {
			return Head{}, false, err
		}
		key := resultKey(recordID, head.Listed+i)
		commit.Expected[key] = 0
		commit.Writes = append(commit.Writes, bergamotgrade.KeyWrite{Key: key, Value: value})
	}
	current, applied, err = r.commitHead(ctx, recordID, next, commit)
	if applied {
		for i, result := range results {
			r.cache.put(head.cacheKey(resultKey(recordID, head.Listed+i)), result, len(result.Text))
		}
	}
	return current, applied, err
}

// Cached returns the record id and the cached head of the team's job; it returns false if none is
// cached.
func (r *Repository) Cached(team, jobID string) (recordID string, head Head, ok bool) {
	for _, id := range recordIDs(team, jobID) {
		if head, ok, _ := r.headCache.Head(id); ok && head.Team == team {
			return id, head, true
		}
	}
	return "", Head{}, false
}

// Find returns the record id and the head of the team's job from the cache or else from the store;
// it returns false if the job does not exist.
func (r *Repository) Find(ctx context.Context, team, jobID string) (recordID string, head Head, ok bool, err error) {
	if recordID, head, ok = r.Cached(team, jobID); ok {
		return recordID, head, true, nil
	}
	return r.FindStored(ctx, team, jobID)
}

// FindStored is like Find, but always reads the store.
func (r *Repository) FindStored(ctx context.Context, team, jobID string) (recordID string, head Head, ok bool, err error) {
	for _, id := range recordIDs(team, jobID) {
		head, ok, err := r.Reload(ctx, id)
		if err != nil {
			return "", Head{}, false, err
		}
		if ok && head.Team == team {
			return id, head, true, nil
		}
	}
	return "", Head{}, false, nil
}

// Reload reads the head from the store; it returns false if the job does not exist.
func (r *Repository) Reload(ctx context.Context, recordID string) (Head, bool, error) {
	entry, err := r.kv.Read(ctx, headKey(recordID), false)
	if err != nil || entry.Revision == 0 {
		return Head{}, false, err
	}
	head, err := decodeHead(entry)
	if err != nil {
		return Head{}, false, err
	}
	r.headCache.Put(recordID, head)
	return head, true, nil
}

// Items returns the items of the job.
func (r *Repository) Items(ctx context.Context, recordID string, head Head) ([]Item, error) {
	if items, ok := r.cache.get(head.cacheKey(bodyPrefix(recordID))); ok {
		return items.([]Item), nil
	}
	parts, err := r.bodyParts(ctx, recordID, head, true)
	if err == nil && len(parts) < head.BodyParts {
		// A stale read may predate the job.
		parts, err = r.bodyParts(ctx, recordID, head, false)
	}
	if err != nil {
		return nil, err
	}
	if len(parts) < head.BodyParts {
		return nil, bergamotgrade.NewError(bergamotgrade.KindInternal, "a part of the batch job's body is missing in the store", "report it with the job's id")
	}
	items, err := joinBody(parts)
	if err != nil {
		return nil, err
	}
	r.cache.put(head.cacheKey(bodyPrefix(recordID)), items, totalBytes(parts))
	return items, nil
}

// bodyParts reads the parts of the job's body. Below the prefix there may be parts of other jobs,
// whose ids go on with a slash.
func (r *Repository) bodyParts(ctx context.Context, recordID string, head Head, stale bool) ([][]byte, error) {
	entries, _, err := r.bodyStore(head).Range(ctx, bodyPrefix(recordID), stale)
	if err != nil {
		return nil, err
	}
	values := make(map[string][]byte, len(entries))
	for _, entry := range entries {
		values[entry.Key] = entry.Value
	}
	var parts [][]byte
	for part := range head.BodyParts {
		if value, ok := values[bodyKey(recordID, part)]; ok {
			parts = append(parts, value)
		}
	}
	return parts, nil
}

// bodyBytes returns the size of the job's body, or the most that it can be.
func (r *Repository) bodyBytes(head Head) int64 {
	return cmp.Or(head.BodyBytes, int64(head.BodyParts)*int64(r.valueBytes))
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
func (r *Repository) Results(ctx context.Context, recordID string, head Head, from int) ([]Result, error) {
	found, complete := r.cachedResults(recordID, head, from)
	if complete {
		return found, nil
	}
	for i, result := range r.ownerResults(ctx, recordID, head, from+len(found)) {
		r.cache.put(head.cacheKey(resultKey(recordID, from+len(found)+i)), result, len(result.Text))
	}
	if found, complete = r.cachedResults(recordID, head, from); complete {
		return found, nil
	}
	for _, stale := range []bool{true, false} {
		if stale && !r.staleReadSuffices(head) {
			continue
		}
		entries, _, err := r.kv.Range(ctx, resultPrefix(recordID), stale)
		if err != nil {
			return nil, err
		}
		for _, entry := range entries {
			if len(entry.Key) != len(resultKey(recordID, 0)) {
				continue // of a job whose id goes on with a slash
			}
			var result Result
			if err := unmarshal(entry.Value, &result); err != nil {
				return nil, err
			}
			r.cache.put(head.cacheKey(entry.Key), result, len(result.Text))
		}
		if found, complete = r.cachedResults(recordID, head, from); complete {
			break
		}
	}
	return found, nil
}

// CachedResults returns the job's stored results from position from on, up to the first
// that is not cached on this VM.
func (r *Repository) CachedResults(recordID string, from int) []Result {
	head, ok, _ := r.headCache.Head(recordID)
	if !ok {
		return nil
	}
	found, _ := r.cachedResults(recordID, head, from)
	return found
}

// staleReadSuffices reports whether the job is complete and past its due time, so
// that a stale read is likely to return all its results.
func (r *Repository) staleReadSuffices(head Head) bool {
	return head.Listed == head.Items && time.Since(head.Due()) > 0
}

// cachedResults returns the cached results from position from on, as many as fit
// one answer. complete is false if it stopped at a stored result that is not cached.
func (r *Repository) cachedResults(recordID string, head Head, from int) (found []Result, complete bool) {
	size := 0
	for position := from; position < head.Listed; position++ {
		value, ok := r.cache.get(head.cacheKey(resultKey(recordID, position)))
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
func (r *Repository) Remove(ctx context.Context, recordID string, head Head) error {
	var keys []string
	for part := range head.BodyParts {
		keys = append(keys, bodyKey(recordID, part))
	}
	for position := range head.Listed {
		keys = append(keys, resultKey(recordID, position))
	}
	for len(keys) > 0 {
		n := min(len(keys), maxCommitEntries)
		if _, err := r.kv.Commit(ctx, bergamotgrade.KeyCommit{Deletes: keys[:n]}); err != nil {
			return err
		}
		keys = keys[n:]
	}
	// The head is deleted last, so that an interrupted removal is retried.
	_, err := r.kv.Commit(ctx, bergamotgrade.KeyCommit{Deletes: []string{headKey(recordID)}})
	return err
}

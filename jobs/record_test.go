package jobs

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/bergamotgrade/bergamotgrade"
)

// oddIDs holds ids that may be taken for parts of keys, or for each other.
var oddIDs = []string{
	"run7/0", "run7", "run7/0/0", "run7/0000", "run7/0000/0000", "run7/", "run7//0", "run7/000000", "/", "//", ".", "..", "../run7", "RUN7", "run7 ", " run7",
	"~run7", "run7~", "%72un7", "run7%2F0", "rün7", "run7\x00", "job/head/run7", strings.Repeat("r", 100), strings.Repeat("r", 101), strings.Repeat("r", 5000), strings.Repeat("r/", 2500), "*", "?", "a:b", "1:a",
}

// TestJobsOfAllIDsAreApart guards against a job that replaces or shows another job's items because
// of how their ids begin or end; also with the same id in two teams, and submitted again.
func TestJobsOfAllIDsAreApart(t *testing.T) {
	f := newFleet()
	f.config.Route("h", "/b/").MaxWaitingTokens = 0
	vm := f.start(t, "vm1")
	item := func(team, id string) string { return fmt.Sprintf("%s of %.120q", team, id) }
	for range 2 { // every job is submitted again
		for _, team := range []string{"team", "other"} {
			for _, id := range oddIDs {
				qt.Assert(t, vm.submitFor(team, id, item(team, id)), qt.IsNil, qt.Commentf("%.100q", id))
			}
		}
	}
	// A VM that knows nothing but the store.
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	fresh := NewHeadCache(log)
	reader := NewService(bergamotgrade.SystemClock{}, "vm1", NewRepository(f.store, anyVM(f.store), fresh, 1<<20, noOwnerResults), fresh, nil, never, log)
	ctx := context.Background()
	for _, team := range []string{"team", "other"} {
		for _, id := range oddIDs {
			want := item(team, id)
			var found []Result
			for deadline := time.Now().Add(10 * time.Second); len(found) == 0; time.Sleep(20 * time.Millisecond) {
				qt.Assert(t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("no result of %.100q", id))
				var total int
				var err error
				total, found, err = reader.Results(ctx, team, id, 0, time.Now())
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, total, qt.Equals, 1)
			}
			qt.Assert(t, found, qt.HasLen, 1)
			qt.Assert(t, found[0].ItemID, qt.Equals, want)
			body, err := reader.ItemBody(ctx, team, id, want)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, string(body), qt.Equals, "body of "+want)
			_, _, err = reader.Results(ctx, "stranger", id, 0, time.Now())
			qt.Assert(t, bergamotgrade.IsKind(err, bergamotgrade.KindRouteUnknown), qt.IsTrue)
		}
	}
	heads, _, err := f.store.Range(ctx, HeadPrefix, false)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, heads, qt.HasLen, 2*len(oddIDs))
	entries, _, err := f.store.Range(ctx, "job/", false)
	qt.Assert(t, err, qt.IsNil)
	for _, entry := range entries {
		qt.Assert(t, len(entry.Key) <= maxKeyBytes, qt.IsTrue, qt.Commentf(entry.Key))
	}
	// The end of one job leaves all others as they are.
	qt.Assert(t, reader.End(ctx, "team", "run7"), qt.IsNil)
	for _, id := range oddIDs {
		_, head, ok, err := vm.repository.FindStored(ctx, "team", id)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, head.Ended, qt.Equals, id == "run7", qt.Commentf("%.100q", id))
	}
}

// TestRecordsOfEarlierVersionsStayReadable guards against jobs that are lost, or accepted a second
// time, by an upgrade: earlier versions had the job id itself in all keys.
func TestRecordsOfEarlierVersionsStayReadable(t *testing.T) {
	f := newFleet()
	ctx := context.Background()
	ids := []string{"run7/0", "run7", "run7/0000", "a b", "ünï", "plain"}
	for _, id := range ids {
		head, err := msgpack.Marshal(Head{Team: "team", Host: "h", Path: "/b/" + id, Items: 1, Listed: 1, BodyParts: 1, KeepUntil: time.Now().Add(time.Minute).UnixMilli()})
		qt.Assert(t, err, qt.IsNil)
		body, err := msgpack.Marshal([]Item{{ItemID: "item of " + id, Body: []byte("body of " + id)}})
		qt.Assert(t, err, qt.IsNil)
		result, err := msgpack.Marshal(Result{ItemID: "item of " + id, Text: "text of " + id})
		qt.Assert(t, err, qt.IsNil)
		_, err = f.store.Commit(ctx, bergamotgrade.KeyCommit{Writes: []bergamotgrade.KeyWrite{
			{Key: "job/head/" + id, Value: head}, {Key: "job/body/" + id + "/0000", Value: body}, {Key: "job/result/" + id + "/000000", Value: result},
		}})
		qt.Assert(t, err, qt.IsNil)
	}
	vm := f.start(t, "vm1")
	for _, id := range ids {
		_, found, err := vm.service.Results(ctx, "team", id, 0, time.Now())
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, found, qt.DeepEquals, []Result{{ItemID: "item of " + id, Text: "text of " + id}})
		body, err := vm.service.ItemBody(ctx, "team", id, "item of "+id)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(body), qt.Equals, "body of "+id)
		qt.Assert(t, vm.submit(id, "another item"), qt.IsNil) // the job exists
	}
	heads, _, err := f.store.Range(ctx, HeadPrefix, false)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, heads, qt.HasLen, len(ids))
}

// TestJobAfterARemovedOne guards against items and results of a job that was removed, which a VM shows
// for a later job with the same id.
func TestJobAfterARemovedOne(t *testing.T) {
	f := newFleet()
	ctx := context.Background()
	headCache := NewHeadCache(slog.New(slog.NewTextHandler(io.Discard, nil)))
	repository := NewRepository(f.store, anyVM(f.store), headCache, 1<<20, noOwnerResults)
	for submittedAt := range int64(3) {
		item := fmt.Sprint("item", submittedAt)
		recordID, head, created, err := repository.Create(ctx, "j", Head{Team: "team", Items: 1, SubmittedAt: submittedAt}, []Item{{ItemID: item}})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, created, qt.IsTrue)
		items, err := repository.Items(ctx, recordID, head)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, items[0].ItemID, qt.Equals, item)
		head, applied, err := repository.AppendResults(ctx, recordID, head, []Result{{ItemID: item, Text: item}})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, applied, qt.IsTrue)
		found, err := repository.Results(ctx, recordID, head, 0)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, found, qt.DeepEquals, []Result{{ItemID: item, Text: item}})
		qt.Assert(t, repository.Remove(ctx, recordID, head), qt.IsNil)
	}
}

// FuzzRecordIDs checks that two jobs never share a record id that both may be created under.
func FuzzRecordIDs(f *testing.F) {
	f.Add("team", "run7", "team", "run7/0")
	f.Add("team", "run7", "other", "run7")
	f.Add("t", "eamrun7", "team", "run7")
	f.Fuzz(func(t *testing.T, teamA, idA, teamB, idB string) {
		for _, a := range recordIDs(teamA, idA) {
			qt.Assert(t, len(resultKey(a, 999999)) <= maxKeyBytes, qt.IsTrue)
			if !mayCreate(a) || plainIDPattern.MatchString(a) {
				continue // an id as it is; the head names the team
			}
			for _, b := range recordIDs(teamB, idB) {
				isSame := teamA == teamB && idA == idB
				qt.Assert(t, a == b && !isSame && b != idB, qt.IsFalse)
			}
		}
	})
}

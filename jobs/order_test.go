package jobs

import (
	"bufio"
	"fmt"
	"os"
	"sort"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// replayJob is a recorded job: its arrival time, its due time, the run time of each
// item and the number of items.
type replayJob struct {
	at, due, run time.Duration
	items        int
}

// replayItem is a waiting item in a replay.
type replayItem struct {
	job   replayJob
	index int
}

// readReplay reads jobs from a file in testdata. Each line holds the arrival time, the
// due time, the number of items and the run time of each item; # starts a comment.
func readReplay(t *testing.T, name string) []replayJob {
	file, err := os.Open("testdata/" + name)
	qt.Assert(t, err, qt.IsNil)
	defer file.Close()
	var jobs []replayJob
	for lines := bufio.NewScanner(file); lines.Scan(); {
		line, _, _ := strings.Cut(lines.Text(), "#")
		var at, due, run string
		var job replayJob
		if n, _ := fmt.Sscan(line, &at, &due, &job.items, &run); n < 4 {
			continue
		}
		job.at, _ = time.ParseDuration(at)
		job.due, _ = time.ParseDuration(due)
		job.run, _ = time.ParseDuration(run)
		jobs = append(jobs, job)
	}
	return jobs
}

// replay simulates the jobs on the given number of slots and returns how many items
// finished by their due time.
func replay(jobs []replayJob, slots int, before func(now time.Duration, a, b *replayItem) bool) (onTime int) {
	const step = 50 * time.Millisecond
	var waiting []*replayItem
	var running []time.Duration
	next := 0
	for now := time.Duration(0); next < len(jobs) || len(waiting) > 0; now += step {
		for ; next < len(jobs) && jobs[next].at <= now; next++ {
			for range jobs[next].items {
				waiting = append(waiting, &replayItem{job: jobs[next], index: len(waiting)})
			}
		}
		kept := running[:0]
		for _, end := range running {
			if end > now {
				kept = append(kept, end)
			}
		}
		running = kept
		sort.SliceStable(waiting, func(i, j int) bool { return before(now, waiting[i], waiting[j]) })
		for len(running) < slots && len(waiting) > 0 {
			item := waiting[0]
			waiting = waiting[1:]
			running = append(running, now+item.job.run)
			if now+item.job.run <= item.job.due {
				onTime++
			}
		}
	}
	return onTime
}

// TestOrderAfterOutage replays the jobs around a power failure of all VMs and checks
// that urgency finishes more items on time than first come first served and than
// earliest due first, which finishes most items just after their due time when more
// are due than there are slots.
func TestOrderAfterOutage(t *testing.T) {
	jobs := readReplay(t, "outage.replay")
	zero := time.Unix(0, 0)
	fcfs := replay(jobs, 30, func(_ time.Duration, a, b *replayItem) bool { return a.job.at < b.job.at })
	edf := replay(jobs, 30, func(_ time.Duration, a, b *replayItem) bool { return a.job.due < b.job.due })
	byUrgency := replay(jobs, 30, func(now time.Duration, a, b *replayItem) bool {
		at := zero.Add(now)
		return urgencyOf(at, zero.Add(a.job.due), a.job.run, a.index).before(urgencyOf(at, zero.Add(b.job.due), b.job.run, b.index))
	})
	t.Logf("items on time: first come first served %d, earliest due first %d, by urgency %d", fcfs, edf, byUrgency)
	qt.Assert(t, byUrgency > fcfs, qt.IsTrue)
	qt.Assert(t, byUrgency > edf, qt.IsTrue)
}

package term

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// storedBitmapCase is a job whose completions an earlier version has written, in entries
// that may be larger than the upcoming limit.
type storedBitmapCase struct {
	name       string
	tasks      int
	entries    int  // by which its completions are kept in the end
	firstStays bool // the first of them is the one that was there
}

var storedBitmapCases = []storedBitmapCase{
	{
		name:       "a usual job",
		tasks:      300,
		entries:    1,
		firstStays: true,
	},
	{
		name:       "one that fills the entry",
		tasks:      10000,
		entries:    1,
		firstStays: true,
	},
	{
		name:    "two parts",
		tasks:   16384,
		entries: 2,
	},
	{
		name:    "the largest",
		tasks:   wire.MaxTasksPerJob,
		entries: 13,
	},
}

// Completion bitmaps of jobs with more tasks than one entry may hold under the limits to
// come: what an earlier version left is read, made smaller when it is rewritten, and never
// lost; small jobs' entries are what they always were.
func TestCompletionBitmapsUnderLowerLimits(t *testing.T) {
	for _, c := range storedBitmapCases {
		t.Run(c.name, c.run)
	}
}

func (c storedBitmapCase) run(t *testing.T) {
	const rounds = 8
	id := fmt.Sprintf("job-%d", c.tasks)
	s := newBitmapStore(t, upcomingKB*1024)
	s.revision = 100
	completed := s.storeEarlierVersion(id, c.tasks)
	for round := range 2 { // and what was written is read again
		loaded := s.newTerm(id, c.tasks)
		loaded.writePages(rounds)
		c.checkCompletions(t, loaded, completed, round)
	}
	entries := s.storedEntries()
	if len(entries) != c.entries || c.firstStays != slices.Contains(entries, id+"/0") {
		t.Errorf("kept as %d entries: %v", len(entries), entries)
	}
	last := s.newTerm(id, c.tasks)
	last.writePages(rounds)
	last.bitmaps.forget(id)
	last.bitmaps.pages.Tick(s.now)
	s.now = s.now.Add(tuning.PageRemovalInterval)
	last.bitmaps.pages.Tick(s.now)
	if len(s.keys) != 0 {
		t.Errorf("%d pages are left of a job that is over", len(s.keys))
	}
	for value := range s.refused {
		t.Errorf("%.30s is written with more than %v KB", value, upcomingKB)
	}
}

// storeEarlierVersion stores the bitmaps of a job as the version in production writes
// them, with every seventh task completed, and returns which tasks are.
func (s *bitmapStore) storeEarlierVersion(id string, tasks int) map[int]bool {
	const nth = 7
	const chunk = int(presentKB*1024) * tuning.CompletionBitsPerByte
	completed := map[int]bool{}
	for first := 0; first < tasks; first += chunk {
		bits := make([]byte, (min(chunk, tasks-first)+7)/8)
		for n := first; n < min(first+chunk, tasks); n += nth {
			bits[(n-first)/8] |= 1 << ((n - first) % 8)
			completed[n] = true
		}
		raw, err := json.Marshal(map[string][]byte{fmt.Sprintf("%s/%d", id, first/chunk): bits})
		if err != nil {
			s.t.Fatal(err)
		}
		key := fmt.Sprintf("t/0/%d", len(s.keys))
		s.keys[key] = wire.KeyValue{Key: key, Value: raw, Version: uint64(len(s.keys) + 1)}
	}
	return completed
}

// checkCompletions checks that a term knows exactly the completions that were stored, and
// that all of them are durable.
func (c storedBitmapCase) checkCompletions(t *testing.T, loaded *bitmapTerm, completed map[int]bool, round int) {
	t.Helper()
	unsaved, bits := loaded.job.UnsavedCompletions(0, c.tasks)
	found := 0
	for n := range c.tasks {
		if bits[n/8]&(1<<(n%8)) == 0 {
			continue
		}
		found++
		if !completed[n] {
			t.Fatalf("round %d: task %d was not completed", round, n)
		}
	}
	if found != len(completed) || len(unsaved) != 0 {
		t.Fatalf("round %d: %d completions of %d, %d not durable", round, found, len(completed), len(unsaved))
	}
}

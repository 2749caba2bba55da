package term

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// storedBitmapCase is a job whose completions an earlier version wrote, in entries that may exceed the
// lowered value size limit.
type storedBitmapCase struct {
	name       string
	tasks      int
	entries    int  // number of stored entries after the rewrite
	keepsFirst bool // the entry of the earlier version remains
}

var storedBitmapCases = []storedBitmapCase{
	{
		name:       "small job: entry kept",
		tasks:      300,
		entries:    1,
		keepsFirst: true,
	},
	{
		name:       "largest job that fits one entry: entry kept",
		tasks:      10000,
		entries:    1,
		keepsFirst: true,
	},
	{
		name:    "larger job: split in two",
		tasks:   16384,
		entries: 2,
	},
	{
		name:    "largest allowed job: split in 13",
		tasks:   wire.MaxTasksPerJob,
		entries: 13,
	},
}

// Guards against losing completions of an earlier version when the value size limit falls, and against
// rewriting entries that still fit.
func TestStoredBitmapsUnderLoweredLimit(t *testing.T) {
	for _, c := range storedBitmapCases {
		t.Run(c.name, c.run)
	}
}

func (c storedBitmapCase) run(t *testing.T) {
	const rounds = 8
	id := fmt.Sprintf("job-%d", c.tasks)
	s := newBitmapStore(t, loweredLimitKB*1024)
	s.revision = 100
	completed := s.storeEarlierVersion(id, c.tasks)
	for round := range 2 { // the second round reads what the first one wrote
		loaded := s.newTerm(id, c.tasks)
		loaded.writePages(rounds)
		c.checkCompletions(t, loaded, completed, round)
	}
	entries := s.storedEntries()
	if len(entries) != c.entries || c.keepsFirst != slices.Contains(entries, id+"/0") {
		t.Errorf("stored as %d entries: %v", len(entries), entries)
	}
	last := s.newTerm(id, c.tasks)
	last.writePages(rounds)
	last.bitmaps.deleteJob(id)
	last.bitmaps.pages.Tick(s.now)
	s.now = s.now.Add(tuning.PageRemovalInterval)
	last.bitmaps.pages.Tick(s.now)
	if len(s.keys) != 0 {
		t.Errorf("%d pages are left of a deleted job", len(s.keys))
	}
	for value := range s.rejected {
		t.Errorf("%.30s exceeds the limit of %v KB", value, loweredLimitKB)
	}
}

// storeEarlierVersion stores the bitmaps of a job in the format of earlier versions, with every seventh
// task completed. It returns the completed tasks.
func (s *bitmapStore) storeEarlierVersion(id string, tasks int) map[int]bool {
	const nth = 7
	const chunk = int(currentLimitKB*1024) * tuning.CompletionBitsPerByte
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

// checkCompletions checks that a term has loaded exactly the stored completions, and that all of them are
// durable.
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

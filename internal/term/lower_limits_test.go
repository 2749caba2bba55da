package term

import (
	"encoding/json"
	"fmt"
	"io"
	"juniperchute/internal/placement"
	"juniperchute/internal/quota"
	"juniperchute/internal/standin"
	"juniperchute/internal/store"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
	"log/slog"
	"testing"
	"time"
)

// Tallies of jobs with more tasks than one entry may tell of under the limits to come:
// what an earlier version left is read, made smaller when it is rewritten, and never
// lost; small jobs' entries are what they always were.
func TestTalliesUnderLowerLimits(t *testing.T) {
	const presentKB, limitKB = 8.0, 2.0
	now := time.Unix(0, 0)
	quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
	platform := standin.DeploymentConfig([]string{"a"}, nil, 1.5, 10)
	reg := worker.NewRegistry(platform.Workers, quiet)
	board := placement.NewScheduler(placement.Options{
		Platform: platform, Token: 1, Ledger: quota.NewLedger(nil, 1), Registry: reg, Log: quiet,
		OnTaskCompleted: func(time.Time, *placement.Job) {},
	})
	add := func(id string, tasks int) *placement.Job {
		return board.AddJob(now, wire.JobSpec{ID: id, Shape: wire.ShapeBatch, Tasks: tasks}, now, 1, true)
	}
	for _, c := range []struct {
		name  string
		tasks int
		keys  int  // by which its completions are kept in the end
		old   bool // the first of them is the one that was there
	}{
		{"a usual job", 300, 1, true},
		{"one that fills the entry", 10000, 1, true},
		{"two parts", 16384, 2, false},
		{"the largest", wire.MaxTasksPerJob, 13, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			id := "job-" + fmt.Sprint(c.tasks)
			want := map[int]bool{}
			chunk := int(presentKB*1024) * tuning.CompletionBitsPerByte
			old := map[string][]byte{} // as the version in production writes them
			for first := 0; first < c.tasks; first += chunk {
				bits := make([]byte, (min(chunk, c.tasks-first)+7)/8)
				for n := first; n < min(first+chunk, c.tasks); n += 7 {
					bits[(n-first)/8] |= 1 << ((n - first) % 8)
					want[n] = true
				}
				old[fmt.Sprintf("%s/%d", id, first/chunk)] = bits
			}
			var items []wire.KeyValue
			for k, bits := range old {
				raw, _ := json.Marshal(map[string][]byte{k: bits})
				items = append(items, wire.KeyValue{Key: fmt.Sprintf("t/0/%d", len(items)), Value: raw, Version: uint64(len(items) + 1)})
			}
			kv := map[string]wire.KeyValue{}
			for _, it := range items {
				kv[it.Key] = it
			}
			revision := uint64(100)
			call := func(c store.Call, then func(time.Time, store.Result)) {
				revision++
				for _, w := range c.Transaction.Writes {
					if len(w.Value) > limitKB*1024 {
						t.Errorf("%s is written with %d bytes", w.Put, len(w.Value))
					}
					delete(kv, w.Delete)
					if w.Put != "" {
						kv[w.Put] = wire.KeyValue{Key: w.Put, Value: w.Value, Version: revision}
					}
				}
				then(now, store.Result{Revision: revision})
			}
			tenure := func() (*completionBitmaps, *placement.Job) {
				board.CloseJob(now, id, now)
				j := add(id, c.tasks)
				tl := newCompletionBitmaps(store.NewPages(store.PagesOptions{
					Prefix:        "t/0/",
					ValueKB:       limitKB,
					WriteInterval: time.Second,
					Priority:      store.PriorityCompletion,
					TermCompare:   store.VersionEquals("c/b/0", 1),
					StateCall:     call,
					Log:           quiet,
					OnTermLost:    func(time.Time) { t.Error("lost") },
				}), presentKB)
				var all []wire.KeyValue
				for _, it := range kv {
					all = append(all, it)
				}
				tl.load(all, board.OpenJob)
				for range 8 {
					now = now.Add(2 * time.Second)
					tl.pages.Tick(now)
				}
				return tl, j
			}
			for round := range 2 { // and what was written is read again
				_, j := tenure()
				fresh, bits := j.UnsavedCompletions(0, c.tasks)
				got := 0
				for n := range c.tasks {
					if bits[n/8]&(1<<(n%8)) != 0 {
						got++
						if !want[n] {
							t.Fatalf("round %d: task %d was not completed", round, n)
						}
					}
				}
				if got != len(want) || len(fresh) != 0 {
					t.Fatalf("round %d: %d completions of %d, %d not durable", round, got, len(want), len(fresh))
				}
			}
			keys := map[string]bool{}
			for _, it := range kv {
				entries := map[string]json.RawMessage{}
				_ = json.Unmarshal(it.Value, &entries)
				for k := range entries {
					keys[k] = true
				}
			}
			if len(keys) != c.keys || c.old != keys[id+"/0"] {
				t.Errorf("kept as %d entries: %v", len(keys), keys)
			}
			tl, _ := tenure()
			tl.forget(id)
			tl.pages.Tick(now)
			now = now.Add(tuning.PageRemovalInterval)
			tl.pages.Tick(now)
			if len(kv) != 0 {
				t.Errorf("%d pages are left of a job that is over", len(kv))
			}
		})
	}
}

package term

import (
	"encoding/json"
	"io"
	"log/slog"
	"maps"
	"slices"
	"testing"
	"time"

	"juniperchute/internal/placement"
	"juniperchute/internal/quota"
	"juniperchute/internal/standin"
	"juniperchute/internal/store"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// tallyStore keeps the pages of tallies and refuses values above a limit.
type tallyStore struct {
	t        *testing.T
	now      time.Time
	limit    int
	keys     map[string]wire.KeyValue
	revision uint64
	refused  map[string]int
}

func (s *tallyStore) call(c store.Call, then func(time.Time, store.Result)) {
	for _, w := range c.Transaction.Writes {
		if len(w.Value) > s.limit {
			s.refused[w.Put+string(w.Value)]++
			then(s.now, store.Result{Err: store.ErrInvalid})
			return
		}
	}
	s.revision++
	for _, w := range c.Transaction.Writes {
		delete(s.keys, w.Delete)
		if w.Put != "" {
			s.keys[w.Put] = wire.KeyValue{Key: w.Put, Value: w.Value, Version: s.revision}
		}
	}
	then(s.now, store.Result{Revision: s.revision})
}

// entries are the stored entries' names.
func (s *tallyStore) entries() []string {
	all := map[string]bool{}
	for _, it := range s.keys {
		page := map[string]json.RawMessage{}
		if json.Unmarshal(it.Value, &page) != nil {
			s.t.Errorf("%s cannot be read", it.Key)
		}
		for k := range page {
			all[k] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}

// reportDone has a machine report that every nth task of a job has completed.
func reportDone(board *placement.Scheduler, j *placement.Job, nth int) {
	m := &worker.Machine{Identity: worker.Identity{Host: "i-1"}, Lifecycle: worker.Lifecycle{State: worker.Up},
		ImageCache: worker.ImageCache{Images: map[string]time.Time{}}}
	for n := 0; n < j.Spec.Tasks; n += nth {
		m.Tasks = append(m.Tasks, wire.TaskStatus{Name: wire.TaskName(j.Spec.ID, n), Attempt: 1, State: wire.TaskExited, ExitReason: wire.ExitDone})
	}
	board.ReconcileHeartbeat(time.Unix(0, 0), m, worker.HeartbeatCurrent, true)
}

// tallyBoard is a board with one job.
func tallyBoard(spec wire.JobSpec) (*placement.Scheduler, *placement.Job) {
	quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
	platform := standin.DeploymentConfig([]string{"a"}, nil, 1.5, 10)
	reg := worker.NewRegistry(platform.Workers, quiet)
	board := placement.NewScheduler(placement.Options{
		Platform: platform, Token: 1, Ledger: quota.NewLedger(nil, 1), Registry: reg, Log: quiet,
		OnTaskCompleted: func(time.Time, *placement.Job) {},
	})
	return board, board.AddJob(time.Unix(0, 0), spec, time.Unix(0, 0), 1, true)
}

// What the completions of jobs are written as where the limits to come are smaller than
// the present ones: as earlier versions read them wherever that fits, so that a rollback
// repeats no work; and in smaller entries where the service refuses even those.
func TestTalliesWritten(t *testing.T) {
	for _, c := range []struct {
		name    string
		tasks   int
		limit   int // of the service, bytes
		entries []string
	}{
		{"a usual job", 300, 2048, []string{"job-1/0"}},
		{"the largest that fits an entry", 10056, 2048, []string{"job-1/0"}},
		{"a larger one", 12000, 2048, []string{"job-1/@0", "job-1/@10056"}},
		{"an earlier version's second chunk fits", 16384 + 100, 2048, []string{"job-1/1", "job-1/@0", "job-1/@10056"}},
		{"a limit that nobody announced", 10056, 1024, []string{"job-1/@0", "job-1/@4680", "job-1/@9360"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			spec := wire.JobSpec{ID: "job-1", Shape: wire.ShapeBatch, Tasks: c.tasks}
			s := &tallyStore{t: t, now: time.Unix(100, 0), limit: c.limit, keys: map[string]wire.KeyValue{}, refused: map[string]int{}}
			newTenure := func() (*completionBitmaps, *placement.Scheduler, *placement.Job) {
				board, j := tallyBoard(spec)
				pages := store.NewPages(store.PagesOptions{
					Prefix:        "t/0/",
					ValueKB:       2,
					WriteInterval: time.Second,
					Priority:      store.PriorityCompletion,
					TermCompare:   store.VersionEquals("c/b/0", 1),
					StateCall:     s.call,
					Log:           slog.New(slog.NewTextHandler(io.Discard, nil)),
					OnTermLost:    func(time.Time) { t.Error("lost") },
				})
				tl := newCompletionBitmaps(pages, 8)
				tl.load(slices.Collect(maps.Values(s.keys)), board.OpenJob)
				return tl, board, j
			}
			run := func(tl *completionBitmaps) {
				for range 20 {
					s.now = s.now.Add(2 * time.Second)
					tl.pages.Tick(s.now)
				}
			}
			tl, board, j := newTenure()
			reportDone(board, j, 7)
			tl.save(j, board.OpenJob)
			run(tl)
			if fresh, _ := j.UnsavedCompletions(0, c.tasks); len(fresh) > 0 {
				t.Errorf("%d completions are not durable", len(fresh))
			}
			if got := s.entries(); !slices.Equal(got, c.entries) {
				t.Errorf("written as %v, want %v", got, c.entries)
			}
			for value, n := range s.refused {
				if n > 1 {
					t.Errorf("%.30s refused %d times", value, n)
				}
			}
			tl, _, again := newTenure()
			if want := (c.tasks + 6) / 7; again.CompletedTasks() != want {
				t.Errorf("%d completions are found, want %d", again.CompletedTasks(), want)
			}
			tl.forget("job-1")
			run(tl)
			if len(s.keys) != 0 {
				t.Errorf("%d pages are left", len(s.keys))
			}
		})
	}
}

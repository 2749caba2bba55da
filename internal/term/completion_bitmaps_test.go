package term

import (
	"encoding/json"
	"io"
	"log/slog"
	"maps"
	"slices"
	"testing"
	"time"

	"juniperchute/internal/fakes"
	"juniperchute/internal/placement"
	"juniperchute/internal/quota"
	"juniperchute/internal/store"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// Value size limits in the tests of completion bitmaps, in KiB.
const (
	currentLimitKB = 8.0
	loweredLimitKB = 2.0
)

// bitmapStore is a fake state service for pages of completion bitmaps. It rejects values above a limit.
type bitmapStore struct {
	t        *testing.T
	now      time.Time
	limit    int // for a value, in bytes
	keys     map[string]wire.KeyValue
	revision uint64
	rejected map[string]int // rejected writes by key and value
}

func newBitmapStore(t *testing.T, limit int) *bitmapStore {
	return &bitmapStore{
		t:        t,
		now:      time.Unix(100, 0),
		limit:    limit,
		keys:     map[string]wire.KeyValue{},
		rejected: map[string]int{},
	}
}

// call executes a transaction.
func (s *bitmapStore) call(c store.Call, done func(time.Time, store.Result)) {
	for _, w := range c.Transaction.Writes {
		if len(w.Value) > s.limit {
			s.rejected[w.PutKey+string(w.Value)]++
			done(s.now, store.Result{Err: store.ErrInvalid})
			return
		}
	}
	s.revision++
	for _, w := range c.Transaction.Writes {
		delete(s.keys, w.DeleteKey)
		if w.PutKey != "" {
			s.keys[w.PutKey] = wire.KeyValue{Key: w.PutKey, Value: w.Value, Version: s.revision}
		}
	}
	done(s.now, store.Result{Revision: s.revision})
}

// storedEntries returns the sorted keys of the entries in all pages.
func (s *bitmapStore) storedEntries() []string {
	all := map[string]bool{}
	for _, kv := range s.keys {
		page := map[string]json.RawMessage{}
		if json.Unmarshal(kv.Value, &page) != nil {
			s.t.Errorf("%s is malformed", kv.Key)
		}
		for name := range page {
			all[name] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}

// bitmapTerm is the part of a term that stores the completions of one job.
type bitmapTerm struct {
	store     *bitmapStore
	bitmaps   *completionBitmaps
	scheduler *placement.Scheduler
	job       *placement.Job
}

// newTerm returns a term that has loaded the stored completions of a job.
func (s *bitmapStore) newTerm(id string, tasks int) *bitmapTerm {
	scheduler, job := singleJobScheduler(wire.JobSpec{ID: id, Shape: wire.ShapeBatch, Tasks: tasks})
	pages := store.NewPages(store.PagesOptions{
		Prefix:        "t/0/",
		ValueKB:       loweredLimitKB,
		WriteInterval: time.Second,
		Priority:      store.PriorityCompletion,
		TermCompare:   store.VersionEquals("c/b/0", 1),
		StateCall:     s.call,
		Log:           discardLogger(),
		OnTermLost:    func(time.Time) { s.t.Error("term lost") },
	})
	bitmaps := newCompletionBitmaps(pages, currentLimitKB)
	bitmaps.load(slices.Collect(maps.Values(s.keys)), scheduler.OpenJob)
	return &bitmapTerm{store: s, bitmaps: bitmaps, scheduler: scheduler, job: job}
}

// writePages writes the pages that are due in each of several rounds.
func (t *bitmapTerm) writePages(rounds int) {
	for range rounds {
		t.store.now = t.store.now.Add(2 * time.Second)
		t.bitmaps.pages.Tick(t.store.now)
	}
}

func discardLogger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// completeEveryNth applies a heartbeat in which every nth task of a job has completed.
func completeEveryNth(scheduler *placement.Scheduler, j *placement.Job, nth int) {
	m := &worker.Machine{
		Identity:   worker.Identity{Host: "i-1"},
		Lifecycle:  worker.Lifecycle{State: worker.Up},
		ImageCache: worker.ImageCache{Images: map[string]time.Time{}},
	}
	for n := 0; n < j.Spec.Tasks; n += nth {
		m.Tasks = append(m.Tasks, wire.TaskStatus{
			Name:       wire.TaskName(j.Spec.ID, n),
			Attempt:    1,
			State:      wire.TaskExited,
			ExitReason: wire.ExitDone,
		})
	}
	scheduler.ReconcileHeartbeat(time.Unix(0, 0), m, worker.HeartbeatCurrent, worker.FromHeartbeat)
}

// singleJobScheduler returns a scheduler with one job.
func singleJobScheduler(spec wire.JobSpec) (*placement.Scheduler, *placement.Job) {
	platform := fakes.DeploymentConfig([]string{"a"}, nil, 1.5, 10)
	workers := worker.NewRegistry(platform.Workers, discardLogger())
	ledger := quota.NewLedger(nil, 1)
	completed := func(time.Time, *placement.Job) {}
	scheduler := placement.NewScheduler(placement.Options{
		Platform:        platform,
		Token:           1,
		Ledger:          ledger,
		Registry:        workers,
		Log:             discardLogger(),
		OnTaskCompleted: completed,
	})
	return scheduler, scheduler.AddJob(time.Unix(0, 0), spec, time.Unix(0, 0), 1, true)
}

// bitmapCase is a job with the keys of the entries in which its completions are stored.
type bitmapCase struct {
	name    string
	tasks   int
	limit   int // value size limit of the state service, in bytes
	entries []string
}

var bitmapCases = []bitmapCase{
	{
		name:    "small job: one chunk",
		tasks:   300,
		limit:   2048,
		entries: []string{"job-1/0"},
	},
	{
		name:    "largest job that fits one entry: one chunk",
		tasks:   10056,
		limit:   2048,
		entries: []string{"job-1/0"},
	},
	{
		name:    "larger job: two parts",
		tasks:   12000,
		limit:   2048,
		entries: []string{"job-1/@0", "job-1/@10056"},
	},
	{
		name:    "two chunks, the second fits: parts and a chunk",
		tasks:   16384 + 100,
		limit:   2048,
		entries: []string{"job-1/1", "job-1/@0", "job-1/@10056"},
	},
	{
		name:    "limit lower than configured: three parts",
		tasks:   10056,
		limit:   1024,
		entries: []string{"job-1/@0", "job-1/@4680", "job-1/@9360"},
	},
}

// Guards against entries that earlier versions cannot read although they would fit, which would repeat
// work after a rollback, and against entries that the state service rejects as too large.
func TestWrittenBitmapEntries(t *testing.T) {
	for _, c := range bitmapCases {
		t.Run(c.name, c.run)
	}
}

func (c bitmapCase) run(t *testing.T) {
	const rounds, nth = 20, 7
	s := newBitmapStore(t, c.limit)
	first := s.newTerm("job-1", c.tasks)
	completeEveryNth(first.scheduler, first.job, nth)
	first.bitmaps.save(first.job, first.scheduler.OpenJob)
	first.writePages(rounds)
	if unsaved, _ := first.job.UnsavedCompletions(0, c.tasks); len(unsaved) > 0 {
		t.Errorf("%d completions are not durable", len(unsaved))
	}
	if got := s.storedEntries(); !slices.Equal(got, c.entries) {
		t.Errorf("stored as %v, want %v", got, c.entries)
	}
	for value, n := range s.rejected {
		if n > 1 {
			t.Errorf("%.30s rejected %d times", value, n)
		}
	}
	second := s.newTerm("job-1", c.tasks)
	if want := (c.tasks + nth - 1) / nth; second.job.CompletedTasks() != want {
		t.Errorf("%d completions loaded, want %d", second.job.CompletedTasks(), want)
	}
	second.bitmaps.deleteJob("job-1")
	second.writePages(rounds)
	if len(s.keys) != 0 {
		t.Errorf("%d pages are left", len(s.keys))
	}
}

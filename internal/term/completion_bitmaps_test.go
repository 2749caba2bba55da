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

// Limits for a stored value in the tests of completion bitmaps.
const (
	presentKB  = 8.0
	upcomingKB = 2.0
)

// bitmapStore keeps the pages of completion bitmaps and refuses values above a limit.
type bitmapStore struct {
	t        *testing.T
	now      time.Time
	limit    int // for a value, bytes
	keys     map[string]wire.KeyValue
	revision uint64
	refused  map[string]int // by key and value
}

func newBitmapStore(t *testing.T, limit int) *bitmapStore {
	return &bitmapStore{
		t:       t,
		now:     time.Unix(100, 0),
		limit:   limit,
		keys:    map[string]wire.KeyValue{},
		refused: map[string]int{},
	}
}

// call executes a transaction.
func (s *bitmapStore) call(c store.Call, then func(time.Time, store.Result)) {
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

// storedEntries are the stored entries' names.
func (s *bitmapStore) storedEntries() []string {
	all := map[string]bool{}
	for _, kv := range s.keys {
		page := map[string]json.RawMessage{}
		if json.Unmarshal(kv.Value, &page) != nil {
			s.t.Errorf("%s cannot be read", kv.Key)
		}
		for name := range page {
			all[name] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}

// bitmapTerm is what a term keeps of one job's completions.
type bitmapTerm struct {
	store     *bitmapStore
	bitmaps   *completionBitmaps
	scheduler *placement.Scheduler
	job       *placement.Job
}

// newTerm starts a term that reads what is stored of a job's completions.
func (s *bitmapStore) newTerm(id string, tasks int) *bitmapTerm {
	scheduler, job := singleJobScheduler(wire.JobSpec{ID: id, Shape: wire.ShapeBatch, Tasks: tasks})
	pages := store.NewPages(store.PagesOptions{
		Prefix:        "t/0/",
		ValueKB:       upcomingKB,
		WriteInterval: time.Second,
		Priority:      store.PriorityCompletion,
		TermCompare:   store.VersionEquals("c/b/0", 1),
		StateCall:     s.call,
		Log:           discardLogger(),
		OnTermLost:    func(time.Time) { s.t.Error("lost") },
	})
	bitmaps := newCompletionBitmaps(pages, presentKB)
	bitmaps.load(slices.Collect(maps.Values(s.keys)), scheduler.OpenJob)
	return &bitmapTerm{store: s, bitmaps: bitmaps, scheduler: scheduler, job: job}
}

// writePages lets the term write what is due.
func (t *bitmapTerm) writePages(rounds int) {
	for range rounds {
		t.store.now = t.store.now.Add(2 * time.Second)
		t.bitmaps.pages.Tick(t.store.now)
	}
}

// discardLogger logs to nowhere.
func discardLogger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// completeEveryNth has a machine report that every nth task of a job has completed.
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

// singleJobScheduler is a scheduler with one job.
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

// bitmapCase is a job and the entries that its completions are written as.
type bitmapCase struct {
	name    string
	tasks   int
	limit   int // of the state service for a value, bytes
	entries []string
}

var bitmapCases = []bitmapCase{
	{
		name:    "a usual job",
		tasks:   300,
		limit:   2048,
		entries: []string{"job-1/0"},
	},
	{
		name:    "the largest that fits an entry",
		tasks:   10056,
		limit:   2048,
		entries: []string{"job-1/0"},
	},
	{
		name:    "a larger one",
		tasks:   12000,
		limit:   2048,
		entries: []string{"job-1/@0", "job-1/@10056"},
	},
	{
		name:    "an earlier version's second chunk fits",
		tasks:   16384 + 100,
		limit:   2048,
		entries: []string{"job-1/1", "job-1/@0", "job-1/@10056"},
	},
	{
		name:    "a limit that nobody announced",
		tasks:   10056,
		limit:   1024,
		entries: []string{"job-1/@0", "job-1/@4680", "job-1/@9360"},
	},
}

// What the completions of jobs are written as where the limits to come are smaller than
// the present ones: as earlier versions read them wherever that fits, so that a rollback
// repeats no work; and in smaller entries where the service refuses even those.
func TestCompletionBitmapsWritten(t *testing.T) {
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
		t.Errorf("written as %v, want %v", got, c.entries)
	}
	for value, n := range s.refused {
		if n > 1 {
			t.Errorf("%.30s refused %d times", value, n)
		}
	}
	second := s.newTerm("job-1", c.tasks)
	if want := (c.tasks + nth - 1) / nth; second.job.CompletedTasks() != want {
		t.Errorf("%d completions are found, want %d", second.job.CompletedTasks(), want)
	}
	second.bitmaps.forget("job-1")
	second.writePages(rounds)
	if len(s.keys) != 0 {
		t.Errorf("%d pages are left", len(s.keys))
	}
}

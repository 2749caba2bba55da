package standin

import (
	"slices"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/wire"
)

// Task is one attempt of a task on a worker.
type Task struct {
	Job     *Job
	N       int
	Attempt uint64
	Stage   string
	Cause   string
	Stored  bool
	Until   time.Time // the end of what it is doing

	lostAt time.Time // when a gang's task found another one gone; zero: not
}

// OnMachine tells whether the task takes room on its machine.
func (t *Task) OnMachine() bool { return t.Stage != wire.TaskExited }

// advance lets a task go on with what it is doing.
func (w *Worker) advance(t *Task) {
	switch t.Stage {
	case wire.TaskFetching:
		w.advanceFetching(t)
	case wire.TaskWaiting:
		w.advanceWaiting(t)
	case wire.TaskRunning, wire.TaskSaving:
		w.advanceRunning(t)
	}
}

func (w *Worker) advanceFetching(t *Task) {
	now := w.cluster.Clock.Now()
	if now.Before(t.Until) {
		return
	}
	w.Images[t.Job.Spec.Image] = true
	w.changed = true
	switch {
	case w.Faulty || t.Job.Faulty:
		w.exit(t, wire.ExitError, false)
	case t.Job.Done[t.N]:
		w.exit(t, wire.ExitDone, false)
	case t.Job.Spec.Shape == wire.ShapeGang:
		t.Stage, t.Until = wire.TaskWaiting, now.Add(config.Seconds(w.cluster.Facts.Workers.GangWaitS))
	default:
		t.Stage, t.Until = wire.TaskRunning, now.Add(t.Job.Run)
	}
}

// advanceWaiting starts a gang once its last task has its image.
func (w *Worker) advanceWaiting(t *Task) {
	now := w.cluster.Clock.Now()
	members := w.cluster.members(t)
	if len(members) < t.Job.Spec.Tasks {
		if now.After(t.Until) {
			w.exit(t, wire.ExitGangWaitTimeout, false)
		}
		return
	}
	if slices.ContainsFunc(members, func(m member) bool { return m.task.Stage != wire.TaskWaiting }) {
		return
	}
	for _, m := range members {
		m.task.Stage, m.task.Until = wire.TaskRunning, now.Add(t.Job.Run)
		m.worker.changed = true
	}
}

func (w *Worker) advanceRunning(t *Task) {
	now := w.cluster.Clock.Now()
	gang := t.Job.Spec.Shape == wire.ShapeGang
	if gang && len(w.cluster.members(t)) < t.Job.Spec.Tasks {
		if t.lostAt.IsZero() {
			t.lostAt = now
		}
		if now.Sub(t.lostAt) > membersLost {
			w.exit(t, wire.ExitGangMemberLost, false)
			return
		}
		if t.Stage == wire.TaskRunning {
			return
		}
	}
	switch {
	case now.Before(t.Until):
	case t.Stage == wire.TaskSaving:
		w.exit(t, wire.ExitStopped, true)
	case t.Job.Spec.Shape == wire.ShapeService:
	case gang:
		w.completeGang(t)
	default:
		t.Job.Done[t.N] = true
		w.exit(t, wire.ExitDone, false)
		w.cluster.completed(t.Job)
	}
}

// completeGang completes all tasks of a gang together.
func (w *Worker) completeGang(t *Task) {
	members := w.cluster.members(t)
	if slices.ContainsFunc(members, func(m member) bool { return m.task.Stage != wire.TaskRunning }) {
		return
	}
	for _, m := range members {
		t.Job.Done[m.task.N] = true
		m.worker.exit(m.task, wire.ExitDone, false)
	}
	w.cluster.completed(t.Job)
}

func (w *Worker) exit(t *Task, cause string, stored bool) {
	t.Stage, t.Cause, t.Stored = wire.TaskExited, cause, stored
	w.changed = true
}

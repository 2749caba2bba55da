package fakes

import (
	"slices"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/wire"
)

// Task is one attempt of a job's task on a worker.
type Task struct {
	Job             *Job
	Index           int
	Attempt         uint64
	State           string
	ExitReason      string
	CheckpointSaved bool
	StateEndsAt     time.Time // end of the image pull, gang wait, run or checkpoint

	memberLostAt time.Time // when a missing gang member was first noticed; zero if none is
	// runReportedAt is when the worker got the response to the first heartbeat that listed the task as running;
	// zero before that.
	runReportedAt time.Time
}

// OnMachine reports whether the task still occupies resources of its machine.
func (t *Task) OnMachine() bool { return t.State != wire.TaskExited }

// advance moves a task to its next state if the current one has ended.
func (w *Worker) advance(task *Task) {
	switch task.State {
	case wire.TaskFetching:
		w.advanceFetching(task)
	case wire.TaskWaiting:
		w.advanceWaiting(task)
	case wire.TaskRunning, wire.TaskSaving:
		w.advanceRunning(task)
	}
}

// advanceFetching starts a task whose image has been pulled. A gang task waits for the other gang members.
func (w *Worker) advanceFetching(task *Task) {
	now := w.cluster.Clock.Now()
	if now.Before(task.StateEndsAt) {
		return
	}
	w.Images[task.Job.Spec.Image] = true
	w.heartbeatRequested = true
	switch {
	case w.Faulty || task.Job.Faulty:
		w.exit(task, wire.ExitError, false)
	case task.Job.Done[task.Index]:
		w.exit(task, wire.ExitDone, false)
	case task.Job.Spec.Shape == wire.ShapeGang:
		task.State = wire.TaskWaiting
		task.StateEndsAt = now.Add(config.Seconds(w.cluster.Config.Workers.GangWaitS))
	default:
		task.State, task.StateEndsAt = wire.TaskRunning, now.Add(task.Job.RunTime)
	}
}

// advanceWaiting starts a gang once all its tasks are waiting. A task exits if gang members are
// missing at the gang wait timeout.
func (w *Worker) advanceWaiting(task *Task) {
	now := w.cluster.Clock.Now()
	members := w.cluster.gangMembers(task)
	if len(members) < task.Job.Spec.Tasks {
		if now.After(task.StateEndsAt) {
			w.exit(task, wire.ExitGangWaitTimeout, false)
		}
		return
	}
	if slices.ContainsFunc(members, func(member gangMember) bool { return member.task.State != wire.TaskWaiting }) {
		return
	}
	for _, member := range members {
		member.task.State, member.task.StateEndsAt = wire.TaskRunning, now.Add(task.Job.RunTime)
		member.worker.heartbeatRequested = true
	}
}

// advanceRunning ends a task that has completed, has saved its checkpoint, or whose gang has lost a
// member. Services run until they are stopped.
func (w *Worker) advanceRunning(task *Task) {
	now := w.cluster.Clock.Now()
	gang := task.Job.Spec.Shape == wire.ShapeGang
	if gang && len(w.cluster.gangMembers(task)) < task.Job.Spec.Tasks {
		if task.memberLostAt.IsZero() {
			task.memberLostAt = now
		}
		if now.Sub(task.memberLostAt) > memberLossTimeout {
			w.exit(task, wire.ExitGangMemberLost, false)
			return
		}
		if task.State == wire.TaskRunning {
			return
		}
	}
	switch {
	case now.Before(task.StateEndsAt):
	case task.State == wire.TaskSaving:
		w.exit(task, wire.ExitStopped, true)
	case task.Job.Spec.Shape == wire.ShapeService:
	case gang:
		w.completeGang(task)
	default:
		task.Job.Done[task.Index] = true
		w.exit(task, wire.ExitDone, false)
		w.cluster.notifyCompleted(task.Job)
	}
}

// completeGang completes all tasks of a gang at once, unless one is not running.
func (w *Worker) completeGang(task *Task) {
	members := w.cluster.gangMembers(task)
	if slices.ContainsFunc(members, func(member gangMember) bool { return member.task.State != wire.TaskRunning }) {
		return
	}
	for _, member := range members {
		task.Job.Done[member.task.Index] = true
		member.worker.exit(member.task, wire.ExitDone, false)
	}
	w.cluster.notifyCompleted(task.Job)
}

// exit ends a task. The worker lists the task until it is reaped.
func (w *Worker) exit(task *Task, reason string, checkpointSaved bool) {
	task.State, task.ExitReason, task.CheckpointSaved = wire.TaskExited, reason, checkpointSaved
	w.heartbeatRequested = true
}

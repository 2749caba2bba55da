package fakes

import (
	"net/http"
	"slices"

	"juniperchute/internal/config"
	"juniperchute/internal/wire"
)

// HandleCommand executes direct commands. It rejects commands with a stale fencing token or for
// another incarnation. It returns the HTTP status and the heartbeat of the reply.
func (w *Worker) HandleCommand(command wire.DirectCommands) (status int, heartbeat *wire.Heartbeat) {
	status = w.executeDirect(command)
	if status == http.StatusOK {
		w.keepCopy(command)
	}
	return status, w.Heartbeat()
}

// execute executes commands in order and stops at the first one for an unknown task.
func (w *Worker) execute(commands []wire.Command) {
	for _, command := range commands {
		jobID, index, ok := wire.ParseTaskName(command.Task)
		job := w.cluster.Jobs[jobID]
		if !ok || job == nil {
			w.cluster.AddViolation(Expectation, "command for an unknown task: %v", command)
			return
		}
		switch command.Verb {
		case wire.VerbRun:
			w.run(job, index, command.Attempt)
		case wire.VerbStop:
			w.stop(w.FindTask(job, index, command.Attempt), command.GracePeriodS)
		case wire.VerbReap:
			w.reap(w.FindTask(job, index, command.Attempt))
		}
	}
}

// run starts an attempt of a task. An attempt that cannot start is listed as exited with the reason.
// A repeated command has no effect.
func (w *Worker) run(job *Job, index int, attempt uint64) {
	if w.FindTask(job, index, attempt) != nil {
		return
	}
	w.heartbeatRequested = true
	task := &Task{Job: job, Index: index, Attempt: attempt, State: wire.TaskExited}
	switch {
	case w.FindTask(job, index, 0) != nil:
		task.ExitReason = wire.ExitOtherAttemptPresent
	case !w.Available().Covers(job.resources()):
		task.ExitReason = wire.ExitInsufficientResources
	default:
		w.cluster.checkTaskStart(w, job, index)
		task.State = wire.TaskFetching
		task.StateEndsAt = w.cluster.Clock.Now()
		if !w.Images[job.Spec.Image] {
			task.StateEndsAt = task.StateEndsAt.Add(w.ImagePullTime)
		}
		if w.cluster.OnTaskStart != nil {
			w.cluster.OnTaskStart(w, task)
		}
	}
	// Rejected attempts are also listed until they are reaped.
	w.Tasks = append(w.Tasks, task)
	if !slices.Contains(job.workers, w) {
		job.workers = append(job.workers, w)
	}
}

// stop ends a task. A running task saves a checkpoint first if the grace period, in seconds, is long
// enough.
func (w *Worker) stop(task *Task, gracePeriodS *float64) {
	if task == nil || !task.OnMachine() {
		return
	}
	w.heartbeatRequested = true
	grace := 0.0
	if gracePeriodS != nil {
		grace = *gracePeriodS
	}
	spec := &task.Job.Spec
	switch {
	case task.State == wire.TaskRunning && spec.CheckpointIntervalS > 0 && grace >= spec.CheckpointSaveTimeS:
		task.State = wire.TaskSaving
		task.StateEndsAt = w.cluster.Clock.Now().Add(config.Seconds(spec.CheckpointSaveTimeS))
	case task.State == wire.TaskSaving && grace > 0:
	default:
		w.exit(task, wire.ExitStopped, false)
	}
}

// reap removes an exited task from the worker's list.
func (w *Worker) reap(task *Task) {
	if task == nil || task.OnMachine() {
		return
	}
	w.Tasks = slices.DeleteFunc(w.Tasks, func(other *Task) bool { return other == task })
	w.heartbeatRequested = true
}

package fakes

import (
	"net/http"
	"slices"

	"juniperchute/internal/config"
	"juniperchute/internal/wire"
)

// HandleCommand executes direct commands, unless they are of an earlier term (a lower fencing token)
// or for another incarnation. It returns the HTTP status and the heartbeat of the reply.
func (w *Worker) HandleCommand(command wire.DirectCommands) (status int, heartbeat *wire.Heartbeat) {
	if command.Token < w.Token || command.Incarnation != w.Incarnation {
		return http.StatusConflict, w.Heartbeat()
	}
	w.observeToken(command.Token)
	w.execute(command.Commands)
	return http.StatusOK, w.Heartbeat()
}

// execute executes commands in their order.
func (w *Worker) execute(commands []wire.Command) {
	for _, command := range commands {
		jobID, index, ok := wire.ParseTask(command.Task)
		job := w.cluster.Jobs[jobID]
		if !ok || job == nil {
			w.cluster.AddViolation(Expectation, "a command for a task that nobody submitted: %v", command)
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

// run starts an attempt of a task, or lists it as exited with the reason why it cannot start.
func (w *Worker) run(job *Job, index int, attempt uint64) {
	if w.FindTask(job, index, attempt) != nil {
		return
	}
	w.heartbeatRequested = true
	task := &Task{Job: job, Index: index, Attempt: attempt, State: wire.TaskExited}
	switch {
	case w.FindTask(job, index, 0) != nil:
		task.ExitReason = wire.ExitOtherAttemptPresent
	case !w.Available().Fits(job.resources()):
		task.ExitReason = wire.ExitInsufficientResources
	default:
		w.cluster.checkStart(w, job, index)
		task.State = wire.TaskFetching
		task.StateEndsAt = w.cluster.Clock.Now()
		if !w.Images[job.Spec.Image] {
			task.StateEndsAt = task.StateEndsAt.Add(w.ImagePullTime)
		}
		if w.cluster.OnTaskStart != nil {
			w.cluster.OnTaskStart(w, task)
		}
	}
	// Refused starts are listed too, until they are reaped.
	w.Tasks = append(w.Tasks, task)
	if !slices.Contains(job.workers, w) {
		job.workers = append(job.workers, w)
	}
}

// stop ends a task, after a checkpoint if the grace period (in seconds) suffices for one.
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

// reap forgets a task that has exited.
func (w *Worker) reap(task *Task) {
	if task == nil || task.OnMachine() {
		return
	}
	w.Tasks = slices.DeleteFunc(w.Tasks, func(other *Task) bool { return other == task })
	w.heartbeatRequested = true
}

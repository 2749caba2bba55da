package placement

import (
	"slices"
	"time"

	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// reconciler acts on what machines report.
type reconciler struct {
	*environment
	capacity *capacityIndex
	queues   *copyQueues
	jobs     *jobTable
	tasks    *taskLifecycle
	failures *failureTracker
}

// releasePreviousIncarnation gives up what an earlier incarnation of a machine's worker had.
func (r *reconciler) releasePreviousIncarnation(now time.Time, info *machineInfo) {
	r.tasks.releaseMachine(now, info.machine, "worker has a new incarnation")
	info.directAttempts = nil // commands to an earlier incarnation are void
	info.machine.Images = map[string]time.Time{}
}

// apply brings the scheduler up to date with a report.
func (r *reconciler) applyStatus(now time.Time, info *machineInfo, from statusUpdate) {
	machine := info.machine
	reported := make(map[string]*wire.TaskStatus, len(machine.Tasks))
	for i := range machine.Tasks {
		status := &machine.Tasks[i]
		reported[status.Name] = status
	}
	for _, task := range slices.Clone(info.assigned) {
		if task.machine == machine { // an earlier one may have taken its whole gang along
			r.applyAssigned(now, task, reported[task.Name()], from)
		}
	}
	r.applyReported(now, machine)
}

// applyAssigned acts on what a report shows of an assigned task.
func (r *reconciler) applyAssigned(now time.Time, task *Task, reported *wire.TaskStatus, from statusUpdate) {
	switch reconcileAssigned(task, reported, from) {
	case assignedInFlight:
	case assignedPresent:
		task.reported = true
		r.recordStage(now, task, reported)
	case assignedExited:
		task.reported = true
		r.handleExit(now, task, reported)
	case assignedLost:
		r.tasks.releaseTask(now, task, 0, "no longer reported")
	case assignedNeverStarted:
		r.tasks.releaseTask(now, task, 0, "never started")
	}
}

// recordStage records the state of a task that has not exited.
func (r *reconciler) recordStage(now time.Time, task *Task, reported *wire.TaskStatus) {
	machine := task.machine
	if reported.State != wire.TaskFetching {
		machine.Images[task.Job.Spec.Image] = now
	}
	if reported.State == wire.TaskRunning && task.runningSince.IsZero() {
		task.runningSince = now
	}
	if task.stage != reported.State {
		r.log.Debug("task stage changed", "task", reported.Name, "attempt", reported.Attempt,
			"worker", machine.Host, "stage", reported.State)
	}
	task.stage = reported.State
	task.Job.recordHealthyRun(now, task)
	if task.phase == Dispatched {
		r.tasks.setPhase(now, task, Active, reported.State)
	}
}

// handleExit acts on a task's exit.
func (r *reconciler) handleExit(now time.Time, task *Task, reported *wire.TaskStatus) {
	job, machine := task.Job, task.machine
	r.log.Debug("task exited", "task", reported.Name, "attempt", reported.Attempt, "worker", machine.Host,
		"reason", reported.ExitReason, "checkpoint_saved", reported.CheckpointSaved)
	switch reported.ExitReason {
	case wire.ExitDone:
		if job.IsService() {
			r.tasks.releaseTask(now, task, job.restartPause(now, task), "replica ended")
			return
		}
		r.tasks.completeTask(now, task)
		if job.IsGang() {
			r.tasks.completeGang(now, job)
		}
	case wire.ExitError:
		r.failures.record(now, machine, task)
		r.tasks.releaseTask(now, task, tuning.RetryInitial, reported.ExitReason)
	case wire.ExitInsufficientResources, wire.ExitOtherAttemptPresent, wire.ExitUnknownTask:
		r.log.Info("task start refused", "task", reported.Name, "attempt", reported.Attempt,
			"worker", machine.Host, "reason", reported.ExitReason)
		r.tasks.releaseTask(now, task, tuning.RefusedStartPause, reported.ExitReason)
	default:
		r.tasks.releaseTask(now, task, 0, reported.ExitReason)
	}
}

// applyReported acts on the tasks that a machine reports and that are not
// assigned to it: those that an earlier term started, and the remains of closed jobs.
func (r *reconciler) applyReported(now time.Time, machine *worker.Machine) {
	machine.HasUnknownTasks = false
	for i := range machine.Tasks {
		reported := &machine.Tasks[i]
		job, index := r.jobs.ofTask(reported.Name)
		finding := reconcileReported(job, index, machine, reported)
		switch finding {
		case reportedExpected, reportedOver:
		case reportedCompleted:
			r.recordEarlierCompletion(now, job, index)
		case reportedAdoptable:
			r.adopt(now, job, index, machine, reported)
		case reportedStray, reportedUnknown:
			// commandsForReported has it stopped
			r.log.Info("unexpected task reported", "task", reported.Name, "attempt", reported.Attempt,
				"worker", machine.Host)
			machine.HasUnknownTasks = machine.HasUnknownTasks || finding == reportedUnknown
		}
	}
}

// recordEarlierCompletion records a completion that an earlier term did not.
func (r *reconciler) recordEarlierCompletion(now time.Time, job *Job, index int) {
	task := job.tasks[index]
	if task != nil && task.phase.onMachine() {
		// a second copy of the completed task: it ends as a stray
		r.tasks.stop(now, task, 0, "completed elsewhere")
		r.tasks.markCompleted(now, job, index)
		return
	}
	if task == nil {
		task = &Task{Job: job, Index: index}
	}
	r.tasks.completeTask(now, task)
	if job.IsGang() {
		r.tasks.completeGang(now, job)
	}
}

// adopt takes over a task that an earlier term started.
func (r *reconciler) adopt(now time.Time, job *Job, index int, machine *worker.Machine, reported *wire.TaskStatus) {
	task := job.tasks[index]
	if task == nil {
		task = job.addTask(index)
	}
	r.queues.withdrawCopies(task)
	r.tasks.dispatch(now, task, assignment{machine: machine, attempt: reported.Attempt}, "adopted")
	task.commandSent, task.reported = true, true
	r.recordStage(now, task, reported)
	if !job.IsGang() {
		return
	}
	switch {
	case job.attempt == 0 || job.assigned == 1:
		job.attempt = reported.Attempt
	case job.attempt != reported.Attempt:
		r.tasks.abortGangAttempt(now, job, "two attempts found")
	}
}

package placement

import (
	"time"

	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// reconciler reconciles the scheduler's state with the tasks that machines report.
type reconciler struct {
	*sharedState
	capacity   *capacityIndex
	copyQueues *copyQueues
	jobs       *jobTable
	tasks      *taskLifecycle
	failures   *failureTracker
}

// releasePreviousIncarnation releases the tasks of the previous incarnation of a
// machine's worker, and forgets its direct commands and cached images.
func (r *reconciler) releasePreviousIncarnation(now time.Time, info *machineInfo) {
	r.tasks.releaseMachine(now, info.machine, "worker has a new incarnation")
	info.directAttempts = nil // commands to the previous incarnation are never executed
	info.machine.Images = map[string]time.Time{}
}

// applyStatus reconciles the tasks assigned to a machine, then the tasks that the
// machine reports.
func (r *reconciler) applyStatus(now time.Time, info *machineInfo, update statusUpdate) {
	machine := info.machine
	reported := make(map[string]*wire.TaskStatus, len(machine.Tasks))
	for i := range machine.Tasks {
		status := &machine.Tasks[i]
		reported[status.Name] = status
	}
	for _, task := range info.assigned.snapshot() {
		if task.machine == machine { // an earlier iteration may have released its whole gang
			r.applyAssigned(now, task, reported[task.Name()], update)
		}
	}
	r.applyReported(now, machine)
}

// applyAssigned reconciles a task assigned to the machine with its reported status, nil
// if the machine does not report it.
func (r *reconciler) applyAssigned(now time.Time, task *Task, reported *wire.TaskStatus, update statusUpdate) {
	switch reconcileAssigned(task, reported, update) {
	case assignedInFlight:
	case assignedPresent:
		task.reported = true
		r.recordReportedState(now, task, reported)
	case assignedExited:
		task.reported = true
		r.handleExit(now, task, reported)
	case assignedLost:
		r.tasks.releaseTask(now, task, 0, "no longer reported")
	case assignedNeverStarted:
		r.tasks.releaseTask(now, task, 0, "never started")
	}
}

// recordReportedState records the reported state of a task that has not exited. The
// first report makes a dispatched task active.
func (r *reconciler) recordReportedState(now time.Time, task *Task, reported *wire.TaskStatus) {
	machine := task.machine
	if reported.State != wire.TaskFetching {
		machine.Images[task.Job.Spec.Image] = now
	}
	if reported.State == wire.TaskRunning && task.runningSince.IsZero() {
		task.runningSince = now
	}
	if task.lastReportedState != reported.State {
		r.log.Debug("task state changed", "task", reported.Name, "attempt", reported.Attempt,
			"worker", machine.Host, "to", reported.State)
	}
	task.lastReportedState = reported.State
	task.Job.countRunning(task)
	task.Job.recordHealthyRun(now, task)
	if task.phase == Dispatched {
		r.tasks.setPhase(now, task, Active, reported.State)
	}
}

// handleExit completes or releases an exited task, depending on its exit reason.
func (r *reconciler) handleExit(now time.Time, task *Task, reported *wire.TaskStatus) {
	job, machine := task.Job, task.machine
	r.log.Debug("task exited", "task", reported.Name, "attempt", reported.Attempt, "worker", machine.Host,
		"reason", reported.ExitReason, "checkpoint_saved", reported.CheckpointSaved)
	switch reported.ExitReason {
	case wire.ExitDone:
		if job.IsService() {
			r.tasks.releaseTask(now, task, job.restartBackoff(now, task), "replica ended")
			return
		}
		r.tasks.completeTask(now, task)
		if job.IsGang() {
			r.tasks.completeGang(now, job)
		}
	case wire.ExitError:
		r.failures.record(now, machine, task)
		r.tasks.releaseTask(now, task, tuning.TaskBackoffInitial, reported.ExitReason)
	case wire.ExitInsufficientResources, wire.ExitOtherAttemptPresent, wire.ExitUnknownTask:
		r.log.Info("worker rejected task start", "task", reported.Name, "attempt", reported.Attempt,
			"worker", machine.Host, "reason", reported.ExitReason)
		r.tasks.releaseTask(now, task, tuning.RejectedStartBackoff, reported.ExitReason)
	default:
		r.tasks.releaseTask(now, task, 0, reported.ExitReason)
	}
}

// applyReported handles reported tasks that are not assigned to the machine, such as
// tasks started by an earlier term and tasks of closed jobs.
func (r *reconciler) applyReported(now time.Time, machine *worker.Machine) {
	machine.HasUnknownTasks = false
	for i := range machine.Tasks {
		reported := &machine.Tasks[i]
		job, index := r.jobs.findTask(reported.Name)
		state := reconcileReported(job, index, machine, reported)
		switch state {
		case reportedExpected, reportedFinished:
		case reportedCompleted:
			r.recordEarlierCompletion(now, job, index)
		case reportedAdoptable:
			r.adopt(now, job, index, machine, reported)
		case reportedObsolete, reportedUnknownJob:
			// commandBuilder.forReported stops the task.
			r.log.Info("unexpected task reported", "task", reported.Name, "attempt", reported.Attempt,
				"worker", machine.Host)
			machine.HasUnknownTasks = machine.HasUnknownTasks || state == reportedUnknownJob
		}
	}
}

// recordEarlierCompletion records a completion that no earlier term recorded. If a
// second copy is on a machine, it stops that copy.
func (r *reconciler) recordEarlierCompletion(now time.Time, job *Job, index int) {
	task := job.tasks[index]
	if task != nil && task.phase.onMachine() {
		// Once the task is completed, its second copy is obsolete.
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

// adopt assigns a task that an earlier term started to the machine that runs it. Tasks
// of one gang with different attempts abort the gang.
func (r *reconciler) adopt(now time.Time, job *Job, index int, machine *worker.Machine, reported *wire.TaskStatus) {
	task := job.tasks[index]
	if task == nil {
		task = job.addTask(index)
	}
	r.copyQueues.withdrawCopies(task)
	r.tasks.dispatch(now, task, assignment{machine: machine, attempt: reported.Attempt}, "adopted")
	task.commandSent, task.reported = true, true
	r.recordReportedState(now, task, reported)
	if !job.IsGang() {
		return
	}
	switch {
	case job.attempt == 0 || job.assigned == 1:
		job.attempt = reported.Attempt
	case job.attempt != reported.Attempt && job.aborting:
		r.tasks.stop(now, task, 0, "two attempts found")
	case job.attempt != reported.Attempt:
		r.tasks.abortGangAttempt(now, job, "two attempts found")
	}
}

package placement

import (
	"slices"
	"time"

	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// ReconcileHeartbeat brings the board up to date with a machine's newest account.
func (s *Scheduler) ReconcileHeartbeat(now time.Time, machine *worker.Machine, verdict worker.HeartbeatResult, fromHeartbeat bool) {
	info := s.machineInfo(machine)
	s.markDirty(info)
	if verdict == worker.HeartbeatNewIncarnation {
		s.ReleaseMachine(now, machine, "worker's session is a new one")
		info.directAttempts = nil // commands of an earlier session are void
		machine.Images = map[string]time.Time{}
	}
	reportedTasks := make(map[string]*wire.TaskStatus, len(machine.Tasks))
	for i := range machine.Tasks {
		reported := &machine.Tasks[i]
		reportedTasks[reported.Name] = reported
	}
	for _, task := range slices.Clone(info.assigned) {
		if task.machine != machine {
			continue // an earlier one took its whole gang along
		}
		reported := reportedTasks[task.Name()]
		if reported != nil && reported.Attempt == task.attempt {
			s.reconcileTask(now, machine, task, reported)
			continue
		}
		// Absent. An attempt that was once reported is gone. One that never
		// was may still be on its way: in the answer to the last report,
		// unless a later report shows that the worker dropped that answer;
		// or in a direct command that nobody answered.
		if task.reported {
			s.releaseTask(now, task, 0, "no longer reported")
		} else if task.phase == Stopping && task.unansweredCommands == 0 && (!task.commandSent || fromHeartbeat && (task.commandSeq == 0 || machine.Sequence > task.commandSeq)) {
			s.releaseTask(now, task, 0, "never started")
		}
	}
	s.reconcileUnexpected(now, machine, reportedTasks)
}

// reconcileTask handles a task that its machine reports.
func (s *Scheduler) reconcileTask(now time.Time, machine *worker.Machine, task *Task, reported *wire.TaskStatus) {
	task.reported = true
	if reported.State != wire.TaskExited {
		if reported.State != wire.TaskFetching {
			machine.Images[task.Job.Spec.Image] = now
		}
		if reported.State == wire.TaskRunning && task.runningSince.IsZero() {
			task.runningSince = now
		}
		if task.stage != reported.State {
			s.log.Debug("task stage", "task", reported.Name, "attempt", reported.Attempt, "host", machine.Host, "stage", reported.State)
		}
		task.stage = reported.State
		task.Job.recordServiceSuccess(now, task)
		if task.phase == Dispatched {
			s.setPhase(now, task, Active, reported.State)
		}
		return
	}
	job := task.Job
	s.log.Debug("task exited", "task", reported.Name, "attempt", reported.Attempt, "host", machine.Host, "cause", reported.ExitReason, "stored", reported.CheckpointSaved)
	if reported.ExitReason == wire.ExitDone && job.IsService() {
		s.releaseTask(now, task, job.restartPause(now, task), "a service's replica ended")
		return
	}
	switch reported.ExitReason {
	case wire.ExitDone:
		s.completeTask(now, task)
		if job.IsGang() {
			s.completeGang(now, job)
		}
	case wire.ExitError:
		s.recordFailure(now, machine, task)
		s.releaseTask(now, task, tuning.RetryInitial, reported.ExitReason)
	case wire.ExitInsufficientResources, wire.ExitOtherAttemptPresent, wire.ExitUnknownTask:
		s.log.Info("start refused", "task", reported.Name, "host", machine.Host, "cause", reported.ExitReason)
		s.releaseTask(now, task, tuning.RefusedStartPause, reported.ExitReason)
	default:
		s.releaseTask(now, task, 0, reported.ExitReason)
	}
}

// completeGang completes a gang: if one of its tasks is done, every one is. Those
// whose own exit has not been reported stay on their machines until it is, but
// never start again, even when they are lost instead.
func (s *Scheduler) completeGang(now time.Time, job *Job) {
	for _, task := range job.tasksByIndex() {
		if task.phase == Unassigned {
			s.withdrawCopies(task)
			delete(job.tasks, task.Index)
		}
	}
	for n := range job.Spec.Tasks {
		job.completed.add(n)
	}
	if !job.closed {
		s.onTaskCompleted(now, job)
	}
}

// recordFailure looks for who is to blame for a task that failed: its machine, when
// it has failed several jobs or a job that runs well elsewhere; else the job,
// which then waits longer each time.
func (s *Scheduler) recordFailure(now time.Time, machine *worker.Machine, task *Task) {
	job := task.Job
	s.Counters.Failed++
	job.failures++
	job.failedOn[machine.Host]++
	job.noRoomRevisions = [2]uint64{}
	machine.FailuresByJob[job.Spec.ID]++
	succeededElsewhere := false
	for host := range job.succeededOn {
		succeededElsewhere = succeededElsewhere || host != machine.Host
	}
	jobs := 0
	for id := range machine.FailuresByJob {
		if other := s.jobs[id]; other == nil || len(other.failedOn) < tuning.FailingJobMachines || len(other.succeededOn) > 0 {
			jobs++
		}
	}
	if jobs >= tuning.QuarantineJobs || succeededElsewhere && machine.FailuresByJob[job.Spec.ID] >= tuning.QuarantineErrors {
		if !machine.Quarantined {
			s.log.Info("machine is faulty", "host", machine.Host, "jobs", jobs)
		}
		machine.Quarantined = true
	}
	if len(job.failedOn) >= tuning.FailingJobMachines && len(job.succeededOn) == 0 {
		pause := tuning.RetryInitial << min(job.failures, tuning.RetryDoublings)
		job.notBefore = now.Add(pause)
		s.log.Info("job fails everywhere", "job", job.Spec.ID, "pause", pause)
	}
}

// reconcileUnexpected handles what a machine reports that the board does not expect
// there: tasks that an earlier tenure started, and the remains of jobs that
// are over.
func (s *Scheduler) reconcileUnexpected(now time.Time, machine *worker.Machine, reportedTasks map[string]*wire.TaskStatus) {
	delete(s.strayTasks, machine)
	machine.HasUnknownTasks = false
	for _, reported := range machine.Tasks {
		id, index, ok := wire.ParseTask(reported.Name)
		var job *Job
		if ok {
			job = s.jobs[id]
		}
		if job != nil && index < job.Spec.Tasks {
			if task := job.tasks[index]; task != nil && task.machine == machine && task.attempt == reported.Attempt {
				continue
			}
		} else {
			job = nil
		}
		if reported.State == wire.TaskExited {
			if job != nil && reported.ExitReason == wire.ExitDone && !job.IsService() && !job.completed.has(index) {
				s.recordEarlierCompletion(now, job, index)
			}
			continue
		}
		if job != nil && !job.closed && !job.completed.has(index) {
			if task := job.tasks[index]; task == nil || task.phase == Unassigned {
				s.adopt(now, job, index, machine, reported)
				continue
			}
		}
		s.log.Info("stray task", "task", reported.Name, "attempt", reported.Attempt, "host", machine.Host)
		s.strayTasks[machine] = append(s.strayTasks[machine], reported)
		machine.HasUnknownTasks = machine.HasUnknownTasks || job == nil
	}
}

// recordEarlierCompletion records a completion that an earlier tenure did not get to.
func (s *Scheduler) recordEarlierCompletion(now time.Time, job *Job, index int) {
	task := job.tasks[index]
	if task == nil {
		task = &Task{Job: job, Index: index}
	}
	if task.phase >= Dispatched && task.phase <= Stopping {
		// a copy of a completed task: it will be stopped as a stray
		s.stop(now, task, 0, "completed elsewhere")
		if job.completed.add(index) && !job.closed {
			s.onTaskCompleted(now, job)
		}
		return
	}
	s.completeTask(now, task)
	if job.IsGang() {
		s.completeGang(now, job)
	}
}

// adopt takes over a task that an earlier tenure started.
func (s *Scheduler) adopt(now time.Time, job *Job, index int, machine *worker.Machine, reported wire.TaskStatus) {
	task := job.tasks[index]
	if task == nil {
		task = &Task{Job: job, Index: index}
		job.tasks[index] = task
	}
	s.withdrawCopies(task)
	s.dispatch(now, task, machine, reported.Attempt, false, "adopted")
	task.commandSent = true
	s.reconcileTask(now, machine, task, &reported)
	if !job.IsGang() {
		return
	}
	switch {
	case job.attempt == 0 || job.assigned == 1:
		job.attempt = reported.Attempt
	case job.attempt != reported.Attempt:
		s.abortGangAttempt(now, job, "two attempts found")
	}
}

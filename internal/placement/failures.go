package placement

import (
	"time"

	"juniperchute/internal/tuning"
	"juniperchute/internal/worker"
)

// failureHistory records a job's failures and successes by machine.
type failureHistory struct {
	backoffUntil         time.Time       // no task of the job starts before this time
	failures             int             // failed tasks; for a service, since its last healthy run
	failedOn             map[string]int  // failures by host
	succeededOn          map[string]bool // hosts on which a task completed or a replica was healthy
	consecutiveShortRuns int             // replicas that ended before they were healthy, since the last healthy one
}

// failsEverywhere reports whether the job has failed on several machines and
// succeeded on none, so that the failures are attributed to the job.
func (f *failureHistory) failsEverywhere() bool {
	return len(f.failedOn) >= tuning.FailingJobMachines && len(f.succeededOn) == 0
}

// avoidsAfterFailures reports whether the job must not run on a machine because its tasks
// failed there. An array or gang that has failed on at least tuning.FailingJobMachines
// machines avoids none of them; neither does such a service, unless a replica of it has
// been healthy. Failures of other jobs do not count here, only for the quarantine.
func (j *Job) avoidsAfterFailures(machine *worker.Machine) bool {
	if len(j.failedOn) == 0 || j.failedOn[machine.Host] == 0 {
		return false
	}
	return len(j.failedOn) < tuning.FailingJobMachines || j.IsService() && len(j.succeededOn) > 0
}

// failureTracker attributes task failures to machines or jobs.
type failureTracker struct {
	*sharedState
	jobs *jobTable
}

// record counts a task's failure. It quarantines the machine if several jobs
// have failed there, or repeatedly a job that succeeds elsewhere. If the job
// fails everywhere, record backs the job off exponentially.
func (f *failureTracker) record(now time.Time, machine *worker.Machine, task *Task) {
	job := task.Job
	f.Counters.Failed++
	job.failures++
	job.failedOn[machine.Host]++
	job.minGainRevisions = minGainRevisions{}
	machine.FailuresByJob[job.Spec.ID]++
	jobs := f.jobs.failingJobCount(machine)
	succeededElsewhere := false
	for host := range job.succeededOn {
		succeededElsewhere = succeededElsewhere || host != machine.Host
	}
	faultyForJob := succeededElsewhere && machine.FailuresByJob[job.Spec.ID] >= tuning.QuarantineFailedTasks
	if jobs >= tuning.QuarantineFailedJobs || faultyForJob {
		if !machine.Quarantined {
			f.log.Info("worker quarantined after failures of jobs", "worker", machine.Host, "count", jobs)
		}
		machine.Quarantined = true
	}
	if job.failsEverywhere() {
		backoff := tuning.TaskBackoffInitial << min(job.failures, tuning.TaskBackoffDoublings)
		job.backoffUntil = now.Add(backoff)
		f.log.Info("job backed off after failures", "job", job.Spec.ID, "backoff", backoff)
	}
}

// recordHealthyRun records a success on the replica's machine, and resets the
// failure counts of the service, if the replica is healthy. Later failures on
// other machines are then attributed to those machines.
func (j *Job) recordHealthyRun(now time.Time, task *Task) {
	if j.IsService() && task.healthy(now) {
		j.succeededOn[task.machine.Host] = true
		j.failures, j.consecutiveShortRuns = 0, 0
	}
}

// healthy reports whether a replica has run for at least tuning.ServiceHealthyAfter.
func (t *Task) healthy(now time.Time) bool {
	return !t.runningSince.IsZero() && now.Sub(t.runningSince) >= tuning.ServiceHealthyAfter
}

// restartBackoff returns the delay before a replica that has exited by itself is
// restarted. It is zero after a healthy run. Otherwise it doubles with each
// consecutive short run of the service's replicas.
func (j *Job) restartBackoff(now time.Time, task *Task) time.Duration {
	j.recordHealthyRun(now, task)
	if task.healthy(now) {
		return 0
	}
	backoff := tuning.TaskBackoffInitial << min(j.consecutiveShortRuns, tuning.TaskBackoffDoublings)
	j.consecutiveShortRuns++
	return backoff
}

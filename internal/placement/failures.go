package placement

import (
	"time"

	"juniperchute/internal/tuning"
	"juniperchute/internal/worker"
)

// failureHistory is what a job's past runs say about it and about machines.
type failureHistory struct {
	backoffUntil         time.Time       // nothing of the job starts before
	failures             int             // failed tasks; of a service: since its last healthy run
	failedOn             map[string]int  // failures by machine
	succeededOn          map[string]bool // machines on which a task completed, or a replica ran well
	consecutiveShortRuns int             // replicas of a service that ended as soon as they had started, in a row
}

// failsEverywhere reports whether the job failed on so many machines, without
// any success, that it must itself be at fault.
func (f *failureHistory) failsEverywhere() bool {
	return len(f.failedOn) >= tuning.FailingJobMachines && len(f.succeededOn) == 0
}

// avoids reports whether the job has failed on a machine. An array or gang
// that has failed on many takes any machine again; a service does so only
// if it never ran well.
func (j *Job) avoids(machine *worker.Machine) bool {
	if len(j.failedOn) == 0 || j.failedOn[machine.Host] == 0 {
		return false
	}
	return len(j.failedOn) < tuning.FailingJobMachines || j.IsService() && len(j.succeededOn) > 0
}

// failureTracker attributes failures to machines or jobs.
type failureTracker struct {
	*sharedState
	jobs *jobTable
}

// record attributes a task's failure: to its machine, when several jobs
// or a job that runs well elsewhere have failed there, which quarantines it;
// else to the job, which then waits longer each time.
func (f *failureTracker) record(now time.Time, machine *worker.Machine, task *Task) {
	job := task.Job
	f.Counters.Failed++
	job.failures++
	job.failedOn[machine.Host]++
	job.noRoomRevisions = noRoomRevisions{}
	machine.FailuresByJob[job.Spec.ID]++
	jobs := f.jobs.failingJobCount(machine)
	succeededElsewhere := false
	for host := range job.succeededOn {
		succeededElsewhere = succeededElsewhere || host != machine.Host
	}
	faultyForJob := succeededElsewhere && machine.FailuresByJob[job.Spec.ID] >= tuning.QuarantineErrors
	if jobs >= tuning.QuarantineJobs || faultyForJob {
		if !machine.Quarantined {
			f.log.Info("worker quarantined", "worker", machine.Host, "jobs", jobs)
		}
		machine.Quarantined = true
	}
	if job.failsEverywhere() {
		pause := tuning.RetryInitial << min(job.failures, tuning.RetryDoublings)
		job.backoffUntil = now.Add(pause)
		f.log.Info("job backed off", "job", job.Spec.ID, "pause", pause)
	}
}

// recordHealthyRun notes that a replica has run for a while: later failures
// elsewhere are the fault of those machines, not of the service.
func (j *Job) recordHealthyRun(now time.Time, task *Task) {
	if j.IsService() && task.healthy(now) {
		j.succeededOn[task.machine.Host] = true
		j.failures, j.consecutiveShortRuns = 0, 0
	}
}

// healthy reports whether a replica has run long enough to count as sound.
func (t *Task) healthy(now time.Time) bool {
	return !t.runningSince.IsZero() && now.Sub(t.runningSince) >= tuning.ServiceHealthyAfter
}

// restartBackoff returns how long a replica that has ended by itself waits until
// it runs again: not at all, unless it ended as soon as it had started. While
// none of the service's replicas lasts, the pause doubles.
func (j *Job) restartBackoff(now time.Time, task *Task) time.Duration {
	j.recordHealthyRun(now, task)
	if task.healthy(now) {
		return 0
	}
	pause := tuning.RetryInitial << min(j.consecutiveShortRuns, tuning.RetryDoublings)
	j.consecutiveShortRuns++
	return pause
}

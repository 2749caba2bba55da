package placement

import (
	"slices"
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

	// avoidedUntil holds, by host, the time until which no task of the job starts on a machine after its last
	// failure there.
	avoidedUntil map[string]time.Time
}

// newFailureHistory returns the history of a job without failures.
func newFailureHistory() failureHistory {
	return failureHistory{
		failedOn:     map[string]int{},
		succeededOn:  map[string]bool{},
		avoidedUntil: map[string]time.Time{},
	}
}

// failsEverywhere reports whether the job has failed on several machines and
// succeeded on none, so that the failures are attributed to the job.
func (f *failureHistory) failsEverywhere() bool {
	return len(f.failedOn) >= tuning.FailingJobMachines && len(f.succeededOn) == 0
}

// avoidsAfterFailures reports whether the job must not run on a machine because its tasks
// failed there recently. An array or gang that has failed on at least tuning.FailingJobMachines
// machines avoids none of them; neither does such a service, unless a replica of it has
// been healthy. Failures of other jobs do not count here, only for the quarantine.
func (j *Job) avoidsAfterFailures(machine *worker.Machine) bool {
	if len(j.avoidedUntil) == 0 || j.avoidedUntil[machine.Host].IsZero() {
		return false
	}
	return len(j.failedOn) < tuning.FailingJobMachines || j.IsService() && len(j.succeededOn) > 0
}

// failureTracker attributes task failures to machines or jobs.
type failureTracker struct {
	*sharedState
	capacity    *capacityIndex
	jobs        *jobTable
	avoidances  []avoidance
	quarantines []quarantine
}

// avoidance is a machine on which no task of a job starts for some time.
type avoidance struct {
	job  *Job
	host string
}

// quarantine is a machine that gets no new work until a time.
type quarantine struct {
	machine *worker.Machine
	until   time.Time
}

// expire ends the avoidances and the quarantines whose time is over. The failures may have had a cause outside
// the machine, such as mistakes of several jobs, and a machine with long tasks is not deprovisioned.
func (f *failureTracker) expire(now time.Time) {
	f.expireAvoidances(now)
	f.expireQuarantines(now)
}

// avoid keeps the job from a machine for a time that doubles with each failure there.
func (f *failureTracker) avoid(now time.Time, job *Job, host string) {
	if job.avoidedUntil[host].IsZero() {
		f.avoidances = append(f.avoidances, avoidance{job: job, host: host})
	}
	backoff := tuning.MachineAvoidanceInitial << min(job.failedOn[host]-1, tuning.MachineAvoidanceDoublings)
	job.avoidedUntil[host] = now.Add(backoff)
}

// expireAvoidances lets jobs use the machines again whose avoidance has ended.
func (f *failureTracker) expireAvoidances(now time.Time) {
	f.avoidances = slices.DeleteFunc(f.avoidances, func(a avoidance) bool {
		if now.Before(a.job.avoidedUntil[a.host]) {
			return false
		}
		delete(a.job.avoidedUntil, a.host)
		a.job.minGainRevisions = minGainRevisions{}
		return true
	})
}

// quarantine keeps new work from a machine for tuning.QuarantineDuration.
func (f *failureTracker) quarantine(now time.Time, machine *worker.Machine, failingJobs int) {
	if machine.Quarantined {
		return
	}
	f.log.Info("worker quarantined after failures of jobs", "worker", machine.Host, "count", failingJobs)
	machine.Quarantined = true
	f.quarantines = append(f.quarantines, quarantine{machine: machine, until: now.Add(tuning.QuarantineDuration)})
}

// expireQuarantines makes machines schedulable again and forgets the failures on them.
func (f *failureTracker) expireQuarantines(now time.Time) {
	f.quarantines = slices.DeleteFunc(f.quarantines, func(q quarantine) bool {
		if now.Before(q.until) {
			return false
		}
		q.machine.Quarantined = false
		clear(q.machine.FailuresByJob)
		if f.registry.Get(q.machine.Host) == q.machine {
			f.capacity.markDirty(f.capacity.info(q.machine))
		}
		return true
	})
}

// record counts a task's failure. It quarantines the machine if several jobs
// have failed there, or repeatedly a job that succeeds elsewhere. If the job
// fails everywhere, record backs the job off exponentially.
func (f *failureTracker) record(now time.Time, machine *worker.Machine, task *Task) {
	job := task.Job
	f.Counters.Failed++
	job.failures++
	job.failedOn[machine.Host]++
	f.avoid(now, job, machine.Host)
	job.minGainRevisions = minGainRevisions{}
	machine.FailuresByJob[job.Spec.ID]++
	jobs := f.jobs.failingJobCount(machine)
	succeededElsewhere := false
	for host := range job.succeededOn {
		succeededElsewhere = succeededElsewhere || host != machine.Host
	}
	faultyForJob := succeededElsewhere && machine.FailuresByJob[job.Spec.ID] >= tuning.QuarantineFailedTasks
	if jobs >= tuning.QuarantineFailedJobs || faultyForJob {
		f.quarantine(now, machine, jobs)
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

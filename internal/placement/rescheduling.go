package placement

import (
	"slices"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// rescheduler migrates replicas off machines with a preemption notice, preempts the tasks
// there that save checkpoints, and requeues primaries that cannot start where they are queued.
type rescheduler struct {
	*sharedState
	capacity   *capacityIndex
	copyQueues *copyQueues
	tasks      *taskLifecycle
	services   *serviceScheduler
}

// handlePreemptionNotices evacuates machines with a preemption notice of the
// cloud, and removes queued copies from machines that are not schedulable.
func (r *rescheduler) handlePreemptionNotices(now time.Time) {
	for _, machine := range r.registry.All() {
		info := r.capacity.info(machine)
		if info.primaryQueue.len()+info.backupQueue.len() > 0 && !machine.Schedulable() {
			r.copyQueues.clearQueues(now, machine)
		}
		if !machine.PreemptionTime.IsZero() {
			r.evacuate(now, info)
		}
	}
}

// evacuate migrates the replicas on a machine with a preemption notice, those of a service as soon as another
// machine can run them at once, and all of them at the last moment. It preempts tasks that save checkpoints as
// late as the time to save one allows.
func (r *rescheduler) evacuate(now time.Time, info *machineInfo) {
	heartbeats := config.Seconds(r.platform.Workers.HeartbeatS * tuning.PreemptionHeartbeats)
	latest := info.machine.PreemptionTime.Add(-heartbeats - tuning.CheckpointGrace)
	migratable := map[*Job]bool{} // by service; the same for all its replicas on one machine
	for _, task := range info.assigned.snapshot() {
		job := task.Job
		saveTime := config.Seconds(job.Spec.CheckpointSaveTimeS)
		switch {
		case task.phase != Active:
		case job.IsService():
			if _, known := migratable[job]; !known {
				migratable[job] = now.After(latest) || r.services.canMigrate(task)
			}
			if migratable[job] {
				r.services.migrateReplica(now, task)
			}
		case job.savesCheckpoints() && task.lastReportedState != wire.TaskFetching && now.Add(saveTime).After(latest):
			r.tasks.preempt(now, task, "machine has a preemption notice")
		}
	}
}

// rescheduleStuck requeues primaries that have been stuck for more than a
// heartbeat interval while another machine could start them at once.
func (r *rescheduler) rescheduleStuck(now time.Time) {
	stuckAfter := config.Seconds(r.platform.Workers.HeartbeatS * tuning.RescheduleHeartbeats)
	targets := map[*Job]startTargets{}
	for _, machine := range r.registry.All() {
		info := r.capacity.info(machine)
		if info.primaryQueue.len() == 0 {
			continue
		}
		for _, task := range info.primaryQueue.snapshot() {
			if !r.stuck(now, task, machine, stuckAfter) {
				continue
			}
			if _, known := targets[task.Job]; !known {
				targets[task.Job] = r.findStartTargets(task.Job)
			}
			if targets[task.Job].elsewhere(machine) {
				r.Counters.Rescheduled++
				r.copyQueues.requeue(now, task)
			}
		}
	}
}

// stuck reports whether a primary that is not part of a gang has been queued at a
// machine for at least stuckAfter and fitsUnallocated does not hold there.
func (r *rescheduler) stuck(now time.Time, task *Task, machine *worker.Machine, stuckAfter time.Duration) bool {
	job := task.Job
	if job.IsGang() || task.phase != Unassigned || now.Sub(task.primaryQueuedAt) < stuckAfter {
		return false
	}
	return !fitsUnallocated(job, machine)
}

// fitsUnallocated reports whether a machine is schedulable and a task of the job fits its
// unallocated resources. It ignores reservations of queued primaries, the team's limit
// and zone constraints, so a queued primary may still have to wait.
func fitsUnallocated(job *Job, machine *worker.Machine) bool {
	return machine.Schedulable() && machine.Available().Covers(job.need)
}

// startTargets holds up to two machines that could start a task of a job at once.
type startTargets [2]*worker.Machine

// findStartTargets returns the first machines that could start a task of the job at once.
func (r *rescheduler) findStartTargets(job *Job) (targets startTargets) {
	found := 0
	for _, machine := range r.registry.All() {
		if job.eligible(machine) && machine.Available().Sub(machine.Reserved).Covers(job.need) {
			targets[found] = machine
			if found++; found == len(targets) {
				break
			}
		}
	}
	return targets
}

// elsewhere reports whether a machine other than the given one is among the targets.
func (t startTargets) elsewhere(machine *worker.Machine) bool {
	return slices.ContainsFunc(t[:], func(target *worker.Machine) bool { return target != nil && target != machine })
}

package placement

import (
	"time"

	"juniperchute/internal/quota"
)

// quotaPreemption frees quota for a replica by preempting work of lower priority of
// the same team.
type quotaPreemption struct {
	scheduler *serviceScheduler
	service   *Job
	// releasing is the quota that stopping tasks of the team will release.
	releasing  quota.Resources
	candidates []*Task // assigned tasks that may be preempted
}

// preemptForQuota frees quota for a replica of a team at its limit. It requeues queued
// primaries of lower priority first, then preempts assigned tasks in ascending order of
// preemption cost. It reports whether the limit admits the replica now.
func (s *serviceScheduler) preemptForQuota(now time.Time, service *Job) bool {
	p := &quotaPreemption{scheduler: s, service: service}
	for _, machine := range s.registry.All() {
		info := s.capacity.info(machine)
		p.requeuePrimaries(now, info)
		p.collectCandidates(now, info)
	}
	if p.releasing == (quota.Resources{}) && p.admits() {
		return true
	}
	p.preemptCandidates(now)
	return false // the stopping tasks still hold their quota
}

// admits reports whether the limit admits the replica once the stopping tasks have exited.
func (p *quotaPreemption) admits() bool {
	return p.scheduler.ledger.AdmitsReservation(p.service.Spec.Team, p.service.need.Sub(p.releasing))
}

// preemptible reports whether a task belongs to an open job of the same team with lower
// priority than the service.
func (p *quotaPreemption) preemptible(task *Task) bool {
	other := task.Job
	return other.Spec.Team == p.service.Spec.Team && other.priority < p.service.priority && !other.closed
}

// requeuePrimaries makes queued primaries of a machine pending again until the limit
// admits the replica.
func (p *quotaPreemption) requeuePrimaries(now time.Time, info *machineInfo) {
	for _, task := range info.primaryQueue.snapshot() {
		// Requeuing a task of a gang also removes the gang's other tasks from the queue.
		if !p.admits() && p.preemptible(task) && task.primary == info.machine {
			p.scheduler.copyQueues.requeue(now, task)
		}
	}
}

// collectCandidates adds up the quota of the team's stopping tasks on a machine, and
// collects the other assigned tasks there that may be preempted.
func (p *quotaPreemption) collectCandidates(now time.Time, info *machineInfo) {
	for task := range info.assigned.all() {
		switch {
		case task.phase == Stopping && task.Job.Spec.Team == p.service.Spec.Team:
			p.releasing = p.releasing.Add(task.Job.need)
		case p.preemptible(task) && !task.Job.starving(now):
			p.candidates = append(p.candidates, task)
		}
	}
}

// preemptCandidates preempts candidates until the limit admits the replica. If
// preempting all of them does not suffice, it preempts none.
func (p *quotaPreemption) preemptCandidates(now time.Time) {
	sortByPreemptionCost(now, p.candidates)
	var victims []*Task
	for _, task := range p.candidates {
		if p.admits() {
			break
		}
		victims = append(victims, task)
		p.releasing = p.releasing.Add(task.Job.need)
	}
	if !p.admits() {
		return
	}
	for _, task := range victims {
		if task.phase == Stopping {
			continue // stopped together with its gang
		}
		p.scheduler.Counters.Preempted++
		p.scheduler.tasks.preempt(now, task, "gives its team's quota to "+p.service.Spec.ID)
	}
}

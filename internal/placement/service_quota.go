package placement

import (
	"slices"
	"time"

	"juniperchute/internal/quota"
)

// quotaPreemption makes room for a replica within its team's limit at the cost
// of work of lower priority of the same team.
type quotaPreemption struct {
	scheduler *serviceScheduler
	service   *Job
	// releasing is what stopping tasks of the team will give back.
	releasing quota.Resources
	running   []*Task // tasks that may be preempted
}

// preemptForQuota makes room for a replica within its team's limit: tasks that
// are only queued become pending again, and if that is not enough, running
// ones are preempted, those that lose least first. It reports whether the
// replica may start now.
func (s *serviceScheduler) preemptForQuota(now time.Time, service *Job) bool {
	p := &quotaPreemption{scheduler: s, service: service}
	for _, machine := range s.registry.All() {
		info := s.capacity.info(machine)
		p.requeuePrimaries(now, info)
		p.collectRunning(now, info)
	}
	if p.releasing == (quota.Resources{}) && p.admits() {
		return true
	}
	p.preemptRunning(now)
	return false // not before what stops has ended
}

// admits reports whether the limit will admit the replica once what stops has ended.
func (p *quotaPreemption) admits() bool {
	return p.scheduler.ledger.AdmitsReservation(p.service.Spec.Team, p.service.need.Sub(p.releasing))
}

// givesWay reports whether a task's use of the limit may go to the service.
func (p *quotaPreemption) givesWay(task *Task) bool {
	other := task.Job
	return other.Spec.Team == p.service.Spec.Team && other.priority < p.service.priority && !other.closed
}

// requeuePrimaries returns primaries that are queued at a machine, as long as it takes.
func (p *quotaPreemption) requeuePrimaries(now time.Time, info *machineInfo) {
	for _, task := range slices.Clone(info.primaryQueue) {
		// requeuing one of a gang has taken the others out of the queue
		if !p.admits() && p.givesWay(task) && task.primary == info.machine {
			p.scheduler.queues.requeue(now, task)
		}
	}
}

// collectRunning notes which tasks on a machine stop and which may be preempted.
func (p *quotaPreemption) collectRunning(now time.Time, info *machineInfo) {
	for _, task := range info.assigned {
		switch {
		case task.phase == Stopping && task.Job.Spec.Team == p.service.Spec.Team:
			p.releasing = p.releasing.Add(task.Job.need)
		case p.givesWay(task) && !task.Job.starving(now):
			p.running = append(p.running, task)
		}
	}
}

// preemptRunning preempts as many running tasks as it takes, and none if all would not do.
func (p *quotaPreemption) preemptRunning(now time.Time) {
	sortByPreemptionCost(now, p.running)
	var victims []*Task
	for _, task := range p.running {
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
			continue // its gang has been stopped as a whole
		}
		p.scheduler.Counters.Preempted++
		p.scheduler.tasks.preempt(now, task, "gives its team's quota to "+p.service.Spec.ID)
	}
}

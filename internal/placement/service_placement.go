package placement

import (
	"slices"
	"time"

	"juniperchute/internal/tuning"
	"juniperchute/internal/worker"
)

// replicaPlacement places one service's pending replicas in one round of a scheduling pass. It searches the
// machines once and updates the candidates after each replica, so that a round costs no more than a search
// and a choice among the candidates for each replica.
type replicaPlacement struct {
	*serviceScheduler
	service           *Job
	scope             quotaScope
	tasksByZone       map[string]int // scheduled replicas; nil if the service has no zone constraints
	candidates        []candidate    // machines on which one more replica fits without preemption
	candidatesCurrent bool           // the machines have been searched, and no preemption has changed them since
	preemptedForQuota bool           // other work was requeued for the next replica
}

// newReplicaPlacement returns a placement that has not searched the machines yet.
func newReplicaPlacement(s *serviceScheduler, service *Job, scope quotaScope) *replicaPlacement {
	return &replicaPlacement{serviceScheduler: s, service: service, scope: scope}
}

// findCandidates collects the machines on which one more replica fits without preemption.
func (p *replicaPlacement) findCandidates() {
	p.tasksByZone = p.service.constrainedTasksByZone(nil)
	p.candidates, p.candidatesCurrent = p.candidates[:0], true
	for _, machine := range p.registry.All() {
		if p.eligibleForReplica(machine, p.service, p.tasksByZone) {
			info := p.capacity.info(machine)
			p.candidates = append(p.candidates, candidate{info, info.replicaRank(p.service)})
		}
	}
}

// mayPlace reports whether another replica may be placed in this round. At the team's limit it preempts
// other work of the team.
func (p *replicaPlacement) mayPlace(now time.Time) bool {
	service := p.service
	if p.scope == withinGuarantee && !p.ledger.WithinGuarantee(service.Spec.Team, service.need) {
		return false
	}
	if p.pass.replicasPlaced >= tuning.MaxReplicasPerPass ||
		p.pass.replicasByPreemption >= tuning.MaxPreemptingReplicasPerPass {
		p.pass.requestFullPass() // the next pass continues with the remaining replicas
		return false
	}
	if p.ledger.AdmitsReservation(service.Spec.Team, service.need) {
		return true
	}
	p.candidatesCurrent = false
	p.preemptedForQuota = p.preemptForQuota(now, service)
	if !p.preemptedForQuota {
		p.setPendingReason(service, "team's limit")
	}
	return p.preemptedForQuota
}

// place places one pending replica and reports whether it found a machine. It dispatches the replica if it
// fits at once; otherwise it queues the replica and preempts the victims.
func (p *replicaPlacement) place(now time.Time) bool {
	if !p.candidatesCurrent {
		p.findCandidates()
	}
	service := p.service
	chosen := p.pickLowestRank(p.candidates)
	var machine *worker.Machine
	var victims []*Task
	if chosen >= 0 {
		machine = p.candidates[chosen].info.machine
	} else {
		machine, victims = p.findPreemption(now, service, p.scope)
	}
	if machine == nil {
		p.setPendingReason(service, "no room")
		return false
	}
	index, ok := service.takePendingTask(now)
	if !ok {
		p.setPendingReason(service, "pause after a failure")
		return false
	}
	service.pendingReason = ""
	p.pass.replicasPlaced++
	p.startOrQueue(now, service.addTask(index), machine, victims)
	if chosen < 0 || p.preemptedForQuota {
		p.pass.replicasByPreemption++
		p.preemptedForQuota = false
	}
	if chosen >= 0 {
		p.updateCandidates(chosen)
	} else {
		p.candidatesCurrent = false
	}
	return true
}

// startOrQueue dispatches a replica if it fits on the machine at once. Otherwise it queues the replica and
// preempts the victims.
func (p *replicaPlacement) startOrQueue(now time.Time, task *Task, machine *worker.Machine, victims []*Task) {
	service := p.service
	if len(victims) == 0 && machine.Available().Sub(machine.Reserved).Covers(service.need) {
		p.Counters.PrimariesStarted++
		p.tasks.dispatch(now, task, assignment{machine: machine, attempt: p.attempts.next(service)}, "replica starts")
		return
	}
	p.copyQueues.queuePrimary(now, task, machine)
	for _, victim := range victims {
		p.Counters.Preempted++
		p.tasks.preempt(now, victim, "preempted for "+service.Spec.ID)
	}
}

// updateCandidates updates the rank of the candidate at which a replica was placed, and removes the
// candidates on which no further replica fits.
func (p *replicaPlacement) updateCandidates(chosen int) {
	info := p.candidates[chosen].info
	p.candidates[chosen].rank = info.replicaRank(p.service)
	if p.tasksByZone != nil {
		p.tasksByZone[info.machine.Zone]++
		p.candidates = slices.DeleteFunc(p.candidates, func(c candidate) bool {
			return !p.service.mayAddTaskIn(c.info.machine.Zone, p.tasksByZone) || !p.fitsReplica(c.info.machine)
		})
	} else if !p.fitsReplica(info.machine) {
		p.candidates = slices.Delete(p.candidates, chosen, chosen+1)
	}
}

// fitsReplica reports whether one more replica fits on a machine without preemption.
func (p *replicaPlacement) fitsReplica(machine *worker.Machine) bool {
	return machine.AvailableToPrimary().Covers(p.service.need)
}

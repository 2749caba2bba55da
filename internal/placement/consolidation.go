package placement

import (
	"cmp"
	"slices"
	"time"

	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/worker"
)

// Consolidate looks for machines whose tasks would all fit elsewhere, saves and moves
// them, and draws nothing more to those machines, so that they can be returned.
// It does so only while no array waits, with a small part of the machines at a
// time, the dearest with the least on them first; the fullest take the tasks.
func (s *Scheduler) Consolidate(now time.Time) {
	if !s.reconciled || now.Before(s.nextConsolidation) || s.arrayTasksPending(now) {
		return
	}
	s.nextConsolidation = now.Add(tuning.ConsolidationInterval)
	var sources, targets []*worker.Machine
	inUse := 0
	for _, machine := range s.registry.All() {
		if machine.ActiveCopies == 0 || !machine.Schedulable(now) {
			continue
		}
		if inUse++; machine.AvailableToPrimary().DominantShare(machine.Capacity) > tuning.ConsolidationMinFree {
			targets = append(targets, machine)
		}
		if s.canRelocate(machine) {
			sources = append(sources, machine)
		}
	}
	share := func(machine *worker.Machine) float64 { return machine.Allocated.DominantShare(machine.Capacity) }
	slices.SortStableFunc(sources, func(a, b *worker.Machine) int {
		if a.Spot != b.Spot {
			if b.Spot {
				return -1
			}
			return 1
		}
		return cmp.Compare(share(a), share(b))
	})
	slices.SortStableFunc(targets, func(a, b *worker.Machine) int { return cmp.Compare(share(b), share(a)) })
	limit := max(1, inUse/tuning.ConsolidationDivisor)
	planned := map[*worker.Machine]quota.Resources{} // room on machines that take tasks
	cordoned := 0
	for i, machine := range sources {
		if cordoned == limit || i == tuning.ConsolidationTries*limit {
			break
		}
		if _, isTarget := planned[machine]; isTarget || !s.fitsElsewhere(now, machine, targets, planned) {
			continue
		}
		cordoned++
		s.log.Info("closing a machine", "host", machine.Host, "tasks", machine.ActiveCopies)
		machine.Cordoned = true
		for _, task := range slices.Clone(s.machineInfo(machine).assigned) {
			s.Counters.Relocated++
			s.preempt(now, task, "its machine is to be returned")
		}
	}
}

// arrayTasksPending tells whether some array has tasks that could start if there were
// room.
func (s *Scheduler) arrayTasksPending(now time.Time) bool {
	return slices.ContainsFunc(s.openJobs, func(job *Job) bool { return !job.IsGang() && job.pendingTasks() > 0 && !now.Before(job.notBefore) })
}

// canRelocate tells whether nothing is lost when a machine's tasks move.
func (s *Scheduler) canRelocate(machine *worker.Machine) bool {
	info := s.machineInfo(machine)
	if len(info.primaryQueue) > 0 {
		return false
	}
	for _, task := range info.assigned {
		job := task.Job
		if task.phase != Active || task.isBackup || job.closed || job.IsGang() || job.IsService() || job.Spec.CheckpointIntervalS <= 0 || task.runningSince.IsZero() {
			return false
		}
	}
	return true
}

// fitsElsewhere tells whether other machines in use that have the images would
// take a machine's tasks now, beside what got says they are taking already, and
// enters the tasks there if so.
func (s *Scheduler) fitsElsewhere(now time.Time, machine *worker.Machine, targets []*worker.Machine, planned map[*worker.Machine]quota.Resources) bool {
	added := map[*worker.Machine]quota.Resources{}
	for _, task := range s.machineInfo(machine).assigned {
		job := task.Job
		i := slices.IndexFunc(targets, func(other *worker.Machine) bool {
			// most have no room at all: that is asked first
			if !other.AvailableToPrimary().Fits(job.need) || other == machine || other.Cordoned || !other.AvailableToPrimary().Sub(planned[other]).Sub(added[other]).Fits(job.need) || !job.allows(other.Type, other.Zone, other.Spot) || job.avoids(other) {
				return false
			}
			_, ok := other.Images[job.Spec.Image]
			return ok
		})
		if i < 0 {
			return false
		}
		added[targets[i]] = added[targets[i]].Add(job.need)
	}
	for other, resources := range added {
		planned[other] = planned[other].Add(resources)
	}
	return true
}

// uncordonAll makes closing machines that are not empty yet usable again.
func (s *Scheduler) uncordonAll() {
	for _, machine := range s.registry.All() {
		if machine.Cordoned {
			machine.Cordoned = false
			s.markDirty(s.machineInfo(machine))
		}
	}
}

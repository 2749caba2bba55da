package placement

import (
	"time"

	"juniperchute/internal/tuning"
)

// passFilter restricts one round of a scheduling pass over the jobs of a tier.
type passFilter struct {
	scope       quotaScope       // part of the team's quota that placements may use
	requirement imageRequirement // for arrays only
}

// imageRequirement restricts machines by their cached images.
type imageRequirement bool

const (
	anyMachine  imageRequirement = false
	cachedImage imageRequirement = true // only machines that cache the task's image
)

// Schedule runs a scheduling pass: it queues the copies of array tasks, places
// gangs and services, and reschedules stuck tasks. It returns early if no
// periodic pass is due and neither capacity nor the jobs have changed.
func (s *Scheduler) Schedule(now time.Time) {
	due := !now.Before(s.nextPassDue)
	if due {
		s.nextPassDue = now.Add(tuning.PassInterval)
		s.failures.expire(now)
		s.rescheduler.handlePreemptionNotices(now)
		s.rescheduler.rescheduleStuck(now)
	}
	if gained := s.capacity.refresh(now); !gained && !due && !s.pass.fullPassNeeded {
		return
	}
	s.pass.reset()
	s.refreshOrder(now)
	for _, tier := range s.jobQueue.tiers {
		s.scheduleTier(now, tier)
	}
	for _, job := range s.jobQueue.open {
		if job.IsGang() {
			s.gangs.dispatch(now, job)
		}
	}
}

// refreshOrder sorts the open jobs if that is due, and updates the state that
// depends on the order.
func (s *Scheduler) refreshOrder(now time.Time) {
	if !s.jobQueue.sortIfDue(now) {
		return
	}
	s.capacity.setSmallestNeed(s.jobQueue.smallestArrayNeed())
	machinesByImage := s.capacity.machinesByImage()
	for _, tier := range s.jobQueue.tiers {
		s.arrays.prepare(now, tier.jobs, machinesByImage)
	}
}

// scheduleTier schedules the jobs of a tier: first those within the guarantees
// of their teams, then all. Each step begins with a round in which arrays use
// only machines that cache their image, so that a task may overtake one of a
// slightly earlier position that would have to pull its image.
func (s *Scheduler) scheduleTier(now time.Time, tier priorityTier) {
	for _, scope := range []quotaScope{withinGuarantee, withinLimit} {
		if scope == withinGuarantee && !s.ledger.HasGuarantees() {
			continue
		}
		for _, requirement := range []imageRequirement{cachedImage, anyMachine} {
			jobs := tier.jobs
			if len(s.capacity.freeMachines) == 0 {
				jobs = tier.gangsAndServices // only these may preempt other work
			}
			for _, job := range jobs {
				s.scheduleJob(now, job, passFilter{scope, requirement})
			}
		}
	}
}

// scheduleJob schedules a job's pending tasks. The cheap checks come first, since
// most jobs have none.
func (s *Scheduler) scheduleJob(now time.Time, job *Job, filter passFilter) {
	switch {
	case !job.isArray() && filter.requirement == cachedImage:
		return // the costs of gang and service slots include the image
	case !job.IsGang() && job.pendingTasks() == 0:
		return
	case job.isArray() && len(s.capacity.freeMachines) == 0:
		return
	case job.closed || now.Before(job.backoffUntil):
		return
	case !s.markers.safeToStart(job):
		s.setPendingReason(job, "its tasks may be on machines not reconciled yet")
		return
	case !s.markers.canRequest(job):
		return
	}
	switch {
	case job.IsGang():
		s.gangs.schedule(now, job, filter.scope)
	case job.IsService():
		s.services.schedule(now, job, filter.scope)
	default:
		s.arrays.schedule(now, job, filter)
	}
}

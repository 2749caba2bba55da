package placement

import (
	"time"

	"juniperchute/internal/tuning"
)

// passFilter tells which of a pass's rounds over the jobs this is.
type passFilter struct {
	scope       preemptionScope  // only what stays within its team's guarantee, or all
	requirement imageRequirement // only tasks whose image the machine has, with exceptions, or all
}

// imageRequirement says which machines come into question by the image they have.
type imageRequirement bool

const (
	anyMachine  imageRequirement = false
	cachedImage imageRequirement = true // only machines that have the task's image
)

// Schedule runs a scheduling pass: it goes through the pending tasks in order,
// queues the copies of arrays' tasks, places gangs and services, and reschedules
// what is stuck. It does nothing while nothing has changed.
func (s *Scheduler) Schedule(now time.Time) {
	due := !now.Before(s.nextPassDue)
	if due {
		s.nextPassDue = now.Add(tuning.PassInterval)
		s.rescheduler.handlePreemptionNotices(now)
		s.rescheduler.rescheduleStuck(now)
	}
	if gained := s.capacity.refresh(now); !gained && !due && !s.pass.fullPassNeeded {
		return
	}
	s.pass.reset()
	s.refreshOrder(now)
	for _, tier := range s.queue.tiers {
		s.scheduleTier(now, tier)
	}
	for _, job := range s.queue.open {
		if job.IsGang() {
			s.gangs.dispatch(now, job)
		}
	}
}

// refreshOrder sorts the open jobs if that is due, and brings up to date what
// follows from the order.
func (s *Scheduler) refreshOrder(now time.Time) {
	if !s.queue.sortIfDue(now) {
		return
	}
	s.capacity.setSmallestNeed(s.queue.smallestArrayNeed())
	machinesByImage := s.capacity.machinesByImage()
	for _, tier := range s.queue.tiers {
		s.arrays.prepare(now, tier.jobs, machinesByImage)
	}
}

// scheduleTier goes through the jobs of a tier: those within their teams'
// guarantees first. In each of the two, room goes to a task whose image is
// cached before one of a somewhat earlier position that would have it fetched.
func (s *Scheduler) scheduleTier(now time.Time, tier priorityTier) {
	for _, scope := range []preemptionScope{guaranteedWork, anyWork} {
		if scope == guaranteedWork && !s.ledger.HasGuarantees() {
			continue
		}
		for _, requirement := range []imageRequirement{cachedImage, anyMachine} {
			jobs := tier.jobs
			if len(s.capacity.freeMachines) == 0 {
				jobs = tier.gangsAndServices // other work may be preempted for them
			}
			for _, job := range jobs {
				s.scheduleJob(now, job, passFilter{scope, requirement})
			}
		}
	}
}

// scheduleJob places what a job has pending. Most jobs have nothing: that is asked first.
func (s *Scheduler) scheduleJob(now time.Time, job *Job, filter passFilter) {
	switch {
	case !job.isArray() && filter.requirement == cachedImage:
		return // for these the image counts in the cost of a place
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

package fakes

import (
	"fmt"
	"slices"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/quota"
	"juniperchute/internal/wire"
)

// Rule names one of the protocol's rules, or another expectation of a test.
type Rule string

// The protocol's rules that the cluster checks, by the names that the users' bench gives them.
const (
	DuplicateExecution Rule = "ran_twice"
	QuotaExceeded      Rule = "quota"
	PlacementViolated  Rule = "wrong_place"
	CancelledTaskRan   Rule = "ran_cancelled"
	JobLost            Rule = "forgotten"
	CompletedEarly     Rule = "not_done"
	StateRegressed     Rule = "went_back"
	// Expectation is anything else that a test expects.
	Expectation Rule = "expectation"
)

// Violation is a broken rule.
type Violation struct {
	Rule    Rule
	Elapsed time.Duration // since the cluster was made
	Detail  string
}

// String is the violation in one line.
func (v Violation) String() string {
	return fmt.Sprintf("after %v: %s: %s", v.Elapsed, v.Rule, v.Detail)
}

// LostJobTimeout is how long a job may go without an answered query once all faults are over.
const LostJobTimeout = 75 * time.Second

// roundingSlack absorbs the rounding of sums of decimal amounts.
const roundingSlack = 1e-6

// AddViolation records a broken rule.
func (c *Cluster) AddViolation(rule Rule, format string, args ...any) {
	c.Violations = append(c.Violations, Violation{rule, c.Clock.Now().Sub(c.startedAt), fmt.Sprintf(format, args...)})
}

func (c *Cluster) cancelTimeout() time.Duration { return config.Seconds(c.Config.Workers.CancelS) }

// cancelOverdue reports whether a job was cancelled so long ago that none of its tasks may be
// left.
func (c *Cluster) cancelOverdue(job *Job) bool {
	return job.KnownState == wire.JobCancelled && c.Clock.Now().Sub(job.CancelledAt) > c.cancelTimeout()
}

// checkStart checks the rules that the start of a task may break.
func (c *Cluster) checkStart(worker *Worker, job *Job, index int) {
	name := wire.TaskName(job.Spec.ID, index)
	zones := map[string]int{}
	for _, other := range job.workersWithTasks() {
		for _, task := range other.Tasks {
			if task.Job != job || !task.OnMachine() {
				continue
			}
			zones[other.Host.Zone]++
			if task.Index == index {
				c.AddViolation(DuplicateExecution, "%s starts on %s while on %s", name, worker.Host.ID, other.Host.ID)
			}
		}
	}
	c.checkPlacement(worker, job, name, zones)
	if c.cancelOverdue(job) {
		c.AddViolation(CancelledTaskRan, "%s starts", name)
	}
}

// checkPlacement checks a start against the job's constraints; zones counts the job's other tasks
// on machines by zone.
func (c *Cluster) checkPlacement(worker *Worker, job *Job, name string, zones map[string]int) {
	spec := &job.Spec
	if !allowedOn(spec, &worker.Host) {
		c.AddViolation(PlacementViolated, "%s on %s", name, worker.Host.ID)
	}
	for zone, count := range zones {
		if spec.SameZone && count > 0 && zone != worker.Host.Zone {
			c.AddViolation(PlacementViolated, "%s is in another zone than its siblings", name)
		}
	}
	if spec.SpreadAcrossZones && zones[worker.Host.Zone]+1 > (spec.Tasks+1)/2 {
		c.AddViolation(PlacementViolated, "%s is one too many in its zone", name)
	}
}

// Usage is what each team's tasks use, with the tasks on machines by job.
func (c *Cluster) Usage() (teams map[string]quota.Resources, jobs map[*Job]int) {
	teams, jobs = map[string]quota.Resources{}, map[*Job]int{}
	for _, worker := range c.Workers {
		for _, task := range worker.Tasks {
			if task.OnMachine() {
				team := task.Job.Spec.Team
				teams[team] = teams[team].Add(task.Job.resources())
				jobs[task.Job]++
			}
		}
	}
	return teams, jobs
}

// allowedOn reports whether a job's tasks may run on a machine of that type and zone.
func allowedOn(spec *wire.JobSpec, host *wire.Machine) bool {
	typeAllowed := spec.AnyType || slices.Contains(spec.Types, host.Type)
	zoneAllowed := spec.Zone == "" || spec.Zone == host.Zone
	return typeAllowed && zoneAllowed && (spec.Spot || !host.Spot)
}

// Check checks the rules that hold at every moment. It is called after each step of a simulation,
// so it looks at each task once.
func (c *Cluster) CheckInvariants() {
	used := make([]quota.Resources, len(c.Config.Teams))
	for _, worker := range c.Workers {
		for _, t := range worker.Tasks {
			if !t.OnMachine() {
				continue
			}
			for i := range c.Config.Teams {
				if c.Config.Teams[i].Name == t.Job.Spec.Team {
					used[i] = used[i].Add(t.Job.resources())
				}
			}
			if c.cancelOverdue(t.Job) {
				c.AddViolation(CancelledTaskRan, "%s/%d still on %s", t.Job.Spec.ID, t.Index, worker.Host.ID)
			}
		}
	}
	for i, t := range c.Config.Teams {
		if exceeds(used[i].CPUs, t.CPUsMax) || exceeds(used[i].GPUs, t.GPUsMax) {
			c.AddViolation(QuotaExceeded, "%s uses %v", t.Name, used[i])
		}
	}
}

// exceeds reports whether a use is above a limit; 0 is no limit.
func exceeds(used, limit float64) bool { return limit > 0 && used > limit+roundingSlack }

// CheckLostJobs checks that a query about each accepted job was answered lately.
func (c *Cluster) CheckLostJobs() {
	for _, job := range c.Submitted {
		if unanswered := c.Clock.Now().Sub(job.LastResponseAt); job.Accepted && unanswered > LostJobTimeout {
			c.AddViolation(JobLost, "no query about %s was answered for %v", job.Spec.ID, unanswered)
		}
	}
}

// RecordResponse records that a request about a job was answered with its state; before is the state
// that its user knew when the request was sent. changed reports whether this was the first answer
// that the job is accepted, or that it has ended.
func (c *Cluster) RecordResponse(job *Job, state, before string) (changed bool) {
	switch {
	case isFinal(before) && state != before:
		c.AddViolation(StateRegressed, "%s was reported as %s, now as %s", job.Spec.ID, before, state)
	case state == wire.JobDone && !job.Complete():
		c.AddViolation(CompletedEarly, "%s", job.Spec.ID)
	case state == wire.JobCancelled && !job.CancelRequested:
		c.AddViolation(StateRegressed, "%s was never cancelled", job.Spec.ID)
	}
	if job.Infeasible {
		c.AddViolation(Expectation, "%s was accepted, though it can never run", job.Spec.ID)
	}
	job.LastResponseAt = c.Clock.Now()
	if job.Ended() {
		return false
	}
	changed = !job.Accepted || isFinal(state)
	if state == wire.JobCancelled {
		job.CancelledAt = c.Clock.Now()
	}
	job.Accepted, job.KnownState = true, state
	return changed
}

// RecordFailedRequest records that a request about a job was answered with another status than 200 and
// 201, or not at all (0); before is the state that its user knew when the request was sent.
func (c *Cluster) RecordFailedRequest(job *Job, before string, status int) {
	switch status {
	case 429, 503, 0:
		return
	case 404:
		if before == "" {
			return // no user knows yet that it is accepted
		}
	}
	c.AddViolation(JobLost, "%s, reported as %q before, answered %d", job.Spec.ID, before, status)
}

package standin

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

// The protocol's rules that the cluster checks.
const (
	RanTwice     Rule = "ran_twice"
	QuotaExceeded  Rule = "quota"
	PlacementViolated   Rule = "wrong_place"
	RanCancelled Rule = "ran_cancelled"
	JobForgotten    Rule = "forgotten"
	CompletedEarly      Rule = "not_done"
	StateRegressed     Rule = "went_back"
	// Expectation is anything else that a test expects.
	Expectation Rule = "expectation"
)

// Violation is a broken rule.
type Violation struct {
	Rule   Rule
	Elapsed  time.Duration // since the cluster's beginning
	Detail string
}

func (v Violation) String() string {
	return fmt.Sprintf("after %v: %s: %s", v.Elapsed, v.Rule, v.Detail)
}

// JobForgottenAfter is how long after the last trouble a job may go without an answered
// question.
const JobForgottenAfter = 75 * time.Second

// roundingSlack absorbs the rounding of sums of decimal amounts.
const roundingSlack = 1e-6

// AddViolation records a broken rule.
func (c *Cluster) AddViolation(rule Rule, format string, args ...any) {
	c.Violations = append(c.Violations, Violation{rule, c.Clock.Now().Sub(c.startedAt), fmt.Sprintf(format, args...)})
}

func (c *Cluster) cancelTimeout() time.Duration { return config.Seconds(c.Config.Workers.CancelS) }

// cancelOverdue tells whether a job was cancelled so long ago that none of its tasks may be
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
				c.AddViolation(RanTwice, "%s starts on %s while on %s", name, worker.Host.ID, other.Host.ID)
			}
		}
	}
	c.checkPlacement(worker, job, name, zones)
	if c.cancelOverdue(job) {
		c.AddViolation(RanCancelled, "%s starts", name)
	}
}

// checkPlacement checks a start against the placement conditions; zones counts the job's
// other tasks.
func (c *Cluster) checkPlacement(worker *Worker, job *Job, name string, zones map[string]int) {
	spec := &job.Spec
	typeAllowed := spec.AnyType || slices.Contains(spec.Types, worker.Host.Type)
	zoneAllowed := spec.Zone == "" || spec.Zone == worker.Host.Zone
	if !typeAllowed || !zoneAllowed || worker.Host.Spot && !spec.Spot {
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

// Check checks the rules that hold at every moment. It is called after each step, so it
// looks at each task once.
func (c *Cluster) Check() {
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
				c.AddViolation(RanCancelled, "%s/%d still on %s", t.Job.Spec.ID, t.Index, worker.Host.ID)
			}
		}
	}
	for i, t := range c.Config.Teams {
		if exceeds(used[i].CPUs, t.CPUsMax) || exceeds(used[i].GPUs, t.GPUsMax) {
			c.AddViolation(QuotaExceeded, "%s uses %v", t.Name, used[i])
		}
	}
}

func exceeds(used, limit float64) bool { return limit > 0 && used > limit+roundingSlack }

// CheckJobsForgotten checks that a question about each accepted job was answered lately.
func (c *Cluster) CheckJobsForgotten() {
	for _, job := range c.Submitted {
		if unanswered := c.Clock.Now().Sub(job.AnsweredAt); job.Accepted && unanswered > JobForgottenAfter {
			c.AddViolation(JobForgotten, "no question about %s was answered for %v", job.Spec.ID, unanswered)
		}
	}
}

// RecordAnswer records that a user was told a job's state; before is the state that the user had
// been told when the request was sent. It tells whether this was the first news of an
// acceptance or of an end.
func (c *Cluster) RecordAnswer(job *Job, stage, before string) (isNews bool) {
	switch {
	case isFinal(before) && stage != before:
		c.AddViolation(StateRegressed, "%s was told %s, now %s", job.Spec.ID, before, stage)
	case stage == wire.JobDone && !job.Complete():
		c.AddViolation(CompletedEarly, "%s", job.Spec.ID)
	case stage == wire.JobCancelled && !job.CancelRequested:
		c.AddViolation(StateRegressed, "%s was never cancelled", job.Spec.ID)
	}
	if job.Infeasible {
		c.AddViolation(Expectation, "%s was accepted, though it can never run", job.Spec.ID)
	}
	job.AnsweredAt = c.Clock.Now()
	if job.Ended() {
		return false
	}
	isNews = !job.Accepted || isFinal(stage)
	if stage == wire.JobCancelled {
		job.CancelledAt = c.Clock.Now()
	}
	job.Accepted, job.KnownState = true, stage
	return isNews
}

// RecordRefusal records that a request about a job was refused: before is the state that its
// user had been told when it was sent.
func (c *Cluster) RecordRefusal(job *Job, before string, status int) {
	switch status {
	case 429, 503, 0:
		return
	case 404:
		if before == "" {
			return // not accepted yet as far as any user was told
		}
	}
	c.AddViolation(JobForgotten, "%s, told %q before, answered %d", job.Spec.ID, before, status)
}

// Fits tells whether a job, or one task of an array, could start now on machines that
// usable approves of, while its team uses what is given.
func (c *Cluster) Fits(job *Job, used quota.Resources, usable func(worker *Worker) bool) bool {
	spec := &job.Spec
	needed := 1
	if spec.Shape != wire.ShapeBatch {
		needed = spec.Tasks
	}
	for _, team := range c.Config.Teams {
		if team.Name == spec.Team && (exceeds(used.CPUs+float64(needed)*spec.Vcpus, team.CPUsMax) || exceeds(used.GPUs+float64(needed)*spec.Gpus, team.GPUsMax)) {
			return false
		}
	}
	slots := map[string]int{}
	for _, worker := range c.Workers {
		wrongType := !spec.AnyType && !slices.Contains(spec.Types, worker.Host.Type)
		if worker.Hung || worker.Faulty || worker.Terminated || !worker.PreemptionTime.IsZero() || wrongType || spec.Zone != "" && spec.Zone != worker.Host.Zone || worker.Host.Spot && !spec.Spot || !usable(worker) {
			continue
		}
		slots[worker.Host.Zone] += worker.Available().FitCount(job.resources(), spec.Tasks)
	}
	total, largest := 0, 0
	for _, n := range slots {
		if spec.SpreadAcrossZones {
			n = min(n, (spec.Tasks+1)/2)
		}
		total, largest = total+n, max(largest, n)
	}
	if spec.SameZone {
		total = largest
	}
	return total >= needed
}

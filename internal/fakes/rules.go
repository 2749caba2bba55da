package fakes

import (
	"fmt"
	"slices"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/quota"
	"juniperchute/internal/wire"
)

// Rule identifies a rule of the protocol or an expectation of a test.
type Rule string

// Rules of the protocol that the cluster checks. The values are the names in the users' benchmark.
const (
	DuplicateExecution Rule = "ran_twice"
	QuotaExceeded      Rule = "quota"
	PlacementViolated  Rule = "wrong_place"
	CancelledTaskRan   Rule = "ran_cancelled"
	JobLost            Rule = "forgotten"
	CompletedEarly     Rule = "not_done"
	StateRegressed     Rule = "went_back"
	// WrongState is the meaning of a job's state: "pending" says that no task runs.
	WrongState Rule = "wrong_state"
	// Expectation covers all other expectations of a test.
	Expectation Rule = "expectation"
)

// Violation describes one violation of a rule.
type Violation struct {
	Rule    Rule
	Elapsed time.Duration // since the creation of the cluster
	Detail  string
}

// String formats the violation in one line.
func (v Violation) String() string {
	return fmt.Sprintf("after %v: %s: %s", v.Elapsed, v.Rule, v.Detail)
}

// LostJobTimeout bounds the time without a successful response about an accepted job once all
// faults have ended. A job beyond it counts as lost.
const LostJobTimeout = 75 * time.Second

// StateLag is the time by which the state in a response may lag.
const StateLag = 3 * time.Second

// roundingTolerance absorbs rounding errors in sums of resource amounts.
const roundingTolerance = 1e-6

// AddViolation records a violation of a rule at the current time.
func (c *Cluster) AddViolation(rule Rule, format string, args ...any) {
	c.Violations = append(c.Violations, Violation{rule, c.Clock.Now().Sub(c.startedAt), fmt.Sprintf(format, args...)})
}

func (c *Cluster) cancellationTimeout() time.Duration {
	return config.Seconds(c.Config.Workers.CancelS)
}

// cancellationOverdue reports whether a job was cancelled so long ago that none of its tasks may
// remain on a machine.
func (c *Cluster) cancellationOverdue(job *Job) bool {
	return job.KnownState == wire.JobCancelled && c.Clock.Now().Sub(job.CancelledAt) > c.cancellationTimeout()
}

// checkTaskStart checks for duplicate, misplaced and cancelled tasks before a task starts.
func (c *Cluster) checkTaskStart(worker *Worker, job *Job, index int) {
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
	if c.cancellationOverdue(job) {
		c.AddViolation(CancelledTaskRan, "%s starts", name)
	}
}

// checkPlacement checks a start against the job's placement constraints. zones counts the job's
// other tasks on machines by zone.
func (c *Cluster) checkPlacement(worker *Worker, job *Job, name string, zones map[string]int) {
	spec := &job.Spec
	if !allowedOn(spec, &worker.Host) {
		c.AddViolation(PlacementViolated, "%s starts on %s, which is not eligible", name, worker.Host.ID)
	}
	for zone, count := range zones {
		if spec.SameZone && count > 0 && zone != worker.Host.Zone {
			c.AddViolation(PlacementViolated, "%s starts outside the zone of the job's other tasks", name)
		}
	}
	if spec.SpreadAcrossZones && zones[worker.Host.Zone]+1 > (spec.Tasks+1)/2 {
		c.AddViolation(PlacementViolated, "%s exceeds half of the tasks in its zone", name)
	}
}

// Usage returns the resources used by each team and the number of tasks on machines by job.
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

// allowedOn reports whether a job's tasks may run on a machine, by its type, zone and spot flag.
func allowedOn(spec *wire.JobSpec, host *wire.Machine) bool {
	typeAllowed := spec.AnyType || slices.Contains(spec.Types, host.Type)
	zoneAllowed := spec.Zone == "" || spec.Zone == host.Zone
	return typeAllowed && zoneAllowed && (spec.Spot || !host.Spot)
}

// CheckInvariants checks the rules that hold at all times: quotas, and that no task of a cancelled
// job remains. Simulations call it after each step, so it visits each task only once.
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
			if c.cancellationOverdue(t.Job) {
				c.AddViolation(CancelledTaskRan, "%s/%d is still on %s", t.Job.Spec.ID, t.Index, worker.Host.ID)
			}
		}
	}
	for i, t := range c.Config.Teams {
		if exceeds(used[i].CPUs, t.CPUsMax) || exceeds(used[i].GPUs, t.GPUsMax) {
			c.AddViolation(QuotaExceeded, "%s uses %v", t.Name, used[i])
		}
	}
}

// exceeds reports whether a usage is above a limit. A limit of 0 means no limit.
func exceeds(used, limit float64) bool { return limit > 0 && used > limit+roundingTolerance }

// CheckLostJobs checks that each accepted job got a successful response within LostJobTimeout.
func (c *Cluster) CheckLostJobs() {
	for _, job := range c.Submitted {
		if silence := c.Clock.Now().Sub(job.LastResponseAt); job.Accepted && silence > LostJobTimeout {
			c.AddViolation(JobLost, "no response about %s for %v", job.Spec.ID, silence)
		}
	}
}

// RecordResponse records a response with a job's state. knownState is the state that the user knew
// when the request was sent. changed reports whether this response was the first to show that the job
// is accepted, or that it has reached a terminal state.
func (c *Cluster) RecordResponse(job *Job, state, knownState string) (changed bool) {
	switch {
	case isTerminal(knownState) && state != knownState:
		c.AddViolation(StateRegressed, "%s reported as %s after %s", job.Spec.ID, state, knownState)
	case state == wire.JobDone && !job.Complete():
		c.AddViolation(CompletedEarly, "%s reported as done before all tasks are done", job.Spec.ID)
	case state == wire.JobCancelled && !job.CancelRequested:
		c.AddViolation(StateRegressed, "%s reported as cancelled without a request", job.Spec.ID)
	}
	if job.Infeasible {
		c.AddViolation(Expectation, "%s accepted although it can never run", job.Spec.ID)
	}
	job.LastResponseAt = c.Clock.Now()
	if job.Ended() {
		return false
	}
	changed = !job.Accepted || isTerminal(state)
	if state == wire.JobCancelled {
		job.CancelledAt = c.Clock.Now()
	}
	job.Accepted, job.KnownState = true, state
	return changed
}

// KnownToRun reports whether a task of a job runs and was reported as running, in an answered heartbeat, more than
// StateLag ago. From then on no response may say that the job is pending.
func (c *Cluster) KnownToRun(job *Job) bool {
	for _, worker := range job.workersWithTasks() {
		for _, task := range worker.Tasks {
			reported := !task.runReportedAt.IsZero() && c.Clock.Now().Sub(task.runReportedAt) > StateLag
			if task.Job == job && task.State == wire.TaskRunning && reported {
				return true
			}
		}
	}
	return false
}

// CheckPendingState checks the state in a response. knownToRun is KnownToRun as the request was sent.
func (c *Cluster) CheckPendingState(job *Job, state string, knownToRun bool) {
	if state == wire.JobPending && knownToRun && c.KnownToRun(job) {
		c.AddViolation(WrongState, "%s reported as pending while a task runs", job.Spec.ID)
	}
}

// RecordFailedRequest records a request about a job that got a status other than 200 and 201, or no
// response (status 0). knownState is the state that the user knew when the request was
// sent.
func (c *Cluster) RecordFailedRequest(job *Job, knownState string, status int) {
	switch status {
	case 429, 503, 0:
		return
	case 404:
		if knownState == "" {
			return // no response has reported the job as accepted yet
		}
	}
	c.AddViolation(JobLost, "%s reported as %q, then status %d", job.Spec.ID, knownState, status)
}

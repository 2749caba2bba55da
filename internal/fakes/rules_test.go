package fakes

import (
	"testing"
	"time"

	"juniperchute/internal/wire"
)

// ruleCase is a sequence of events in a cluster with the rule that it violates.
type ruleCase struct {
	name string
	rule Rule // "" for none
	run  func(c *Cluster)
}

// taskRuleCases start tasks on machines.
var taskRuleCases = []ruleCase{
	{
		name: "tasks on eligible machines are allowed",
		run: func(c *Cluster) {
			c.addTestJob(nil)
			c.startTask("a1", "job-1/0", 1)
			c.startTask("b1", "job-1/1", 1)
		},
	},
	{
		name: "a task started on a second machine is a duplicate",
		rule: DuplicateExecution,
		run: func(c *Cluster) {
			c.addTestJob(nil)
			c.startTask("a1", "job-1/0", 1)
			c.startTask("b1", "job-1/0", 2)
		},
	},
	{
		name: "a task restarted after its machine was removed is allowed",
		run: func(c *Cluster) {
			c.addTestJob(nil)
			c.startTask("a1", "job-1/0", 1)
			c.Remove("a1")
			c.startTask("b1", "job-1/0", 2)
		},
	},
	{
		name: "a task restarted after its worker's lease expiry is allowed",
		run: func(c *Cluster) {
			c.addTestJob(nil)
			c.startTask("a1", "job-1/0", 1)
			c.advance(11 * time.Second)
			c.startTask("b1", "job-1/0", 2)
		},
	},
	{
		name: "a team above its limit exceeds its quota",
		rule: QuotaExceeded,
		run: func(c *Cluster) {
			c.addTestJob(func(spec *wire.JobSpec) { spec.Team, spec.Gpus = "red", 2 })
			for i, host := range []string{"a1", "b1", "b2"} {
				c.startTask(host, wire.TaskName("job-1", i), 1)
			}
			c.CheckInvariants()
		},
	},
	{
		name: "a team at its limit is allowed",
		run: func(c *Cluster) {
			c.addTestJob(func(spec *wire.JobSpec) { spec.Team, spec.Gpus = "red", 2 })
			c.startTask("a1", "job-1/0", 1)
			c.startTask("b1", "job-1/1", 1)
			c.CheckInvariants()
		},
	},
	{
		name: "a task on an ineligible machine type is misplaced",
		rule: PlacementViolated,
		run: func(c *Cluster) {
			c.addTestJob(func(spec *wire.JobSpec) { spec.AnyType, spec.Types = false, []string{"g"} })
			c.startTask("b2", "job-1/0", 1)
		},
	},
	{
		name: "a task in an ineligible zone is misplaced",
		rule: PlacementViolated,
		run: func(c *Cluster) {
			c.addTestJob(func(spec *wire.JobSpec) { spec.Zone = "a" })
			c.startTask("b1", "job-1/0", 1)
		},
	},
	{
		name: "a task of an on-demand job on a spot machine is misplaced",
		rule: PlacementViolated,
		run: func(c *Cluster) {
			c.addTestJob(nil)
			c.startTask("a2", "job-1/0", 1)
		},
	},
	{
		name: "tasks of a same-zone job in two zones are misplaced",
		rule: PlacementViolated,
		run: func(c *Cluster) {
			c.addTestJob(func(spec *wire.JobSpec) { spec.SameZone = true })
			c.startTask("a1", "job-1/0", 1)
			c.startTask("b1", "job-1/1", 1)
		},
	},
	{
		name: "more than half of a spread job in one zone is misplaced",
		rule: PlacementViolated,
		run: func(c *Cluster) {
			c.addTestJob(func(spec *wire.JobSpec) { spec.SpreadAcrossZones = true })
			for i := range 3 {
				c.startTask("a1", wire.TaskName("job-1", i), 1)
			}
		},
	},
	{
		name: "a command for an unknown job is found",
		rule: Expectation,
		run:  func(c *Cluster) { c.startTask("a1", "job-9/0", 1) },
	},
}

// cancellationRuleCases run tasks of cancelled jobs.
var cancellationRuleCases = []ruleCase{
	{
		name: "a cancelled task on its machine past the timeout is found",
		rule: CancelledTaskRan,
		run: func(c *Cluster) {
			job := c.addTestJob(nil)
			c.startTask("a1", "job-1/0", 1)
			job.CancelRequested = true
			c.RecordResponse(job, wire.JobCancelled, wire.JobRunning)
			job.CancelledAt = c.Clock.Now().Add(-36 * time.Second)
			c.CheckInvariants()
		},
	},
	{
		name: "a cancelled task started past the timeout is found",
		rule: CancelledTaskRan,
		run: func(c *Cluster) {
			job := c.addTestJob(nil)
			job.CancelRequested = true
			c.RecordResponse(job, wire.JobCancelled, wire.JobPending)
			c.advance(36 * time.Second)
			c.startTask("a1", "job-1/0", 1)
		},
	},
	{
		name: "a cancelled task stopped before the timeout is allowed",
		run: func(c *Cluster) {
			job := c.addTestJob(nil)
			c.startTask("a1", "job-1/0", 1)
			job.CancelRequested = true
			c.RecordResponse(job, wire.JobCancelled, wire.JobRunning)
			c.advance(5 * time.Second)
			c.command("a1", wire.Command{Verb: wire.VerbStop, Task: "job-1/0", Attempt: 1})
			c.advance(36 * time.Second)
			c.CheckInvariants()
		},
	},
}

// copyRuleCases deliver a late copy of the command that started task job-1/0, which has been stopped.
var copyRuleCases = []ruleCase{
	{
		name: "a copy that arrives after a reap starts the task again",
		rule: Expectation,
		run: func(c *Cluster) {
			c.stopStartedTask()
			c.command("a1", wire.Command{Verb: wire.VerbReap, Task: "job-1/0", Attempt: 1})
			c.copyStart(1)
		},
	},
	{
		name: "a copy of an attempt that is still listed has no effect",
		run: func(c *Cluster) {
			c.stopStartedTask()
			c.copyStart(1)
		},
	},
	{
		name: "a copy under an older token has no effect",
		run: func(c *Cluster) {
			c.stopStartedTask()
			c.command("a1", wire.Command{Verb: wire.VerbReap, Task: "job-1/0", Attempt: 1})
			c.copyStart(0)
		},
	},
}

// responseRuleCases record responses that users get.
var responseRuleCases = []ruleCase{
	{
		name: "done before all tasks are done is too early",
		rule: CompletedEarly,
		run:  func(c *Cluster) { c.RecordResponse(c.addTestJob(nil), wire.JobDone, wire.JobRunning) },
	},
	{
		name: "pending after cancelled is a regression",
		rule: StateRegressed,
		run: func(c *Cluster) {
			job := c.addTestJob(nil)
			job.CancelRequested = true
			c.RecordResponse(job, wire.JobCancelled, wire.JobPending)
			c.RecordResponse(job, wire.JobPending, wire.JobCancelled)
		},
	},
	{
		name: "a response in flight when another reported the end is allowed",
		run: func(c *Cluster) {
			job := c.addTestJob(nil)
			job.CancelRequested = true
			c.RecordResponse(job, wire.JobCancelled, wire.JobPending)
			c.RecordResponse(job, wire.JobRunning, wire.JobPending)
		},
	},
	{
		name: "pending while a task that was reported as running runs is a wrong state",
		rule: WrongState,
		run: func(c *Cluster) {
			job := c.addTestJob(nil)
			c.runReportedTask(4 * time.Second)
			c.CheckPendingState(job, wire.JobPending, true)
		},
	},
	{
		name: "pending within the lag, or in the response to an earlier request, is allowed",
		run: func(c *Cluster) {
			job := c.addTestJob(nil)
			c.runReportedTask(2 * time.Second)
			c.CheckPendingState(job, wire.JobPending, c.KnownToRun(job))
			c.advance(2 * time.Second)
			c.CheckPendingState(job, wire.JobPending, false)
			c.CheckPendingState(job, wire.JobRunning, true)
		},
	},
	{
		name: "cancelled without a request is a regression",
		rule: StateRegressed,
		run:  func(c *Cluster) { c.RecordResponse(c.addTestJob(nil), wire.JobCancelled, wire.JobPending) },
	},
	{
		name: "an accepted job answered with 404 is lost",
		rule: JobLost,
		run:  func(c *Cluster) { c.RecordFailedRequest(c.addTestJob(nil), wire.JobPending, 404) },
	},
	{
		name: "an accepted job answered with 422 is lost",
		rule: JobLost,
		run:  func(c *Cluster) { c.RecordFailedRequest(c.addTestJob(nil), wire.JobPending, 422) },
	},
	{
		name: "an accepted job answered with 503 is allowed",
		run:  func(c *Cluster) { c.RecordFailedRequest(c.addTestJob(nil), wire.JobPending, 503) },
	},
	{
		name: "a job answered with 404 before it was accepted is allowed",
		run:  func(c *Cluster) { c.RecordFailedRequest(c.addTestJob(nil), "", 404) },
	},
	{
		name: "an accepted job without a response past the timeout is lost",
		rule: JobLost,
		run: func(c *Cluster) {
			c.addTestJob(nil)
			c.advance(76 * time.Second)
			c.CheckLostJobs()
		},
	},
	{
		name: "an accepted job that can never run is found",
		rule: Expectation,
		run: func(c *Cluster) {
			job := NewJob(wire.JobSpec{ID: "job-2", Tasks: 1}, 0)
			job.Infeasible = true
			c.RecordResponse(job, wire.JobPending, "")
		},
	},
}

// TestRuleViolations guards against checks that miss a violation of a rule or report one for a valid
// sequence.
func TestRuleViolations(t *testing.T) {
	for _, cases := range [][]ruleCase{taskRuleCases, cancellationRuleCases, copyRuleCases, responseRuleCases} {
		for _, test := range cases {
			t.Run(test.name, func(t *testing.T) {
				cluster := testCluster()
				test.run(cluster)
				cluster.expectViolation(t, test.rule)
			})
		}
	}
}

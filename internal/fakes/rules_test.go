package fakes

import (
	"testing"
	"time"

	"juniperchute/internal/wire"
)

// ruleCase is what happens in a cluster, and the rule that it breaks.
type ruleCase struct {
	name string
	rule Rule // "" for none
	play func(c *Cluster)
}

// taskRuleCases are about where and when tasks run.
var taskRuleCases = []ruleCase{
	{
		name: "tasks on machines that are allowed break nothing",
		play: func(c *Cluster) {
			c.addTestJob(nil)
			c.startTask("a1", "job-1/0", 1)
			c.startTask("b1", "job-1/1", 1)
		},
	},
	{
		name: "a task started while on another machine",
		rule: DuplicateExecution,
		play: func(c *Cluster) {
			c.addTestJob(nil)
			c.startTask("a1", "job-1/0", 1)
			c.startTask("b1", "job-1/0", 2)
		},
	},
	{
		name: "a task started after its machine was removed",
		play: func(c *Cluster) {
			c.addTestJob(nil)
			c.startTask("a1", "job-1/0", 1)
			c.Remove("a1")
			c.startTask("b1", "job-1/0", 2)
		},
	},
	{
		name: "a task started after its worker's lease has expired",
		play: func(c *Cluster) {
			c.addTestJob(nil)
			c.startTask("a1", "job-1/0", 1)
			c.advance(11 * time.Second)
			c.startTask("b1", "job-1/0", 2)
		},
	},
	{
		name: "a team above its limit",
		rule: QuotaExceeded,
		play: func(c *Cluster) {
			c.addTestJob(func(spec *wire.JobSpec) { spec.Team, spec.Gpus = "red", 2 })
			for i, host := range []string{"a1", "b1", "b2"} {
				c.startTask(host, wire.TaskName("job-1", i), 1)
			}
			c.CheckInvariants()
		},
	},
	{
		name: "a team at its limit",
		play: func(c *Cluster) {
			c.addTestJob(func(spec *wire.JobSpec) { spec.Team, spec.Gpus = "red", 2 })
			c.startTask("a1", "job-1/0", 1)
			c.startTask("b1", "job-1/1", 1)
			c.CheckInvariants()
		},
	},
	{
		name: "a type that is not allowed",
		rule: PlacementViolated,
		play: func(c *Cluster) {
			c.addTestJob(func(spec *wire.JobSpec) { spec.AnyType, spec.Types = false, []string{"g"} })
			c.startTask("b2", "job-1/0", 1)
		},
	},
	{
		name: "a zone that is not allowed",
		rule: PlacementViolated,
		play: func(c *Cluster) {
			c.addTestJob(func(spec *wire.JobSpec) { spec.Zone = "a" })
			c.startTask("b1", "job-1/0", 1)
		},
	},
	{
		name: "spot where it is not allowed",
		rule: PlacementViolated,
		play: func(c *Cluster) {
			c.addTestJob(nil)
			c.startTask("a2", "job-1/0", 1)
		},
	},
	{
		name: "siblings in two zones that must share one",
		rule: PlacementViolated,
		play: func(c *Cluster) {
			c.addTestJob(func(spec *wire.JobSpec) { spec.SameZone = true })
			c.startTask("a1", "job-1/0", 1)
			c.startTask("b1", "job-1/1", 1)
		},
	},
	{
		name: "more than half of the siblings in one zone",
		rule: PlacementViolated,
		play: func(c *Cluster) {
			c.addTestJob(func(spec *wire.JobSpec) { spec.SpreadAcrossZones = true })
			for i := range 3 {
				c.startTask("a1", wire.TaskName("job-1", i), 1)
			}
		},
	},
	{
		name: "a command for a job that nobody submitted",
		rule: Expectation,
		play: func(c *Cluster) { c.startTask("a1", "job-9/0", 1) },
	},
}

// cancellationRuleCases are about the tasks of cancelled jobs.
var cancellationRuleCases = []ruleCase{
	{
		name: "a cancelled job's task left on its machine for too long",
		rule: CancelledTaskRan,
		play: func(c *Cluster) {
			job := c.addTestJob(nil)
			c.startTask("a1", "job-1/0", 1)
			job.CancelRequested = true
			c.RecordResponse(job, wire.JobCancelled, wire.JobRunning)
			job.CancelledAt = c.Clock.Now().Add(-36 * time.Second)
			c.CheckInvariants()
		},
	},
	{
		name: "a cancelled job's task started late",
		rule: CancelledTaskRan,
		play: func(c *Cluster) {
			job := c.addTestJob(nil)
			job.CancelRequested = true
			c.RecordResponse(job, wire.JobCancelled, wire.JobPending)
			c.advance(36 * time.Second)
			c.startTask("a1", "job-1/0", 1)
		},
	},
	{
		name: "a cancelled job's task stopped in time",
		play: func(c *Cluster) {
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

// answerRuleCases are about the answers that users get.
var answerRuleCases = []ruleCase{
	{
		name: "done before all tasks are",
		rule: CompletedEarly,
		play: func(c *Cluster) { c.RecordResponse(c.addTestJob(nil), wire.JobDone, wire.JobRunning) },
	},
	{
		name: "pending after it was reported as cancelled",
		rule: StateRegressed,
		play: func(c *Cluster) {
			job := c.addTestJob(nil)
			job.CancelRequested = true
			c.RecordResponse(job, wire.JobCancelled, wire.JobPending)
			c.RecordResponse(job, wire.JobPending, wire.JobCancelled)
		},
	},
	{
		name: "an answer that was under way when another reported the end",
		play: func(c *Cluster) {
			job := c.addTestJob(nil)
			job.CancelRequested = true
			c.RecordResponse(job, wire.JobCancelled, wire.JobPending)
			c.RecordResponse(job, wire.JobRunning, wire.JobPending)
		},
	},
	{
		name: "cancelled by nobody",
		rule: StateRegressed,
		play: func(c *Cluster) { c.RecordResponse(c.addTestJob(nil), wire.JobCancelled, wire.JobPending) },
	},
	{
		name: "an accepted job not found",
		rule: JobLost,
		play: func(c *Cluster) { c.RecordFailedRequest(c.addTestJob(nil), wire.JobPending, 404) },
	},
	{
		name: "an accepted job refused as one that can never run",
		rule: JobLost,
		play: func(c *Cluster) { c.RecordFailedRequest(c.addTestJob(nil), wire.JobPending, 422) },
	},
	{
		name: "a controller that cannot answer",
		play: func(c *Cluster) { c.RecordFailedRequest(c.addTestJob(nil), wire.JobPending, 503) },
	},
	{
		name: "a query before the job was accepted",
		play: func(c *Cluster) { c.RecordFailedRequest(c.addTestJob(nil), "", 404) },
	},
	{
		name: "no query answered for long",
		rule: JobLost,
		play: func(c *Cluster) {
			c.addTestJob(nil)
			c.advance(76 * time.Second)
			c.CheckLostJobs()
		},
	},
	{
		name: "a job accepted that can never run",
		rule: Expectation,
		play: func(c *Cluster) {
			job := NewJob(wire.JobSpec{ID: "job-2", Tasks: 1}, 0)
			job.Infeasible = true
			c.RecordResponse(job, wire.JobPending, "")
		},
	},
}

// TestChecker checks that the checker finds a planted violation of each rule, and none where there
// is none.
func TestChecker(t *testing.T) {
	for _, cases := range [][]ruleCase{taskRuleCases, cancellationRuleCases, answerRuleCases} {
		for _, test := range cases {
			t.Run(test.name, func(t *testing.T) {
				cluster := testCluster()
				test.play(cluster)
				cluster.expectViolation(t, test.rule)
			})
		}
	}
}

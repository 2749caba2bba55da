package fakes

import (
	"math/rand/v2"
	"testing"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/quota"
	"juniperchute/internal/wire"
)

// discardNetwork drops all heartbeats.
type discardNetwork struct{}

func (discardNetwork) Nodes() int                                    { return 1 }
func (discardNetwork) NodeIndex(string) int                          { return -1 }
func (discardNetwork) Send(*Worker, int, *wire.Heartbeat, ReplyFunc) {}

// testCluster returns a cluster with two machines in each of two zones.
func testCluster() *Cluster {
	teams := []config.Team{{Name: "red", GPUsMax: 4}, {Name: "blue"}}
	platform := DeploymentConfig([]string{"a", "b"}, teams, 1.5, 10)
	cluster := NewCluster(NewClock(Epoch), rand.New(rand.NewPCG(1, 1)), platform, discardNetwork{})
	for _, host := range []wire.Machine{
		{ID: "a1", Type: "g", Zone: "a"},
		{ID: "a2", Type: "g", Zone: "a", Spot: true},
		{ID: "b1", Type: "g", Zone: "b"},
		{ID: "b2", Type: "h", Zone: "b"},
	} {
		cluster.AddWorker(host, quota.Resources{CPUs: 16, GPUs: 8, MemGB: 64})
	}
	return cluster
}

// addTestJob adds an accepted job-1 with three tasks. change, if set, modifies its spec.
func (c *Cluster) addTestJob(change func(spec *wire.JobSpec)) *Job {
	spec := wire.JobSpec{
		ID:      "job-1",
		Team:    "blue",
		Shape:   wire.ShapeBatch,
		Tasks:   3,
		Vcpus:   1,
		Gpus:    1,
		MemGB:   1,
		Image:   "i",
		AnyType: true,
	}
	if change != nil {
		change(&spec)
	}
	job := NewJob(spec, 100*time.Second)
	c.AddJob(job)
	c.RecordResponse(job, wire.JobPending, "")
	return job
}

// startTask sends a worker the command to start a task.
func (c *Cluster) startTask(host, task string, attempt uint64) {
	c.command(host, wire.Command{Verb: wire.VerbRun, Task: task, Attempt: attempt})
}

// runReportedTask lets a task of job-1 run for a time after an answered heartbeat listed it as running.
func (c *Cluster) runReportedTask(d time.Duration) {
	worker := c.Workers["a1"]
	c.startTask("a1", "job-1/0", 1)
	worker.Tasks[0].State = wire.TaskRunning
	worker.Tasks[0].StateEndsAt = c.Clock.Now().Add(time.Minute)
	worker.recordRunReported(worker.runningTasks())
	c.advance(d)
}

// command sends a worker a command of the first term.
func (c *Cluster) command(host string, command wire.Command) {
	worker := c.Workers[host]
	worker.HandleCommand(wire.DirectCommands{
		Token:       1,
		Incarnation: worker.Incarnation,
		Commands:    []wire.Command{command},
	})
}

// stopStartedTask starts and stops task job-1/0.
func (c *Cluster) stopStartedTask() {
	c.addTestJob(nil)
	c.startTask("a1", "job-1/0", 1)
	c.command("a1", wire.Command{Verb: wire.VerbStop, Task: "job-1/0", Attempt: 1})
}

// copyStart delivers a copy of the command that started task job-1/0, under a token.
func (c *Cluster) copyStart(token uint64) {
	worker := c.Workers["a1"]
	start := wire.Command{Verb: wire.VerbRun, Task: "job-1/0", Attempt: 1}
	worker.HandleCommandCopy(wire.DirectCommands{
		Token:       token,
		Incarnation: worker.Incarnation,
		Commands:    []wire.Command{start},
	})
}

// advance runs the clock for a duration.
func (c *Cluster) advance(d time.Duration) { c.Clock.RunUntil(c.Clock.Now().Add(d)) }

// expectViolation checks that the first violation is of a rule, or that there is none if rule is empty.
func (c *Cluster) expectViolation(t *testing.T, rule Rule) {
	t.Helper()
	switch {
	case rule == "" && len(c.Violations) > 0:
		t.Errorf("found %v", c.Violations[0])
	case rule != "" && (len(c.Violations) == 0 || c.Violations[0].Rule != rule):
		t.Errorf("found %v, want %s", c.Violations, rule)
	}
}

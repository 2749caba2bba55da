package standin

import (
	"math/rand/v2"
	"testing"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/quota"
	"juniperchute/internal/wire"
)

// discardNetwork delivers nothing.
type discardNetwork struct{}

func (discardNetwork) Nodes() int                                    { return 1 }
func (discardNetwork) NodeIndex(string) int                          { return -1 }
func (discardNetwork) Send(*Worker, int, *wire.Heartbeat, ReplyFunc) {}

// testCluster has two machines in each of two zones.
func testCluster() *Cluster {
	platform := DeploymentConfig([]string{"a", "b"}, []config.Team{{Name: "red", GPUsMax: 4}, {Name: "blue"}}, 1.5, 10)
	c := NewCluster(NewClock(Epoch), rand.New(rand.NewPCG(1, 1)), platform, discardNetwork{})
	for _, h := range []wire.Machine{
		{ID: "a1", Type: "g", Zone: "a"}, {ID: "a2", Type: "g", Zone: "a", Spot: true},
		{ID: "b1", Type: "g", Zone: "b"}, {ID: "b2", Type: "h", Zone: "b"},
	} {
		c.AddWorker(h, quota.Resources{CPUs: 16, GPUs: 8, MemGB: 64})
	}
	return c
}

// job is an accepted job of three tasks.
func (c *Cluster) addTestJob(change func(s *wire.JobSpec)) *Job {
	s := wire.JobSpec{ID: "job-1", Team: "blue", Shape: wire.ShapeBatch, Tasks: 3, Vcpus: 1, Gpus: 1, MemGb: 1, Image: "i", AnyType: true}
	if change != nil {
		change(&s)
	}
	job := NewJob(s, 100*time.Second)
	c.AddJob(job)
	c.RecordAnswer(job, wire.JobPending, "")
	return job
}

// startTask has a worker start a task.
func (c *Cluster) startTask(host, task string, attempt uint64) {
	worker := c.Workers[host]
	worker.HandleCommand(wire.DirectCommands{Token: 1, Incarnation: worker.Incarnation, Commands: []wire.Command{{Verb: wire.VerbRun, Task: task, Attempt: attempt}}})
}

func (c *Cluster) advance(d time.Duration) { c.Clock.RunUntil(c.Clock.Now().Add(d)) }

// The checker finds a planted violation of each rule, and none where there is none.
func TestChecker(t *testing.T) {
	for _, c := range []struct {
		name string
		rule Rule // "" for none
		play func(c *Cluster)
	}{
		{"tasks on machines that are allowed break nothing", "", func(c *Cluster) {
			c.addTestJob(nil)
			c.startTask("a1", "job-1/0", 1)
			c.startTask("b1", "job-1/1", 1)
		}},
		{"a task started while on another machine", RanTwice, func(c *Cluster) {
			c.addTestJob(nil)
			c.startTask("a1", "job-1/0", 1)
			c.startTask("b1", "job-1/0", 2)
		}},
		{"a task started after its machine was removed", "", func(c *Cluster) {
			c.addTestJob(nil)
			c.startTask("a1", "job-1/0", 1)
			c.Remove("a1")
			c.startTask("b1", "job-1/0", 2)
		}},
		{"a task started after its worker's lease is over", "", func(c *Cluster) {
			c.addTestJob(nil)
			c.startTask("a1", "job-1/0", 1)
			c.advance(11 * time.Second)
			c.startTask("b1", "job-1/0", 2)
		}},
		{"a team above its limit", QuotaExceeded, func(c *Cluster) {
			c.addTestJob(func(s *wire.JobSpec) { s.Team, s.Gpus = "red", 2 })
			for i, h := range []string{"a1", "b1", "b2"} {
				c.startTask(h, wire.TaskName("job-1", i), 1)
			}
			c.Check()
		}},
		{"a team at its limit", "", func(c *Cluster) {
			c.addTestJob(func(s *wire.JobSpec) { s.Team, s.Gpus = "red", 2 })
			c.startTask("a1", "job-1/0", 1)
			c.startTask("b1", "job-1/1", 1)
			c.Check()
		}},
		{"a type that is not allowed", PlacementViolated, func(c *Cluster) {
			c.addTestJob(func(s *wire.JobSpec) { s.AnyType, s.Types = false, []string{"g"} })
			c.startTask("b2", "job-1/0", 1)
		}},
		{"a zone that is not allowed", PlacementViolated, func(c *Cluster) {
			c.addTestJob(func(s *wire.JobSpec) { s.Zone = "a" })
			c.startTask("b1", "job-1/0", 1)
		}},
		{"spot where it is not allowed", PlacementViolated, func(c *Cluster) {
			c.addTestJob(nil)
			c.startTask("a2", "job-1/0", 1)
		}},
		{"siblings in two zones that must share one", PlacementViolated, func(c *Cluster) {
			c.addTestJob(func(s *wire.JobSpec) { s.SameZone = true })
			c.startTask("a1", "job-1/0", 1)
			c.startTask("b1", "job-1/1", 1)
		}},
		{"more than half of the siblings in one zone", PlacementViolated, func(c *Cluster) {
			c.addTestJob(func(s *wire.JobSpec) { s.SpreadAcrossZones = true })
			for i := range 3 {
				c.startTask("a1", wire.TaskName("job-1", i), 1)
			}
		}},
		{"a cancelled job's task left on its machine for too long", RanCancelled, func(c *Cluster) {
			j := c.addTestJob(nil)
			c.startTask("a1", "job-1/0", 1)
			j.CancelRequested = true
			c.RecordAnswer(j, wire.JobCancelled, wire.JobRunning)
			j.CancelledAt = c.Clock.Now().Add(-36 * time.Second)
			c.Check()
		}},
		{"a cancelled job's task started late", RanCancelled, func(c *Cluster) {
			j := c.addTestJob(nil)
			j.CancelRequested = true
			c.RecordAnswer(j, wire.JobCancelled, wire.JobPending)
			c.advance(36 * time.Second)
			c.startTask("a1", "job-1/0", 1)
		}},
		{"a cancelled job's task stopped in time", "", func(c *Cluster) {
			j := c.addTestJob(nil)
			c.startTask("a1", "job-1/0", 1)
			j.CancelRequested = true
			c.RecordAnswer(j, wire.JobCancelled, wire.JobRunning)
			c.advance(5 * time.Second)
			w := c.Workers["a1"]
			w.HandleCommand(wire.DirectCommands{Token: 1, Incarnation: w.Incarnation, Commands: []wire.Command{{Verb: wire.VerbStop, Task: "job-1/0", Attempt: 1}}})
			c.advance(36 * time.Second)
			c.Check()
		}},
		{"done before all tasks are", CompletedEarly, func(c *Cluster) { c.RecordAnswer(c.addTestJob(nil), wire.JobDone, wire.JobRunning) }},
		{"pending after it was told cancelled", StateRegressed, func(c *Cluster) {
			j := c.addTestJob(nil)
			j.CancelRequested = true
			c.RecordAnswer(j, wire.JobCancelled, wire.JobPending)
			c.RecordAnswer(j, wire.JobPending, wire.JobCancelled)
		}},
		{"an answer that was under way when another told the end", "", func(c *Cluster) {
			j := c.addTestJob(nil)
			j.CancelRequested = true
			c.RecordAnswer(j, wire.JobCancelled, wire.JobPending)
			c.RecordAnswer(j, wire.JobRunning, wire.JobPending)
		}},
		{"cancelled by nobody", StateRegressed, func(c *Cluster) { c.RecordAnswer(c.addTestJob(nil), wire.JobCancelled, wire.JobPending) }},
		{"an accepted job not found", JobForgotten, func(c *Cluster) { c.RecordRefusal(c.addTestJob(nil), wire.JobPending, 404) }},
		{"an accepted job refused as one that can never run", JobForgotten, func(c *Cluster) { c.RecordRefusal(c.addTestJob(nil), wire.JobPending, 422) }},
		{"a node that cannot tell", "", func(c *Cluster) { c.RecordRefusal(c.addTestJob(nil), wire.JobPending, 503) }},
		{"a question before the job was accepted", "", func(c *Cluster) { c.RecordRefusal(c.addTestJob(nil), "", 404) }},
		{"no question answered for long", JobForgotten, func(c *Cluster) {
			c.addTestJob(nil)
			c.advance(76 * time.Second)
			c.CheckJobsForgotten()
		}},
		{"a job accepted that can never run", Expectation, func(c *Cluster) {
			j := NewJob(wire.JobSpec{ID: "job-2", Tasks: 1}, 0)
			j.Infeasible = true
			c.RecordAnswer(j, wire.JobPending, "")
		}},
		{"a command for a job that nobody submitted", Expectation, func(c *Cluster) { c.startTask("a1", "job-9/0", 1) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			cluster := testCluster()
			c.play(cluster)
			switch broken := cluster.Violations; {
			case c.rule == "" && len(broken) > 0:
				t.Errorf("found %v", broken[0])
			case c.rule != "" && (len(broken) == 0 || broken[0].Rule != c.rule):
				t.Errorf("found %v, want %s", broken, c.rule)
			}
		})
	}
}

// Whether a job could start on the machines there are.
func TestFits(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(s *wire.JobSpec)
		used   quota.Resources
		want   bool
	}{
		{"an array needs room for one task", func(s *wire.JobSpec) { s.Gpus = 8 }, quota.Resources{}, true},
		{"a gang needs room for all", func(s *wire.JobSpec) { s.Shape, s.Gpus, s.Tasks = wire.ShapeGang, 8, 4 }, quota.Resources{}, false},
		{"a gang that fits", func(s *wire.JobSpec) { s.Shape, s.Gpus = wire.ShapeGang, 8 }, quota.Resources{}, true},
		{"a gang in one zone that has too little", func(s *wire.JobSpec) { s.Shape, s.Gpus, s.SameZone = wire.ShapeGang, 8, true }, quota.Resources{}, false},
		{"a gang spread over zones", func(s *wire.JobSpec) { s.Shape, s.Gpus, s.SpreadAcrossZones = wire.ShapeGang, 8, true }, quota.Resources{}, true},
		{"a team at its limit", func(s *wire.JobSpec) { s.Team = "red" }, quota.Resources{GPUs: 4}, false},
		{"a task larger than any machine", func(s *wire.JobSpec) { s.MemGb = 65 }, quota.Resources{}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			cluster := testCluster()
			j := cluster.addTestJob(test.change)
			if got := cluster.Fits(j, test.used, func(*Worker) bool { return true }); got != test.want {
				t.Errorf("fits: %t", got)
			}
		})
	}
}

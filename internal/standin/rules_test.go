package standin

import (
	"math/rand/v2"
	"testing"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/quota"
	"juniperchute/internal/wire"
)

// silentNetwork delivers nothing.
type silentNetwork struct{}

func (silentNetwork) Nodes() int                                     { return 1 }
func (silentNetwork) NodeIndex(string) int                           { return -1 }
func (silentNetwork) Send(*Worker, int, *wire.Heartbeat, AnswerFunc) {}

// testCluster has two machines in each of two zones.
func testCluster() *Cluster {
	facts := Facts([]string{"a", "b"}, []config.Team{{Name: "red", GPUsMax: 4}, {Name: "blue"}}, 1.5, 10)
	c := NewCluster(NewClock(Epoch), rand.New(rand.NewPCG(1, 1)), facts, silentNetwork{})
	for _, h := range []wire.Machine{
		{ID: "a1", Type: "g", Zone: "a"}, {ID: "a2", Type: "g", Zone: "a", Spot: true},
		{ID: "b1", Type: "g", Zone: "b"}, {ID: "b2", Type: "h", Zone: "b"},
	} {
		c.AddWorker(h, quota.Resources{CPUs: 16, GPUs: 8, MemGB: 64})
	}
	return c
}

// job is an accepted job of three tasks.
func (c *Cluster) testJob(change func(s *wire.JobSpec)) *Job {
	s := wire.JobSpec{ID: "job-1", Team: "blue", Shape: wire.ShapeBatch, Tasks: 3, Vcpus: 1, Gpus: 1, MemGb: 1, Image: "i", AnyType: true}
	if change != nil {
		change(&s)
	}
	j := NewJob(s, 100*time.Second)
	c.AddJob(j)
	c.Tell(j, wire.JobPending, "")
	return j
}

// start has a worker start a task.
func (c *Cluster) start(host, task string, attempt uint64) {
	w := c.Workers[host]
	w.Command(wire.DirectCommands{Token: 1, Incarnation: w.Session, Commands: []wire.Command{{Verb: wire.VerbRun, Task: task, Attempt: attempt}}})
}

func (c *Cluster) play(d time.Duration) { c.Clock.RunUntil(c.Clock.Now().Add(d)) }

// The checker finds a planted violation of each rule, and none where there is none.
func TestChecker(t *testing.T) {
	for _, c := range []struct {
		name string
		rule Rule // "" for none
		play func(c *Cluster)
	}{
		{"tasks on machines that are allowed break nothing", "", func(c *Cluster) {
			c.testJob(nil)
			c.start("a1", "job-1/0", 1)
			c.start("b1", "job-1/1", 1)
		}},
		{"a task started while on another machine", RanTwice, func(c *Cluster) {
			c.testJob(nil)
			c.start("a1", "job-1/0", 1)
			c.start("b1", "job-1/0", 2)
		}},
		{"a task started after its machine was removed", "", func(c *Cluster) {
			c.testJob(nil)
			c.start("a1", "job-1/0", 1)
			c.Remove("a1")
			c.start("b1", "job-1/0", 2)
		}},
		{"a task started after its worker's lease is over", "", func(c *Cluster) {
			c.testJob(nil)
			c.start("a1", "job-1/0", 1)
			c.play(11 * time.Second)
			c.start("b1", "job-1/0", 2)
		}},
		{"a team above its limit", QuotaBroken, func(c *Cluster) {
			c.testJob(func(s *wire.JobSpec) { s.Team, s.Gpus = "red", 2 })
			for i, h := range []string{"a1", "b1", "b2"} {
				c.start(h, wire.TaskName("job-1", i), 1)
			}
			c.Check()
		}},
		{"a team at its limit", "", func(c *Cluster) {
			c.testJob(func(s *wire.JobSpec) { s.Team, s.Gpus = "red", 2 })
			c.start("a1", "job-1/0", 1)
			c.start("b1", "job-1/1", 1)
			c.Check()
		}},
		{"a type that is not allowed", WrongPlace, func(c *Cluster) {
			c.testJob(func(s *wire.JobSpec) { s.AnyType, s.Types = false, []string{"g"} })
			c.start("b2", "job-1/0", 1)
		}},
		{"a zone that is not allowed", WrongPlace, func(c *Cluster) {
			c.testJob(func(s *wire.JobSpec) { s.Zone = "a" })
			c.start("b1", "job-1/0", 1)
		}},
		{"spot where it is not allowed", WrongPlace, func(c *Cluster) {
			c.testJob(nil)
			c.start("a2", "job-1/0", 1)
		}},
		{"siblings in two zones that must share one", WrongPlace, func(c *Cluster) {
			c.testJob(func(s *wire.JobSpec) { s.SameZone = true })
			c.start("a1", "job-1/0", 1)
			c.start("b1", "job-1/1", 1)
		}},
		{"more than half of the siblings in one zone", WrongPlace, func(c *Cluster) {
			c.testJob(func(s *wire.JobSpec) { s.SpreadAcrossZones = true })
			for i := range 3 {
				c.start("a1", wire.TaskName("job-1", i), 1)
			}
		}},
		{"a cancelled job's task left on its machine for too long", RanCancelled, func(c *Cluster) {
			j := c.testJob(nil)
			c.start("a1", "job-1/0", 1)
			j.CancelAsked = true
			c.Tell(j, wire.JobCancelled, wire.JobRunning)
			j.CancelledAt = c.Clock.Now().Add(-36 * time.Second)
			c.Check()
		}},
		{"a cancelled job's task started late", RanCancelled, func(c *Cluster) {
			j := c.testJob(nil)
			j.CancelAsked = true
			c.Tell(j, wire.JobCancelled, wire.JobPending)
			c.play(36 * time.Second)
			c.start("a1", "job-1/0", 1)
		}},
		{"a cancelled job's task stopped in time", "", func(c *Cluster) {
			j := c.testJob(nil)
			c.start("a1", "job-1/0", 1)
			j.CancelAsked = true
			c.Tell(j, wire.JobCancelled, wire.JobRunning)
			c.play(5 * time.Second)
			w := c.Workers["a1"]
			w.Command(wire.DirectCommands{Token: 1, Incarnation: w.Session, Commands: []wire.Command{{Verb: wire.VerbStop, Task: "job-1/0", Attempt: 1}}})
			c.play(36 * time.Second)
			c.Check()
		}},
		{"done before all tasks are", NotDone, func(c *Cluster) { c.Tell(c.testJob(nil), wire.JobDone, wire.JobRunning) }},
		{"pending after it was told cancelled", WentBack, func(c *Cluster) {
			j := c.testJob(nil)
			j.CancelAsked = true
			c.Tell(j, wire.JobCancelled, wire.JobPending)
			c.Tell(j, wire.JobPending, wire.JobCancelled)
		}},
		{"an answer that was under way when another told the end", "", func(c *Cluster) {
			j := c.testJob(nil)
			j.CancelAsked = true
			c.Tell(j, wire.JobCancelled, wire.JobPending)
			c.Tell(j, wire.JobRunning, wire.JobPending)
		}},
		{"cancelled by nobody", WentBack, func(c *Cluster) { c.Tell(c.testJob(nil), wire.JobCancelled, wire.JobPending) }},
		{"an accepted job not found", Forgotten, func(c *Cluster) { c.Refused(c.testJob(nil), wire.JobPending, 404) }},
		{"an accepted job refused as one that can never run", Forgotten, func(c *Cluster) { c.Refused(c.testJob(nil), wire.JobPending, 422) }},
		{"a node that cannot tell", "", func(c *Cluster) { c.Refused(c.testJob(nil), wire.JobPending, 503) }},
		{"a question before the job was accepted", "", func(c *Cluster) { c.Refused(c.testJob(nil), "", 404) }},
		{"no question answered for long", Forgotten, func(c *Cluster) {
			c.testJob(nil)
			c.play(76 * time.Second)
			c.CheckForgotten()
		}},
		{"a job accepted that can never run", Expectation, func(c *Cluster) {
			j := NewJob(wire.JobSpec{ID: "job-2", Tasks: 1}, 0)
			j.Impossible = true
			c.Tell(j, wire.JobPending, "")
		}},
		{"a command for a job that nobody submitted", Expectation, func(c *Cluster) { c.start("a1", "job-9/0", 1) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			cluster := testCluster()
			c.play(cluster)
			switch broken := cluster.Broken; {
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
	for _, c := range []struct {
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
		t.Run(c.name, func(t *testing.T) {
			cluster := testCluster()
			j := cluster.testJob(c.change)
			if got := cluster.Fits(j, c.used, func(*Worker) bool { return true }); got != c.want {
				t.Errorf("fits: %t", got)
			}
		})
	}
}

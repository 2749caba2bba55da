package fakes

import (
	"math/rand/v2"
	"sort"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/wire"
)

// ReplyFunc takes the reply to a heartbeat: the HTTP status and, with 200, the commands, with 421
// the name of the controller to send heartbeats to. Status 0 means that no reply came.
type ReplyFunc func(status int, commands wire.HeartbeatResponse, redirectTo string)

// Network carries workers' heartbeats to controllers.
type Network interface {
	// Nodes is how many controllers there are.
	Nodes() int
	// NodeIndex finds a controller by name, -1 if there is none.
	NodeIndex(name string) int
	// Send delivers a heartbeat to a controller. reply may be called late or never.
	Send(w *Worker, node int, heartbeat *wire.Heartbeat, reply ReplyFunc)
}

// Cluster is the workers and the jobs, and the rules that were broken with them.
type Cluster struct {
	Clock      *Clock
	Config     config.Platform
	Workers    map[string]*Worker // by machine name
	Jobs       map[string]*Job
	Submitted  []*Job // in the order of their submission
	Violations []Violation
	// OnJobCompleted is called with each job whose last task has just completed; may be nil.
	OnJobCompleted func(j *Job)
	// OnTaskStart is called with each task that has been accepted and starts; may be nil.
	OnTaskStart func(w *Worker, t *Task)

	rng          *rand.Rand
	network      Network
	startedAt    time.Time
	machineNames []string // of the workers, in order; nil: to be sorted anew
}

// NewCluster makes a cluster without machines.
func NewCluster(clock *Clock, rng *rand.Rand, deployment config.Platform, network Network) *Cluster {
	return &Cluster{
		Clock:     clock,
		Config:    deployment,
		Workers:   map[string]*Worker{},
		Jobs:      map[string]*Job{},
		rng:       rng,
		network:   network,
		startedAt: clock.Now(),
	}
}

// AddJob makes a job known to the workers.
func (c *Cluster) AddJob(job *Job) {
	c.Jobs[job.Spec.ID] = job
	c.Submitted = append(c.Submitted, job)
}

// MachineNames lists the workers' machines in order.
func (c *Cluster) MachineNames() []string {
	if c.machineNames == nil {
		for name := range c.Workers {
			c.machineNames = append(c.machineNames, name)
		}
		sort.Strings(c.machineNames)
	}
	return c.machineNames
}

// Remove ends a machine and all that is on it.
func (c *Cluster) Remove(host string) {
	worker := c.Workers[host]
	if worker == nil {
		return
	}
	worker.Terminated, worker.Tasks = true, nil
	delete(c.Workers, host)
	c.machineNames = nil
}

// gangMember is a task of a gang's attempt and its worker.
type gangMember struct {
	worker *Worker
	task   *Task
}

// gangMembers lists the tasks of a gang's attempt that are on machines.
func (c *Cluster) gangMembers(task *Task) []gangMember {
	var members []gangMember
	for _, worker := range task.Job.workersWithTasks() {
		for _, other := range worker.Tasks {
			if other.Job == task.Job && other.Attempt == task.Attempt && other.OnMachine() {
				members = append(members, gangMember{worker, other})
			}
		}
	}
	return members
}

// notifyCompleted reports a job to OnJobCompleted if all its tasks have completed.
func (c *Cluster) notifyCompleted(job *Job) {
	if c.OnJobCompleted != nil && job.Complete() {
		c.OnJobCompleted(job)
	}
}

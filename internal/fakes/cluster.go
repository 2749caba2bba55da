package fakes

import (
	"math/rand/v2"
	"sort"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/wire"
)

// ReplyFunc handles the reply to a heartbeat. status is the HTTP status, or 0 without a reply.
// commands is set if the status is 200. redirectTo is set if the status is 421 and names the
// controller to which the worker must send its heartbeats.
type ReplyFunc func(status int, commands wire.HeartbeatResponse, redirectTo string)

// Network carries workers' heartbeats to controllers.
type Network interface {
	// Nodes returns the number of controllers.
	Nodes() int
	// NodeIndex returns the index of a controller by name, or -1 if there is none.
	NodeIndex(name string) int
	// Send delivers a heartbeat to a controller. It may call reply late or never.
	Send(w *Worker, node int, heartbeat *wire.Heartbeat, reply ReplyFunc)
}

// Cluster holds the workers, the jobs and the rule violations found so far.
type Cluster struct {
	Clock      *Clock
	Config     config.Platform
	Workers    map[string]*Worker // by machine name
	Jobs       map[string]*Job
	Submitted  []*Job // in submission order
	Violations []Violation
	// OnJobCompleted is called when the last task of a job has completed; may be nil.
	OnJobCompleted func(j *Job)
	// OnTaskStart is called when a worker has accepted a task and starts it; may be nil.
	OnTaskStart func(w *Worker, t *Task)
	// CommandCopyShare is the share of the executed direct start commands of which the worker gets a late copy,
	// after the attempt has started, ended, been reaped, moved or cancelled, or after a failover.
	CommandCopyShare float64

	rng          *rand.Rand
	network      Network
	startedAt    time.Time
	machineNames []string // sorted cache of the keys of Workers; nil if stale
}

// NewCluster returns a cluster without workers and jobs.
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

// AddJob registers a job, so that workers accept commands for its tasks.
func (c *Cluster) AddJob(job *Job) {
	c.Jobs[job.Spec.ID] = job
	c.Submitted = append(c.Submitted, job)
}

// MachineNames returns the names of the workers' machines, sorted. The caller must not modify them.
func (c *Cluster) MachineNames() []string {
	if c.machineNames == nil {
		for name := range c.Workers {
			c.machineNames = append(c.machineNames, name)
		}
		sort.Strings(c.machineNames)
	}
	return c.machineNames
}

// Remove removes a machine, which the cloud has deleted or preempted, with its worker and tasks. Unknown
// machines are ignored.
func (c *Cluster) Remove(host string) {
	worker := c.Workers[host]
	if worker == nil {
		return
	}
	worker.Terminated, worker.Tasks = true, nil
	delete(c.Workers, host)
	c.machineNames = nil
}

// gangMember is one task of a gang attempt and the worker that runs it.
type gangMember struct {
	worker *Worker
	task   *Task
}

// gangMembers returns the tasks on machines that belong to the same gang attempt as task.
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

// notifyCompleted calls OnJobCompleted if all tasks of the job have completed.
func (c *Cluster) notifyCompleted(job *Job) {
	if c.OnJobCompleted != nil && job.Complete() {
		c.OnJobCompleted(job)
	}
}

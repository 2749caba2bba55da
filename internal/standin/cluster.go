package standin

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/quota"
	"juniperchute/internal/wire"
)

// Job is a job and what its user knows of it.
type Job struct {
	Spec       wire.JobSpec
	RunTime        time.Duration // how long each task runs
	Faulty     bool          // its tasks fail on every machine
	Infeasible bool          // it can never run, so it must not be accepted
	Done       []bool        // by task

	Accepted    bool
	KnownState        string // newest state that its user was told
	CancelRequested bool
	CancelledAt time.Time // when its user was told that it is cancelled
	AnsweredAt  time.Time // when a question about it was last answered

	workers []*Worker // that were given tasks of it, and may have some
}

// workersWithTasks lists the workers that have tasks of the job, in the order in which
// they were first given one.
func (j *Job) workersWithTasks() []*Worker {
	j.workers = slices.DeleteFunc(j.workers, func(w *Worker) bool {
		return !slices.ContainsFunc(w.Tasks, func(t *Task) bool { return t.Job == j })
	})
	return j.workers
}

// NewJob makes a job that nobody has submitted yet.
func NewJob(spec wire.JobSpec, runTime time.Duration) *Job {
	return &Job{Spec: spec, RunTime: runTime, Done: make([]bool, spec.Tasks)}
}

// Complete tells whether all tasks have completed.
func (j *Job) Complete() bool { return !slices.Contains(j.Done, false) }

// Ended tells whether the user was told a final state.
func (j *Job) Ended() bool { return isFinal(j.KnownState) }

func isFinal(stage string) bool { return stage == wire.JobDone || stage == wire.JobCancelled }

func (j *Job) resources() quota.Resources {
	return quota.Resources{CPUs: j.Spec.Vcpus, GPUs: j.Spec.Gpus, MemGB: j.Spec.MemGb}
}

// ReplyFunc takes the answer to a report: the status and, with 200, the commands, with
// 421 the node to report to.
type ReplyFunc func(status int, commands wire.HeartbeatResponse, reportsTo string)

// Network carries workers' reports to controllers.
type Network interface {
	// Nodes is how many controllers there are.
	Nodes() int
	// NodeIndex finds a controller by name, -1 if there is none.
	NodeIndex(name string) int
	// Send delivers a report to a controller. answer may be called late or never.
	Send(w *Worker, node int, report *wire.Heartbeat, answer ReplyFunc)
}

// Cluster is the workers and the jobs, and the record of the rules broken by them.
type Cluster struct {
	Clock   *Clock
	Config   config.Platform
	Workers map[string]*Worker // by machine name
	Jobs    map[string]*Job
	Submitted   []*Job // in the order of their submission
	Violations  []Violation
	// OnCompleted is told of each job whose last task has just completed; nil: nobody.
	OnCompleted func(j *Job)
	// OnTaskStart is told of each start of a task; nil: nobody.
	OnTaskStart func(w *Worker, t *Task)

	rng     *rand.Rand
	network Network
	startedAt   time.Time
	machineNames   []string // of the workers, in order; nil: to be sorted anew
}

// NewCluster makes a cluster without machines.
func NewCluster(clock *Clock, rng *rand.Rand, deployment config.Platform, network Network) *Cluster {
	return &Cluster{Clock: clock, Config: deployment, Workers: map[string]*Worker{}, Jobs: map[string]*Job{}, rng: rng, network: network, startedAt: clock.Now()}
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

// notifyCompleted is told of each job whose tasks may all have completed.
func (c *Cluster) notifyCompleted(job *Job) {
	if c.OnCompleted != nil && job.Complete() {
		c.OnCompleted(job)
	}
}

// Epoch is the time of day at which simulated time begins.
var Epoch = time.Unix(1_700_000_000, 0)

// SubmissionBody is the protocol's JSON of a submission.
func SubmissionBody(spec wire.JobSpec) map[string]any {
	body := map[string]any{
		"Id": spec.ID, "Lane": spec.Class, "Crew": spec.Team, "Shape": spec.Shape, "Rank": spec.Priority, "Pieces": spec.Tasks,
		"Vcpus": spec.Vcpus, "Gpus": spec.Gpus, "MemGb": spec.MemGb, "Bundle": spec.Image, "ImageGb": spec.ImageGb,
		"Builds": nil, "Yard": nil, "Together": spec.SameZone, "Apart": spec.SpreadAcrossZones, "Loaners": spec.Spot,
		"GuessS": spec.EstimatedRunTimeS, "BookmarkS": spec.CheckpointIntervalS, "StowS": spec.CheckpointSaveTimeS, "DueS": nil,
	}
	if !spec.AnyType {
		body["Builds"] = spec.Types
	}
	if spec.Zone != "" {
		body["Yard"] = spec.Zone
	}
	return body
}

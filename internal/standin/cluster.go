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
	Run        time.Duration // how long each task runs
	Faulty     bool          // its tasks fail on every machine
	Impossible bool          // it can never run, so it must not be accepted
	Done       []bool        // by task

	Accepted    bool
	Told        string // newest state that its user was told
	CancelAsked bool
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
func NewJob(spec wire.JobSpec, run time.Duration) *Job {
	return &Job{Spec: spec, Run: run, Done: make([]bool, spec.Tasks)}
}

// Complete tells whether all tasks have completed.
func (j *Job) Complete() bool { return !slices.Contains(j.Done, false) }

// Ended tells whether the user was told a final state.
func (j *Job) Ended() bool { return isFinal(j.Told) }

func isFinal(stage string) bool { return stage == wire.JobDone || stage == wire.JobCancelled }

func (j *Job) need() quota.Resources {
	return quota.Resources{CPUs: j.Spec.Vcpus, GPUs: j.Spec.Gpus, MemGB: j.Spec.MemGb}
}

// AnswerFunc takes the answer to a report: the status and, with 200, the commands, with
// 421 the node to report to.
type AnswerFunc func(status int, commands wire.HeartbeatResponse, reportsTo string)

// Network carries workers' reports to controllers.
type Network interface {
	// Nodes is how many controllers there are.
	Nodes() int
	// NodeIndex finds a controller by name, -1 if there is none.
	NodeIndex(name string) int
	// Send delivers a report to a controller. answer may be called late or never.
	Send(w *Worker, node int, report *wire.Heartbeat, answer AnswerFunc)
}

// Cluster is the workers and the jobs, and the record of the rules broken by them.
type Cluster struct {
	Clock   *Clock
	Facts   config.Platform
	Workers map[string]*Worker // by machine name
	Jobs    map[string]*Job
	Order   []*Job // in the order of their submission
	Broken  []Violation
	// CompletedHook is told of each job whose last task has just completed; nil: nobody.
	CompletedHook func(j *Job)
	// Started is told of each start of a task; nil: nobody.
	Started func(w *Worker, t *Task)

	rng     *rand.Rand
	network Network
	began   time.Time
	names   []string // of the workers, in order; nil: to be sorted anew
}

// NewCluster makes a cluster without machines.
func NewCluster(clk *Clock, rng *rand.Rand, facts config.Platform, network Network) *Cluster {
	return &Cluster{Clock: clk, Facts: facts, Workers: map[string]*Worker{}, Jobs: map[string]*Job{}, rng: rng, network: network, began: clk.Now()}
}

// AddJob makes a job known to the workers.
func (c *Cluster) AddJob(j *Job) {
	c.Jobs[j.Spec.ID] = j
	c.Order = append(c.Order, j)
}

// Names lists the workers' machines in order.
func (c *Cluster) Names() []string {
	if c.names == nil {
		for name := range c.Workers {
			c.names = append(c.names, name)
		}
		sort.Strings(c.names)
	}
	return c.names
}

// Remove ends a machine and all that is on it.
func (c *Cluster) Remove(host string) {
	w := c.Workers[host]
	if w == nil {
		return
	}
	w.Dead, w.Tasks = true, nil
	delete(c.Workers, host)
	c.names = nil
}

// member is a task of a gang's attempt and its worker.
type member struct {
	worker *Worker
	task   *Task
}

// members lists the tasks of a gang's attempt that are on machines.
func (c *Cluster) members(t *Task) []member {
	var out []member
	for _, w := range t.Job.workersWithTasks() {
		for _, o := range w.Tasks {
			if o.Job == t.Job && o.Attempt == t.Attempt && o.OnMachine() {
				out = append(out, member{w, o})
			}
		}
	}
	return out
}

// completed is told of each job whose tasks may all have completed.
func (c *Cluster) completed(j *Job) {
	if c.CompletedHook != nil && j.Complete() {
		c.CompletedHook(j)
	}
}

// Epoch is the time of day at which simulated time begins.
var Epoch = time.Unix(1_700_000_000, 0)

// SubmissionBody is the protocol's JSON of a submission.
func SubmissionBody(s wire.JobSpec) map[string]any {
	body := map[string]any{
		"Id": s.ID, "Lane": s.Class, "Crew": s.Team, "Shape": s.Shape, "Rank": s.Priority, "Pieces": s.Tasks,
		"Vcpus": s.Vcpus, "Gpus": s.Gpus, "MemGb": s.MemGb, "Bundle": s.Image, "ImageGb": s.ImageGb,
		"Builds": nil, "Yard": nil, "Together": s.SameZone, "Apart": s.SpreadAcrossZones, "Loaners": s.Spot,
		"GuessS": s.EstimatedRunTimeS, "BookmarkS": s.CheckpointIntervalS, "StowS": s.CheckpointSaveTimeS, "DueS": nil,
	}
	if !s.AnyType {
		body["Builds"] = s.Types
	}
	if s.Zone != "" {
		body["Yard"] = s.Zone
	}
	return body
}

package controller

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	"juniperchute/internal/fakes"
	"juniperchute/internal/store"
	"juniperchute/internal/submission"
	"juniperchute/internal/wire"
)

// unreadableRecord is a stored value that this version cannot read.
type unreadableRecord struct {
	name   string
	prefix string // of the keys that get the value
	value  string
}

// truncatedValue is a value whose end is missing.
const truncatedValue = `{"Spec":{"Id":"job-`

var unreadableRecords = []unreadableRecord{
	{name: "a page of start markers", prefix: "b/0/", value: truncatedValue},
	{name: "a page of used machines", prefix: "u/0/", value: `["i-000000"]`},
	{name: "a provisioning request", prefix: "h/0/", value: truncatedValue},
	{name: "a page of completion bitmaps", prefix: "t/0/", value: `null`},
}

// A stored record that this version cannot read is logged and left as it is. What it may
// hold is neither started nor run twice: a machine that cannot be asked still has its tasks
// when the next lease holder takes over.
func TestUnreadableRecords(t *testing.T) {
	for _, c := range unreadableRecords {
		t.Run(c.name, c.run)
	}
}

func (c unreadableRecord) run(t *testing.T) {
	sim := steadySimulation(t, 6, 8)
	sim.runUntilBitmapsStored()
	holder := sim.leaseHolder()
	cut := sim.partitionEveryOtherMachine()
	holder.crash(time.Hour)
	versions := map[string]uint64{} // of the unreadable records
	for _, key := range sortedKeys(sim.state.Keys) {
		if strings.HasPrefix(key, c.prefix) {
			sim.state.Put(key, json.RawMessage(c.value))
			versions[key] = sim.state.Keys[key].Version
		}
	}
	if len(versions) == 0 {
		t.Fatalf("no key begins with %s", c.prefix)
	}
	sim.runFor(40 * time.Second)
	for key, version := range versions {
		if sim.state.Keys[key].Version != version {
			sim.addViolation("%s was written over", key)
		}
	}
	for _, name := range cut {
		if m := sim.machines[name]; m != nil {
			m.partitioned = false
			sim.release(m)
		}
	}
	sim.requireAllJobsEnd()
}

// runUntilBitmapsStored plays until a job has some tasks completed, others open.
func (sim *simulation) runUntilBitmapsStored() {
	for stored := false; !stored; {
		sim.runFor(time.Second)
		for _, key := range sortedKeys(sim.state.Keys) {
			stored = stored || strings.HasPrefix(key, "t/0/")
		}
	}
}

// partitionEveryOtherMachine cuts half of the machines off, and returns their names.
func (sim *simulation) partitionEveryOtherMachine() []string {
	var cut []string
	for i, name := range sim.machineNames() {
		if i%2 == 0 {
			sim.machines[name].partitioned = true
			cut = append(cut, name)
		}
	}
	return cut
}

// unreadableJob is the stored value of an open job, job-0, that this version cannot read.
type unreadableJob struct {
	name  string
	value string
}

var unreadableJobs = []unreadableJob{
	{
		name:  "truncated",
		value: `{"Spec":{"Id":"job-0","Pieces":4`,
	},
	{
		name: "of an unknown shape",
		value: `{"Spec":{"Id":"job-0","Lane":"sweep","Crew":"red","Shape":"swarm","Rank":"normal","Pieces":4},` +
			`"At":1,"Block":0}`,
	},
	{
		name:  "of another form",
		value: `[2,"job-0"]`,
	},
}

// An open job's entry that cannot be read: its user is told to come back, what runs of it
// is left alone and starts nowhere else, and the entry stays as it is. Other jobs go on.
func TestUnreadableJob(t *testing.T) {
	for _, c := range unreadableJobs {
		t.Run(c.name, c.run)
	}
}

func (c unreadableJob) run(t *testing.T) {
	sim := steadySimulation(t, 6, 8)
	job := sim.jobWithMostRunningTasks()
	if job == nil {
		t.Fatal("nothing runs")
	}
	before := sim.runningTasks()[job]
	key := submission.OpenJobKey(job.Spec.ID)
	readable := sim.state.Keys[key].Value
	sim.leaseHolder().crash(time.Hour)
	sim.state.Put(key, json.RawMessage(strings.ReplaceAll(c.value, "job-0", job.Spec.ID)))
	version := sim.state.Keys[key].Version
	sim.runFor(12 * time.Second)
	writtenOver := sim.state.Keys[key].Version != version
	if now := sim.runningTasks()[job]; now != before || writtenOver {
		t.Errorf("%d tasks run, %d before; entry written over: %t", now, before, writtenOver)
	}
	sim.requireRetryLater(job)
	// a version that can read it writes it again, or it is mended
	sim.state.Put(key, readable)
	sim.requireAllJobsEnd()
	if job.KnownState != wire.JobDone {
		t.Errorf("reported as %q", job.KnownState)
	}
}

// requireRetryLater checks that every request about a job is answered with 503.
func (sim *simulation) requireRetryLater(job *fakes.Job) {
	for _, r := range []struct {
		name    string
		request request
	}{
		{name: "query", request: sim.query(job.Spec.ID)},
		{name: "cancellation", request: sim.cancellation(job.Spec.ID)},
		{name: "submission", request: sim.submission(job.Spec)},
	} {
		for _, n := range sim.nodes {
			if !n.alive {
				continue
			}
			sim.sendTo(n, r.request, func(answer submission.Response) {
				if answer.Status != 503 || answer.RetryAfter == 0 {
					sim.addViolation("%s answered %d %v", r.name, answer.Status, answer.Body)
				}
			})
		}
	}
	sim.runFor(2 * time.Second)
	sim.requireNoViolations()
}

// runningTasks counts the running tasks by job.
func (sim *simulation) runningTasks() map[*fakes.Job]int {
	running := map[*fakes.Job]int{}
	for _, m := range sim.machines {
		for _, task := range m.Tasks {
			if task.State == wire.TaskRunning {
				running[task.Job]++
			}
		}
	}
	return running
}

// jobWithMostRunningTasks is the first by name of those with most, nil if none runs.
func (sim *simulation) jobWithMostRunningTasks() *fakes.Job {
	running := sim.runningTasks()
	var most *fakes.Job
	for job, count := range running {
		if most == nil || count > running[most] || count == running[most] && job.Spec.ID < most.Spec.ID {
			most = job
		}
	}
	return most
}

// A limit for a value that nobody announced: provisioning requests, used machines, start
// markers and completion bitmaps are written in smaller records, and every job ends.
func TestUnannouncedStateLimit(t *testing.T) {
	for _, valueBytes := range []int{1024, 600} {
		sim := newSimulation(t, 11, testConfig(oneZone, steadyTeams, 1.5, 10), 1, oneZoneTypes)
		sim.cloud.Available[fakes.CapacityKey(smallType.Name, "a", false)] = 80
		sim.state.Limits.MaxValueBytes = valueBytes
		refused := map[string]int{}
		sim.state.OnCall = func(c store.Call, err error) {
			for _, w := range c.Transaction.Writes {
				if errors.Is(err, store.ErrInvalid) && w.Lease == 0 {
					refused[w.Put+string(w.Value)]++
				}
			}
		}
		for i := range 70 {
			sim.add(steadyJob(i), 20*time.Second)
		}
		sim.runFor(60 * time.Second)
		if len(refused) == 0 {
			t.Fatal("nothing was refused: this tests nothing")
		}
		for value, n := range refused {
			if n > 1 {
				t.Errorf("%d bytes limit: %.40s was refused %d times", valueBytes, value, n)
			}
		}
		sim.requireAllJobsEnd()
	}
}

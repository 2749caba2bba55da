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

// unreadableRecord describes stored records that this version cannot decode.
type unreadableRecord struct {
	name   string
	prefix string // prefix of the keys whose values are replaced
	value  string
}

// truncatedValue is a JSON value without its end.
const truncatedValue = `{"Spec":{"Id":"job-`

var unreadableRecords = []unreadableRecord{
	{name: "start marker page", prefix: "b/0/", value: truncatedValue},
	{name: "used machine page", prefix: "u/0/", value: `["i-000000"]`},
	{name: "provisioning request", prefix: "h/0/", value: truncatedValue},
	{name: "completion bitmap page", prefix: "t/0/", value: `null`},
}

// Guards against a successor that overwrites records that it cannot decode, or that starts tasks
// twice because it does not know what these records and unreachable machines hold.
func TestUnreadableRecords(t *testing.T) {
	for _, c := range unreadableRecords {
		t.Run(c.name, c.run)
	}
}

// run replaces the records before a failover with unreachable machines.
func (c unreadableRecord) run(t *testing.T) {
	sim := steadySimulation(t, 6, 8)
	sim.runUntilBitmapsStored()
	holder := sim.leaseHolder()
	partitioned := sim.partitionEveryOtherMachine()
	holder.crash(time.Hour)
	versions := map[string]uint64{} // versions of the unreadable records, by key
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
			sim.addViolation("%s was overwritten", key)
		}
	}
	for _, name := range partitioned {
		if m := sim.machines[name]; m != nil {
			m.partitioned = false
			sim.release(m)
		}
	}
	sim.requireAllJobsEnd()
}

// runUntilBitmapsStored runs the simulation until completion bitmaps are stored, which is the case
// when some but not all tasks of a job have completed.
func (sim *simulation) runUntilBitmapsStored() {
	for stored := false; !stored; {
		sim.runFor(time.Second)
		for _, key := range sortedKeys(sim.state.Keys) {
			stored = stored || strings.HasPrefix(key, "t/0/")
		}
	}
}

// partitionEveryOtherMachine partitions every second machine in the order of the names, and returns
// the names of the partitioned machines.
func (sim *simulation) partitionEveryOtherMachine() []string {
	var partitioned []string
	for i, name := range sim.machineNames() {
		if i%2 == 0 {
			sim.machines[name].partitioned = true
			partitioned = append(partitioned, name)
		}
	}
	return partitioned
}

// unreadableJob describes a stored record of an open job, job-0, that this version cannot decode.
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
		name: "unknown job shape",
		value: `{"Spec":{"Id":"job-0","Lane":"sweep","Crew":"red","Shape":"swarm","Rank":"normal","Pieces":4},` +
			`"At":1,"Block":0}`,
	},
	{
		name:  "array instead of object",
		value: `[2,"job-0"]`,
	},
}

// Guards against an undecodable open job that a successor overwrites, stops or starts again, that
// blocks other jobs, or about which users get any other response than to retry later.
func TestUnreadableJob(t *testing.T) {
	for _, c := range unreadableJobs {
		t.Run(c.name, c.run)
	}
}

// run replaces the record of a running job before a failover, and restores it afterwards.
func (c unreadableJob) run(t *testing.T) {
	sim := steadySimulation(t, 6, 8)
	job := sim.jobWithMostRunningTasks()
	if job == nil {
		t.Fatal("no task runs")
	}
	before := sim.runningTasks()[job]
	key := submission.OpenJobKey(job.Spec.ID)
	readable := sim.state.Keys[key].Value
	sim.leaseHolder().crash(time.Hour)
	sim.state.Put(key, json.RawMessage(strings.ReplaceAll(c.value, "job-0", job.Spec.ID)))
	version := sim.state.Keys[key].Version
	sim.runFor(12 * time.Second)
	overwritten := sim.state.Keys[key].Version != version
	if now := sim.runningTasks()[job]; now != before || overwritten {
		t.Errorf("%d tasks of the job run, want %d; record overwritten: %t, want false", now, before, overwritten)
	}
	sim.requireRetryLater(job)
	sim.state.Put(key, readable) // the record is repaired
	sim.requireAllJobsEnd()
	if job.KnownState != wire.JobDone {
		t.Errorf("the user's last known state of the job is %q, want %q", job.KnownState, wire.JobDone)
	}
}

// requireRetryLater fails the test unless every live controller responds to every kind of request about a
// job with status 503 and a retry delay.
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
			sim.sendTo(n, r.request, func(response submission.Response) {
				if response.Status != 503 || response.RetryAfter == 0 {
					sim.addViolation("%s was answered with %d %v, retry after %v",
						r.name, response.Status, response.Body, response.RetryAfter)
				}
			})
		}
	}
	sim.runFor(2 * time.Second)
	sim.requireNoViolations()
}

// runningTasks returns the number of running tasks by job.
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

// jobWithMostRunningTasks returns the job with the most running tasks, the first by name among equals,
// or nil if no task runs.
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

// Guards against records that the state service rejects more than once because they exceed a value
// size limit that was not announced: they must be split into smaller records.
func TestUnannouncedStateLimit(t *testing.T) {
	for _, valueBytes := range []int{1024, 600} {
		sim := newSimulation(t, 11, testConfig(oneZone, steadyTeams, 1.5, 10), 1, oneZoneTypes)
		sim.cloud.Available[fakes.CapacityKey(smallType.Name, "a", false)] = 80
		sim.state.Limits.MaxValueBytes = valueBytes
		rejected := map[string]int{}
		sim.state.OnCall = func(c store.Call, err error) {
			for _, w := range c.Transaction.Writes {
				if errors.Is(err, store.ErrInvalid) && w.Lease == 0 {
					rejected[w.PutKey+string(w.Value)]++
				}
			}
		}
		for i := range 70 {
			sim.submitJob(steadyJob(i), 20*time.Second)
		}
		sim.runFor(60 * time.Second)
		if len(rejected) == 0 {
			t.Fatal("the state service rejected no write, so the test proves nothing")
		}
		for value, n := range rejected {
			if n > 1 {
				t.Errorf("limit of %d bytes: %.40s was rejected %d times, want 1", valueBytes, value, n)
			}
		}
		sim.requireAllJobsEnd()
	}
}

package controller

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"juniperchute/internal/standin"
	"juniperchute/internal/store"
	"juniperchute/internal/submission"
	"juniperchute/internal/wire"
)

// A stored record that this version cannot read is logged and left as it is. What it may
// have told of is neither started nor run twice: a machine that cannot be asked still has
// its tasks when the next holder takes over.
func TestUnreadableRecords(t *testing.T) {
	const truncated = `{"Spec":{"Id":"job-`
	for _, c := range []struct {
		name   string
		prefix string
		value  string
	}{
		{"a page of begun jobs", "b/0/", truncated},
		{"a page of used machines", "u/0/", `["i-000000"]`},
		{"a rental's record", "h/0/", truncated},
		{"a page of completed tasks", "t/0/", `null`},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := steadySimulation(t, 6, 8)
			for stored := false; !stored; { // a job has some tasks done, others open
				sim.runFor(time.Second)
				for _, key := range sortedKeys(sim.state.Keys) {
					stored = stored || strings.HasPrefix(key, "t/0/")
				}
			}
			holder := sim.leaseHolder()
			cut := map[string]bool{}
			for i, name := range sim.machineNames() {
				if i%2 == 0 {
					sim.machines[name].partitioned = true
					cut[name] = true
				}
			}
			holder.crash(time.Hour)
			spoilt := map[string]uint64{}
			for _, key := range sortedKeys(sim.state.Keys) {
				if strings.HasPrefix(key, c.prefix) {
					sim.state.Put(key, json.RawMessage(c.value))
					spoilt[key] = sim.state.Keys[key].Version
				}
			}
			if len(spoilt) == 0 {
				t.Fatalf("no key begins with %s", c.prefix)
			}
			sim.runFor(40 * time.Second)
			for key, version := range spoilt {
				if sim.state.Keys[key].Version != version {
					sim.addViolation("%s was written over", key)
				}
			}
			for name := range cut {
				if m := sim.machines[name]; m != nil {
					m.partitioned = false
					sim.release(m)
				}
			}
			sim.requireAllJobsEnd()
		})
	}
}

// An open job's entry that cannot be read: its user is told to come back, what runs of it
// is left alone and starts nowhere else, and the entry stays as it is. Other jobs go on.
func TestUnreadableJob(t *testing.T) {
	for _, c := range []struct{ name, value string }{
		{"truncated", `{"Spec":{"Id":"job-0","Pieces":4`},
		{"of an unknown shape", `{"Spec":{"Id":"job-0","Lane":"sweep","Crew":"red","Shape":"swarm","Rank":"normal","Pieces":4},"At":1,"Block":0}`},
		{"of another form", `[2,"job-0"]`},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := steadySimulation(t, 6, 8)
			running := func() map[*standin.Job]int {
				n := map[*standin.Job]int{}
				for _, m := range sim.machines {
					for _, p := range m.Tasks {
						if p.Stage == wire.TaskRunning {
							n[p.Job]++
						}
					}
				}
				return n
			}
			var job *standin.Job
			for j, n := range running() {
				if job == nil || n > running()[job] || n == running()[job] && j.Spec.ID < job.Spec.ID {
					job = j
				}
			}
			if job == nil {
				t.Fatal("nothing runs")
			}
			before := running()[job]
			key := submission.OpenKey(job.Spec.ID)
			value := strings.ReplaceAll(c.value, "job-0", job.Spec.ID)
			readable := sim.state.Keys[key].Value
			sim.leaseHolder().crash(time.Hour)
			sim.state.Put(key, json.RawMessage(value))
			version := sim.state.Keys[key].Version
			sim.runFor(12 * time.Second)
			if now := running()[job]; now != before || sim.state.Keys[key].Version != version {
				t.Errorf("%d tasks run, %d before; entry written over: %t", now, before, sim.state.Keys[key].Version != version)
			}
			for what, r := range map[string]request{"question": sim.query(job.Spec.ID), "cancellation": sim.cancellation(job.Spec.ID), "submission": sim.submission(job.Spec)} {
				for _, n := range sim.nodes {
					if !n.alive {
						continue
					}
					sim.sendTo(n, r, func(a submission.Response) {
						if a.Status != 503 || a.RetryAfter == 0 {
							sim.addViolation("%s answered %d %v", what, a.Status, a.Body)
						}
					})
				}
			}
			sim.runFor(2 * time.Second)
			sim.requireNoViolations()
			// a version that can read it writes it again, or it is mended
			sim.state.Put(key, readable)
			sim.requireAllJobsEnd()
			if job.Told != wire.JobDone {
				t.Errorf("told %q", job.Told)
			}
		})
	}
}

// A limit for a value that nobody announced: rentals, used machines, begun jobs and
// tallies are written in smaller records, and every job ends.
func TestUnannouncedStateLimit(t *testing.T) {
	for _, bytes := range []int{1024, 600} {
		sim := newSimulation(t, 11, testConfig([]string{"a"}, steadyTeams, 1.5, 10), 1, []wire.MachineType{smallType})
		sim.cloud.Room[standin.RoomKey(smallType.Name, "a", false)] = 80
		sim.state.Limits.ValueBytes = bytes
		refused := map[string]int{}
		sim.state.OnCall = func(c store.Call, status int) {
			for _, w := range c.Transaction.Writes {
				if status == 400 && w.Lease == 0 {
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
				t.Errorf("%d bytes limit: %.40s was refused %d times", bytes, value, n)
			}
		}
		sim.requireAllJobsEnd()
	}
}

package stand2

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/fakes"
	"juniperchute/internal/wire"
)

// check checks the rules and records the changes of tasks and workers; the lock must be held. A task is on
// a machine from the moment it has its image, so one that is still fetching does not count.
func (d *Deployment) check() {
	on := map[string][]string{}
	for _, name := range d.Cluster.MachineNames() {
		w := d.Cluster.Workers[name]
		if d.sessions[name] != w.Incarnation {
			d.Logf("worker %s: session %d begins", name, w.Incarnation)
			d.sessions[name] = w.Incarnation
		}
		for _, t := range w.Tasks {
			task := wire.TaskName(t.Job.Spec.ID, t.Index)
			key := fmt.Sprintf("%s %s attempt %d", name, task, t.Attempt)
			if state := t.State + t.ExitReason; d.states[key] != state {
				d.states[key] = state
				d.Logf("worker %s: %s attempt %d is %s %s", name, task, t.Attempt, t.State, t.ExitReason)
			}
			if t.OnMachine() && t.State != wire.TaskFetching {
				on[task] = append(on[task], fmt.Sprintf("%s (attempt %d, %s)", name, t.Attempt, t.State))
			}
		}
	}
	d.checkTotals()
	for _, task := range slices.Sorted(maps.Keys(on)) {
		if len(on[task]) > 1 && !d.twice[task] {
			d.twice[task] = true
			d.Violate("ran_twice: %s is on %v at the same time", task, on[task])
		}
	}
}

// checkStart checks that a task that starts on a machine, which has its image, is on no other one; the lock
// must be held.
func (d *Deployment) checkStart(starting *fakes.Worker, started *fakes.Task) {
	name := wire.TaskName(started.Job.Spec.ID, started.Index)
	if !starting.Images[started.Job.Spec.Image] || d.twice[name] {
		return
	}
	for _, w := range d.Cluster.Workers {
		for _, t := range w.Tasks {
			same := t.Job == started.Job && t.Index == started.Index
			if w != starting && same && t.OnMachine() && t.State != wire.TaskFetching {
				d.twice[name] = true
				d.Violate("ran_twice: %s starts on %s (attempt %d) while it is on %s (attempt %d, %s)", name,
					starting.Host.ID, started.Attempt, w.Host.ID, t.Attempt, t.State)
			}
		}
	}
}

// checkTotals checks the teams' limits and the ends of cancelled jobs; the lock must be held.
func (d *Deployment) checkTotals() {
	used, margin := map[string]float64{}, 100*time.Millisecond
	for _, w := range d.Cluster.Workers {
		for _, t := range w.Tasks {
			if !t.OnMachine() || t.State == wire.TaskFetching {
				continue
			}
			used[t.Job.Spec.Team] += t.Job.Spec.Gpus
			over := t.Job.KnownState == wire.JobCancelled &&
				d.Clock.Now().Sub(t.Job.CancelledAt) > config.Seconds(d.Platform.Workers.CancelS)+margin
			if key := "cancelled " + t.Job.Spec.ID; over && !d.twice[key] {
				d.twice[key] = true
				d.Violate("ran_cancelled: %s/%d is still on %s", t.Job.Spec.ID, t.Index, w.Host.ID)
			}
		}
	}
	for _, team := range d.Platform.Teams {
		if key := "quota " + team.Name; team.GPUsMax > 0 && used[team.Name] > team.GPUsMax && !d.twice[key] {
			d.twice[key] = true
			d.Violate("quota: %s uses %v GPUs of %v", team.Name, used[team.Name], team.GPUsMax)
		}
	}
}

// Violate records that a rule is broken; the lock must be held.
func (d *Deployment) Violate(format string, args ...any) {
	d.Violations = append(d.Violations, fmt.Sprintf(format, args...))
	d.Logf("RULE BROKEN "+format, args...)
}

// RunsOn returns the number of a job's tasks that run, by machine; the lock must be held.
func (d *Deployment) RunsOn(id string) map[string]int {
	running := map[string]int{}
	for name, w := range d.Cluster.Workers {
		for _, t := range w.Tasks {
			if t.Job.Spec.ID == id && t.State == wire.TaskRunning {
				running[name]++
			}
		}
	}
	return running
}

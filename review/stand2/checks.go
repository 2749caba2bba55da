package stand2

import (
	"fmt"
	"maps"
	"slices"

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
	for _, task := range slices.Sorted(maps.Keys(on)) {
		if len(on[task]) > 1 && !d.twice[task] {
			d.twice[task] = true
			d.Violate("ran_twice: %s is on %v at the same time", task, on[task])
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

package placement

import (
	"slices"

	"juniperchute/internal/worker"
)

// machineKind is what a job's constraints see of a machine.
type machineKind struct {
	machineType string
	zone        string
	spot        bool
}

func kindOf(machine *worker.Machine) machineKind {
	return machineKind{machineType: machine.Type, zone: machine.Zone, spot: machine.Spot}
}

// allows reports whether the job's constraints admit machines of a kind.
func (j *Job) allows(kind machineKind) bool {
	spec := &j.Spec
	if kind.spot && !spec.Spot {
		return false
	}
	if spec.Zone != "" && spec.Zone != kind.zone {
		return false
	}
	return spec.AnyType || slices.Contains(spec.Types, kind.machineType)
}

// suits reports whether the job's constraints and its past failures admit a machine.
func (j *Job) suits(machine *worker.Machine) bool {
	return j.allows(kindOf(machine)) && !j.avoids(machine)
}

// eligible reports whether a task of the job may be scheduled on a machine
// that has room for it.
func (j *Job) eligible(machine *worker.Machine) bool {
	return machine.Schedulable() && j.suits(machine)
}

// taskCountMode says which tasks tasksByZone counts.
type taskCountMode bool

const (
	assignedTasks  taskCountMode = false
	scheduledTasks taskCountMode = true // also those that are only queued
)

// tasksByZone counts the job's tasks by the zone of their machine.
func (j *Job) tasksByZone(mode taskCountMode) map[string]int {
	tasksByZone := map[string]int{}
	for _, task := range j.tasks {
		switch {
		case task.phase.onMachine():
			tasksByZone[task.machine.Zone]++
		case mode == scheduledTasks && task.primary != nil:
			tasksByZone[task.primary.Zone]++
		}
	}
	return tasksByZone
}

// zoneAllowed reports whether one more task of the job may be in a zone beside
// the tasks that are counted by zone.
func (j *Job) zoneAllowed(zone string, tasksByZone map[string]int) bool {
	if j.Spec.SameZone {
		for otherZone, count := range tasksByZone {
			if count > 0 && otherZone != zone {
				return false
			}
		}
	}
	return !j.Spec.SpreadAcrossZones || tasksByZone[zone]+1 <= (j.Spec.Tasks+1)/2
}

// mayStartIn reports whether one more task of the job may start in a zone
// beside those that are on machines.
func (j *Job) mayStartIn(zone string) bool { return j.zoneAllowed(zone, j.tasksByZone(assignedTasks)) }

// zoneConstrained reports whether the zones of the job's tasks depend on each other.
func (j *Job) zoneConstrained() bool { return j.Spec.SameZone || j.Spec.SpreadAcrossZones }

// constrainedTasksByZone counts the scheduled tasks by zone, without one that
// is about to leave its machine (nil: none is). It returns nil if the zones of
// the job's tasks don't depend on each other.
func (j *Job) constrainedTasksByZone(leaving *Task) map[string]int {
	if !j.zoneConstrained() {
		return nil
	}
	tasksByZone := j.tasksByZone(scheduledTasks)
	if leaving != nil && leaving.machine != nil {
		tasksByZone[leaving.machine.Zone]--
	}
	return tasksByZone
}

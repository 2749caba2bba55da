package placement

import (
	"slices"

	"juniperchute/internal/worker"
)

// machineKind holds the attributes of a machine that job constraints refer to.
type machineKind struct {
	machineType string
	zone        string
	spot        bool
}

func kindOf(machine *worker.Machine) machineKind {
	return machineKind{machineType: machine.Type, zone: machine.Zone, spot: machine.Spot}
}

// allowsKind reports whether machines of a kind satisfy the job's constraints on machine
// type, zone and spot machines. It checks neither resources nor the zones of other tasks.
func (j *Job) allowsKind(kind machineKind) bool {
	spec := &j.Spec
	if kind.spot && !spec.Spot {
		return false
	}
	if spec.Zone != "" && spec.Zone != kind.zone {
		return false
	}
	return spec.AnyType || slices.Contains(spec.Types, kind.machineType)
}

// suits reports whether allowsKind holds for a machine and the job does not avoid the
// machine because of past failures. The machine may be unschedulable or full.
func (j *Job) suits(machine *worker.Machine) bool {
	return j.allowsKind(kindOf(machine)) && !j.avoidsAfterFailures(machine)
}

// eligible reports whether a machine is schedulable and suits the job. It checks neither
// resources, nor the zone constraints between tasks, nor the team's limit.
func (j *Job) eligible(machine *worker.Machine) bool {
	return machine.Schedulable() && j.suits(machine)
}

// taskCountMode selects the tasks that tasksByZone counts.
type taskCountMode bool

const (
	assignedTasks  taskCountMode = false // tasks on machines
	scheduledTasks taskCountMode = true  // tasks on machines and queued tasks
)

// mayAddTaskIn reports whether SameZone and SpreadAcrossZones allow one more task of the
// job in a zone, given the number of its tasks in each zone. It does not check the zone
// that the job names; see allowsKind.
func (j *Job) mayAddTaskIn(zone string, tasksByZone map[string]int) bool {
	if j.Spec.SameZone {
		for otherZone, count := range tasksByZone {
			if count > 0 && otherZone != zone {
				return false
			}
		}
	}
	return !j.Spec.SpreadAcrossZones || tasksByZone[zone]+1 <= (j.Spec.Tasks+1)/2
}

// mayStartIn reports whether SameZone and SpreadAcrossZones allow one more task of the job
// to start in a zone, given its tasks on machines. Queued tasks do not count.
func (j *Job) mayStartIn(zone string) bool { return j.mayAddTaskIn(zone, j.zones.assigned) }

// zoneConstrained reports whether the job's tasks must share a zone or be spread over zones.
func (j *Job) zoneConstrained() bool { return j.Spec.SameZone || j.Spec.SpreadAcrossZones }

// constrainedTasksByZone returns the number of scheduled tasks in each zone,
// excluding the task leaving, which may be nil. It returns nil if the job has no
// zone constraints.
func (j *Job) constrainedTasksByZone(leaving *Task) map[string]int {
	if !j.zoneConstrained() {
		return nil
	}
	tasksByZone := j.zones.tasksByZone(scheduledTasks)
	if leaving != nil && leaving.machine != nil {
		tasksByZone[leaving.machine.Zone]--
	}
	return tasksByZone
}

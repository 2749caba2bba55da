package placement

import (
	"juniperchute/internal/quota"
	"juniperchute/internal/worker"
)

// machineInfo is the scheduler's state of one machine: its queues, the tasks
// assigned to it and its capacity index entry.
type machineInfo struct {
	machine *worker.Machine
	// The high-priority and the low-priority queue; see the package comment.
	primaryQueue, backupQueue taskList
	assigned                  taskList // tasks that may be on the machine
	workload                  workloadCounts
	directCommandState
	capacityState
}

// newMachineInfo returns the state of a machine without tasks.
func newMachineInfo(machine *worker.Machine) *machineInfo {
	return &machineInfo{
		machine:      machine,
		primaryQueue: taskList{kind: primaryList},
		backupQueue:  taskList{kind: backupList},
		assigned:     taskList{kind: assignedList},
	}
}

// attemptKey identifies one attempt of a task.
type attemptKey struct {
	task    string
	attempt uint64
}

// directCommandState tracks the direct commands to a machine.
type directCommandState struct {
	// directAttempts holds the attempts started by direct commands in the
	// worker's incarnation. They are never reaped: a delayed duplicate of the
	// command would start a reaped attempt again.
	directAttempts map[attemptKey]bool
	urgent         bool // the machine is in urgentMachines
}

// recordDirectStart records that a direct command carries the run command of an attempt.
func (d *directCommandState) recordDirectStart(key attemptKey) {
	if d.directAttempts == nil {
		d.directAttempts = map[attemptKey]bool{}
	}
	d.directAttempts[key] = true
}

// capacityState is a machine's entry in the capacity index.
type capacityState struct {
	lastSnapshot capacitySnapshot
	gainRevision uint64 // index revision of the machine's last gain of capacity
	freeIndex    int    // position in freeMachines, from 1; 0 if the machine is not in it
	dirty        bool   // the machine is in dirtyMachines
}

// addAssigned adds a task to the machine and allocates its resources there.
func (info *machineInfo) addAssigned(task *Task) {
	machine, need := info.machine, task.Job.need
	machine.Allocated = machine.Allocated.Add(need)
	if task.isBackup {
		machine.BackupAllocated = machine.BackupAllocated.Add(need)
	}
	machine.AssignedCopies++
	info.assigned.add(task)
	info.workload.add(task.Job, 1)
	if task.Job.IsService() {
		info.workload.assignedReplicas++
	}
}

// removeAssigned removes a task from the machine and frees its resources there.
func (info *machineInfo) removeAssigned(task *Task) {
	machine, need := info.machine, task.Job.need
	machine.Allocated = machine.Allocated.Sub(need)
	if task.isBackup {
		machine.BackupAllocated = machine.BackupAllocated.Sub(need)
	}
	machine.AssignedCopies--
	if machine.AssignedCopies == 0 {
		// Reset the sums, so that floating-point errors do not accumulate.
		machine.Allocated, machine.BackupAllocated = quota.Resources{}, quota.Resources{}
	}
	info.assigned.remove(task)
	info.workload.add(task.Job, -1)
	if task.Job.IsService() {
		info.workload.assignedReplicas--
	}
}

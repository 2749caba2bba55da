package placement

import (
	"slices"

	"juniperchute/internal/quota"
	"juniperchute/internal/worker"
)

// machineInfo is what the scheduler keeps of one machine: its queues, the
// tasks assigned to it, and its place in the capacity index.
type machineInfo struct {
	machine *worker.Machine
	// The paper's high-priority and low-priority queue (section III).
	primaryQueue, backupQueue []*Task
	assigned                  []*Task // tasks that may be on the machine
	directCommandState
	capacityState
}

// attemptKey names one attempt of a task.
type attemptKey struct {
	task    string
	attempt uint64
}

// directCommandState is what is known of the direct commands to a machine.
type directCommandState struct {
	// directAttempts holds the attempts that direct commands have started in
	// the worker's incarnation. A repeat of such a command may arrive minutes
	// later, and would start the attempt anew if the worker had forgotten it:
	// these attempts are never reaped.
	directAttempts map[attemptKey]bool
	urgent         bool // it is listed among the urgent machines
}

// recordDirectStart notes that a direct command starts an attempt.
func (d *directCommandState) recordDirectStart(key attemptKey) {
	if d.directAttempts == nil {
		d.directAttempts = map[attemptKey]bool{}
	}
	d.directAttempts[key] = true
}

// capacityState is a machine's part of the capacity index.
type capacityState struct {
	lastSnapshot capacitySnapshot
	gainRevision uint64 // the revision of the index in which the machine last gained something
	freeIndex    int    // its position among the machines with room, from 1; 0: it is not among them
	dirty        bool   // something about it changed since the last refresh
}

// addAssigned enters a task that may be on the machine from now on into its account.
func (info *machineInfo) addAssigned(task *Task) {
	machine, need := info.machine, task.Job.need
	machine.Allocated = machine.Allocated.Add(need)
	if task.isBackup {
		machine.BackupAllocated = machine.BackupAllocated.Add(need)
	}
	machine.ActiveCopies++
	info.assigned = append(info.assigned, task)
}

// removeAssigned removes a task from the machine's account.
func (info *machineInfo) removeAssigned(task *Task) {
	machine, need := info.machine, task.Job.need
	machine.Allocated = machine.Allocated.Sub(need)
	if task.isBackup {
		machine.BackupAllocated = machine.BackupAllocated.Sub(need)
	}
	machine.ActiveCopies--
	if machine.ActiveCopies == 0 {
		// the rounding errors of the sums must not add up
		machine.Allocated, machine.BackupAllocated = quota.Resources{}, quota.Resources{}
	}
	info.assigned = removeTask(info.assigned, task)
}

// removeTask removes a task from a list, if it is there.
func removeTask(tasks []*Task, task *Task) []*Task {
	if i := slices.Index(tasks, task); i >= 0 {
		return slices.Delete(tasks, i, i+1)
	}
	return tasks
}

package placement

import (
	"maps"
	"slices"
	"time"

	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// jobTasks tracks the state of a job's tasks. A task is either completed,
// scheduled (queued or on a machine) or pending.
type jobTasks struct {
	taskCount        int
	tasks            map[int]*Task // scheduled tasks by index
	assigned         int           // scheduled tasks that are on machines
	stoppable        int           // assigned tasks that are not being stopped
	running          int           // see RunningTasks
	zones            zoneCounts    // of the scheduled tasks
	nextIndex        int           // lowest index that was never scheduled
	returned         returnedTasks // pending tasks that were scheduled before
	completed        bitset
	durablyCompleted bitset // completed tasks whose outcome is in the state service
}

func newJobTasks(count int) jobTasks {
	return jobTasks{
		taskCount:        count,
		tasks:            map[int]*Task{},
		zones:            newZoneCounts(),
		completed:        newBitset(count),
		durablyCompleted: newBitset(count),
	}
}

// CompletedTasks returns the number of completed tasks, durable or not.
func (j *jobTasks) CompletedTasks() int { return j.completed.count }

// AssignedTasks returns the number of tasks that may be on machines.
func (j *jobTasks) AssignedTasks() int { return j.assigned }

// RunningTasks returns the number of tasks that run on their machines,
// including those that are being stopped. It is meant for display.
func (j *jobTasks) RunningTasks() int { return j.running }

// countRunning updates the count of running tasks after the phase or the reported
// state of a task has changed.
func (j *jobTasks) countRunning(task *Task) {
	running := task.phase == Stopping || task.phase == Active && task.lastReportedState != wire.TaskFetching
	switch {
	case running && !task.countedRunning:
		j.running++
	case !running && task.countedRunning:
		j.running--
	}
	task.countedRunning = running
}

// countStoppable updates the count of stoppable tasks after the phase of a task has changed.
func (j *jobTasks) countStoppable(from, to Phase) {
	if from.stoppable() {
		j.stoppable--
	}
	if to.stoppable() {
		j.stoppable++
	}
}

// IsComplete reports whether every task has completed.
func (j *jobTasks) IsComplete() bool { return j.completed.count == j.taskCount }

// RestoreCompleted marks a task that a stored completion bitmap contains as
// durably completed. It ignores indexes out of the job's range.
func (j *jobTasks) RestoreCompleted(index int) {
	if index >= 0 && index < j.taskCount {
		j.completed.add(index)
		j.durablyCompleted.add(index)
	}
}

// MarkDurable records that the outcome of a completed task is in the state service.
func (j *jobTasks) MarkDurable(index int) { j.durablyCompleted.add(index) }

// UnsavedCompletions returns the completed tasks in the index range [from, to)
// whose outcome is not durable, and a bitmap of all completed tasks in the range.
func (j *jobTasks) UnsavedCompletions(from, to int) (unsaved []int, bitmap []byte) {
	to = min(to, j.taskCount)
	bitmap = make([]byte, (to-from+7)/8)
	for n := from; n < to; n++ {
		if j.completed.has(n) {
			bitmap[(n-from)/8] |= 1 << ((n - from) % 8)
			if !j.durablyCompleted.has(n) {
				unsaved = append(unsaved, n)
			}
		}
	}
	return unsaved, bitmap
}

// pendingTasks returns the number of tasks that are neither completed nor scheduled.
func (j *jobTasks) pendingTasks() int { return j.taskCount - j.completed.count - len(j.tasks) }

// tasksByIndex returns the scheduled tasks by ascending index.
func (j *jobTasks) tasksByIndex() []*Task {
	tasks := make([]*Task, 0, len(j.tasks))
	for _, n := range slices.Sorted(maps.Keys(j.tasks)) {
		tasks = append(tasks, j.tasks[n])
	}
	return tasks
}

// takePendingTask returns the index of the next pending task that may start now
// and removes it from the pending tasks. Returned tasks precede those that were
// never scheduled. ok is false if no task may start now.
func (j *jobTasks) takePendingTask(now time.Time) (index int, ok bool) {
	for index, ok := j.returned.take(now); ok; index, ok = j.returned.take(now) {
		if !j.completed.has(index) && j.tasks[index] == nil {
			return index, true
		}
	}
	for j.nextIndex < j.taskCount {
		index := j.nextIndex
		j.nextIndex++
		if !j.completed.has(index) && j.tasks[index] == nil {
			return index, true
		}
	}
	return 0, false
}

// addTask adds the task with the given index to the scheduled tasks.
func (j *Job) addTask(index int) *Task {
	task := &Task{Job: j, Index: index}
	j.tasks[index] = task
	return task
}

// returnToPending makes a task pending again, unless it has completed.
func (j *jobTasks) returnToPending(index int, notBefore time.Time) {
	if !j.completed.has(index) {
		j.returned.add(index, notBefore)
	}
}

// hasTaskOutOfContact reports whether a task of the job is assigned to a machine whose worker is not in contact.
func (j *Job) hasTaskOutOfContact() bool {
	for _, task := range j.tasks {
		if task.phase.onMachine() && task.machine.State != worker.Up {
			return true
		}
	}
	return false
}

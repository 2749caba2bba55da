package placement

import (
	"maps"
	"slices"
	"time"

	"juniperchute/internal/wire"
)

// jobTasks tells which of a job's tasks have completed, which are scheduled
// (queued or on a machine), and which are pending. A task is in exactly one of
// these states.
type jobTasks struct {
	taskCount        int
	tasks            map[int]*Task // scheduled tasks by index
	assigned         int           // scheduled tasks that are on machines
	nextIndex        int           // the first task that was never scheduled
	returnedTasks    []returnedTask
	completed        bitset
	durablyCompleted bitset // completed tasks whose outcome the state service has
}

// returnedTask is a task that was scheduled and is pending again.
type returnedTask struct {
	index     int
	notBefore time.Time
}

func newJobTasks(count int) jobTasks {
	return jobTasks{
		taskCount:        count,
		tasks:            map[int]*Task{},
		completed:        newBitset(count),
		durablyCompleted: newBitset(count),
	}
}

// CompletedTasks returns how many tasks have completed.
func (j *jobTasks) CompletedTasks() int { return j.completed.count }

// AssignedTasks returns how many tasks are on machines.
func (j *jobTasks) AssignedTasks() int { return j.assigned }

// RunningTasks returns how many tasks have begun to run on their machines, for display.
func (j *jobTasks) RunningTasks() int {
	n := 0
	for _, task := range j.tasks {
		if task.phase == Active && task.reportedState != wire.TaskFetching || task.phase == Stopping {
			n++
		}
	}
	return n
}

// IsComplete reports whether every task has completed.
func (j *jobTasks) IsComplete() bool { return j.completed.count == j.taskCount }

// RestoreCompleted marks a task as durably completed, as read from the
// completion bitmaps. Indexes that the job doesn't have are ignored.
func (j *jobTasks) RestoreCompleted(index int) {
	if index >= 0 && index < j.taskCount {
		j.completed.add(index)
		j.durablyCompleted.add(index)
	}
}

// MarkDurable records that the state service has a completed task's outcome.
func (j *jobTasks) MarkDurable(index int) { j.durablyCompleted.add(index) }

// UnsavedCompletions returns the completed tasks with indexes from from up to
// to, exclusive, whose outcome is not durable, and all completed tasks of that
// range as a bitmap.
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

// pendingTasks returns how many tasks are neither completed nor scheduled.
func (j *jobTasks) pendingTasks() int { return j.taskCount - j.completed.count - len(j.tasks) }

// tasksByIndex lists the scheduled tasks in the order of their indexes.
func (j *jobTasks) tasksByIndex() []*Task {
	tasks := make([]*Task, 0, len(j.tasks))
	for _, n := range slices.Sorted(maps.Keys(j.tasks)) {
		tasks = append(tasks, j.tasks[n])
	}
	return tasks
}

// takePendingTask takes the next pending task that may start now: returned
// tasks first, then those that were never scheduled.
func (j *jobTasks) takePendingTask(now time.Time) (index int, ok bool) {
	for i, returned := range j.returnedTasks {
		if returned.notBefore.After(now) {
			continue
		}
		j.returnedTasks = append(j.returnedTasks[:i:i], j.returnedTasks[i+1:]...)
		if j.completed.has(returned.index) || j.tasks[returned.index] != nil {
			return j.takePendingTask(now)
		}
		return returned.index, true
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

// addTask schedules the task with the given index.
func (j *Job) addTask(index int) *Task {
	task := &Task{Job: j, Index: index}
	j.tasks[index] = task
	return task
}

// returnToPending makes a task pending again.
func (j *jobTasks) returnToPending(index int, notBefore time.Time) {
	if !j.completed.has(index) {
		j.returnedTasks = append(j.returnedTasks, returnedTask{index, notBefore})
	}
}

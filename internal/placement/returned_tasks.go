package placement

import (
	"cmp"
	"container/heap"
	"time"
)

// returnedTask is a pending task that was scheduled before.
type returnedTask struct {
	index     int
	notBefore time.Time
	sequence  int // orders the tasks that may start from the same time
}

// returnedTasks is a priority queue of returned tasks: first the one that may start earliest.
type returnedTasks struct {
	tasks    returnedHeap
	sequence int // of the latest task
}

// add adds a task that may start from notBefore on.
func (r *returnedTasks) add(index int, notBefore time.Time) {
	r.sequence++
	heap.Push(&r.tasks, returnedTask{index: index, notBefore: notBefore, sequence: r.sequence})
}

// take removes and returns the first task. ok is false if no task may start now.
func (r *returnedTasks) take(now time.Time) (index int, ok bool) {
	if len(r.tasks) == 0 || r.tasks[0].notBefore.After(now) {
		return 0, false
	}
	return heap.Pop(&r.tasks).(returnedTask).index, true
}

// clear removes all tasks.
func (r *returnedTasks) clear() { r.tasks = nil }

// returnedHeap implements heap.Interface.
type returnedHeap []returnedTask

// Len implements sort.Interface.
func (h returnedHeap) Len() int { return len(h) }

// Less implements sort.Interface.
func (h returnedHeap) Less(i, j int) bool {
	return cmp.Or(h[i].notBefore.Compare(h[j].notBefore), cmp.Compare(h[i].sequence, h[j].sequence)) < 0
}

// Swap implements sort.Interface.
func (h returnedHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *returnedHeap) Push(task any) { *h = append(*h, task.(returnedTask)) }

// Pop implements heap.Interface.
func (h *returnedHeap) Pop() any {
	last := len(*h) - 1
	task := (*h)[last]
	*h = (*h)[:last]
	return task
}

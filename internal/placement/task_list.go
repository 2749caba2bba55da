package placement

import "iter"

// listKind identifies one of the lists of a machine. A task is in at most one list of each kind.
type listKind int

const (
	assignedList listKind = iota
	primaryList
	backupList
	listKinds // number of kinds
)

// minCompaction is the number of free entries below which a list is not compacted.
const minCompaction = 16

// taskList is an ordered list of tasks. Each task knows its position, so that its removal does not search or
// move the others. Removed entries are nil until a compaction, whose cost the removals before it bear.
type taskList struct {
	kind    listKind
	entries []*Task
	head    int // entries before it are nil
	count   int // entries that are not nil
}

// add appends a task, which must not be in a list of this kind.
func (l *taskList) add(task *Task) {
	task.positions[l.kind] = len(l.entries)
	l.entries = append(l.entries, task)
	l.count++
}

// remove removes a task. It does nothing if the task is not in the list.
func (l *taskList) remove(task *Task) {
	position := task.positions[l.kind]
	if position >= len(l.entries) || l.entries[position] != task {
		return
	}
	l.entries[position] = nil
	l.count--
	for l.head < len(l.entries) && l.entries[l.head] == nil {
		l.head++
	}
	if free := len(l.entries) - l.count; free >= minCompaction && free >= l.count {
		l.compact()
	}
}

// compact removes the nil entries.
func (l *taskList) compact() {
	remaining := l.entries[:0]
	for _, task := range l.entries {
		if task != nil {
			task.positions[l.kind] = len(remaining)
			remaining = append(remaining, task)
		}
	}
	clear(l.entries[len(remaining):])
	l.entries, l.head = remaining, 0
}

// len returns the number of tasks.
func (l *taskList) len() int { return l.count }

// first returns the first task. The list must not be empty.
func (l *taskList) first() *Task { return l.entries[l.head] }

// all iterates over the tasks in order. The list must not change meanwhile; see snapshot.
func (l *taskList) all() iter.Seq[*Task] {
	return func(yield func(*Task) bool) {
		for _, task := range l.entries[l.head:] {
			if task != nil && !yield(task) {
				return
			}
		}
	}
}

// snapshot returns the tasks in order. The list may change while the caller goes through the result.
func (l *taskList) snapshot() []*Task {
	tasks := make([]*Task, 0, l.count)
	for task := range l.all() {
		tasks = append(tasks, task)
	}
	return tasks
}

// contains reports whether a condition holds for a task of the list.
func (l *taskList) contains(holds func(*Task) bool) bool {
	for task := range l.all() {
		if holds(task) {
			return true
		}
	}
	return false
}

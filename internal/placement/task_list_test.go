package placement

import (
	"slices"
	"testing"
	"time"
)

// Guards against a list that loses, repeats or reorders tasks as others are removed and the list is compacted.
func TestTaskListKeepsOrder(t *testing.T) {
	const size = 200
	for _, c := range []struct {
		name    string
		removed func(i int) bool
	}{
		{"first tasks removed", func(i int) bool { return i < 150 }},
		{"last tasks removed", func(i int) bool { return i > 20 }},
		{"every third kept", func(i int) bool { return i%3 != 0 }},
		{"all removed", func(int) bool { return true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			list := taskList{kind: primaryList}
			var want []*Task
			for i := range size {
				task := &Task{Index: i}
				list.add(task)
				want = append(want, task)
			}
			for i, task := range slices.Clone(want) {
				if c.removed(i) {
					list.remove(task)
					list.remove(task) // has no effect
					want = slices.DeleteFunc(want, func(other *Task) bool { return other == task })
					checkList(t, &list, want)
				}
			}
			added := &Task{Index: size}
			list.add(added)
			checkList(t, &list, append(want, added))
		})
	}
}

func checkList(t *testing.T, list *taskList, want []*Task) {
	t.Helper()
	if got := list.snapshot(); !slices.Equal(got, want) || list.len() != len(want) {
		t.Fatalf("list of %d with %d tasks, want %d", list.len(), len(got), len(want))
	}
	if len(want) > 0 && list.first() != want[0] {
		t.Fatalf("first task %d, want %d", list.first().Index, want[0].Index)
	}
}

// Guards against a returned task that starts before its backoff ends, or holds up others that may start.
func TestReturnedTasksByEarliestStart(t *testing.T) {
	now := time.Unix(1000, 0)
	var returned returnedTasks
	returned.add(1, now.Add(time.Minute))
	returned.add(2, now)
	returned.add(3, now)
	returned.add(4, now.Add(time.Second))
	var taken []int
	for _, at := range []time.Duration{0, time.Second, time.Minute} {
		for index, ok := returned.take(now.Add(at)); ok; index, ok = returned.take(now.Add(at)) {
			taken = append(taken, index)
		}
		taken = append(taken, -1)
	}
	if want := []int{2, 3, -1, 4, -1, 1, -1}; !slices.Equal(taken, want) {
		t.Errorf("taken %v, want %v", taken, want)
	}
}

package placement

// workloadCounts counts the tasks of a machine, so that a look-up does not go through all of them.
type workloadCounts struct {
	byJob   map[*Job]int   // tasks that are assigned or whose primary is queued
	byImage map[string]int // the same tasks, by their image
	// assignedReplicas is the number of assigned replicas of any service.
	assignedReplicas int
}

// add adds n tasks of a job, which is negative for tasks that have left the machine.
func (c *workloadCounts) add(job *Job, n int) {
	if c.byJob == nil {
		c.byJob, c.byImage = map[*Job]int{}, map[string]int{}
	}
	addCount(c.byJob, job, n)
	addCount(c.byImage, job.Spec.Image, n)
}

// addCount adds n to a count. It removes counts of zero.
func addCount[K comparable](counts map[K]int, key K, n int) {
	counts[key] += n
	if counts[key] == 0 {
		delete(counts, key)
	}
}

// zoneCounts counts the scheduled tasks of a job by zone.
type zoneCounts struct {
	assigned map[string]int // tasks on machines
	queued   map[string]int // tasks with a queued primary and no copy on a machine
}

func newZoneCounts() zoneCounts {
	return zoneCounts{assigned: map[string]int{}, queued: map[string]int{}}
}

// tasksByZone returns the number of the job's tasks in each zone.
func (c *zoneCounts) tasksByZone(mode taskCountMode) map[string]int {
	tasksByZone := make(map[string]int, len(c.assigned)+len(c.queued))
	for zone, count := range c.assigned {
		tasksByZone[zone] = count
	}
	if mode == scheduledTasks {
		for zone, count := range c.queued {
			tasksByZone[zone] += count
		}
	}
	return tasksByZone
}

// addAssigned counts a task that has been assigned to a machine in the task's zone.
func (c *zoneCounts) addAssigned(task *Task) {
	addCount(c.assigned, task.zone, 1)
	if task.primary != nil {
		addCount(c.queued, task.primaryZone, -1)
	}
}

// removeAssigned reverts addAssigned for a task that has left its machine.
func (c *zoneCounts) removeAssigned(task *Task) {
	addCount(c.assigned, task.zone, -1)
	if task.primary != nil {
		addCount(c.queued, task.primaryZone, 1)
	}
}

// addQueued counts n, 1 or -1, tasks whose primary has been queued or withdrawn.
func (c *zoneCounts) addQueued(task *Task, n int) {
	if !task.phase.onMachine() {
		addCount(c.queued, task.primaryZone, n)
	}
}

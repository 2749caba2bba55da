package placement

import (
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// jobTable indexes jobs by ID.
type jobTable struct {
	byID        map[string]*Job // open jobs, and closed jobs with tasks on machines
	unreadable  map[string]bool // open jobs whose records this version cannot read
	seenClasses map[string]bool // classes of all jobs added in this term
}

func newJobTable() *jobTable {
	return &jobTable{byID: map[string]*Job{}, unreadable: map[string]bool{}, seenClasses: map[string]bool{}}
}

// open returns the open job with the given ID, or nil if there is none.
func (t *jobTable) open(id string) *Job {
	if job := t.byID[id]; job != nil && !job.closed {
		return job
	}
	return nil
}

func (t *jobTable) add(job *Job) {
	t.byID[job.Spec.ID] = job
	t.seenClasses[job.Spec.Class] = true
}

// findTask returns the job, open or closed, and the index of the task with the
// given name. It returns a nil job if there is no such task.
func (t *jobTable) findTask(name string) (*Job, int) {
	id, index, ok := wire.ParseTaskName(name)
	if !ok {
		return nil, 0
	}
	job := t.byID[id]
	if job == nil || index >= job.Spec.Tasks {
		return nil, 0
	}
	return job, index
}

// failingJobCount returns the number of jobs with failures on a machine. It
// excludes open jobs that fail on every machine.
func (t *jobTable) failingJobCount(machine *worker.Machine) int {
	jobs := 0
	for id := range machine.FailuresByJob {
		if job := t.byID[id]; job == nil || !job.failsEverywhere() {
			jobs++
		}
	}
	return jobs
}

// removeIfUnassigned removes a closed job once none of its tasks is on a machine.
func (t *jobTable) removeIfUnassigned(job *Job) {
	if job.closed && job.assigned == 0 {
		delete(t.byID, job.Spec.ID)
	}
}

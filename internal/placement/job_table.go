package placement

import (
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// jobTable finds jobs by their names.
type jobTable struct {
	byID        map[string]*Job // open jobs, and closed ones with tasks on machines
	unreadable  map[string]bool // open jobs whose records this version cannot read
	seenClasses map[string]bool // classes of which a job has come
}

func newJobTable() *jobTable {
	return &jobTable{byID: map[string]*Job{}, unreadable: map[string]bool{}, seenClasses: map[string]bool{}}
}

// open returns an open job, nil if there is none of that name.
func (t *jobTable) open(id string) *Job {
	if job := t.byID[id]; job != nil && !job.closed {
		return job
	}
	return nil
}

// add adds an open job.
func (t *jobTable) add(job *Job) {
	t.byID[job.Spec.ID] = job
	t.seenClasses[job.Spec.Class] = true
}

// findTask returns the job, open or closed, and the index of a reported task;
// a nil job if there is no such task.
func (t *jobTable) findTask(name string) (*Job, int) {
	id, index, ok := wire.ParseTask(name)
	if !ok {
		return nil, 0
	}
	job := t.byID[id]
	if job == nil || index >= job.Spec.Tasks {
		return nil, 0
	}
	return job, index
}

// failingJobCount counts the jobs that failed on a machine, without open jobs
// that are themselves at fault.
func (t *jobTable) failingJobCount(machine *worker.Machine) int {
	jobs := 0
	for id := range machine.FailuresByJob {
		if job := t.byID[id]; job == nil || !job.failsEverywhere() {
			jobs++
		}
	}
	return jobs
}

// removeIfUnassigned forgets a closed job of which no task is on a machine any more.
func (t *jobTable) removeIfUnassigned(job *Job) {
	if job.closed && job.assigned == 0 {
		delete(t.byID, job.Spec.ID)
	}
}

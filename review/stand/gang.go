package stand

import "time"

// gangPeer is the time in which the tasks of a gang notice that another is gone, and gangWait the time for
// which one waits for the others.
const (
	gangPeer = 3 * time.Second
	gangWait = 45 * time.Second
)

type gangKey struct {
	job *Job
	try uint64
}

// gang counts the tasks of one attempt of a gang that are on machines.
type gang struct {
	waiting, running int
	started          bool      // all tasks have run at the same time
	ends             time.Time // when it is done, once it has started
	lostAt           time.Time // when a task of the running gang was gone
	done             bool
}

// setStage changes the stage of a task, and counts it if it belongs to a gang.
func (f *Fleet) setStage(task *Task, stage string) {
	if task.job == nil || task.job.Shape != "gang" {
		task.Stage = stage
		return
	}
	key := gangKey{task.job, task.Try}
	g := f.gangs[key]
	if g == nil {
		g = &gang{}
		f.gangs[key] = g
	}
	count := func(stage string, n int) {
		switch stage {
		case "waiting":
			g.waiting += n
		case "running", "saving":
			g.running += n
		}
	}
	count(task.Stage, -1)
	count(stage, 1)
	task.Stage = stage
	if stage == "exited" && g.started && !g.done && g.lostAt.IsZero() {
		g.lostAt = time.Now()
	}
}

// advanceMember moves a task of a gang on.
func (w *Worker) advanceMember(now time.Time, task *Task) {
	g := w.fleet.gangs[gangKey{task.job, task.Try}]
	switch {
	case task.Stage == "waiting" && !g.started && g.waiting == task.job.Pieces:
		g.started, g.ends = true, now.Add(task.job.RunTime)
		fallthrough
	case task.Stage == "waiting" && g.started:
		w.fleet.setStage(task, "running")
		w.changed = true
	case task.Stage == "waiting" && now.Sub(task.Started) > gangWait:
		w.exit(task, "alone", false)
	case task.Stage == "running" && g.done:
		w.fleet.done[task.Piece] = true
		w.exit(task, "done", false)
	case task.Stage == "running" && g.lostAt.IsZero() && now.After(g.ends) && g.running == task.job.Pieces:
		g.done = true // they complete together
		w.fleet.done[task.Piece] = true
		w.exit(task, "done", false)
	case task.Stage == "running" && !g.lostAt.IsZero() && now.Sub(g.lostAt) > gangPeer:
		w.exit(task, "mates_gone", false)
	}
}

package placement

import (
	"slices"
	"time"

	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// Reported brings the board up to date with a machine's newest account.
func (b *Board) Reported(now time.Time, m *worker.Machine, v worker.Verdict, checkin bool) {
	h := b.host(m)
	b.noteChange(h)
	if v == worker.Renewed {
		b.Lost(now, m, "worker's session is a new one")
		h.direct = nil // commands of an earlier session are void
		m.Images = map[string]time.Time{}
	}
	shown := make(map[string]*wire.TaskStatus, len(m.Tasks))
	for i := range m.Tasks {
		p := &m.Tasks[i]
		shown[p.Name] = p
	}
	for _, t := range slices.Clone(h.on) {
		if t.at != m {
			continue // an earlier one took its whole gang along
		}
		p := shown[t.Name()]
		if p != nil && p.Attempt == t.attempt {
			b.saw(now, m, t, p)
			continue
		}
		// Absent. An attempt that was once reported is gone. One that never
		// was may still be on its way: in the answer to the last report,
		// unless a later report shows that the worker dropped that answer;
		// or in a direct command that nobody answered.
		if t.reported {
			b.gone(now, t, 0, "no longer reported")
		} else if t.phase == Stopping && t.openDo == 0 && (!t.ordered || checkin && (t.seq == 0 || m.Seq > t.seq)) {
			b.gone(now, t, 0, "never started")
		}
	}
	b.unexplained(now, m, shown)
}

// saw handles a task that its machine reports.
func (b *Board) saw(now time.Time, m *worker.Machine, t *Task, p *wire.TaskStatus) {
	t.reported = true
	if p.State != wire.TaskExited {
		if p.State != wire.TaskFetching {
			m.Images[t.Job.Spec.Image] = now
		}
		if p.State == wire.TaskRunning && t.runFrom.IsZero() {
			t.runFrom = now
		}
		if t.stage != p.State {
			b.log.Debug("task stage", "task", p.Name, "attempt", p.Attempt, "host", m.Host, "stage", p.State)
		}
		t.stage = p.State
		t.Job.servedWell(now, t)
		if t.phase == Sent {
			b.setPhase(now, t, Live, p.State)
		}
		return
	}
	j := t.Job
	b.log.Debug("task exited", "task", p.Name, "attempt", p.Attempt, "host", m.Host, "cause", p.ExitReason, "stored", p.CheckpointSaved)
	if p.ExitReason == wire.ExitDone && j.Service() {
		b.gone(now, t, j.restartPause(now, t), "a service's replica ended")
		return
	}
	switch p.ExitReason {
	case wire.ExitDone:
		b.finish(now, t)
		if j.Gang() {
			b.finishGang(now, j)
		}
	case wire.ExitError:
		b.failed(now, m, t)
		b.gone(now, t, tuning.RetryPause, p.ExitReason)
	case wire.ExitInsufficientResources, wire.ExitOtherAttemptPresent, wire.ExitUnknownTask:
		b.log.Info("start refused", "task", p.Name, "host", m.Host, "cause", p.ExitReason)
		b.gone(now, t, tuning.RefusedPause, p.ExitReason)
	default:
		b.gone(now, t, 0, p.ExitReason)
	}
}

// finishGang completes a gang: if one of its tasks is done, every one is. Those
// whose own exit has not been reported stay on their machines until it is, but
// never start again, even when they are lost instead.
func (b *Board) finishGang(now time.Time, j *Job) {
	for _, t := range j.sorted() {
		if t.phase == Idle {
			b.unqueue(t)
			delete(j.tasks, t.N)
		}
	}
	for n := range j.Spec.Tasks {
		j.done.add(n)
	}
	if !j.closed {
		b.finished(now, j)
	}
}

// failed looks for who is to blame for a task that failed: its machine, when
// it has failed several jobs or a job that runs well elsewhere; else the job,
// which then waits longer each time.
func (b *Board) failed(now time.Time, m *worker.Machine, t *Task) {
	j := t.Job
	b.Count.Failed++
	j.errors++
	j.failedOn[m.Host]++
	j.missed = [2]uint64{}
	m.Blames[j.Spec.ID]++
	well := false
	for h := range j.wellOn {
		well = well || h != m.Host
	}
	jobs := 0
	for id := range m.Blames {
		if o := b.jobs[id]; o == nil || len(o.failedOn) < tuning.BadJobMachines || len(o.wellOn) > 0 {
			jobs++
		}
	}
	if jobs >= tuning.FaultyJobs || well && m.Blames[j.Spec.ID] >= tuning.FaultyErrors {
		if !m.Faulty {
			b.log.Info("machine is faulty", "host", m.Host, "jobs", jobs)
		}
		m.Faulty = true
	}
	if len(j.failedOn) >= tuning.BadJobMachines && len(j.wellOn) == 0 {
		pause := tuning.RetryPause << min(j.errors, tuning.RetryDoublings)
		j.notBefore = now.Add(pause)
		b.log.Info("job fails everywhere", "job", j.Spec.ID, "pause", pause)
	}
}

// unexplained handles what a machine reports that the board does not expect
// there: tasks that an earlier tenure started, and the remains of jobs that
// are over.
func (b *Board) unexplained(now time.Time, m *worker.Machine, shown map[string]*wire.TaskStatus) {
	delete(b.unexpected, m)
	m.Stranger = false
	for _, p := range m.Tasks {
		id, n, ok := wire.ParseTask(p.Name)
		var j *Job
		if ok {
			j = b.jobs[id]
		}
		if j != nil && n < j.Spec.Tasks {
			if t := j.tasks[n]; t != nil && t.at == m && t.attempt == p.Attempt {
				continue
			}
		} else {
			j = nil
		}
		if p.State == wire.TaskExited {
			if j != nil && p.ExitReason == wire.ExitDone && !j.Service() && !j.done.has(n) {
				b.foundDone(now, j, n)
			}
			continue
		}
		if j != nil && !j.closed && !j.done.has(n) {
			if t := j.tasks[n]; t == nil || t.phase == Idle {
				b.adopt(now, j, n, m, p)
				continue
			}
		}
		b.log.Info("stray task", "task", p.Name, "attempt", p.Attempt, "host", m.Host)
		b.unexpected[m] = append(b.unexpected[m], p)
		m.Stranger = m.Stranger || j == nil
	}
}

// foundDone records a completion that an earlier tenure did not get to.
func (b *Board) foundDone(now time.Time, j *Job, n int) {
	t := j.tasks[n]
	if t == nil {
		t = &Task{Job: j, N: n}
	}
	if t.phase >= Sent && t.phase <= Stopping {
		// a copy of a completed task: it will be stopped as a stray
		b.stop(now, t, 0, "completed elsewhere")
		if j.done.add(n) && !j.closed {
			b.finished(now, j)
		}
		return
	}
	b.finish(now, t)
	if j.Gang() {
		b.finishGang(now, j)
	}
}

// adopt takes over a task that an earlier tenure started.
func (b *Board) adopt(now time.Time, j *Job, n int, m *worker.Machine, p wire.TaskStatus) {
	t := j.tasks[n]
	if t == nil {
		t = &Task{Job: j, N: n}
		j.tasks[n] = t
	}
	b.unqueue(t)
	b.hand(now, t, m, p.Attempt, false, "adopted")
	t.ordered = true
	b.saw(now, m, t, &p)
	if !j.Gang() {
		return
	}
	switch {
	case j.attempt == 0 || j.located == 1:
		j.attempt = p.Attempt
	case j.attempt != p.Attempt:
		b.breakGang(now, j, "two attempts found")
	}
}

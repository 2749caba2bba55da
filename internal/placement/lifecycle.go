package placement

import (
	"slices"
	"time"

	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/worker"
)

// setPhase is the one place that changes a task's phase, and with it the
// accounts of its machine and team.
func (b *Board) setPhase(now time.Time, t *Task, p Phase, why string) {
	was := t.phase
	if was == p {
		return
	}
	onBefore, onAfter := was >= Sent && was <= Stopping, p >= Sent && p <= Stopping
	m := t.at
	var h *host
	if onBefore || onAfter {
		h = b.host(m)
		b.noteChange(h)
	}
	switch {
	case !onBefore && onAfter:
		m.Taken = m.Taken.Add(t.Job.need)
		if t.spare {
			m.Spares = m.Spares.Add(t.Job.need)
		}
		m.Busy++
		b.book.Use(t.Job.Spec.Team, t.Job.need, 1)
		t.Job.located++
		h.on = append(h.on, t)
		t.sentAt, t.runFrom, t.stage = now, time.Time{}, ""
	case onBefore && !onAfter:
		m.Taken = m.Taken.Sub(t.Job.need)
		if t.spare {
			m.Spares = m.Spares.Sub(t.Job.need)
		}
		m.Busy--
		if m.Busy == 0 {
			m.IdleFrom = now
			m.Taken, m.Spares = quota.Room{}, quota.Room{}
		}
		b.book.Use(t.Job.Spec.Team, t.Job.need, -1)
		t.Job.located--
		if i := slices.Index(h.on, t); i >= 0 {
			h.on = slices.Delete(h.on, i, i+1)
		}
		t.at = nil
	}
	t.phase = p
	b.log.Debug("task", "task", t.Name(), "attempt", t.attempt, "host", m.Host, "from", was.String(), "to", p.String(), "spare", t.spare, "why", why)
}

// hand puts a task's copy on a machine: the order goes out next.
func (b *Board) hand(now time.Time, t *Task, m *worker.Machine, attempt uint64, spare bool, why string) {
	t.at, t.attempt, t.spare = m, attempt, spare
	t.reported, t.ordered, t.openDo, t.seq, t.session, t.stopDue, t.grace = false, false, 0, 0, 0, false, 0
	b.setPhase(now, t, Sent, why)
	if t.Job.Gang() || t.Job.Service() {
		b.noteUrgent(m) // its mates, or its users, wait for it
	}
}

// nextAttempt makes an attempt number that no earlier attempt of the job has: the
// tenure's token is in the high bits, so it grows without a write.
func (b *Board) nextAttempt(j *Job) uint64 {
	j.seq++
	if j.seq >= 1<<tuning.AttemptBits-tuning.AttemptsLeft {
		b.AttemptsUsedUp = true
	}
	return b.token<<tuning.AttemptBits | j.seq&(1<<tuning.AttemptBits-1)
}

// stop tells a task on a machine to stop.
func (b *Board) stop(now time.Time, t *Task, grace float64, why string) {
	if t.phase == Stopping && grace >= t.grace {
		return
	}
	t.grace, t.stopDue = grace, true
	b.setPhase(now, t, Stopping, why)
	b.noteUrgent(t.at)
}

// grace is how long a job's running task is given to save.
func (j *Job) grace() float64 {
	if j.Spec.CheckpointIntervalS <= 0 {
		return 0
	}
	return j.Spec.CheckpointSaveTimeS + tuning.SaveGrace.Seconds()
}

// yield stops a task so that it can go on later; a gang stops as a whole.
func (b *Board) yield(now time.Time, t *Task, why string) {
	if !t.Job.Gang() {
		b.stop(now, t, t.Job.grace(), why)
		return
	}
	t.Job.broken = true
	for _, o := range t.Job.sorted() {
		if o.phase == Sent || o.phase == Live {
			b.stop(now, o, t.Job.grace(), why)
		}
	}
}

// gone takes a task off its machine; it may start again elsewhere.
func (b *Board) gone(now time.Time, t *Task, wait time.Duration, why string) {
	j := t.Job
	spare := t.spare
	stopped := t.phase == Stopping
	b.setPhase(now, t, Idle, why)
	t.attempt = 0
	switch {
	case j.closed:
		b.unqueue(t)
		delete(j.tasks, t.N)
	case j.Gang():
		b.unqueue(t)
		delete(j.tasks, t.N)
		j.giveBack(t.N, now.Add(wait))
		if !j.Complete() {
			b.breakGang(now, j, why)
		}
	case spare && t.main != nil && stopped:
		// a spare that gave way: its main keeps its place, the spare waits
		// again until it has been stopped too often
		if t.low == nil || t.stops >= b.Set.DropThreshold {
			b.dropLow(t)
		}
	default:
		b.unqueue(t)
		delete(j.tasks, t.N)
		j.giveBack(t.N, now.Add(wait))
	}
	b.sweep(j)
}

// breakGang ends a gang's attempt: whatever is left of it has to go before
// the next one.
func (b *Board) breakGang(now time.Time, j *Job, why string) {
	j.broken = false
	for _, o := range j.sorted() {
		switch o.phase {
		case Idle:
			b.unqueue(o)
			delete(j.tasks, o.N)
			j.giveBack(o.N, now)
		case Sent, Live:
			j.broken = true
			b.stop(now, o, 0, "attempt over: "+why)
		case Stopping:
			j.broken = true
		}
	}
}

// finish records a task's completion.
func (b *Board) finish(now time.Time, t *Task) {
	j := t.Job
	if t.phase >= Sent && t.phase <= Stopping {
		if t.spare {
			b.Count.SparesFinished++
		}
		j.wellOn[t.at.Host] = true
		if !t.runFrom.IsZero() && j.Spec.EstimatedRunTimeS > 0 && !j.Gang() {
			ratio := now.Sub(t.runFrom).Seconds() / j.Spec.EstimatedRunTimeS
			old, ok := b.runRatio[j.Spec.Class]
			if !ok {
				old = 1
			}
			b.runRatio[j.Spec.Class] = old + (ratio-old)*tuning.PaceWeight
		}
		b.setPhase(now, t, Finished, "done")
	} else {
		t.phase = Finished
	}
	b.unqueue(t)
	delete(j.tasks, t.N)
	if j.done.add(t.N) && !j.closed {
		b.finished(now, j)
	}
	b.sweep(j)
}

// Lost gives up everything on a machine: its lease is surely over, its
// session is a new one, or its deletion was answered.
func (b *Board) Lost(now time.Time, m *worker.Machine, why string) {
	for h := b.host(m); len(h.on) > 0; {
		b.gone(now, h.on[0], 0, why)
	}
	delete(b.unexpected, m)
	m.Stranger = false
}

// Forget drops a machine that is gone.
func (b *Board) Forget(now time.Time, m *worker.Machine) {
	b.Lost(now, m, "machine gone")
	b.clearQueues(now, m)
	b.survey.forget(b.host(m))
	delete(b.hosts, m)
}

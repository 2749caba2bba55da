package placement

import (
	"slices"
	"time"

	"juniperchute/internal/quota"
	"juniperchute/internal/worker"
)

// clearQueues sends a machine's queued copies back to be drawn elsewhere.
func (b *Board) clearQueues(now time.Time, m *worker.Machine) {
	h := b.host(m)
	for len(h.high) > 0 {
		b.takeBack(now, h.high[0])
	}
	for len(h.low) > 0 {
		b.dropLow(h.low[0])
	}
}

// takeBack makes a queued main held again. A gang's place is kept or given
// up as a whole.
func (b *Board) takeBack(now time.Time, t *Task) {
	j := t.Job
	if j.Gang() {
		for _, o := range j.sorted() {
			b.unqueue(o)
			if o.phase == Idle {
				delete(j.tasks, o.N)
				j.giveBack(o.N, now)
			}
		}
		return
	}
	if t.phase != Idle {
		// its spare runs: only the main's place is given up
		b.dropMain(t)
		return
	}
	b.unqueue(t)
	delete(j.tasks, t.N)
	j.giveBack(t.N, now)
}

func (b *Board) queueMain(now time.Time, t *Task, m *worker.Machine) {
	t.main, t.mainSince = m, now
	h := b.host(m)
	h.high = append(h.high, t)
	b.noteChange(h)
	m.Promised = m.Promised.Add(t.Job.need)
	if !m.FreeForMain().Fits(b.survey.least) {
		b.survey.setRoom(h, false)
	}
	b.book.Promise(t.Job.Spec.Team, t.Job.need, 1)
}

func (b *Board) dropMain(t *Task) {
	m := t.main
	if m == nil {
		return
	}
	h := b.host(m)
	b.noteChange(h)
	if i := slices.Index(h.high, t); i >= 0 {
		h.high = slices.Delete(h.high, i, i+1)
	}
	m.Promised = m.Promised.Sub(t.Job.need)
	if len(h.high) == 0 {
		m.Promised = quota.Room{}
	}
	b.book.Promise(t.Job.Spec.Team, t.Job.need, -1)
	t.main = nil
}

func (b *Board) queueLow(t *Task, m *worker.Machine) {
	t.low = m
	h := b.host(m)
	h.low = append(h.low, t)
}

func (b *Board) dropLow(t *Task) {
	if t.low == nil {
		return
	}
	h := b.host(t.low)
	if i := slices.Index(h.low, t); i >= 0 {
		h.low = slices.Delete(h.low, i, i+1)
	}
	t.low = nil
}

func (b *Board) unqueue(t *Task) {
	b.dropMain(t)
	b.dropLow(t)
}

package placement

import (
	"slices"
	"time"

	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// arrayDraw is the draw of one array's waiting tasks in one pass.
type arrayDraw struct {
	b          *Board
	j          *Job
	pass       drawPass
	imageOnly  bool           // only machines with the image come into question
	spread     map[string]int // the job's tasks by zone, if its placement depends on them
	candidates []candidate
	kept       bool // a machine that would do is kept for a starving gang
}

// candidate is a machine that has room for a task, and its tier.
type candidate struct {
	m    *worker.Machine
	tier int
}

// missedIndex tells which of a job's notes of machines without room a draw uses.
func (d *arrayDraw) missedIndex() int {
	if d.imageOnly {
		return 1
	}
	return 0
}

// drawArray queues an array's waiting tasks: a main at a random machine of the best tier,
// and a spare at another.
func (b *Board) drawArray(now time.Time, j *Job, pass drawPass) {
	if pass.guaranteed && !b.book.Guaranteed(j.Spec.Team, j.need) || pass.image && j.late {
		return
	}
	d := &arrayDraw{b: b, j: j, pass: pass, imageOnly: pass.image && !j.seeds, spread: j.spread(nil)}
	d.findCandidates(now)
	if len(d.candidates) > 0 && !b.mayBegin(now, j) {
		return
	}
	for n := 0; j.held() > 0; n++ {
		if !d.mayDraw(n) || !d.drawTask(now) {
			return
		}
	}
}

// fits tells whether one more task may be queued at a machine.
func (d *arrayDraw) fits(m *worker.Machine) bool {
	return m.FreeForMain().Fits(d.j.need) && (d.spread == nil || d.j.zoneOK(m.Zone, d.spread)) &&
		(!d.imageOnly || d.b.hasImage(m, d.j.Spec.Image))
}

// findCandidates looks at the machines that have changed since none had room.
func (d *arrayDraw) findCandidates(now time.Time) {
	j, missed := d.j, uint64(0)
	if d.spread == nil {
		missed = j.missed[d.missedIndex()]
	}
	for _, h := range d.b.survey.withRoom {
		m := h.m
		switch {
		case h.gainedAt < missed || !m.Usable(now) || !d.fits(m) || !j.allows(m.Type, m.Zone, m.Spot) || j.avoids(m):
		case d.b.keptFor(now, j, m):
			d.kept = true
		default:
			d.candidates = append(d.candidates, candidate{m, d.b.tier(j, m)})
		}
	}
}

// mayDraw tells whether another task may be taken up after n in this draw.
func (d *arrayDraw) mayDraw(n int) bool {
	b, j := d.b, d.j
	switch {
	case b.drawn == tuning.DrawTasks:
		b.survey.again() // what else there is to do goes first
		return false
	case j.level >= wire.Priorities+j.priority && n == tuning.BeginTasks:
		return false // it has begun; the rest waits for its turn
	case d.pass.guaranteed && !b.book.Guaranteed(j.Spec.Team, j.need):
		return false
	case !b.book.Admits(j.Spec.Team, j.need, true):
		b.waits(j, "team's limit")
		return false
	}
	return true
}

// drawTask queues one task and tells whether there was a place for it.
func (d *arrayDraw) drawTask(now time.Time) bool {
	b, j := d.b, d.j
	at := b.pick(d.candidates)
	if at < 0 {
		b.waits(j, "no room")
		if !d.kept {
			j.missed[d.missedIndex()] = b.survey.change + 1
		}
		return false
	}
	n, ok := j.take(now)
	if !ok {
		b.waits(j, "pause after a failure")
		return false
	}
	j.why = ""
	m := d.candidates[at].m
	t := &Task{Job: j, N: n}
	j.tasks[n] = t
	b.queueMain(now, t, m)
	b.drawn++
	d.used(at)
	b.drawSpare(now, t)
	return true
}

// used brings the candidates up to date after a task was queued at one of them.
func (d *arrayDraw) used(at int) {
	m := d.candidates[at].m
	switch {
	case d.spread != nil:
		d.spread[m.Zone]++
		d.candidates = slices.DeleteFunc(d.candidates, func(c candidate) bool { return !d.fits(c.m) })
		for i := range d.candidates {
			d.candidates[i].tier = d.b.tier(d.j, d.candidates[i].m)
		}
	case d.fits(m):
		d.candidates[at].tier = d.b.tier(d.j, m)
	default:
		d.candidates = slices.Delete(d.candidates, at, at+1)
	}
}

// tier ranks machines that fit: cheap ones for whoever may use them, then ones
// that have the image or are about to, then the fuller ones, in steps, so that
// others empty and can be returned.
func (b *Board) tier(j *Job, m *worker.Machine) int {
	s := 0
	if j.Spec.Spot && !m.Spot {
		s += 4 * tuning.FillSteps
	}
	if !b.hasImage(m, j.Spec.Image) {
		s += 2 * tuning.FillSteps
	}
	return s + int(tuning.FillSteps*m.FreeForMain().Share(m.Cap))
}

// hasImage tells whether a machine has an image, or some task there will have
// it fetched.
func (b *Board) hasImage(m *worker.Machine, bundle string) bool {
	if _, ok := m.Images[bundle]; ok {
		return true
	}
	has := func(t *Task) bool { return t.Job.Spec.Image == bundle }
	h := b.host(m)
	return slices.ContainsFunc(h.on, has) || slices.ContainsFunc(h.high, has)
}

// pick chooses at random among the machines of the lowest tier, -1 if there is none.
func (b *Board) pick(among []candidate) int {
	low, n := 0, 0
	for i := range among {
		switch tier := among[i].tier; {
		case n == 0 || tier < low:
			low, n = tier, 1
		case tier == low:
			n++
		}
	}
	if n == 0 {
		return -1
	}
	n = b.rng.IntN(n)
	return slices.IndexFunc(among, func(c candidate) bool {
		if c.tier == low {
			n--
		}
		return n < 0
	})
}

// drawSpare queues a task's spare low at another random worker whose whole
// room it fits. A few tries find one in most cases; a spare that finds none is
// no loss, as mains are drawn into room that is there.
func (b *Board) drawSpare(now time.Time, t *Task) {
	j := t.Job
	all := b.reg.All()
	for range min(tuning.SpareDraws, 2*len(all)) {
		m := all[b.rng.IntN(len(all))]
		if m != t.main && m.Usable(now) && j.allows(m.Type, m.Zone, m.Spot) && m.Cap.Fits(j.need) &&
			len(b.host(m).low) < tuning.LowDepth && !j.avoids(m) {
			b.queueLow(t, m)
			return
		}
	}
}

package placement

import (
	"slices"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// allows tells whether a job may run on a machine at all: type, zone and kind.
func (j *Job) allows(build, zone string, spot bool) bool {
	s := &j.Spec
	if spot && !s.Spot {
		return false
	}
	if s.Zone != "" && s.Zone != zone {
		return false
	}
	return s.AnyType || slices.Contains(s.Types, build)
}

// avoids tells whether the job has failed on a machine, and not so widely that
// the job itself must be at fault.
func (j *Job) avoids(m *worker.Machine) bool {
	return len(j.failedOn) > 0 && j.failedOn[m.Host] > 0 && (len(j.failedOn) < tuning.BadJobMachines || j.Service() && len(j.wellOn) > 0)
}

// yards counts a job's tasks by zone: those on machines, and with queued also
// those that have been drawn.
func (j *Job) zones(queued bool) map[string]int {
	n := map[string]int{}
	for _, t := range j.tasks {
		switch {
		case t.phase >= Sent && t.phase <= Stopping:
			n[t.at.Zone]++
		case queued && t.main != nil:
			n[t.main.Zone]++
		}
	}
	return n
}

// zoneOK tells whether one more task of a job may be in a zone, beside n.
func (j *Job) zoneOK(zone string, n map[string]int) bool {
	if j.Spec.Together {
		for y, c := range n {
			if c > 0 && y != zone {
				return false
			}
		}
	}
	return !j.Spec.Apart || n[zone]+1 <= (j.Spec.Tasks+1)/2
}

// constrained tells whether where a job's tasks may be depends on the others.
func (j *Job) constrained() bool { return j.Spec.Together || j.Spec.Apart }

// startable tells whether all that may be on unseen machines allows a held
// task of the job to start.
func (b *Board) startable(j *Job) bool {
	return b.open || !j.Early || b.Begin != nil && !j.Before
}

// Draw takes up held tasks in order and queues their copies, places gangs
// whole, and redraws what is stuck. It does nothing while nothing has changed.
func (b *Board) Draw(now time.Time) {
	due := !now.Before(b.drawDue)
	if due {
		b.drawDue = now.Add(tuning.DrawEvery)
		b.recalls(now)
		b.redraw(now)
	}
	if gained := b.look(now); !gained && !due && !b.survey.changed {
		return
	}
	b.survey.changed = false
	b.first, b.tried, b.drawn, b.fitted = nil, 0, 0, 0
	for _, l := range b.byPriority(now) {
		for _, guaranteed := range []bool{true, false} {
			if guaranteed && !b.book.Guarantees() {
				continue
			}
			// room goes to a task whose image is there before one of a
			// somewhat earlier turn that would have it fetched
			for _, image := range []bool{true, false} {
				jobs := l.all
				if len(b.survey.roomy) == 0 {
					jobs = l.whole // work may give way to them
				}
				for _, j := range jobs {
					b.drawJob(now, j, guaranteed, image)
				}
			}
		}
	}
	for _, j := range b.order {
		if j.Gang() {
			b.startGang(now, j)
		}
	}
}

func (b *Board) waits(j *Job, why string) {
	if j.why != why {
		j.why = why
		b.log.Debug("job waits", "job", j.Spec.ID, "why", why, "held", j.held())
	}
}

func (b *Board) drawJob(now time.Time, j *Job, guaranteed, image bool) {
	// most jobs have nothing waiting: that is told first
	switch {
	case j.Gang() || j.Service():
		if image || j.Service() && j.held() == 0 {
			return // where the image is counts in the places' scores
		}
	case j.held() == 0 || len(b.survey.roomy) == 0:
		return
	}
	if j.closed || now.Before(j.notBefore) {
		return
	}
	if !b.startable(j) {
		b.waits(j, "its tasks may be on machines not heard yet")
		return
	}
	if !b.canAsk(j) {
		return
	}
	if j.Gang() {
		b.drawGang(now, j, guaranteed)
		return
	}
	if j.Service() {
		b.drawService(now, j, guaranteed)
		return
	}
	if guaranteed && !b.book.Guaranteed(j.Spec.Team, j.need) {
		return
	}
	var spread map[string]int
	patient, missed := 0, uint64(0)
	if image {
		if j.late {
			return
		}
		if !j.seeds {
			patient = 1
		}
	}
	if j.constrained() {
		spread = j.zones(true)
	} else {
		missed = j.missed[patient]
	}
	fit := func(m *worker.Machine) bool {
		return m.FreeForMain().Fits(j.need) && (spread == nil || j.zoneOK(m.Zone, spread)) && (patient == 0 || b.hasImage(m, j.Spec.Bundle))
	}
	var cands []cell
	kept := false
	for _, h := range b.survey.roomy {
		m := h.m
		switch {
		case h.grew < missed || !m.Usable(now) || !fit(m) || !j.allows(m.Type, m.Zone, m.Spot) || j.avoids(m):
		case b.keptFor(now, j, m):
			kept = true
		default:
			cands = append(cands, cell{m, b.tier(j, m)})
		}
	}
	if len(cands) > 0 && !b.mayBegin(now, j) {
		return
	}
	for n := 0; j.held() > 0; n++ {
		if b.drawn == tuning.DrawTasks {
			b.survey.again() // what else there is to do goes first
			return
		}
		if j.level >= wire.Priorities+j.priority && n == tuning.BeginTasks {
			return // it has begun; the rest waits for its turn
		}
		if guaranteed && !b.book.Guaranteed(j.Spec.Team, j.need) {
			return
		}
		if !b.book.Admits(j.Spec.Team, j.need, true) {
			b.waits(j, "team's limit")
			return
		}
		at := b.pick(cands)
		if at < 0 {
			b.waits(j, "no room")
			if !kept {
				j.missed[patient] = b.survey.change + 1
			}
			return
		}
		n, ok := j.take(now)
		if !ok {
			b.waits(j, "pause after a failure")
			return
		}
		j.why = ""
		m := cands[at].m
		t := &Task{Job: j, N: n}
		j.tasks[n] = t
		b.queueMain(now, t, m)
		b.drawn++
		if spread != nil {
			spread[m.Zone]++
			cands = slices.DeleteFunc(cands, func(c cell) bool { return !fit(c.m) })
			for i := range cands {
				cands[i].tier = b.tier(j, cands[i].m)
			}
		} else if fit(m) {
			cands[at].tier = b.tier(j, m)
		} else {
			cands = slices.Delete(cands, at, at+1)
		}
		b.drawSpare(now, t)
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
	if !b.hasImage(m, j.Spec.Bundle) {
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
	has := func(t *Task) bool { return t.Job.Spec.Bundle == bundle }
	h := b.host(m)
	return slices.ContainsFunc(h.on, has) || slices.ContainsFunc(h.high, has)
}

// cell is a machine that has room for a task, and its tier.
type cell struct {
	m    *worker.Machine
	tier int
}

// pick chooses at random among the machines of the lowest tier, -1 if there is none.
func (b *Board) pick(among []cell) int {
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
	return slices.IndexFunc(among, func(c cell) bool {
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

// recalls prepares machines that the cloud is about to take: queued copies
// leave at once, tasks that can save are stopped just in time to do so.
func (b *Board) recalls(now time.Time) {
	for _, m := range b.reg.All() {
		h := b.host(m)
		if len(h.high)+len(h.low) > 0 && !m.Usable(now) {
			b.clearQueues(now, m)
		}
		if m.Recall.IsZero() {
			continue
		}
		margin := config.Seconds(b.facts.Workers.ReportS*tuning.RecallReports) + tuning.SaveGrace
		for _, t := range slices.Clone(h.on) {
			if t.phase == Live && t.Job.Service() {
				b.moveReplica(now, t, now.Add(margin).After(m.Recall))
				continue
			}
			if t.phase == Live && t.Job.Spec.BookmarkS > 0 && t.stage != wire.TaskFetching &&
				now.Add(config.Seconds(t.Job.Spec.StowS)+margin).After(m.Recall) {
				b.yield(now, t, "machine is recalled")
			}
		}
	}
}

// redraw moves mains that have been stuck past a report round while another
// machine would take them now.
func (b *Board) redraw(now time.Time) {
	round := config.Seconds(b.facts.Workers.ReportS * tuning.RedrawReports)
	for _, m := range b.reg.All() {
		h := b.host(m)
		if len(h.high) == 0 {
			continue
		}
		for _, t := range slices.Clone(h.high) {
			j := t.Job
			if j.Gang() || t.phase != Idle || now.Sub(t.mainSince) < round {
				continue
			}
			if m.Usable(now) && m.Free().Fits(j.need) {
				continue // not stuck: it starts with the next report
			}
			if slices.ContainsFunc(b.reg.All(), func(o *worker.Machine) bool {
				return o != m && o.Usable(now) && j.allows(o.Type, o.Zone, o.Spot) && !j.avoids(o) &&
					o.Free().Sub(o.Promised).Fits(j.need)
			}) {
				b.Count.Redrawn++
				b.takeBack(now, t)
			}
		}
	}
}

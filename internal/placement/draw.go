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
	if j.Spec.SameZone {
		for y, c := range n {
			if c > 0 && y != zone {
				return false
			}
		}
	}
	return !j.Spec.SpreadAcrossZones || n[zone]+1 <= (j.Spec.Tasks+1)/2
}

// constrained tells whether where a job's tasks may be depends on the others.
func (j *Job) constrained() bool { return j.Spec.SameZone || j.Spec.SpreadAcrossZones }

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
				if len(b.survey.withRoom) == 0 {
					jobs = l.whole // work may give way to them
				}
				for _, j := range jobs {
					b.drawJob(now, j, drawPass{guaranteed, image})
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

// drawPass tells which of a draw's passes over the jobs this is.
type drawPass struct {
	guaranteed bool // only what stays within its team's guarantee
	image      bool // only tasks whose image is on the machine, with some exceptions
}

// drawJob takes up what a job has waiting.
func (b *Board) drawJob(now time.Time, j *Job, pass drawPass) {
	// most jobs have nothing waiting: that is told first
	whole := j.Gang() || j.Service()
	switch {
	case whole && pass.image:
		return // where the image is counts in the places' scores
	case !j.Gang() && j.held() == 0:
		return
	case !whole && len(b.survey.withRoom) == 0:
		return
	case j.closed || now.Before(j.notBefore):
		return
	case !b.startable(j):
		b.waits(j, "its tasks may be on machines not heard yet")
		return
	case !b.canAsk(j):
		return
	}
	switch {
	case j.Gang():
		b.drawGang(now, j, pass.guaranteed)
	case j.Service():
		b.drawService(now, j, pass.guaranteed)
	default:
		b.drawArray(now, j, pass)
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
		margin := config.Seconds(b.facts.Workers.HeartbeatS*tuning.RecallReports) + tuning.SaveGrace
		for _, t := range slices.Clone(h.on) {
			if t.phase == Live && t.Job.Service() {
				b.moveReplica(now, t, now.Add(margin).After(m.Recall))
				continue
			}
			if t.phase == Live && t.Job.Spec.CheckpointIntervalS > 0 && t.stage != wire.TaskFetching &&
				now.Add(config.Seconds(t.Job.Spec.CheckpointSaveTimeS)+margin).After(m.Recall) {
				b.yield(now, t, "machine is recalled")
			}
		}
	}
}

// redraw moves mains that have been stuck past a report round while another
// machine would take them now.
func (b *Board) redraw(now time.Time) {
	round := config.Seconds(b.facts.Workers.HeartbeatS * tuning.RedrawReports)
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

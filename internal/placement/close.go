package placement

import (
	"slices"
	"time"

	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/worker"
)

// Close looks for a machine whose tasks would all fit elsewhere, saves and
// moves them, and draws nothing more to it, so that it can be returned. It
// does so only while no array waits, and takes the dearest machine with the
// least on it.
func (b *Board) Close(now time.Time) {
	if !b.open || now.Before(b.closeDue) || b.waiting(now) {
		return
	}
	var best *worker.Machine
	for _, m := range b.reg.All() {
		if m.Busy == 0 || !m.Usable(now) || !b.movable(now, m) || !b.fitsElsewhere(now, m) {
			continue
		}
		if best == nil || best.Loaners && !m.Loaners || best.Loaners == m.Loaners && m.Taken.Share(m.Cap) < best.Taken.Share(best.Cap) {
			best = m
		}
	}
	if best == nil {
		return
	}
	b.closeDue = now.Add(tuning.CloseEvery)
	b.log.Info("closing a machine", "host", best.Host, "tasks", best.Busy)
	best.Closing = true
	for _, t := range slices.Clone(b.host(best).on) {
		b.Count.Moved++
		b.yield(now, t, "its machine is to be returned")
	}
}

// waiting tells whether some array has tasks that could start if there were
// room.
func (b *Board) waiting(now time.Time) bool {
	return slices.ContainsFunc(b.order, func(j *Job) bool { return !j.Gang() && j.held() > 0 && !now.Before(j.notBefore) })
}

// movable tells whether nothing is lost when a machine's tasks move.
func (b *Board) movable(now time.Time, m *worker.Machine) bool {
	h := b.host(m)
	if len(h.high) > 0 {
		return false
	}
	for _, t := range h.on {
		j := t.Job
		if t.phase != Live || t.spare || j.closed || j.Gang() || j.Standing() || j.Spec.BookmarkS <= 0 || t.runFrom.IsZero() {
			return false
		}
	}
	return true
}

// fitsElsewhere tells whether other machines in use that have the images would
// take a machine's tasks now.
func (b *Board) fitsElsewhere(now time.Time, m *worker.Machine) bool {
	room := map[*worker.Machine]quota.Room{}
	for _, t := range b.host(m).on {
		j := t.Job
		found := false
		for _, o := range b.reg.All() {
			if o == m || o.Busy == 0 || !o.Usable(now) || !j.allows(o.Build, o.Yard, o.Loaners) || j.avoids(o) {
				continue
			}
			if _, ok := o.Images[j.Spec.Bundle]; !ok {
				continue
			}
			if _, ok := room[o]; !ok {
				room[o] = o.FreeForMain()
			}
			if room[o].Fits(j.need) {
				room[o] = room[o].Sub(j.need)
				found = true
				break
			}
		}
		if !found {
			return false
		}
	}
	return true
}

// reopen makes closing machines that are not empty yet usable again.
func (b *Board) reopen() {
	for _, m := range b.reg.All() {
		if m.Closing {
			m.Closing = false
			b.touch(b.host(m))
		}
	}
}

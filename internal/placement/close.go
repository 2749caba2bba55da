package placement

import (
	"cmp"
	"slices"
	"time"

	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/worker"
)

// Close looks for machines whose tasks would all fit elsewhere, saves and moves
// them, and draws nothing more to those machines, so that they can be returned.
// It does so only while no array waits, with a small part of the machines at a
// time, the dearest with the least on them first; the fullest take the tasks.
func (b *Board) Close(now time.Time) {
	if !b.open || now.Before(b.closeDue) || b.waiting(now) {
		return
	}
	b.closeDue = now.Add(tuning.CloseEvery)
	var from, to []*worker.Machine
	used := 0
	for _, m := range b.reg.All() {
		if m.Busy == 0 || !m.Usable(now) {
			continue
		}
		if used++; m.FreeForMain().Share(m.Cap) > tuning.CloseRoom {
			to = append(to, m)
		}
		if b.movable(m) {
			from = append(from, m)
		}
	}
	share := func(m *worker.Machine) float64 { return m.Taken.Share(m.Cap) }
	slices.SortStableFunc(from, func(a, c *worker.Machine) int {
		if a.Spot != c.Spot {
			if c.Spot {
				return -1
			}
			return 1
		}
		return cmp.Compare(share(a), share(c))
	})
	slices.SortStableFunc(to, func(a, c *worker.Machine) int { return cmp.Compare(share(c), share(a)) })
	most := max(1, used/tuning.ClosePart)
	got := map[*worker.Machine]quota.Room{} // room on machines that take tasks
	closed := 0
	for i, m := range from {
		if closed == most || i == tuning.CloseTries*most {
			break
		}
		if _, takes := got[m]; takes || !b.fitsElsewhere(now, m, to, got) {
			continue
		}
		closed++
		b.log.Info("closing a machine", "host", m.Host, "tasks", m.Busy)
		m.Closing = true
		for _, t := range slices.Clone(b.host(m).on) {
			b.Count.Moved++
			b.yield(now, t, "its machine is to be returned")
		}
	}
}

// waiting tells whether some array has tasks that could start if there were
// room.
func (b *Board) waiting(now time.Time) bool {
	return slices.ContainsFunc(b.order, func(j *Job) bool { return !j.Gang() && j.held() > 0 && !now.Before(j.notBefore) })
}

// movable tells whether nothing is lost when a machine's tasks move.
func (b *Board) movable(m *worker.Machine) bool {
	h := b.host(m)
	if len(h.high) > 0 {
		return false
	}
	for _, t := range h.on {
		j := t.Job
		if t.phase != Live || t.spare || j.closed || j.Gang() || j.Service() || j.Spec.CheckpointIntervalS <= 0 || t.runFrom.IsZero() {
			return false
		}
	}
	return true
}

// fitsElsewhere tells whether other machines in use that have the images would
// take a machine's tasks now, beside what got says they are taking already, and
// enters the tasks there if so.
func (b *Board) fitsElsewhere(now time.Time, m *worker.Machine, to []*worker.Machine, got map[*worker.Machine]quota.Room) bool {
	mine := map[*worker.Machine]quota.Room{}
	for _, t := range b.host(m).on {
		j := t.Job
		i := slices.IndexFunc(to, func(o *worker.Machine) bool {
			// most have no room at all: that is asked first
			if !o.FreeForMain().Fits(j.need) || o == m || o.Closing || !o.FreeForMain().Sub(got[o]).Sub(mine[o]).Fits(j.need) || !j.allows(o.Type, o.Zone, o.Spot) || j.avoids(o) {
				return false
			}
			_, ok := o.Images[j.Spec.Image]
			return ok
		})
		if i < 0 {
			return false
		}
		mine[to[i]] = mine[to[i]].Add(j.need)
	}
	for o, r := range mine {
		got[o] = got[o].Add(r)
	}
	return true
}

// reopen makes closing machines that are not empty yet usable again.
func (b *Board) reopen() {
	for _, m := range b.reg.All() {
		if m.Closing {
			m.Closing = false
			b.noteChange(b.host(m))
		}
	}
}

package placement

import (
	"slices"
	"strings"
	"time"

	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/worker"
)

// view is what a machine had to offer when the survey last looked at it.
type view struct {
	usable        bool
	free          quota.Room
	images, tasks int
}

// more tells whether v offers a waiting task something that old did not.
func (v view) more(old view) bool {
	return v.usable && (!old.usable || !old.free.Fits(v.free) || v.images > old.images || v.tasks > old.tasks)
}

// survey lets the cost of a draw grow with what has changed and not with
// machines times jobs. It numbers the changes by which machines gained room or
// images, so that a job that found no place looks at the machines changed since
// then only; it knows which machines have room for the smallest of tasks, so that a
// draw ends where there is none; and it keeps count of the places that gangs of a
// kind could have.
type survey struct {
	changedHosts []*host
	change       uint64     // the newest change by which a machine gained something
	least        quota.Room // no open array's task needs less, of anything
	withRoom     []*host    // usable machines with room for that
	beyond       uint64     // which teams are beyond their guarantees
	reaches      map[kind]*reach
	changed      bool // jobs, limits or the order have changed since the last draw
}

func newSurvey() survey { return survey{reaches: map[kind]*reach{}} }

// again makes the next draw go through all jobs.
func (s *survey) again() { s.changed = true }

func (s *survey) forget(h *host) {
	s.setRoom(h, false)
	for _, r := range s.reaches {
		r.set(h.m, 0)
	}
}

// setRoom enters a machine among those with room, or takes it off.
func (s *survey) setRoom(h *host, withRoom bool) {
	switch {
	case withRoom && h.roomIndex == 0:
		s.withRoom = append(s.withRoom, h)
		h.roomIndex = len(s.withRoom)
	case !withRoom && h.roomIndex != 0:
		last := s.withRoom[len(s.withRoom)-1]
		s.withRoom[h.roomIndex-1], last.roomIndex = last, h.roomIndex
		s.withRoom = s.withRoom[:len(s.withRoom)-1]
		h.roomIndex = 0
	}
}

// need takes note of what the smallest tasks need.
func (b *Board) need(now time.Time, least quota.Room) {
	s := &b.survey
	if least == s.least {
		return
	}
	s.least = least
	for _, m := range b.reg.All() {
		s.setRoom(b.host(m), m.Usable(now) && m.FreeForMain().Fits(least))
	}
}

// noteChange notes that something about a machine has changed.
func (b *Board) noteChange(h *host) {
	if !h.noted {
		h.noted = true
		b.survey.changedHosts = append(b.survey.changedHosts, h)
	}
}

// NoteChange notes that something about a machine has changed that the board itself
// does not see.
func (b *Board) NoteChange(m *worker.Machine) { b.noteChange(b.host(m)) }

// look brings the survey up to date and tells whether some machine has gained
// something.
func (b *Board) look(now time.Time) bool {
	s := &b.survey
	var beyond uint64
	for i, t := range b.facts.Teams {
		if b.book.Beyond(t.Name) {
			beyond |= 1 << (i % 64)
		}
	}
	if beyond != s.beyond {
		// whose work may be stopped for whom is another matter now
		s.beyond = beyond
		clear(s.reaches)
	}
	gained := false
	for _, h := range s.changedHosts {
		h.noted = false
		m := h.m
		v := view{m.Usable(now), m.FreeForMain(), len(m.Images), len(h.on) + len(h.high)}
		if v.more(h.seen) {
			gained = true
			s.change++
			h.gainedAt = s.change
		}
		h.seen = v
		s.setRoom(h, v.usable && v.free.Fits(s.least))
		for k, r := range s.reaches {
			r.set(m, b.places(now, k, m))
		}
	}
	s.changedHosts = s.changedHosts[:0]
	return gained
}

// kind is all that decides where a gang could be placed, but for images and
// past failures.
type kind struct {
	need       quota.Room
	builds     string // allowed types, "*" for any
	zone       string
	spot       bool
	priority   int
	team       string
	guaranteed bool
}

func (j *Job) kind(guaranteed bool) kind {
	k := kind{j.need, "*", j.Spec.Zone, j.Spec.Spot, j.priority, j.Spec.Team, guaranteed}
	if !j.Spec.AnyType {
		k.builds = strings.Join(j.Spec.Types, " ")
	}
	return k
}

func (k *kind) allows(m *worker.Machine) bool {
	return (k.spot || !m.Spot) && (k.zone == "" || k.zone == m.Zone) &&
		(k.builds == "*" || slices.Contains(strings.Fields(k.builds), m.Type))
}

// reach is how many tasks of a kind of gang could be placed on each machine,
// other work giving way where it has to.
type reach struct {
	on    map[*worker.Machine]int
	zones map[string]int
	total int
}

func (r *reach) set(m *worker.Machine, n int) {
	d := n - r.on[m]
	if d == 0 {
		return
	}
	r.zones[m.Zone] += d
	r.total += d
	if n == 0 {
		delete(r.on, m)
	} else {
		r.on[m] = n
	}
}

// places is how many tasks of a kind of gang a machine could take if all that
// may gives way; at least as many as there turn out to be.
func (b *Board) places(now time.Time, k kind, m *worker.Machine) int {
	if !m.Usable(now) || !k.allows(m) {
		return 0
	}
	room := m.FreeForMain()
	if !room.Fits(k.need) {
		for _, t := range b.host(m).on {
			if b.yields(now, t, k) {
				room = room.Add(t.Job.need)
			}
		}
	}
	return room.Count(k.need, maxCount)
}

// reachable tells whether there could be a place for each task of a gang. It
// may say so wrongly, as it knows nothing of past failures.
func (b *Board) reachable(now time.Time, j *Job, guaranteed bool) bool {
	k := j.kind(guaranteed)
	r := b.survey.reaches[k]
	if r == nil {
		if len(b.survey.reaches) >= tuning.GangKinds {
			clear(b.survey.reaches)
		}
		r = &reach{on: map[*worker.Machine]int{}, zones: map[string]int{}}
		for _, m := range b.reg.All() {
			r.set(m, b.places(now, k, m))
		}
		b.survey.reaches[k] = r
	}
	if !j.Spec.SameZone {
		return r.total >= j.Spec.Tasks
	}
	for _, n := range r.zones {
		if n >= j.Spec.Tasks {
			return true
		}
	}
	return false
}

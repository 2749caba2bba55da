package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// allows tells whether a job may run on a machine at all: type, zone and kind.
func (j *Job) allows(build, yard string, loaners bool) bool {
	s := &j.Spec
	if loaners && !s.Loaners {
		return false
	}
	if s.Yard != "" && s.Yard != yard {
		return false
	}
	return s.AnyBuild || slices.Contains(s.Builds, build)
}

// avoids tells whether the job has failed on a machine, and not so widely that
// the job itself must be at fault.
func (j *Job) avoids(m *worker.Machine) bool {
	return j.failedOn[m.Host] > 0 && len(j.failedOn) < tuning.BadJobMachines
}

// yards counts a job's tasks by zone: those on machines, and with queued also
// those that have been drawn.
func (j *Job) yards(queued bool) map[string]int {
	n := map[string]int{}
	for _, t := range j.tasks {
		switch {
		case t.phase >= Sent && t.phase <= Stopping:
			n[t.at.Yard]++
		case queued && t.main != nil:
			n[t.main.Yard]++
		}
	}
	return n
}

// zoneOK tells whether one more task of a job may be in a zone, beside n.
func (j *Job) zoneOK(yard string, n map[string]int) bool {
	if j.Spec.Together {
		for y, c := range n {
			if c > 0 && y != yard {
				return false
			}
		}
	}
	return !j.Spec.Apart || n[yard]+1 <= (j.Spec.Pieces+1)/2
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
	b.first = nil
	for _, jobs := range b.byRank(now) {
		for _, guaranteed := range []bool{true, false} {
			// room goes to a task whose image is there before one of a
			// somewhat earlier turn that would have it fetched
			for _, image := range []bool{true, false} {
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

// reorder makes the next draw sort the jobs anew.
func (b *Board) reorder() {
	b.turnsDue = time.Time{}
	b.survey.again()
}

// byRank lists the open jobs of each rank, first those within their team's
// guarantee, in the order of their turns.
func (b *Board) byRank(now time.Time) [][]*Job {
	if now.Before(b.turnsDue) {
		return b.turns
	}
	b.turnsDue = now.Add(tuning.TurnsEvery)
	b.turns = nil
	levels := map[int][]*Job{}
	for _, j := range b.order {
		j.level = j.rank + b.raised(now, j)
		levels[j.level] = append(levels[j.level], j)
	}
	images := b.imageCounts()
	for _, l := range slices.Backward(slices.Sorted(maps.Keys(levels))) {
		jobs := b.byTurn(levels[l])
		b.turns = append(b.turns, jobs)
		first, ahead := math.Inf(1), 0
		for _, j := range jobs {
			if j.held() > 0 && !j.Gang() {
				if ahead++; ahead <= tuning.BeginAhead && b.startable(j) {
					b.mayBegin(now, j) // so that a free place need not wait for the mark
				}
				first = min(first, j.turn)
				j.late = j.turn > first+tuning.ImagePatience.Seconds()
				j.seeds = float64(images[j.Spec.Bundle]) < float64(j.held())*j.share(b.reg)
			}
		}
	}
	return b.turns
}

// imageCounts tells on how many machines each image is.
func (b *Board) imageCounts() map[string]int {
	out := map[string]int{}
	for _, m := range b.reg.All() {
		if m.State == worker.Up {
			for i := range m.Images {
				out[i]++
			}
		}
	}
	return out
}

// raised is by how many ranks a job is raised because it has waited for so long
// that it would starve: no burst of others, however long, may keep it from
// beginning. One of which nothing has started goes first until something has;
// one whose tasks have waited longer still goes up rank by rank, and stays there.
func (b *Board) raised(now time.Time, j *Job) int {
	if j.starved(now) && j.located == 0 {
		return wire.Ranks
	}
	up := min(j.level-j.rank, wire.Ranks-1)
	if over := now.Sub(j.Since) - tuning.StarveAfter; over >= 0 && (j.held() > 0 || len(j.tasks) > j.located) {
		up = max(up, 1+min(int(over/tuning.StarveStep), wire.Ranks-2))
	} else if up == wire.Ranks-1 {
		up = 0 // it has begun
	}
	return up
}

// starved tells whether nothing of a job has come to an end although it has
// waited for long: what it has begun is left alone.
func (j *Job) starved(now time.Time) bool {
	return j.done.count == 0 && now.Sub(j.Since) > tuning.BeginBy
}

// byTurn orders jobs of one rank by age. Gangs go a while before arrays, and
// arrays with more work waiting a while after ones with less, so that when there
// is too much the many small jobs are in time and not only the oldest. Both are
// bounded, so that neither arrays nor the largest of them starve.
func (b *Board) byTurn(jobs []*Job) []*Job {
	out := slices.Clone(jobs)
	works := map[*Job]float64{}
	sum := 0.0
	for _, j := range out {
		if n := j.held(); n > 0 && !j.Gang() {
			works[j] = float64(n) * b.Expect(j) * j.share(b.reg)
			sum += works[j]
		}
	}
	usual := sum / float64(max(1, len(works)))
	for _, j := range out {
		j.turn = float64(j.At.UnixMilli()) / 1000
		switch w := works[j]; {
		case j.Gang():
			j.turn -= tuning.GangsAhead.Seconds()
		case w > 0:
			j.turn += tuning.TurnMost.Seconds() * w / (w + usual)
		}
	}
	slices.SortStableFunc(out, func(a, c *Job) int { return cmp.Compare(a.turn, c.turn) })
	return out
}

// share is the part of a machine that one of the job's tasks takes, 1 if there
// is no machine to tell.
func (j *Job) share(reg *worker.Registry) float64 {
	for _, m := range reg.All() {
		if m.Cap.Fits(j.need) && j.allows(m.Build, m.Yard, m.Loaners) {
			return 1 / float64(max(1, m.Cap.Count(j.need, wire.MaxPieces)))
		}
	}
	return 1
}

func (b *Board) waits(j *Job, why string) {
	if j.why != why {
		j.why = why
		b.log.Debug("job waits", "job", j.Spec.ID, "why", why, "held", j.held())
	}
}

func (b *Board) drawJob(now time.Time, j *Job, guaranteed, image bool) {
	if now.Before(j.notBefore) || j.held() == 0 && !j.Gang() {
		return
	}
	if !b.startable(j) {
		b.waits(j, "its tasks may be on machines not heard yet")
		return
	}
	if j.Gang() {
		if !image { // where a gang's image is counts in its places' scores
			b.drawGang(now, j, guaranteed)
		}
		return
	}
	if guaranteed && !b.book.Guaranteed(j.Spec.Crew, j.need) {
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
		spread = j.yards(true)
	} else {
		missed = j.missed[patient]
	}
	fit := func(m *worker.Machine) bool {
		return m.FreeForMain().Fits(j.need) && (spread == nil || j.zoneOK(m.Yard, spread)) && (patient == 0 || b.hasImage(m, j.Spec.Bundle))
	}
	var cands []*host
	kept := false
	for _, h := range b.since(missed) {
		m := h.m
		switch {
		case !m.Usable(now) || !fit(m) || !j.allows(m.Build, m.Yard, m.Loaners) || j.avoids(m):
		case b.keptFor(now, j, m):
			kept = true
		default:
			cands = append(cands, h)
		}
	}
	if len(cands) > 0 && !b.mayBegin(now, j) {
		return
	}
	for n := 0; j.held() > 0; n++ {
		if j.level >= wire.Ranks+j.rank && n == tuning.BeginTasks {
			return // it has begun; the rest waits for its turn
		}
		if guaranteed && !b.book.Guaranteed(j.Spec.Crew, j.need) {
			return
		}
		if !b.book.Admits(j.Spec.Crew, j.need, true) {
			b.waits(j, "team's limit")
			return
		}
		m := b.pick(cands, func(m *worker.Machine) (int, bool) {
			if !fit(m) {
				return 0, false
			}
			return b.tier(j, m), true
		})
		if m == nil {
			b.waits(j, "no room")
			if !kept {
				j.missed[patient] = b.survey.next()
			}
			return
		}
		n, ok := j.take(now)
		if !ok {
			b.waits(j, "pause after a failure")
			return
		}
		j.why = ""
		t := &Task{Job: j, N: n}
		j.tasks[n] = t
		b.queueMain(now, t, m)
		if spread != nil {
			spread[m.Yard]++
		}
		if !j.Standing() {
			b.drawSpare(now, t)
		}
	}
}

// tier ranks machines that fit: cheap ones for whoever may use them, then ones
// that have the image or are about to, then the fuller ones, in steps, so that
// others empty and can be returned.
func (b *Board) tier(j *Job, m *worker.Machine) int {
	s := 0
	if j.Spec.Loaners && !m.Loaners {
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

// pick chooses at random among the machines of the lowest tier.
func (b *Board) pick(among []*host, fit func(m *worker.Machine) (int, bool)) *worker.Machine {
	var best *worker.Machine
	low, n := 0, 0
	for _, h := range among {
		tier, ok := fit(h.m)
		if !ok || best != nil && tier > low {
			continue
		}
		if best == nil || tier < low {
			best, low, n = h.m, tier, 1
			continue
		}
		n++
		if b.rng.IntN(n) == 0 {
			best = h.m
		}
	}
	return best
}

// drawSpare queues a task's spare low at another random worker whose whole
// room it fits. A few tries find one in most cases; a spare that finds none is
// no loss, as mains are drawn into room that is there.
func (b *Board) drawSpare(now time.Time, t *Task) {
	j := t.Job
	all := b.reg.All()
	for range min(tuning.SpareDraws, 2*len(all)) {
		m := all[b.rng.IntN(len(all))]
		if m != t.main && m.Usable(now) && j.allows(m.Build, m.Yard, m.Loaners) && m.Cap.Fits(j.need) &&
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
			if t.phase == Live && t.Job.Spec.BookmarkS > 0 && t.stage != wire.PieceFetching &&
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
				return o != m && o.Usable(now) && j.allows(o.Build, o.Yard, o.Loaners) && !j.avoids(o) &&
					o.Free().Sub(o.Promised).Fits(j.need)
			}) {
				b.Count.Redrawn++
				b.takeBack(now, t)
			}
		}
	}
}

// place is where a gang's task would go, and what it would cost.
type place struct {
	m     *worker.Machine
	score float64
	stop  []*Task // to be stopped for it
}

// drawGang places a waiting gang whole, first fit, or not at all.
func (b *Board) drawGang(now time.Time, j *Job, guaranteed bool) {
	if j.located > 0 || j.broken {
		if b.open && !j.broken && j.located < j.Spec.Pieces-j.done.count && j.try != 0 {
			b.breakGang(now, j, "incomplete")
		}
		return
	}
	if len(j.tasks) > 0 || j.Complete() {
		return
	}
	all := j.need.Times(float64(j.Spec.Pieces))
	if guaranteed && !b.book.Guaranteed(j.Spec.Crew, all) {
		return
	}
	if !b.book.Admits(j.Spec.Crew, all, true) {
		b.waits(j, "team's limit")
		return
	}
	if b.first != nil && b.first != j {
		b.waits(j, "an older gang goes first")
		return
	}
	if !b.reachable(now, j, guaranteed) {
		b.noRoom(now, j)
		return
	}
	yards := []string{""}
	if j.Spec.Together {
		yards = b.facts.Zones
	}
	var best []place
	cost := 0.0
	for _, y := range yards {
		if got := b.fitGang(now, j, y, guaranteed); got != nil {
			sum := 0.0
			for _, p := range got {
				sum += p.score
			}
			if best == nil || sum < cost {
				best, cost = got, sum
			}
		}
	}
	if best == nil {
		b.noRoom(now, j)
		return
	}
	if !b.mayBegin(now, j) {
		return
	}
	b.Count.GangsPlaced++
	j.why = ""
	hurry := b.hurry(now, j, best)
	for n, p := range best {
		t := &Task{Job: j, N: n}
		j.tasks[n] = t
		b.queueMain(now, t, p.m)
		for _, v := range p.stop {
			if v.phase == Sent || v.phase == Live {
				b.Count.Preempted++
				if hurry && !v.Job.Gang() {
					b.stop(now, v, 0, "gives way at once to "+j.Spec.ID)
				} else {
					b.yield(now, v, "gives way to "+j.Spec.ID)
				}
			}
		}
	}
	j.next, j.returned = j.Spec.Pieces, nil
}

// noRoom notes that a gang found no room. Once it has waited for long, no gang
// behind it is placed before it: many small ones would take each machine that
// becomes free, and a large one would never see enough of them. Machines that
// are not there yet are not waited for in this way.
func (b *Board) noRoom(now time.Time, j *Job) {
	b.waits(j, "no room for all tasks")
	if b.first != nil || now.Sub(j.Since) <= tuning.GangPatience {
		return
	}
	k, places := j.kind(false), 0
	for _, m := range b.reg.All() {
		if m.Usable(now) && k.allows(m) {
			places += m.Cap.Count(j.need, maxCount)
		}
	}
	if places >= j.Spec.Pieces {
		b.first = j
	}
}

// keptFor tells whether a machine is kept for a starving gang that an array's
// tasks would not give way to.
func (b *Board) keptFor(now time.Time, j *Job, m *worker.Machine) bool {
	f := b.first
	return f != nil && f.starved(now) && !j.starved(now) && j.rank >= f.rank && f.allows(m.Build, m.Yard, m.Loaners) && m.Cap.Fits(f.need)
}

// fitGang finds a place for each task of a gang, in one zone if one is named.
func (b *Board) fitGang(now time.Time, j *Job, yard string, guaranteed bool) []place {
	type cand struct {
		place
		room quota.Room
	}
	var cands []cand
	k := j.kind(guaranteed)
	for _, m := range b.reg.All() {
		if !m.Usable(now) || !j.allows(m.Build, m.Yard, m.Loaners) || yard != "" && m.Yard != yard || j.avoids(m) {
			continue
		}
		c := cand{place: place{m: m}, room: m.FreeForMain()}
		if !c.room.Fits(j.need) {
			c.stop, c.room, c.score = b.victims(now, k, m, c.room)
			if !c.room.Fits(j.need) {
				continue
			}
			c.score += tuning.ScorePreempt
		}
		if _, ok := m.Images[j.Spec.Bundle]; !ok {
			c.score += b.fetchScore(j, m)
		}
		if j.Spec.Loaners && !m.Loaners {
			c.score += tuning.ScoreOrdinary
		}
		cands = append(cands, c)
	}
	slices.SortStableFunc(cands, func(a, c cand) int { return cmp.Compare(a.score, c.score) })
	var out []place
	inYard := map[string]int{}
	for i := range cands {
		c := &cands[i]
		for len(out) < j.Spec.Pieces && c.room.Fits(j.need) && j.zoneOK(c.m.Yard, inYard) {
			c.room = c.room.Sub(j.need)
			inYard[c.m.Yard]++
			out = append(out, c.place)
			c.stop, c.score = nil, 0
		}
	}
	if len(out) < j.Spec.Pieces {
		return nil
	}
	return out
}

// fetchTime estimates how many seconds a machine takes to fetch a job's image.
func (j *Job) fetchTime(m *worker.Machine) float64 {
	if _, ok := m.Images[j.Spec.Bundle]; ok || m.Fetch <= 0 {
		return 0
	}
	return j.Spec.ImageGb / m.Fetch
}

// fetchScore is what it costs a gang that its image is not on a machine: little
// if it can be fetched within a time in which its class should have started.
func (b *Board) fetchScore(j *Job, m *worker.Machine) float64 {
	for _, o := range b.facts.Objectives {
		if o.Kind == "wait" && o.Class == j.Spec.Lane && m.Fetch > 0 &&
			j.fetchTime(m)*tuning.FetchSlack+b.facts.Workers.ReportS < o.WithinS {
			return tuning.ScoreQuickImage
		}
	}
	return tuning.ScoreNoImage
}

// hurry tells whether a gang placed now starts within one of its class's times
// only if the work that gives way does not save first. What that work loses is
// its progress since its last checkpoint, about as much as saving takes.
func (b *Board) hurry(now time.Time, j *Job, places []place) bool {
	fetch, save := 0.0, 0.0
	for _, p := range places {
		fetch = max(fetch, j.fetchTime(p.m))
		for _, v := range p.stop {
			save = max(save, v.Job.grace())
		}
	}
	ready := now.Sub(j.Since).Seconds() + fetch + tuning.StartTime.Seconds()
	return slices.ContainsFunc(b.facts.Objectives, func(o config.Objective) bool {
		return o.Kind == "wait" && o.Class == j.Spec.Lane && ready <= o.WithinS && ready+save > o.WithinS
	})
}

// yields tells whether a task may be stopped for a gang: work of lower rank, or of
// a team beyond its guarantee for one within its own.
func (b *Board) yields(now time.Time, t *Task, k kind) bool {
	o := t.Job
	if t.spare || o.closed {
		return false // its room counts as free already, or is about to be
	}
	if o.Spec.Crew != k.crew {
		beyond := b.book.Beyond(o.Spec.Crew)
		if k.guaranteed && beyond {
			return true
		}
		// A team that has only its guarantee keeps it against other teams' work
		// beyond theirs, whatever its rank: otherwise the two would stop each
		// other in turn, one by rank and one by its guarantee, for ever.
		if !k.guaranteed && !beyond {
			return false
		}
	}
	return o.rank < k.rank && !o.starved(now)
}

// victims chooses the tasks to stop on a machine so that a gang's task fits.
func (b *Board) victims(now time.Time, k kind, m *worker.Machine, room quota.Room) (stop []*Task, left quota.Room, cost float64) {
	var may []*Task
	for _, t := range b.host(m).on {
		if b.yields(now, t, k) {
			may = append(may, t)
		}
	}
	slices.SortFunc(may, func(a, c *Task) int { return cmp.Compare(b.loss(now, a), b.loss(now, c)) })
	for _, t := range may {
		if room.Fits(k.need) {
			break
		}
		room = room.Add(t.Job.need)
		cost += b.loss(now, t)
		stop = append(stop, t)
	}
	return stop, room, cost
}

// loss is the work, in seconds, that stopping a task throws away.
func (b *Board) loss(now time.Time, t *Task) float64 {
	ran := now.Sub(t.sentAt).Seconds()
	if t.Job.Spec.BookmarkS > 0 {
		ran = t.Job.Spec.StowS
	}
	return ran * t.Job.need.Share(t.at.Cap)
}

// startGang hands out a placed gang once the room of each task is free.
func (b *Board) startGang(now time.Time, j *Job) {
	if len(j.tasks) != j.Spec.Pieces || j.located > 0 || j.broken {
		return
	}
	ahead := map[*worker.Machine]quota.Room{}
	for n := range j.Spec.Pieces {
		t := j.tasks[n]
		if t == nil || t.main == nil || t.main.State != worker.Up {
			return
		}
		room, ok := ahead[t.main]
		if !ok {
			room = t.main.Free()
		}
		if !room.Fits(j.need) {
			b.yieldSpares(now, t.main, j.need.Sub(room))
			return
		}
		ahead[t.main] = room.Sub(j.need)
	}
	if !b.book.Admits(j.Spec.Crew, j.need.Times(float64(j.Spec.Pieces)), false) {
		return
	}
	j.try = b.nextTry(j)
	for n := range j.Spec.Pieces {
		t := j.tasks[n]
		m := t.main
		b.unqueue(t)
		b.hand(now, t, m, j.try, false, "gang starts")
	}
}

// yieldSpares stops running spares on a machine until what lacks is covered.
func (b *Board) yieldSpares(now time.Time, m *worker.Machine, lacks quota.Room) {
	for _, t := range slices.Clone(b.host(m).on) {
		if lacks.CPUs <= 0 && lacks.GPUs <= 0 && lacks.MemGB <= 0 {
			return
		}
		if t.spare {
			if t.phase != Stopping {
				t.stops++
				b.Count.SparesYielded++
				if t.stops >= b.Set.DropThreshold {
					b.Count.SparesDropped++
				}
				b.stop(now, t, t.Job.grace(), "spare gives way")
			}
			lacks = lacks.Sub(t.Job.need)
		}
	}
}

// heads hands out what is at the head of a machine's queues: mains first, and
// spares only while no main waits.
func (b *Board) heads(now time.Time, m *worker.Machine) {
	q := b.host(m)
	if len(q.high)+len(q.low) == 0 || !m.Usable(now) {
		return
	}
	room := m.Free()
	for _, t := range slices.Clone(q.high) {
		j := t.Job
		if t.main != m {
			continue
		}
		if j.Gang() {
			room = room.Sub(j.need) // startGang hands these out
			continue
		}
		switch {
		case t.phase != Idle:
			// its own spare runs: that has to stop and be reported first
			if t.phase == Sent || t.phase == Live {
				t.stops++
				b.Count.SparesYielded++
				b.stop(now, t, j.grace(), "its main is at the head")
			}
		case !b.book.Admits(j.Spec.Crew, j.need, false) || !j.zoneOK(m.Yard, j.yards(false)):
		case room.Fits(j.need):
			b.Count.MainsStarted++
			b.unqueue(t)
			b.hand(now, t, m, b.nextTry(j), false, "main at the head")
		default:
			b.yieldSpares(now, m, j.need.Sub(room))
		}
		room = room.Sub(j.need)
	}
	if len(q.high) > 0 {
		return
	}
	stuck := config.Seconds(b.facts.Workers.ReportS * tuning.SpareReports)
	for _, t := range slices.Clone(q.low) {
		j := t.Job
		if t.low != m || t.phase != Idle || t.main == nil || now.Sub(t.mainSince) < stuck || !room.Fits(j.need) ||
			// a main that can start at its next report would stop it at once
			t.main.Usable(now) && t.main.Free().Fits(j.need) ||
			!b.book.Admits(j.Spec.Crew, j.need, true) || !j.zoneOK(m.Yard, j.yards(false)) {
			continue
		}
		b.Count.SparesStarted++
		b.hand(now, t, m, b.nextTry(j), true, "spare while no main waits")
		room = room.Sub(j.need)
	}
}

// Orders lists what a machine is to be told now. With checkin they go into
// the answer to its report, otherwise into a direct command.
func (b *Board) Orders(now time.Time, m *worker.Machine, checkin bool) []wire.Order {
	b.heads(now, m)
	h := b.host(m)
	var out []wire.Order
	zero := 0.0
	for i := range m.Pieces {
		if len(out) == tuning.OrdersMost {
			return out
		}
		p := &m.Pieces[i]
		id, n, ok := wire.ParsePiece(p.Piece)
		var j *Job
		if ok {
			if j = b.jobs[id]; j != nil && n >= j.Spec.Pieces {
				j = nil
			}
		}
		if p.Stage == wire.PieceExited {
			// A completion stays reported until it is kept elsewhere.
			if (j == nil || j.closed || p.Cause != wire.CauseDone || j.Standing() || j.durable.has(n)) && !h.direct[attempt{p.Piece, p.Try}] {
				out = append(out, wire.Order{Verb: wire.VerbReap, Piece: p.Piece, Try: p.Try})
			}
			continue
		}
		var t *Task
		if j != nil {
			t = j.tasks[n]
		}
		switch {
		case t == nil || t.at != m || t.try != p.Try:
			out = append(out, wire.Order{Verb: wire.VerbStop, Piece: p.Piece, Try: p.Try, WindDownS: &zero})
		case t.phase == Stopping && (p.Stage != wire.PieceSaving || t.grace == 0):
			g := t.grace
			out = append(out, wire.Order{Verb: wire.VerbStop, Piece: p.Piece, Try: p.Try, WindDownS: &g})
			t.stopDue = false
		}
	}
	for _, t := range h.on {
		if len(out) == tuning.OrdersMost {
			return out
		}
		switch {
		case t.phase == Sent && !checkin && len(h.direct) >= tuning.DirectMost:
			// goes out with the answer to the next report
		case t.phase == Sent:
			if !checkin {
				if h.direct == nil {
					h.direct = map[attempt]bool{}
				}
				h.direct[attempt{t.Name(), t.try}] = true
			}
			out = append(out, wire.Order{Verb: wire.VerbRun, Piece: t.Name(), Try: t.try})
			t.ordered, t.stint = true, m.Stint
			if checkin {
				t.tally = m.Tally
			} else {
				t.openDo++
			}
		case t.phase == Stopping && !t.reported && t.ordered:
			// perhaps on its way: the stop follows it
			g := t.grace
			out = append(out, wire.Order{Verb: wire.VerbStop, Piece: t.Name(), Try: t.try, WindDownS: &g})
			t.stopDue = false
		}
	}
	return out
}

// Answered settles a direct command: executed or surely not.
func (b *Board) Answered(m *worker.Machine, orders []wire.Order) {
	for _, t := range b.host(m).on {
		for _, o := range orders {
			if o.Verb == wire.VerbRun && o.Try == t.try && o.Piece == t.Name() && t.openDo > 0 {
				t.openDo--
			}
		}
	}
}

// InDoubt tells whether all that may be on a machine are tasks to be stopped
// that it has never reported.
func (b *Board) InDoubt(m *worker.Machine) bool {
	for _, t := range b.host(m).on {
		if t.phase != Stopping || t.reported {
			return false
		}
	}
	return true
}

// Kicks lists the machines that should be told at once rather than with the
// answer to their next report.
func (b *Board) Kicks(now time.Time) []*worker.Machine {
	var out []*worker.Machine
	b.kicks = slices.DeleteFunc(b.kicks, func(h *host) bool {
		pending, ready := false, false
		for _, t := range h.on {
			switch {
			case t.phase == Sent && !t.ordered && t.Job.Gang() && len(h.direct) < tuning.DirectMost:
				pending, ready = true, true
			case t.phase == Stopping && t.stopDue && !t.Job.closed:
				pending, ready = true, ready || t.ordered
			}
		}
		if h.kick = pending; ready && h.m.State == worker.Up && !h.m.DoBusy && h.m.Used {
			out = append(out, h.m)
		}
		return !pending
	})
	return out
}

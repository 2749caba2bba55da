package placement

import (
	"cmp"
	"slices"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/worker"
)

// place is where a gang's task would go, and what it would cost.
type place struct {
	m     *worker.Machine
	score float64
	stop  []*Task // to be stopped for it
}

// drawGang places a waiting gang whole, first fit, or not at all.
func (b *Board) drawGang(now time.Time, j *Job, guaranteed bool) {
	if j.located > 0 || j.broken {
		if b.open && !j.broken && j.located < j.Spec.Tasks-j.done.count && j.attempt != 0 {
			b.breakGang(now, j, "incomplete")
		}
		return
	}
	if len(j.tasks) > 0 || j.Complete() || !b.mayDrawGang(now, j, guaranteed) {
		return
	}
	// before the places are chosen: thousands may wait for their marks
	if !b.mayBegin(now, j) {
		return
	}
	places := b.cheapestZone(now, j, guaranteed)
	if places == nil {
		b.noRoom(now, j)
		return
	}
	b.placeGang(now, j, places)
}

// mayDrawGang tells whether a gang is to be placed now, if it fits.
func (b *Board) mayDrawGang(now time.Time, j *Job, guaranteed bool) bool {
	all := j.need.Times(float64(j.Spec.Tasks))
	switch {
	case guaranteed && !b.book.Guaranteed(j.Spec.Team, all):
		return false
	case !b.book.Admits(j.Spec.Team, all, true):
		b.waits(j, "team's limit")
		return false
	case b.first != nil && b.first != j:
		b.waits(j, "an older gang goes first")
		return false
	case b.tried >= tuning.GangsTried:
		return false // there is no room for so many before it
	case !b.reachable(now, j, guaranteed):
		b.tried++
		b.noRoom(now, j)
		return false
	case b.fitted == tuning.DrawGangs:
		b.survey.again() // what else there is to do goes first
		return false
	}
	return true
}

// cheapestZone finds a place for each task of a gang, in the zone that costs least if they
// have to share one; nil if there is none.
func (b *Board) cheapestZone(now time.Time, j *Job, guaranteed bool) []place {
	zones := []string{""}
	if j.Spec.SameZone {
		zones = b.facts.Zones
	}
	var best []place
	least := 0.0
	for _, zone := range zones {
		places := b.fitGang(now, j, zone, guaranteed)
		cost := 0.0
		for _, p := range places {
			cost += p.score
		}
		if places != nil && (best == nil || cost < least) {
			best, least = places, cost
		}
	}
	return best
}

// placeGang queues a gang's tasks at their places and stops what gives way to them.
func (b *Board) placeGang(now time.Time, j *Job, places []place) {
	b.fitted++
	b.Count.GangsPlaced++
	j.why = ""
	hurry := b.hurry(now, j, places)
	for n, p := range places {
		t := &Task{Job: j, N: n}
		j.tasks[n] = t
		b.queueMain(now, t, p.m)
		for _, v := range p.stop {
			if v.phase != Sent && v.phase != Live {
				continue
			}
			b.Count.Preempted++
			if hurry && !v.Job.Gang() {
				b.stop(now, v, 0, "gives way at once to "+j.Spec.ID)
			} else {
				b.yield(now, v, "gives way to "+j.Spec.ID)
			}
		}
	}
	j.next, j.returned = j.Spec.Tasks, nil
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
	if places >= j.Spec.Tasks {
		b.first = j
	}
}

// keptFor tells whether a machine is kept for a starving gang that an array's
// tasks would not give way to.
func (b *Board) keptFor(now time.Time, j *Job, m *worker.Machine) bool {
	f := b.first
	return f != nil && f.starved(now) && !j.starved(now) && j.priority >= f.priority && f.allows(m.Type, m.Zone, m.Spot) && m.Cap.Fits(f.need)
}

// cand is a machine that may have places for a gang, and what one there costs; at
// least that much while it is not known what has to give way.
type cand struct {
	place
	room  quota.Room
	known bool
}

// fitGang finds a place for each task of a gang, in one zone if one is named, on
// the cheapest machines. What has to give way is worked out only for as many of
// them as it takes.
func (b *Board) fitGang(now time.Time, j *Job, zone string, guaranteed bool) []place {
	var cands []*cand
	k := j.kind(guaranteed)
	places := b.survey.reaches[k].on // as counted when the gang was found reachable
	for _, m := range b.reg.All() {
		if places[m] == 0 || !m.Usable(now) || !j.allows(m.Type, m.Zone, m.Spot) || zone != "" && m.Zone != zone || j.avoids(m) {
			continue
		}
		c := &cand{place: place{m: m}, room: m.FreeForMain()}
		if c.known = c.room.Fits(j.need); !c.known {
			c.score = tuning.ScorePreempt
		}
		if _, ok := m.Images[j.Spec.Image]; !ok {
			c.score += b.fetchScore(j, m)
		}
		if j.Spec.Spot && !m.Spot {
			c.score += tuning.ScoreOrdinary
		}
		cands = append(cands, c)
	}
	byScore := func(a, c *cand) int { return cmp.Compare(a.score, c.score) }
	slices.SortStableFunc(cands, byScore)
	var sure []*cand // by score
	for i := range cands {
		if !j.Spec.SpreadAcrossZones && b.enough(sure, j, cands[i].score) {
			break
		}
		c := cands[i]
		if !c.known {
			cost := 0.0
			c.stop, c.room, cost = b.victims(now, k, c.m, c.room)
			c.score += cost
		}
		if c.room.Fits(j.need) {
			at, _ := slices.BinarySearchFunc(sure, c.score, func(o *cand, score float64) int {
				if o.score <= score {
					return -1
				}
				return 1
			})
			sure = slices.Insert(sure, at, c)
		}
	}
	var out []place
	inZone := map[string]int{}
	for _, c := range sure {
		for len(out) < j.Spec.Tasks && c.room.Fits(j.need) && j.zoneOK(c.m.Zone, inZone) {
			c.room = c.room.Sub(j.need)
			inZone[c.m.Zone]++
			out = append(out, c.place)
			c.stop, c.score = nil, 0
		}
	}
	if len(out) < j.Spec.Tasks {
		return nil
	}
	return out
}

// enough tells whether machines that cost no more than a score have places for a
// whole gang.
func (b *Board) enough(sure []*cand, j *Job, score float64) bool {
	n := 0
	for _, c := range sure {
		if n >= j.Spec.Tasks || c.score > score {
			break
		}
		n += c.room.Count(j.need, maxCount)
	}
	return n >= j.Spec.Tasks
}

// fetchTime estimates how many seconds a machine takes to fetch a job's image.
func (j *Job) fetchTime(m *worker.Machine) float64 {
	if _, ok := m.Images[j.Spec.Image]; ok || m.Fetch <= 0 {
		return 0
	}
	return j.Spec.ImageGb / m.Fetch
}

// fetchScore is what it costs a gang that its image is not on a machine: little
// if it can be fetched within a time in which its class should have started.
func (b *Board) fetchScore(j *Job, m *worker.Machine) float64 {
	for _, o := range b.facts.Objectives {
		if o.Kind == "wait" && o.Class == j.Spec.Class && m.Fetch > 0 &&
			j.fetchTime(m)*tuning.FetchSlack+b.facts.Workers.HeartbeatS < o.WithinS {
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
		return o.Kind == "wait" && o.Class == j.Spec.Class && ready <= o.WithinS && ready+save > o.WithinS
	})
}

// yields tells whether a task may be stopped for a gang: work of lower priority, or of
// a team beyond its guarantee for one within its own.
func (b *Board) yields(now time.Time, t *Task, k kind) bool {
	o := t.Job
	if t.spare || o.closed {
		return false // its room counts as free already, or is about to be
	}
	if o.Spec.Team != k.team {
		beyond := b.book.Beyond(o.Spec.Team)
		if k.guaranteed && beyond {
			return true
		}
		// A team that has only its guarantee keeps it against other teams' work
		// beyond theirs, whatever its priority: otherwise the two would stop each
		// other in turn, one by priority and one by its guarantee, for ever.
		if !k.guaranteed && !beyond {
			return false
		}
	}
	return o.priority < k.priority && !o.starved(now)
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
	if t.Job.Spec.CheckpointIntervalS > 0 {
		ran = t.Job.Spec.CheckpointSaveTimeS
	}
	return ran * t.Job.need.Share(t.at.Cap)
}

// startGang hands out a placed gang once the room of each task is free.
func (b *Board) startGang(now time.Time, j *Job) {
	if len(j.tasks) != j.Spec.Tasks || j.located > 0 || j.broken {
		return
	}
	ahead := map[*worker.Machine]quota.Room{}
	for n := range j.Spec.Tasks {
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
	if !b.book.Admits(j.Spec.Team, j.need.Times(float64(j.Spec.Tasks)), false) {
		return
	}
	j.attempt = b.nextAttempt(j)
	for n := range j.Spec.Tasks {
		t := j.tasks[n]
		m := t.main
		b.unqueue(t)
		b.hand(now, t, m, j.attempt, false, "gang starts")
	}
}

package placement

import (
	"cmp"
	"slices"
	"time"

	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/worker"
)

// Services: their replicas run until the user cancels. A replica has no spare and is not
// queued behind others: it is handed out as soon as there is room, by a direct command, and
// lower work gives way to it where there is none.

// imageNeed tells which machines come into question for a replica.
type imageNeed bool

const (
	anyMachine imageNeed = false
	withImage  imageNeed = true // only ones that have the replica's image
)

// drawService places a service's waiting replicas, one machine each if it can.
func (b *Board) drawService(now time.Time, j *Job, guaranteed bool) {
	if !b.mayBegin(now, j) {
		return
	}
	for j.held() > 0 {
		if guaranteed && !b.book.Guaranteed(j.Spec.Team, j.need) {
			return
		}
		if !b.book.Admits(j.Spec.Team, j.need, true) && !b.yieldQuota(now, j) {
			b.waits(j, "team's limit")
			return
		}
		if !b.placeReplica(now, j, guaranteed) {
			return
		}
	}
}

// placeReplica finds a place for one of a service's waiting replicas and hands it out
// there, or queues it at the head of a machine where lower work gives way.
func (b *Board) placeReplica(now time.Time, j *Job, guaranteed bool) bool {
	m := b.replicaPlace(now, j, nil, anyMachine)
	var stop []*Task
	if m == nil {
		if m, stop = b.replicaVictims(now, j, guaranteed); m == nil {
			b.waits(j, "no room")
			return false
		}
	}
	n, ok := j.take(now)
	if !ok {
		b.waits(j, "pause after a failure")
		return false
	}
	j.why = ""
	t := &Task{Job: j, N: n}
	j.tasks[n] = t
	if len(stop) == 0 && m.Free().Sub(m.Promised).Fits(j.need) {
		b.Count.MainsStarted++
		b.hand(now, t, m, b.nextAttempt(j), false, "replica starts")
		return true
	}
	b.queueMain(now, t, m)
	for _, v := range stop {
		b.Count.Preempted++
		b.yield(now, v, "gives way to "+j.Spec.ID)
	}
	return true
}

// yieldQuota makes room for a replica below its team's limit: lower work of the same team
// that is only queued goes back, and if that is not enough, running work is stopped, that
// which loses least first. It tells whether the replica may start now.
func (b *Board) yieldQuota(now time.Time, j *Job) bool {
	lower := func(t *Task) bool {
		o := t.Job
		return o.Spec.Team == j.Spec.Team && o.priority < j.priority && !o.closed
	}
	coming := quota.Room{} // what is stopping already will give back
	admits := func() bool { return b.book.Admits(j.Spec.Team, j.need.Sub(coming), true) }
	var running []*Task
	for _, m := range b.reg.All() {
		h := b.host(m)
		for _, t := range slices.Clone(h.high) {
			if !admits() && lower(t) && t.main == m {
				b.takeBack(now, t)
			}
		}
		for _, t := range h.on {
			switch {
			case t.phase == Stopping && t.Job.Spec.Team == j.Spec.Team:
				coming = coming.Add(t.Job.need)
			case lower(t) && !t.Job.starved(now):
				running = append(running, t)
			}
		}
	}
	if coming == (quota.Room{}) && admits() {
		return true
	}
	slices.SortFunc(running, func(a, c *Task) int { return cmp.Compare(b.loss(now, a), b.loss(now, c)) })
	var stop []*Task
	for _, t := range running {
		if admits() {
			break
		}
		stop = append(stop, t)
		coming = coming.Add(t.Job.need)
	}
	if !admits() {
		return false // stopping them would not help
	}
	for _, t := range stop {
		if t.phase == Stopping {
			continue // its gang has been stopped as a whole
		}
		b.Count.Preempted++
		b.yield(now, t, "gives its team's quota to "+j.Spec.ID)
	}
	return false // once they are gone
}

// siblings is how many of a service's replicas are on a machine or about to be.
func (b *Board) siblings(j *Job, m *worker.Machine) int {
	h := b.host(m)
	n := 0
	for _, list := range [][]*Task{h.on, h.high} {
		for _, t := range list {
			if t.Job == j {
				n++
			}
		}
	}
	return n
}

// serves tells whether a machine has replicas of any service.
func (b *Board) serves(m *worker.Machine) bool {
	return slices.ContainsFunc(b.host(m).on, func(t *Task) bool { return t.Job.Service() })
}

// replicaPlace finds the best machine with room for one more replica; moving is the one
// that leaves its machine for it, nil if none does.
func (b *Board) replicaPlace(now time.Time, j *Job, moving *Task, image imageNeed) *worker.Machine {
	spread := j.spread(moving)
	var best []*worker.Machine
	low := 0
	for _, m := range b.reg.All() {
		if !m.Usable(now) || !m.FreeForMain().Fits(j.need) || !j.allows(m.Type, m.Zone, m.Spot) || j.avoids(m) ||
			spread != nil && !j.zoneOK(m.Zone, spread) {
			continue
		}
		if image == withImage && !b.hasImage(m, j.Spec.Image) {
			continue
		}
		switch rank := b.replicaRank(j, m); {
		case len(best) == 0 || rank < low:
			best, low = append(best[:0], m), rank
		case rank == low:
			best = append(best, m)
		}
	}
	if len(best) == 0 {
		return nil
	}
	return best[b.rng.IntN(len(best))]
}

// spread counts a job's tasks by zone if its placement depends on them, without one that
// is about to leave its machine; nil if it does not.
func (j *Job) spread(leaving *Task) map[string]int {
	if !j.constrained() {
		return nil
	}
	n := j.zones(true)
	if leaving != nil && leaving.at != nil {
		n[leaving.at.Zone]--
	}
	return n
}

// replicaRank ranks a machine with room for a replica, the lowest first: with as few of
// its siblings as can be, so that one loss takes few; not spot, if there are others; with
// the image; where other services are, so that few machines are held by them; then the
// fuller ones.
func (b *Board) replicaRank(j *Job, m *worker.Machine) int {
	const (
		step     = 2 * tuning.FillSteps // more than any fill
		alone    = 1 * step             // no service there
		noImage  = 2 * step
		onSpot   = 4 * step
		siblings = 8 * step // each
	)
	rank := int(tuning.FillSteps*m.FreeForMain().Share(m.Cap)) + siblings*b.siblings(j, m)
	if !b.serves(m) {
		rank += alone
	}
	if !b.hasImage(m, j.Spec.Image) {
		rank += noImage
	}
	if m.Spot {
		rank += onSpot
	}
	return rank
}

// replicaVictims finds a machine where lower work gives way to a replica, and that
// work: where least is lost.
func (b *Board) replicaVictims(now time.Time, j *Job, guaranteed bool) (*worker.Machine, []*Task) {
	spread := j.spread(nil)
	k := j.kind(guaranteed)
	var at *worker.Machine
	var stop []*Task
	least := 0.0
	for _, m := range b.reg.All() {
		if b.places(now, k, m) == 0 || j.avoids(m) || spread != nil && !j.zoneOK(m.Zone, spread) {
			continue
		}
		vs, room, cost := b.victims(now, k, m, m.FreeForMain())
		if !room.Fits(j.need) {
			continue
		}
		if cost += float64(b.siblings(j, m)) * tuning.ScorePreempt; at == nil || cost < least {
			at, stop, least = m, vs, cost
		}
	}
	return at, stop
}

// servedWell notes that a replica has run for a while: what fails later elsewhere is
// that machine's fault, not the service's.
func (j *Job) servedWell(now time.Time, t *Task) {
	if j.Service() && !t.runFrom.IsZero() && now.Sub(t.runFrom) >= tuning.ServiceWell {
		j.wellOn[t.at.Host] = true
		j.errors, j.shortRuns = 0, 0
	}
}

// restartPause is how long a replica that has ended by itself waits before it runs again:
// not at all, unless it ended as soon as it had begun. While none of the service's replicas
// lasts, the pause doubles.
func (j *Job) restartPause(now time.Time, t *Task) time.Duration {
	if j.servedWell(now, t); !t.runFrom.IsZero() && now.Sub(t.runFrom) >= tuning.ServiceWell {
		return 0
	}
	pause := tuning.RetryPause << min(j.shortRuns, tuning.RetryDoublings)
	j.shortRuns++
	return pause
}

// moveReplica stops a replica whose machine is about to go once another machine would
// take it at once, or when there is no more time to wait for one. Two copies may not be
// there at a time: the gap is from this stop to the next start.
func (b *Board) moveReplica(now time.Time, t *Task, last bool) {
	if last || b.replicaPlace(now, t.Job, t, withImage) != nil {
		b.Count.Moved++
		b.stop(now, t, 0, "its machine is recalled")
	}
}

// leaving tells whether a replica has to leave its machine, which the cloud takes back.
func (t *Task) leaving() bool {
	return t.Job.Service() && t.phase == Live && !t.at.Recall.IsZero()
}

// replacements is how many of a service's replicas have to leave their machines: each needs
// a place that is there by then. They are within their team's limit already.
func (j *Job) replacements() (n int) {
	if !j.Service() {
		return 0
	}
	for _, t := range j.tasks {
		if t.leaving() {
			n++
		}
	}
	return n
}

// stayingZones counts a job's tasks by zone, without replicas that have to leave.
func (j *Job) stayingZones() map[string]int {
	n := j.zones(true)
	for _, t := range j.tasks {
		if t.leaving() {
			n[t.at.Zone]--
		}
	}
	return n
}

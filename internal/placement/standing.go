package placement

import (
	"slices"
	"time"

	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// Standing services: their replicas run until the user cancels. A replica has no spare
// and is not queued behind others: it is handed out as soon as there is room, by a direct
// command, and lower work gives way to it where there is none.

// drawStanding places a service's waiting replicas, one machine each if it can.
func (b *Board) drawStanding(now time.Time, j *Job, guaranteed bool) {
	if !b.mayBegin(now, j) {
		return
	}
	for j.held() > 0 {
		if guaranteed && !b.book.Guaranteed(j.Spec.Team, j.need) {
			return
		}
		if !b.book.Admits(j.Spec.Team, j.need, true) {
			b.waits(j, "team's limit")
			return
		}
		m := b.standingPlace(now, j, false)
		var stop []*Task
		if m == nil {
			if m, stop = b.standingVictims(now, j, guaranteed); m == nil {
				b.waits(j, "no room")
				return
			}
		}
		n, ok := j.take(now)
		if !ok {
			b.waits(j, "pause after a failure")
			return
		}
		j.why = ""
		t := &Task{Job: j, N: n}
		j.tasks[n] = t
		if len(stop) == 0 && m.Free().Sub(m.Promised).Fits(j.need) {
			b.Count.MainsStarted++
			b.hand(now, t, m, b.nextAttempt(j), false, "replica starts")
			continue
		}
		b.queueMain(now, t, m)
		for _, v := range stop {
			b.Count.Preempted++
			b.yield(now, v, "gives way to "+j.Spec.ID)
		}
	}
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
	return slices.ContainsFunc(b.host(m).on, func(t *Task) bool { return t.Job.Standing() })
}

// standingPlace finds the best machine with room for one more replica: with as few of
// its siblings as can be, so that one loss takes few; not spot, if there are others; with
// the image; where other services are, so that few machines are held by them; then the
// fuller ones. With image only ones that have the image count.
func (b *Board) standingPlace(now time.Time, j *Job, image bool) *worker.Machine {
	var spread map[string]int
	if j.constrained() {
		spread = j.zones(true)
	}
	var best []*worker.Machine
	low := 0
	for _, m := range b.reg.All() {
		if !m.Usable(now) || !m.FreeForMain().Fits(j.need) || !j.allows(m.Type, m.Zone, m.Spot) || j.avoids(m) ||
			spread != nil && !j.zoneOK(m.Zone, spread) {
			continue
		}
		has := b.hasImage(m, j.Spec.Bundle)
		if image && !has {
			continue
		}
		s := int(tuning.FillSteps * m.FreeForMain().Share(m.Cap))
		for _, p := range []struct {
			worse bool
			by    int
		}{{!b.serves(m), 1}, {!has, 2}, {m.Spot, 4}} {
			if p.worse {
				s += p.by * 2 * tuning.FillSteps
			}
		}
		s += b.siblings(j, m) * 16 * tuning.FillSteps
		switch {
		case len(best) == 0 || s < low:
			best, low = append(best[:0], m), s
		case s == low:
			best = append(best, m)
		}
	}
	if len(best) == 0 {
		return nil
	}
	return best[b.rng.IntN(len(best))]
}

// standingVictims finds a machine where lower work gives way to a replica, and that
// work: where least is lost.
func (b *Board) standingVictims(now time.Time, j *Job, guaranteed bool) (*worker.Machine, []*Task) {
	var spread map[string]int
	if j.constrained() {
		spread = j.zones(true)
	}
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
	if j.Standing() && !t.runFrom.IsZero() && now.Sub(t.runFrom) >= tuning.ServiceWell {
		j.wellOn[t.at.Host] = true
		j.errors = 0
	}
}

// moveReplica stops a replica whose machine is about to go once another machine would
// take it at once, or when there is no more time to wait for one. Two copies may not be
// there at a time: the gap is from this stop to the next start.
func (b *Board) moveReplica(now time.Time, t *Task, last bool) {
	if last || b.standingPlace(now, t.Job, true) != nil {
		b.Count.Moved++
		b.stop(now, t, 0, "its machine is recalled")
	}
}

// spare machines for services: what the next service, or the replicas of a machine that
// is lost, will need, is there before they do.
func (b *Board) reserve(now time.Time, offers []Offer, bins []*bin, open func(j *Job, zone string) *bin) {
	var largest *Job
	for _, j := range b.order {
		if j.Standing() && (largest == nil || j.need.Times(float64(j.Spec.Tasks)).Share(b.typical(offers)) > largest.need.Times(float64(largest.Spec.Tasks)).Share(b.typical(offers))) {
			largest = j
		}
	}
	if largest == nil {
		b.reserveUnseen(offers, bins, open)
		return
	}
	j := largest
	lacks, machines := j.Spec.Tasks, 0
	// machines that are in use anyway come first: an idle one costs as much
	for _, busy := range []bool{true, false} {
		for _, bn := range bins {
			if (bn.m != nil && bn.m.Busy > 0) != busy || bn.spot || !j.allows(bn.build, bn.zone, bn.spot) ||
				lacks <= 0 && machines >= tuning.ReserveMachines {
				continue
			}
			room := bn.cap
			if bn.m != nil {
				if bn.m.State == worker.Silent || j.avoids(bn.m) {
					continue
				}
				for _, t := range b.host(bn.m).on {
					if t.Job.priority >= j.priority {
						room = room.Sub(t.Job.need) // the rest would give way
					}
				}
			}
			if n := room.Count(j.need, j.Spec.Tasks); n > 0 {
				lacks -= n
				machines++
				if bn.m != nil {
					bn.m.Wanted = true
				}
			}
		}
	}
	for lacks > 0 || machines < tuning.ReserveMachines {
		bn := open(j, "")
		if bn == nil || bn.spot {
			return
		}
		lacks -= bn.cap.Count(j.need, j.Spec.Tasks)
		machines++
	}
}

// typical is the room of the first machine type on offer, to compare needs by.
func (b *Board) typical(offers []Offer) quota.Room {
	if len(offers) == 0 {
		return quota.Room{}
	}
	return offers[0].Cap
}

// reserveUnseen keeps one machine that is not spot for a class that is expected to start
// in far less time than a machine takes to boot, and of which no job has come yet.
func (b *Board) reserveUnseen(offers []Offer, bins []*bin, open func(j *Job, zone string) *bin) {
	boot := 0.0
	for _, o := range offers {
		if boot == 0 || o.BootS < boot {
			boot = o.BootS
		}
	}
	for _, o := range b.facts.Objectives {
		if o.Kind != "wait" || o.WithinS <= 0 || o.WithinS*tuning.UnseenBoots > boot || b.seen[o.Class] {
			continue
		}
		for _, bn := range bins {
			if !bn.spot {
				if bn.m != nil {
					bn.m.Wanted = true
				}
				return
			}
		}
		open(&Job{Spec: wire.Submission{AnyType: true}}, "")
		return
	}
}

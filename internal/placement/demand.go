package placement

import (
	"cmp"
	"slices"
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// maxCount bounds how many tasks of no size are counted into a machine.
const maxCount = wire.MaxTasks

// Offer is a kind of machine that can be rented now.
type Offer struct {
	Type, Zone string
	Spot       bool
	Cap        quota.Room
	Price      float64
	BootS      float64
	Left       int // how many more may be asked for
}

// bin is a machine, present or to be rented, in the packing of the demand.
type bin struct {
	m     *worker.Machine
	build string
	zone  string
	spot  bool
	cap   quota.Room
	free  quota.Room // now, for gangs

	committed float64 // machine time that what runs there will still take, seconds
	spent     float64 // machine time given to waiting work
}

// Horizon is how long an array's work may wait and run in all for its class's
// aims to hold.
func Horizon(objectives []config.Objective, class string) float64 {
	h := 0.0
	for _, o := range objectives {
		if o.Kind == "finished" && o.Class == class && (h == 0 || o.WithinS < h) {
			h = o.WithinS
		}
	}
	if h == 0 {
		h = tuning.DefaultAim.Seconds()
	}
	return h * tuning.HorizonShare
}

// Expect estimates a task's run time in seconds.
func (b *Board) Expect(j *Job) float64 {
	e := j.Spec.GuessS
	if r, ok := b.pace[j.Spec.Class]; ok {
		e *= r
	}
	return max(e, tuning.LeastRun.Seconds())
}

// Demand packs all waiting work onto the machines there are and returns how
// many more of each offer would be needed for the rest. Machines that the
// packing uses are marked as wanted.
func (b *Board) Demand(now time.Time, offers []Offer, coming []int) []int {
	if b.waiting(now) {
		b.reopen()
	} else {
		b.Close(now)
	}
	var bins []*bin
	for _, m := range b.reg.All() {
		m.Wanted = m.Busy > 0
		if m.Faulty || m.Mute(now, config.Seconds(b.facts.Workers.LeaseS)) || m.Closing || !m.Recall.IsZero() || m.State != worker.Up && m.State != worker.Booting && m.State != worker.Silent {
			continue
		}
		bn := &bin{m: m, build: m.Type, committed: b.committed(now, m), zone: m.Zone, spot: m.Spot, cap: m.Cap, free: m.FreeForMain()}
		if m.State == worker.Silent {
			// takes nothing now, but is not replaced while its lease may stand:
			// after a cut of the holder all of them are silent for a while
			bn.free = quota.Room{}
		}
		bins = append(bins, bn)
	}
	for i, o := range offers {
		for range coming[i] {
			bins = append(bins, &bin{build: o.Type, zone: o.Zone, spot: o.Spot, cap: o.Cap, free: o.Cap})
		}
	}
	rentals := make([]int, len(offers))
	open := func(j *Job, zone string) *bin {
		best := -1
		for i, o := range offers {
			if j.Service() && o.Spot && best >= 0 && !offers[best].Spot {
				continue
			}
			if o.Left-rentals[i] <= 0 || zone != "" && o.Zone != zone || !j.allows(o.Type, o.Zone, o.Spot) || !o.Cap.Fits(j.need) {
				continue
			}
			if best < 0 || j.Service() && !o.Spot && offers[best].Spot || o.Price/float64(o.Cap.Count(j.need, maxCount)) < offers[best].Price/float64(offers[best].Cap.Count(j.need, maxCount)) {
				best = i
			}
		}
		if best < 0 {
			return nil
		}
		rentals[best]++
		o := offers[best]
		return &bin{build: o.Type, zone: o.Zone, spot: o.Spot, cap: o.Cap, free: o.Cap}
	}
	budget := map[string]quota.Room{}
	admit := func(j *Job, r quota.Room) bool {
		// what a team's limit does not let start needs no machine
		sum := budget[j.Spec.Team].Add(r)
		if !b.book.Admits(j.Spec.Team, sum, true) {
			return false
		}
		budget[j.Spec.Team] = sum
		return true
	}
	// Bins that have no room for any gang's task are passed over: thousands of
	// gangs may wait.
	least := quota.Unbounded()
	for _, j := range b.order {
		if j.Gang() || j.Service() {
			least = least.Min(j.need)
		}
	}
	whole := slices.Clone(bins)
	var rented []*bin
	for _, j := range b.order {
		if now.Before(j.notBefore) || j.Gang() && len(j.tasks) > 0 || !j.Gang() && !j.Service() {
			continue
		}
		n, moving := j.held(), j.replacements()
		if n > 0 && !admit(j, j.need.Times(float64(n))) {
			n = 0
		}
		if n += moving; n == 0 {
			continue
		}
		whole = slices.DeleteFunc(whole, func(bn *bin) bool { return !bn.free.Fits(least) })
		b.wholeDemand(j, n, &whole, func(j *Job, zone string) *bin {
			bn := open(j, zone)
			if bn != nil {
				rented = append(rented, bn)
			}
			return bn
		}, func(zone string) bool {
			return slices.ContainsFunc(offers, func(o Offer) bool {
				return o.Zone == zone && o.Left > 0 && j.allows(o.Type, o.Zone, o.Spot) && o.Cap.Fits(j.need)
			})
		})
	}
	bins = append(bins, rented...)
	b.reserve(now, offers, bins, open)
	b.arrayDemand(now, bins, open, admit)
	return rentals
}

// wholeDemand packs a job whose tasks are placed whole, and rents for those
// that fit nowhere. A job that has to be in one zone is packed into the zone
// that lacks the fewest; zones that would get too many tasks are passed over.
func (b *Board) wholeDemand(j *Job, n int, bins *[]*bin, open func(*Job, string) *bin, offered func(zone string) bool) {
	pack := func(zone string, commit bool) (lacks int) {
		inZone := j.stayingZones()
		room := map[*bin]quota.Room{}
		for range n {
			var best *bin
			for _, bn := range *bins {
				if !bn.free.Fits(j.need) {
					continue
				}
				free, ok := room[bn]
				if !ok {
					free = bn.free
				}
				if free.Fits(j.need) && j.allows(bn.build, bn.zone, bn.spot) && (zone == "" || bn.zone == zone) && j.zoneOK(bn.zone, inZone) &&
					(bn.m == nil || !j.avoids(bn.m)) && (best == nil || cheaper(bn, best, j.Service())) {
					best = bn
				}
			}
			if best == nil && commit {
				want := zone
				for _, y := range b.facts.Zones {
					if want == "" && j.constrained() && j.zoneOK(y, inZone) {
						want = y
					}
				}
				if best = open(j, want); best != nil {
					*bins = append(*bins, best)
				}
			}
			if best == nil {
				lacks++
				continue
			}
			inZone[best.zone]++
			if _, ok := room[best]; !ok {
				room[best] = best.free
			}
			room[best] = room[best].Sub(j.need)
		}
		if commit {
			for bn, free := range room {
				bn.free = free
				if bn.m != nil {
					bn.m.Wanted = true
				}
			}
		}
		return lacks
	}
	zone := ""
	if j.Spec.Together {
		least := n + 1
		for _, y := range b.facts.Zones {
			if j.Spec.Zone != "" && j.Spec.Zone != y || !j.zoneOK(y, j.stayingZones()) {
				continue
			}
			// a zone that lacks room is of use only if more can be had there
			if l := pack(y, false); l < least && (l == 0 || offered(y)) {
				zone, least = y, l
			}
		}
	}
	pack(zone, true)
}

// cheaper prefers the bin of the cheaper kind, for services of the one that is not taken
// back, then one already in use.
func cheaper(a, c *bin, standing bool) bool {
	if a.spot != c.spot {
		return a.spot != standing
	}
	ab, cb := a.m != nil && a.m.Busy > 0, c.m != nil && c.m.Busy > 0
	return ab && !cb
}

// committed is how much machine time what is on a machine will still take.
func (b *Board) committed(now time.Time, m *worker.Machine) float64 {
	sum := 0.0
	for _, t := range b.host(m).on {
		left := b.Expect(t.Job) - now.Sub(t.sentAt).Seconds()
		sum += max(left, tuning.LeastRun.Seconds()) * t.Job.need.Share(m.Cap)
	}
	return sum
}

// arrayDemand pours the arrays' waiting work, as machine time within the
// class's horizon, into what the gangs leave.
func (b *Board) arrayDemand(now time.Time, bins []*bin, open func(*Job, string) *bin, admit func(*Job, quota.Room) bool) {
	type load struct {
		j *Job
		n int
	}
	var loads []load
	for _, j := range b.order {
		if j.Gang() || j.Service() || now.Before(j.notBefore) {
			continue
		}
		n := j.held()
		for _, t := range j.tasks {
			if t.phase == Idle {
				n++
			}
		}
		if n > 0 {
			loads = append(loads, load{j: j, n: n})
		}
	}
	slices.SortStableFunc(loads, func(a, c load) int { return cmp.Compare(c.j.priority, a.j.priority) })
	// Bins that have nothing left for any array of a class are passed over: there
	// may be thousands of both.
	least := quota.Unbounded()
	for _, l := range loads {
		least = least.Min(l.j.need)
	}
	type kindOf struct {
		class string
		spot  bool
	}
	left := map[kindOf][]*bin{}
	for _, l := range loads {
		j := l.j
		h := Horizon(b.facts.Objectives, j.Spec.Class)
		dur := b.Expect(j)
		work := float64(l.n)
		each := func(bn *bin) float64 { return dur / float64(max(1, bn.cap.Count(j.need, maxCount))) }
		pour := func(bn *bin) {
			// machine time this bin can give to the job within the horizon; most have
			// none left and no room, which is quickly told
			t := h - bn.spent - bn.committed
			if t <= 0 && !bn.free.Fits(j.need) {
				return
			}
			if !bn.cap.Fits(j.need) || !j.allows(bn.build, bn.zone, bn.spot) || bn.m != nil && j.avoids(bn.m) {
				return
			}
			// what is free now takes tasks at once, however long they run
			t = max(t, dur*float64(bn.free.Count(j.need, maxCount))*j.need.Share(bn.cap)-bn.spent)
			n := min(work, t/each(bn))
			if n <= 0 {
				return
			}
			if bn.m != nil {
				bn.m.Wanted = true
			}
			bn.spent += n * each(bn)
			work -= n
		}
		full := func(bn *bin) bool {
			return h-bn.spent-bn.committed <= 0 && !bn.free.Fits(least)
		}
		for _, cheap := range []bool{true, false} {
			of := kindOf{j.Spec.Class, cheap}
			list, ok := left[of]
			if !ok {
				list = slices.DeleteFunc(slices.Clone(bins), func(bn *bin) bool { return bn.spot != cheap })
			}
			kept := list[:0]
			for i, bn := range list {
				if work <= 0 {
					kept = append(kept, list[i:]...)
					break
				}
				if pour(bn); !full(bn) {
					kept = append(kept, bn)
				}
			}
			left[of] = kept
		}
		for work > tuning.RentalRest && admit(j, j.need) {
			bn := open(j, "")
			if bn == nil {
				break
			}
			for of := range left {
				if of.spot == bn.spot {
					left[of] = append(left[of], bn)
				}
			}
			bins = append(bins, bn)
			before := work
			if pour(bn); work == before {
				break
			}
		}
	}
}

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

// want marks a machine that is there as one that waiting work will use.
func (bn *bin) want() {
	if bn.m != nil {
		bn.m.Wanted = true
	}
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

// demand is one packing of all waiting work onto the machines there are and onto ones to
// be rented.
type demand struct {
	b       *Board
	now     time.Time
	offers  []Offer
	rentals []int // of each offer
	bins    []*bin
	budget  map[string]quota.Room // by team: what the packing has admitted
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
	d := &demand{b: b, now: now, offers: offers, rentals: make([]int, len(offers)), budget: map[string]quota.Room{}}
	d.presentBins()
	for i, o := range offers {
		for range coming[i] {
			d.bins = append(d.bins, newBin(o))
		}
	}
	d.packWhole()
	d.reserve()
	d.packArrays()
	return d.rentals
}

// newBin is a machine to be rented.
func newBin(o Offer) *bin {
	return &bin{build: o.Type, zone: o.Zone, spot: o.Spot, cap: o.Cap, free: o.Cap}
}

// presentBins lists the machines that may take work.
func (d *demand) presentBins() {
	lease := config.Seconds(d.b.facts.Workers.LeaseS)
	for _, m := range d.b.reg.All() {
		m.Wanted = m.Busy > 0
		if m.Faulty || m.Mute(d.now, lease) || m.Closing || !m.Recall.IsZero() || m.State != worker.Up && m.State != worker.Booting && m.State != worker.Silent {
			continue
		}
		bn := &bin{m: m, build: m.Type, committed: d.b.committed(d.now, m), zone: m.Zone, spot: m.Spot, cap: m.Cap, free: m.FreeForMain()}
		if m.State == worker.Silent {
			// takes nothing now, but is not replaced while its lease may stand:
			// after a cut of the holder all of them are silent for a while
			bn.free = quota.Room{}
		}
		d.bins = append(d.bins, bn)
	}
}

// open rents the cheapest machine that would do for a job's tasks, in a zone if one is
// named; for services one that is not spot, if there is one. nil: none is to be had.
func (d *demand) open(j *Job, zone string) *bin {
	best := -1
	for i, o := range d.offers {
		if o.Left-d.rentals[i] <= 0 || zone != "" && o.Zone != zone || !j.allows(o.Type, o.Zone, o.Spot) || !o.Cap.Fits(j.need) {
			continue
		}
		if best < 0 || betterOffer(j, o, d.offers[best]) {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	d.rentals[best]++
	return newBin(d.offers[best])
}

// betterOffer tells whether one offer is better for a job than another.
func betterOffer(j *Job, o, other Offer) bool {
	if j.Service() && o.Spot != other.Spot {
		return other.Spot
	}
	price := func(o Offer) float64 { return o.Price / float64(o.Cap.Count(j.need, maxCount)) }
	return price(o) < price(other)
}

// admit tells whether a team's limit lets more start beside what the packing has admitted:
// what it does not needs no machine.
func (d *demand) admit(j *Job, r quota.Room) bool {
	sum := d.budget[j.Spec.Team].Add(r)
	if !d.b.book.Admits(j.Spec.Team, sum, true) {
		return false
	}
	d.budget[j.Spec.Team] = sum
	return true
}

// packWhole packs the gangs and the services.
func (d *demand) packWhole() {
	// Bins that have no room for any task of these are passed over: thousands of gangs
	// may wait.
	least := quota.Unbounded()
	for _, j := range d.b.order {
		if j.Gang() || j.Service() {
			least = least.Min(j.need)
		}
	}
	left := slices.Clone(d.bins)
	for _, j := range d.b.order {
		n := d.wholeTasks(j)
		if n == 0 {
			continue
		}
		left = slices.DeleteFunc(left, func(bn *bin) bool { return !bn.free.Fits(least) })
		left = d.packJob(j, n, left)
	}
}

// wholeTasks is how many tasks of a gang or a service need places.
func (d *demand) wholeTasks(j *Job) int {
	if d.now.Before(j.notBefore) || j.Gang() && len(j.tasks) > 0 || !j.Gang() && !j.Service() {
		return 0
	}
	n := j.held()
	if n > 0 && !d.admit(j, j.need.Times(float64(n))) {
		n = 0
	}
	return n + j.replacements()
}

// packJob packs a job whose tasks are placed whole, and rents for those that fit nowhere.
// A job that has to be in one zone is packed into the zone that lacks the fewest; zones
// that would get too many tasks are passed over.
func (d *demand) packJob(j *Job, n int, bins []*bin) []*bin {
	p := &jobPacking{d: d, j: j, n: n, bins: bins}
	zone := ""
	if j.Spec.Together {
		least := n + 1
		for _, z := range d.b.facts.Zones {
			if j.Spec.Zone != "" && j.Spec.Zone != z || !j.zoneOK(z, j.stayingZones()) {
				continue
			}
			// a zone that lacks room is of use only if more can be had there
			if lacks := p.pack(z, tryOnly); lacks < least && (lacks == 0 || d.offered(j, z)) {
				zone, least = z, lacks
			}
		}
	}
	p.pack(zone, commit)
	return p.bins
}

// offered tells whether machines for a job's tasks can be rented in a zone.
func (d *demand) offered(j *Job, zone string) bool {
	return slices.ContainsFunc(d.offers, func(o Offer) bool {
		return o.Zone == zone && o.Left > 0 && j.allows(o.Type, o.Zone, o.Spot) && o.Cap.Fits(j.need)
	})
}

// jobPacking is the packing of one gang or service.
type jobPacking struct {
	d    *demand
	j    *Job
	n    int    // tasks
	bins []*bin // that may have room
}

// packMode tells whether a packing is to be kept.
type packMode int

const (
	tryOnly packMode = iota
	commit           // machines are rented and marked as wanted
)

// pack finds a place for each task, in one zone if one is named, and tells how many find
// none.
func (p *jobPacking) pack(zone string, mode packMode) (lacks int) {
	inZone := p.j.stayingZones()
	room := map[*bin]quota.Room{}
	for range p.n {
		best := p.place(zone, inZone, room)
		if best == nil && mode == commit {
			best = p.rent(zone, inZone)
		}
		if best == nil {
			lacks++
			continue
		}
		inZone[best.zone]++
		if _, ok := room[best]; !ok {
			room[best] = best.free
		}
		room[best] = room[best].Sub(p.j.need)
	}
	if mode == commit {
		for bn, free := range room {
			bn.free = free
			bn.want()
		}
	}
	return lacks
}

// place finds the best machine with room for one more task; room is what earlier tasks
// leave.
func (p *jobPacking) place(zone string, inZone map[string]int, room map[*bin]quota.Room) *bin {
	j := p.j
	var best *bin
	for _, bn := range p.bins {
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
	return best
}

// rent opens a machine for one more task.
func (p *jobPacking) rent(zone string, inZone map[string]int) *bin {
	for _, z := range p.d.b.facts.Zones {
		if zone == "" && p.j.constrained() && p.j.zoneOK(z, inZone) {
			zone = z
		}
	}
	bn := p.d.open(p.j, zone)
	if bn != nil {
		p.bins = append(p.bins, bn)
		p.d.bins = append(p.d.bins, bn)
	}
	return bn
}

// cheaper prefers the bin of the cheaper kind, for services of the one that is not taken
// back, then one already in use.
func cheaper(a, c *bin, service bool) bool {
	if a.spot != c.spot {
		return a.spot != service
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

// arrayLoad is an array's waiting work.
type arrayLoad struct {
	j *Job
	n int // tasks
}

// arrayLoads lists the arrays with waiting work, by priority.
func (d *demand) arrayLoads() (out []arrayLoad) {
	for _, j := range d.b.order {
		if j.Gang() || j.Service() || d.now.Before(j.notBefore) {
			continue
		}
		n := j.held()
		for _, t := range j.tasks {
			if t.phase == Idle {
				n++
			}
		}
		if n > 0 {
			out = append(out, arrayLoad{j, n})
		}
	}
	slices.SortStableFunc(out, func(a, c arrayLoad) int { return cmp.Compare(c.j.priority, a.j.priority) })
	return out
}

// binKind is which of the bins an array's work is poured into, and by whose horizon.
type binKind struct {
	class string
	spot  bool
}

// arrayPacking pours the arrays' waiting work, as machine time within the class's horizon,
// into what the gangs leave. Bins that have nothing left for any array of a class are
// passed over: there may be thousands of both.
type arrayPacking struct {
	d     *demand
	least quota.Room // no array's task needs less, of anything
	left  map[binKind][]*bin
}

// packArrays packs the arrays.
func (d *demand) packArrays() {
	loads := d.arrayLoads()
	p := &arrayPacking{d: d, least: quota.Unbounded(), left: map[binKind][]*bin{}}
	for _, l := range loads {
		p.least = p.least.Min(l.j.need)
	}
	for _, l := range loads {
		p.pack(l)
	}
}

// pack pours one array's work, the spot machines first, and rents for the rest.
func (p *arrayPacking) pack(l arrayLoad) {
	w := &arrayWork{j: l.j, left: float64(l.n), run: p.d.b.Expect(l.j), horizon: Horizon(p.d.b.facts.Objectives, l.j.Spec.Class)}
	for _, spot := range []bool{true, false} {
		p.pourInto(binKind{l.j.Spec.Class, spot}, w)
	}
	for w.left > tuning.RentalRest && p.d.admit(l.j, l.j.need) {
		bn := p.d.open(l.j, "")
		if bn == nil {
			return
		}
		for kind := range p.left {
			if kind.spot == bn.spot {
				p.left[kind] = append(p.left[kind], bn)
			}
		}
		p.d.bins = append(p.d.bins, bn)
		before := w.left
		if w.pour(bn); w.left == before {
			return
		}
	}
}

// pourInto pours work into the bins of a kind, and takes off those that are full.
func (p *arrayPacking) pourInto(kind binKind, w *arrayWork) {
	list, ok := p.left[kind]
	if !ok {
		list = slices.DeleteFunc(slices.Clone(p.d.bins), func(bn *bin) bool { return bn.spot != kind.spot })
	}
	kept := list[:0]
	for i, bn := range list {
		if w.left <= 0 {
			kept = append(kept, list[i:]...)
			break
		}
		w.pour(bn)
		if full := w.horizon-bn.spent-bn.committed <= 0 && !bn.free.Fits(p.least); !full {
			kept = append(kept, bn)
		}
	}
	p.left[kind] = kept
}

// arrayWork is what is left of an array's waiting work.
type arrayWork struct {
	j       *Job
	left    float64 // tasks
	run     float64 // of one, seconds
	horizon float64 // seconds
}

// pour has a bin take as much as it can.
func (w *arrayWork) pour(bn *bin) {
	j := w.j
	// machine time this bin can give to the job within the horizon; most have
	// none left and no room, which is quickly told
	t := w.horizon - bn.spent - bn.committed
	if t <= 0 && !bn.free.Fits(j.need) {
		return
	}
	if !bn.cap.Fits(j.need) || !j.allows(bn.build, bn.zone, bn.spot) || bn.m != nil && j.avoids(bn.m) {
		return
	}
	// what is free now takes tasks at once, however long they run
	t = max(t, w.run*float64(bn.free.Count(j.need, maxCount))*j.need.Share(bn.cap)-bn.spent)
	each := w.run / float64(max(1, bn.cap.Count(j.need, maxCount)))
	n := min(w.left, t/each)
	if n <= 0 {
		return
	}
	bn.want()
	bn.spent += n * each
	w.left -= n
}

package placement

import (
	"time"

	"juniperchute/internal/config"
	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// maxCount bounds how many tasks of no size are counted into a machine.
const maxCount = wire.MaxTasksPerJob

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
	e := j.Spec.EstimatedRunTimeS
	if r, ok := b.runRatio[j.Spec.Class]; ok {
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

// committed is how much machine time what is on a machine will still take.
func (b *Board) committed(now time.Time, m *worker.Machine) float64 {
	sum := 0.0
	for _, t := range b.host(m).on {
		left := b.Expect(t.Job) - now.Sub(t.sentAt).Seconds()
		sum += max(left, tuning.LeastRun.Seconds()) * t.Job.need.Share(m.Cap)
	}
	return sum
}

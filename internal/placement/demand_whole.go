package placement

import (
	"slices"

	"juniperchute/internal/quota"
)

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
	if j.Spec.SameZone {
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

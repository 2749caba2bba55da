package placement

import (
	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// reserve keeps machines for services: what the next service, or the replicas of a machine
// that is lost, will need, is there before they do.
func (d *demand) reserve() {
	j := d.largestService()
	if j == nil {
		d.reserveUnseen()
		return
	}
	lacks, machines := j.Spec.Tasks, 0
	// machines that are in use anyway come first: an idle one costs as much
	for _, busy := range []bool{true, false} {
		for _, bn := range d.bins {
			if (bn.m != nil && bn.m.Busy > 0) != busy || lacks <= 0 && machines >= tuning.ReserveMachines {
				continue
			}
			if n := d.reservePlaces(j, bn); n > 0 {
				lacks -= n
				machines++
				bn.want()
			}
		}
	}
	for lacks > 0 || machines < tuning.ReserveMachines {
		bn := d.open(j, "")
		if bn == nil || bn.spot {
			return
		}
		lacks -= bn.cap.Count(j.need, j.Spec.Tasks)
		machines++
	}
}

// largestService is the open service whose replicas take most of a machine, nil if there
// is no service.
func (d *demand) largestService() *Job {
	size := func(j *Job) float64 { return j.need.Times(float64(j.Spec.Tasks)).Share(d.typicalMachine()) }
	var largest *Job
	for _, j := range d.b.order {
		if j.Service() && (largest == nil || size(j) > size(largest)) {
			largest = j
		}
	}
	return largest
}

// reservePlaces is how many replicas of a service a machine could take, lower work giving
// way.
func (d *demand) reservePlaces(j *Job, bn *bin) int {
	if bn.spot || !j.allows(bn.build, bn.zone, bn.spot) {
		return 0
	}
	room := bn.cap
	if bn.m != nil {
		if bn.m.State == worker.Silent || j.avoids(bn.m) {
			return 0
		}
		for _, t := range d.b.host(bn.m).on {
			if t.Job.priority >= j.priority {
				room = room.Sub(t.Job.need) // the rest would give way
			}
		}
	}
	return room.Count(j.need, j.Spec.Tasks)
}

// typicalMachine is the room of the first machine type on offer, to compare needs by.
func (d *demand) typicalMachine() quota.Room {
	if len(d.offers) == 0 {
		return quota.Room{}
	}
	return d.offers[0].Cap
}

// reserveUnseen keeps one machine that is not spot for a class that is expected to start
// in far less time than a machine takes to boot, and of which no job has come yet.
func (d *demand) reserveUnseen() {
	boot := 0.0
	for _, o := range d.offers {
		if boot == 0 || o.BootS < boot {
			boot = o.BootS
		}
	}
	for _, o := range d.b.facts.Objectives {
		if o.Kind != "wait" || o.WithinS <= 0 || o.WithinS*tuning.UnseenBoots > boot || d.b.seen[o.Class] {
			continue
		}
		for _, bn := range d.bins {
			if !bn.spot {
				bn.want()
				return
			}
		}
		d.open(&Job{Spec: wire.JobSpec{AnyType: true}}, "")
		return
	}
}

package placement

import (
	"cmp"
	"slices"

	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
)

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

package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// level is the open jobs of a priority, in the order of their turns.
type level struct {
	all   []*Job
	whole []*Job // gangs and services, to which other work may give way
}

// reorder makes the jobs be sorted anew.
func (b *Board) reorder() {
	b.unsorted = true
	b.survey.again()
}

// byPriority lists the open jobs by priority and turn, as of a moment ago.
func (b *Board) byPriority(now time.Time) []level {
	if since := now.Sub(b.sortedAt); since < tuning.TurnsEvery && (!b.unsorted || since < tuning.TurnsSoon) {
		return b.levels
	}
	b.sortedAt, b.unsorted = now, false
	b.levels = nil
	levels := map[int][]*Job{}
	least := quota.Unbounded()
	for _, j := range b.order {
		j.level = j.priority + b.raised(now, j)
		levels[j.level] = append(levels[j.level], j)
		if !j.Gang() && !j.Service() {
			least = least.Min(j.need)
		}
	}
	b.need(now, least)
	images := b.imageCounts()
	for _, l := range slices.Backward(slices.Sorted(maps.Keys(levels))) {
		jobs := b.byTurn(levels[l])
		whole := slices.DeleteFunc(slices.Clone(jobs), func(j *Job) bool { return !j.Gang() && !j.Service() })
		b.levels = append(b.levels, level{jobs, whole})
		first, ahead := math.Inf(1), 0
		for _, j := range jobs {
			if j.held() > 0 && !j.Gang() && !j.Service() {
				if ahead++; ahead <= tuning.BeginAhead && b.startable(j) {
					b.mayBegin(now, j) // so that a free place need not wait for the mark
				}
				first = min(first, j.turn)
				j.late = j.turn > first+tuning.ImagePatience.Seconds()
				j.seeds = float64(images[j.Spec.Image]) < float64(j.held())*j.share(b.reg)
			}
		}
	}
	return b.levels
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

// raised is by how many priorities a job is raised because it has waited for so long
// that it would starve: no burst of others, however long, may keep it from
// beginning. One of which nothing has started goes first until something has;
// one whose tasks have waited longer still goes up priority by priority, and stays there.
func (b *Board) raised(now time.Time, j *Job) int {
	if j.Service() {
		return 0 // it never ends: its age says nothing of what it waits for
	}
	if j.starved(now) && j.located == 0 {
		return wire.Priorities
	}
	up := min(j.level-j.priority, wire.Priorities-1)
	if over := now.Sub(j.Since) - tuning.StarveAfter; over >= 0 && (j.held() > 0 || len(j.tasks) > j.located) {
		up = max(up, 1+min(int(over/tuning.StarveStep), wire.Priorities-2))
	} else if up == wire.Priorities-1 {
		up = 0 // it has begun
	}
	return up
}

// starved tells whether nothing of a job has come to an end although it has
// waited for long: what it has begun is left alone.
func (j *Job) starved(now time.Time) bool {
	return !j.Service() && j.done.count == 0 && now.Sub(j.Since) > tuning.BeginBy
}

// byTurn orders jobs of one priority by age. Gangs go a while before arrays, and
// arrays with more work waiting a while after ones with less, so that when there
// is too much the many small jobs are in time and not only the oldest. Both are
// bounded, so that neither arrays nor the largest of them starve.
func (b *Board) byTurn(jobs []*Job) []*Job {
	out := slices.Clone(jobs)
	works := map[*Job]float64{}
	sum := 0.0
	for _, j := range out {
		if n := j.held(); n > 0 && !j.Gang() && !j.Service() {
			works[j] = float64(n) * b.Expect(j) * j.share(b.reg)
			sum += works[j]
		}
	}
	usual := sum / float64(max(1, len(works)))
	for _, j := range out {
		j.turn = float64(j.At.UnixMilli()) / 1000
		switch w := works[j]; {
		case j.Gang() || j.Service():
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
		if m.Cap.Fits(j.need) && j.allows(m.Type, m.Zone, m.Spot) {
			return 1 / float64(max(1, m.Cap.Count(j.need, wire.MaxTasksPerJob)))
		}
	}
	return 1
}

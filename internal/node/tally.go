package node

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"juniperchute/internal/placement"
	"juniperchute/internal/store"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// tallies keeps which tasks of open jobs have completed, in chunks of a job's
// tasks, many to a page.
//
// What a key means is shared with earlier versions: JOB/N holds the Nth chunk of a size
// that follows from the present limit for a value. Where that is more than the service
// will take after its limits fall, parts are kept instead, as JOB/@FIRST, by the number
// of their first task: they mean the same under any limit. An earlier version drops
// those, and has such jobs' completed tasks, a page's worth and more, run once more; what
// they left is kept, so they end as soon as they have their image.
type tallies struct {
	pages *store.Pages
	chunk int // tasks, as earlier versions count them
	part  int // tasks that one entry may hold
	jobs  map[string]map[string]bool
}

// newTallies makes an empty record; valueKB is the present limit for a value.
func newTallies(pages *store.Pages, valueKB float64) tallies {
	t := tallies{pages: pages, chunk: int(valueKB*1024) * tuning.TallyBits, jobs: map[string]map[string]bool{}}
	// base64 takes four bytes for three
	t.part = max(1, (pages.Size()-tuning.TallyName)*3/4) * 8
	return t
}

func tallyUnder(block int) string { return "t/" + strconv.Itoa(block) + "/" }

// step is how many tasks the entries that are written hold, and key names the one that
// begins with a task.
func (t *tallies) step() int { return min(t.chunk, t.part) }

func (t *tallies) key(job string, first int) string {
	if t.chunk <= t.part {
		return job + "/" + strconv.Itoa(first/t.chunk)
	}
	return job + "/@" + strconv.Itoa(first)
}

// first is the first task of the entry with a key.
func (t *tallies) first(num string) (int, bool) {
	if at, ok := strings.CutPrefix(num, "@"); ok {
		n, err := strconv.Atoi(at)
		return n, err == nil && n >= 0
	}
	n, err := strconv.Atoi(num)
	return n * t.chunk, err == nil && n >= 0 && n <= wire.MaxTasks
}

func (t *tallies) note(job, key string) {
	if t.jobs[job] == nil {
		t.jobs[job] = map[string]bool{}
	}
	t.jobs[job][key] = true
}

// load takes over what an earlier tenure wrote; job finds an open job.
func (t *tallies) load(items []wire.Item, job func(id string) *placement.Job) {
	type large struct {
		id, key string
		first   int
		bits    []byte
	}
	var over []large
	t.pages.Load(items, func(key string, raw json.RawMessage) {
		id, num, _ := strings.Cut(key, "/")
		first, ok := t.first(num)
		j := job(id)
		var bits []byte
		if j == nil || !ok || json.Unmarshal(raw, &bits) != nil {
			t.pages.Drop(key)
			return
		}
		t.note(id, key)
		for i, b := range bits {
			for k := range 8 {
				if b&(1<<k) != 0 {
					j.Recover(first + i*8 + k)
				}
			}
		}
		if len(bits)*8 > t.part {
			over = append(over, large{id, key, first, bits})
		}
	})
	for _, l := range over {
		left := 0
		for at := 0; at < len(l.bits); at += t.part / 8 {
			key := t.key(l.id, l.first+at*8)
			t.note(l.id, key)
			left++
			t.pages.Put(key, l.bits[at:min(len(l.bits), at+t.part/8)], func(time.Time) {
				if left--; left == 0 {
					t.pages.Drop(l.key)
				}
			})
		}
	}
}

// save enters a job's completions; job finds it again once they are durable.
func (t *tallies) save(j *placement.Job, job func(id string) *placement.Job) {
	id := j.Spec.ID
	for first := 0; first < j.Spec.Tasks; first += t.step() {
		fresh, bits := j.Unsaved(first, first+t.step())
		if len(fresh) == 0 {
			continue
		}
		key := t.key(id, first)
		t.note(id, key)
		t.pages.Put(key, bits, func(time.Time) {
			if j := job(id); j != nil {
				for _, n := range fresh {
					j.Durable(n)
				}
			}
		})
	}
}

// drop removes a job that is over.
func (t *tallies) drop(id string) {
	for key := range t.jobs[id] {
		t.pages.Drop(key)
	}
	delete(t.jobs, id)
}

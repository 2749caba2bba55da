package node

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"juniperchute/internal/placement"
	"juniperchute/internal/store"
	"juniperchute/internal/wire"
)

// tallies keeps which tasks of open jobs have completed, in chunks of a job's
// tasks, many to a page.
type tallies struct {
	pages *store.Pages
	chunk int // tasks
	jobs  map[string]int
}

func tallyUnder(block int) string { return "t/" + strconv.Itoa(block) + "/" }

func tallyKey(job string, chunk int) string { return job + "/" + strconv.Itoa(chunk) }

// load takes over what an earlier tenure wrote; job finds an open job.
func (t *tallies) load(items []wire.Item, job func(id string) *placement.Job) {
	t.pages.Load(items, func(key string, raw json.RawMessage) {
		id, num, _ := strings.Cut(key, "/")
		chunk, err := strconv.Atoi(num)
		j := job(id)
		var bits []byte
		if j == nil || err != nil || chunk < 0 || json.Unmarshal(raw, &bits) != nil {
			t.pages.Drop(key)
			return
		}
		t.jobs[id] = max(t.jobs[id], chunk+1)
		for i, b := range bits {
			for k := range 8 {
				if b&(1<<k) != 0 {
					j.Recover(chunk*t.chunk + i*8 + k)
				}
			}
		}
	})
}

// save enters a job's completions; job finds it again once they are durable.
func (t *tallies) save(j *placement.Job, job func(id string) *placement.Job) {
	id := j.Spec.ID
	for c := 0; c*t.chunk < j.Spec.Tasks; c++ {
		fresh, bits := j.Unsaved(c*t.chunk, (c+1)*t.chunk)
		if len(fresh) == 0 {
			continue
		}
		t.jobs[id] = max(t.jobs[id], c+1)
		t.pages.Put(tallyKey(id, c), bits, func(time.Time) {
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
	for c := range t.jobs[id] {
		t.pages.Drop(tallyKey(id, c))
	}
	delete(t.jobs, id)
}

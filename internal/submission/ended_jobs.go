package submission

import (
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// endedJobCache remembers how the jobs ended of which this controller learnt last, at most
// tuning.EndedJobsKept of them. The end of a job never changes, so no entry becomes stale.
type endedJobCache struct {
	byID map[string]wire.JobState
	ring []string // ids in the order of insertion, from oldest on
	// oldest is the index in ring of the entry that is replaced next.
	oldest int
}

func newEndedJobCache() endedJobCache {
	return endedJobCache{byID: map[string]wire.JobState{}}
}

func (c *endedJobCache) get(id string) (job wire.JobState, ok bool) {
	job, ok = c.byID[id]
	return job, ok
}

func (c *endedJobCache) put(job wire.JobState) {
	if _, ok := c.byID[job.ID]; ok {
		return
	}
	if len(c.ring) < tuning.EndedJobsKept {
		c.ring = append(c.ring, job.ID)
	} else {
		delete(c.byID, c.ring[c.oldest])
		c.ring[c.oldest] = job.ID
		c.oldest = (c.oldest + 1) % len(c.ring)
	}
	c.byID[job.ID] = job
}

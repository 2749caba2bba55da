package submission

import (
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// endedJobCache caches the final states of at most tuning.EndedJobsKept jobs and evicts the oldest entry
// first. Final states never change, so entries do not become stale.
type endedJobCache struct {
	byID map[string]wire.JobState
	ring []string // job IDs in the order of insertion, starting at oldest
	// oldest is the index in ring of the entry to evict next.
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

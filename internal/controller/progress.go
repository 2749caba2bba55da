package controller

import (
	"time"

	"juniperchute/internal/peer/peerpb"
	"juniperchute/internal/submission"
	"juniperchute/internal/tuning"
)

// jobProgress finds out how far a job is, from its block's holder.
func (c *Controller) jobProgress(now time.Time, block int, id string, then func(now time.Time, p submission.Progress)) {
	if t := c.terms[block]; t != nil && t.state != termEnded {
		then(now, t.progress(id))
		return
	}
	holder, _, ok := c.holderOf(block)
	if !ok || c.peers[holder] == nil {
		then(now, submission.Progress{})
		return
	}
	a := c.progressQueries[block]
	if a == nil {
		a = &progressQueue{}
		c.progressQueries[block] = a
	}
	a.queries = append(a.queries, progressQuery{id, then})
	c.sendProgressQueries(now, block, a)
}

// progressQueue is the questions about a block's jobs that its holder has to be asked. One
// call at a time carries all that have come by then: thousands of jobs are asked
// about every few seconds, at every node.
type progressQueue struct {
	inFlight bool
	queries  []progressQuery
}

type progressQuery struct {
	job   string
	reply func(now time.Time, p submission.Progress)
}

func (c *Controller) sendProgressQueries(now time.Time, block int, a *progressQueue) {
	if a.inFlight || len(a.queries) == 0 {
		return
	}
	n := min(len(a.queries), tuning.MaxProgressJobs)
	batch := a.queries[:n:n]
	a.queries = a.queries[n:]
	m := &peerpb.ProgressRequest{Shard: int32(block)}
	for _, q := range batch {
		m.Jobs = append(m.Jobs, q.job)
	}
	holder, _, _ := c.holderOf(block)
	a.inFlight = true
	c.effects.AskProgress(holder, m, func(now time.Time, r *peerpb.ProgressReply, err error) {
		a.inFlight = false
		for i, q := range batch {
			p := submission.Progress{}
			if err == nil && len(r.Jobs) == n {
				j := r.Jobs[i]
				p = submission.Progress{Known: j.Known, Done: int(j.Done), Running: int(j.Running)}
			}
			q.reply(now, p)
		}
		c.sendProgressQueries(now, block, a)
	})
}

// HandleProgress answers a peer's question.
func (c *Controller) HandleProgress(m *peerpb.ProgressRequest) *peerpb.ProgressReply {
	out := &peerpb.ProgressReply{}
	if t := c.terms[int(m.Shard)]; t != nil && t.state != termEnded {
		for _, id := range m.Jobs {
			p := t.progress(id)
			out.Jobs = append(out.Jobs, &peerpb.JobProgress{Known: p.Known, Done: int64(p.Done), Running: int64(p.Running)})
		}
	}
	return out
}

func (t *term) progress(id string) submission.Progress {
	j := t.scheduler.OpenJob(id)
	if j == nil {
		return submission.Progress{}
	}
	return submission.Progress{Known: true, Done: j.CompletedTasks(), Running: j.RunningTasks()}
}

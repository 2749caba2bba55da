package node

import (
	"time"

	"juniperchute/internal/peer/peerpb"
	"juniperchute/internal/submission"
	"juniperchute/internal/tuning"
)

// progress finds out how far a job is, from its block's holder.
func (c *Core) progress(now time.Time, block int, id string, then func(now time.Time, p submission.Progress)) {
	if t := c.tenures[block]; t != nil && t.state != tenureOver {
		then(now, t.progress(id))
		return
	}
	holder, _, ok := c.holder(block)
	if !ok || c.peers[holder] == nil {
		then(now, submission.Progress{})
		return
	}
	a := c.asking[block]
	if a == nil {
		a = &asking{}
		c.asking[block] = a
	}
	a.waiting = append(a.waiting, question{id, then})
	c.ask(now, block, a)
}

// asking is the questions about a block's jobs that its holder has to be asked. One
// call at a time carries all that have come by then: thousands of jobs are asked
// about every few seconds, at every node.
type asking struct {
	busy    bool
	waiting []question
}

type question struct {
	job  string
	then func(now time.Time, p submission.Progress)
}

func (c *Core) ask(now time.Time, block int, a *asking) {
	if a.busy || len(a.waiting) == 0 {
		return
	}
	n := min(len(a.waiting), tuning.MaxProgressJobs)
	batch := a.waiting[:n:n]
	a.waiting = a.waiting[n:]
	m := &peerpb.ProgressRequest{Block: int32(block)}
	for _, q := range batch {
		m.Jobs = append(m.Jobs, q.job)
	}
	holder, _, _ := c.holder(block)
	a.busy = true
	c.env.Progress(holder, m, func(now time.Time, r *peerpb.ProgressReply, err error) {
		a.busy = false
		for i, q := range batch {
			p := submission.Progress{}
			if err == nil && len(r.Jobs) == n {
				j := r.Jobs[i]
				p = submission.Progress{Known: j.Known, Done: int(j.Done), Running: int(j.Running)}
			}
			q.then(now, p)
		}
		c.ask(now, block, a)
	})
}

// Progress answers a peer's question.
func (c *Core) Progress(m *peerpb.ProgressRequest) *peerpb.ProgressReply {
	out := &peerpb.ProgressReply{}
	if t := c.tenures[int(m.Block)]; t != nil && t.state != tenureOver {
		for _, id := range m.Jobs {
			p := t.progress(id)
			out.Jobs = append(out.Jobs, &peerpb.JobProgress{Known: p.Known, Done: int64(p.Done), Running: int64(p.Running)})
		}
	}
	return out
}

func (t *tenure) progress(id string) submission.Progress {
	j := t.board.OpenJob(id)
	if j == nil {
		return submission.Progress{}
	}
	return submission.Progress{Known: true, Done: j.CompletedTasks(), Running: j.RunningTasks()}
}

package controller

import (
	"time"

	"juniperchute/internal/peer/peerpb"
	"juniperchute/internal/submission"
	"juniperchute/internal/tuning"
)

// progressQueue holds the queries about a shard's jobs that its lease holder has to be asked.
// One call at a time carries all that have come by then: users ask about thousands of jobs
// every few seconds, at every controller.
type progressQueue struct {
	inFlight bool
	queries  []progressQuery
}

// progressQuery asks for the progress of one job.
type progressQuery struct {
	job   string
	reply func(now time.Time, progress submission.Progress)
}

// jobProgress finds out how far a job is, from its shard's lease holder. Where none is known
// or it does not answer, the reply's progress is not known.
func (c *Controller) jobProgress(now time.Time, shard int, job string,
	reply func(now time.Time, progress submission.Progress)) {
	if t := c.liveTerm(shard); t != nil {
		reply(now, t.JobProgress(job))
		return
	}
	holder, _, live := c.holderOf(shard)
	if !live || c.peers.byName[holder] == nil {
		reply(now, submission.Progress{})
		return
	}
	if c.progressQueries[shard] == nil {
		c.progressQueries[shard] = &progressQueue{}
	}
	queue := c.progressQueries[shard]
	queue.queries = append(queue.queries, progressQuery{job, reply})
	c.sendProgressQueries(shard, queue)
}

// sendProgressQueries sends the queries that wait, unless a call is under way.
func (c *Controller) sendProgressQueries(shard int, queue *progressQueue) {
	if queue.inFlight || len(queue.queries) == 0 {
		return
	}
	n := min(len(queue.queries), tuning.MaxProgressJobs)
	batch := queue.queries[:n:n]
	queue.queries = queue.queries[n:]
	request := &peerpb.ProgressRequest{Shard: int32(shard)}
	for _, query := range batch {
		request.Jobs = append(request.Jobs, query.job)
	}
	holder, _, _ := c.holderOf(shard)
	queue.inFlight = true
	c.environment.Effects.QueryProgress(holder, request, func(now time.Time, reply *peerpb.ProgressReply, err error) {
		queue.inFlight = false
		answerQueries(now, batch, reply, err)
		c.sendProgressQueries(shard, queue)
	})
}

// answerQueries answers a batch of queries with the lease holder's reply.
func answerQueries(now time.Time, batch []progressQuery, reply *peerpb.ProgressReply, err error) {
	for i, query := range batch {
		progress := submission.Progress{}
		if err == nil && len(reply.Jobs) == len(batch) {
			job := reply.Jobs[i]
			progress = submission.Progress{Known: job.Known, Done: int(job.Done), Running: int(job.Running)}
		}
		query.reply(now, progress)
	}
}

// HandleProgress answers another controller's queries.
func (c *Controller) HandleProgress(request *peerpb.ProgressRequest) *peerpb.ProgressReply {
	reply := &peerpb.ProgressReply{}
	t := c.liveTerm(int(request.Shard))
	if t == nil {
		return reply
	}
	for _, id := range request.Jobs {
		progress := t.JobProgress(id)
		reply.Jobs = append(reply.Jobs, &peerpb.JobProgress{
			Known: progress.Known, Done: int64(progress.Done), Running: int64(progress.Running),
		})
	}
	return reply
}

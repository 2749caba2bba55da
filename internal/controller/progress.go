package controller

import (
	"time"

	"juniperchute/internal/peer/peerpb"
	"juniperchute/internal/submission"
	"juniperchute/internal/tuning"
)

// progressQueue batches the progress queries for a shard's jobs. At most one call to the lease
// holder is in flight, and the next call carries the queries that have arrived meanwhile. Without
// batching, users' queries at each controller would reach the lease holder one by one.
type progressQueue struct {
	inFlight bool
	queries  []progressQuery
}

// progressQuery asks for the progress of one job.
type progressQuery struct {
	job   string
	reply func(now time.Time, progress submission.Progress)
}

// jobProgress obtains the progress of a job from its shard's lease holder. If no lease holder is
// known or the call fails, the reply has Known unset.
func (c *Controller) jobProgress(now time.Time, shard int, job string,
	reply func(now time.Time, progress submission.Progress)) {
	if t := c.liveTerm(shard); t != nil {
		reply(now, t.JobProgress(now, job))
		return
	}
	holder, _, live := c.leaseHolder(shard)
	if !live || c.peers.byName[holder] == nil {
		reply(now, submission.Progress{})
		return
	}
	if c.progressQueues[shard] == nil {
		c.progressQueues[shard] = &progressQueue{}
	}
	queue := c.progressQueues[shard]
	queue.queries = append(queue.queries, progressQuery{job, reply})
	c.sendProgressQueries(shard, queue)
}

// sendProgressQueries sends the next batch of queued queries unless a call is in flight.
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
	holder, _, _ := c.leaseHolder(shard)
	queue.inFlight = true
	c.environment.Effects.QueryProgress(holder, request, func(now time.Time, reply *peerpb.ProgressReply, err error) {
		queue.inFlight = false
		replyToQueries(now, batch, reply, err)
		c.sendProgressQueries(shard, queue)
	})
}

// replyToQueries replies to each query of a batch with its part of the lease holder's reply. After an
// error or an incomplete reply the progress of all jobs in the batch is unknown.
func replyToQueries(now time.Time, batch []progressQuery, reply *peerpb.ProgressReply, err error) {
	for i, query := range batch {
		progress := submission.Progress{}
		if err == nil && len(reply.Jobs) == len(batch) {
			job := reply.Jobs[i]
			progress = submission.Progress{Known: job.Known, CompletedTasks: int(job.Done), Running: int(job.Running)}
		}
		query.reply(now, progress)
	}
}

// HandleProgress replies to another controller's progress queries. The reply is empty if this
// process does not hold the shard's lease.
func (c *Controller) HandleProgress(now time.Time, request *peerpb.ProgressRequest) *peerpb.ProgressReply {
	reply := &peerpb.ProgressReply{}
	t := c.liveTerm(int(request.Shard))
	if t == nil {
		return reply
	}
	for _, id := range request.Jobs {
		progress := t.JobProgress(now, id)
		reply.Jobs = append(reply.Jobs, &peerpb.JobProgress{
			Known: progress.Known, Done: int64(progress.CompletedTasks), Running: int64(progress.Running),
		})
	}
	return reply
}

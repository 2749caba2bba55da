package controller

import "time"

// recordCancellation takes note of a cancellation that is about to be confirmed to a user, and
// forwards it to the shard's lease holder at once: one that cannot read it in the state
// service would go on renewing the leases of its tasks' workers. The user's answer does not
// wait.
func (c *Controller) recordCancellation(now time.Time, id string) {
	c.cancellationLog.Add(now, id)
	for shard := range c.options.Shards {
		if t := c.liveTerm(shard); t != nil {
			t.CancelJob(now, id)
			c.cancellationLog.Acknowledge([]string{id}, shard, t.Token)
		}
		if holder, _, live := c.holderOf(shard); live {
			c.forwardCancellations(now, holder)
		}
	}
}

// forwardCancellations sends a lease holder the cancellations that it has not acknowledged.
// One message at a time: what comes up meanwhile goes with the next.
func (c *Controller) forwardCancellations(now time.Time, holder string) {
	if c.peers.byName[holder] == nil || c.peers.forwardingTo[holder] {
		return
	}
	sent, _ := c.cancellationLog.Pending(now, c.tokens())
	if len(sent) == 0 {
		return
	}
	newest := sent[len(sent)-1]
	c.peers.forwardingTo[holder] = true
	c.exchange(now, holder, func(now time.Time) {
		c.peers.forwardingTo[holder] = false
		pending, _ := c.cancellationLog.Pending(now, c.tokens())
		if len(pending) > 0 && pending[len(pending)-1] != newest {
			c.forwardCancellations(now, holder)
		}
	})
}

package controller

import "time"

// recordCancellation records a cancellation before it is confirmed to the user, and forwards it
// to the lease holders at once. A lease holder that cannot read the cancellation from the state
// service would otherwise keep renewing the leases of the workers that run the job's tasks. The
// response to the user does not wait for the forwarding.
func (c *Controller) recordCancellation(now time.Time, id string) {
	c.cancellationLog.Add(now, id)
	for shard := range c.options.Shards {
		if t := c.liveTerm(shard); t != nil {
			t.CancelJob(now, id)
			c.cancellationLog.Acknowledge([]string{id}, shard, t.Token)
		}
		if holder, _, live := c.leaseHolder(shard); live {
			c.forwardCancellations(now, holder)
		}
	}
}

// forwardCancellations sends a lease holder the cancellations that are not acknowledged. At most
// one message to a member is in flight; later cancellations are sent with the next message.
func (c *Controller) forwardCancellations(now time.Time, holder string) {
	if c.peers.byName[holder] == nil || c.peers.forwardingTo[holder] {
		return
	}
	sent, _ := c.cancellationLog.Pending(now, c.fencingTokens())
	if len(sent) == 0 {
		return
	}
	newest := sent[len(sent)-1]
	c.peers.forwardingTo[holder] = true
	c.exchange(now, holder, func(now time.Time) {
		c.peers.forwardingTo[holder] = false
		pending, _ := c.cancellationLog.Pending(now, c.fencingTokens())
		if len(pending) > 0 && pending[len(pending)-1] != newest {
			c.forwardCancellations(now, holder)
		}
	})
}

package controller

import (
	"net/http"
	"time"

	"juniperchute/internal/fleet"
	"juniperchute/internal/wire"
)

// shardOf finds the block of a machine: the one whose rental records name it;
// machines that nobody expected go to the first block.
func (c *Controller) shardOf(host string) int {
	if c.shards == 1 {
		return 0
	}
	for b, t := range c.terms {
		if t.state != termEnded && t.workers.Get(host) != nil {
			return b
		}
	}
	return c.shardOfMachine[host]
}

// applyProvisionRecord takes note of a rental's record.
func (c *Controller) applyProvisionRecord(_ time.Time, _ string, it wire.KeyValue, gone bool) {
	block, hosts := fleet.RecordedHosts(it)
	for _, h := range hosts {
		if gone {
			delete(c.shardOfMachine, h)
		} else {
			c.shardOfMachine[h] = block
		}
	}
}

// mayBelongToOtherShard tells whether a machine, which was there at some time, is, or may turn out to be,
// of another block than the given one. Records read before then say nothing: the rental
// that brought it may be younger.
func (c *Controller) mayBelongToOtherShard(block int, host string, there time.Time) bool {
	if c.shards == 1 {
		return false
	}
	if !c.provisionRequests.CurrentAsOf().After(there) {
		return true
	}
	if b, ok := c.shardOfMachine[host]; ok {
		return b != block
	}
	waiting := false
	c.provisionRequests.Each(func(it wire.KeyValue) {
		b, hosts := fleet.RecordedHosts(it)
		waiting = waiting || b != block && len(hosts) == 0
	})
	return waiting
}

// holderOf names a block's holder: as the records say, or a peer that has seen
// newer ones. A node cut off from the state service would otherwise send
// workers to a holder that is none any more, and two such nodes to each other,
// until their leases are over.
func (c *Controller) holderOf(block int) (member string, token uint64, live bool) {
	member, token, live = c.membership.Holder(block)
	if h := c.leaseClaims[block]; h != nil && h.Token > token {
		return h.Holder, h.Token, h.Holder != ""
	}
	return member, token, live
}

// redirect sends a worker to its block's holder.
func (c *Controller) redirect(block int, reply func(status int, body any)) {
	holder, _, live := c.holderOf(block)
	if !live || holder == c.config.Member {
		holder = ""
	}
	reply(http.StatusMisdirectedRequest, wire.Redirect{Member: holder})
}

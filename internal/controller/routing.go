package controller

import (
	"net/http"
	"time"

	"juniperchute/internal/fleet"
	"juniperchute/internal/wire"
)

// shardOf finds the shard of a machine: the one whose provision requests name it. Machines
// that nobody expected go to the first shard.
func (c *Controller) shardOf(machine string) int {
	if c.options.Shards == 1 {
		return 0
	}
	for shard, t := range c.terms {
		if t.Live() && t.Workers().Get(machine) != nil {
			return shard
		}
	}
	return c.shardOfMachine[machine]
}

// applyProvisionRequest takes note of a change of a provision request's record.
func (c *Controller) applyProvisionRequest(_ time.Time, _ string, kv wire.KeyValue, deleted bool) {
	shard, machines := fleet.RecordedHosts(kv)
	for _, machine := range machines {
		if deleted {
			delete(c.shardOfMachine, machine)
		} else {
			c.shardOfMachine[machine] = shard
		}
	}
}

// MayBelongToOtherShard reports whether a machine, which existed at some time, belongs, or may
// turn out to belong, to another shard than the given one. Records read before then say
// nothing: the provision request that brought it may be younger.
func (c *Controller) MayBelongToOtherShard(shard int, machine string, existedAt time.Time) bool {
	if c.options.Shards == 1 {
		return false
	}
	if !c.provisionRequests.CurrentAsOf().After(existedAt) {
		return true
	}
	if recorded, ok := c.shardOfMachine[machine]; ok {
		return recorded != shard
	}
	unanswered := false // a request of another shard that names no machines yet
	c.provisionRequests.Each(func(kv wire.KeyValue) {
		requester, machines := fleet.RecordedHosts(kv)
		unanswered = unanswered || requester != shard && len(machines) == 0
	})
	return unanswered
}

// holderOf names a shard's lease holder and its token: as the records say, or a peer that has
// seen newer ones. A controller cut off from the state service would otherwise redirect
// workers to a former lease holder, and two such controllers to each other, until their
// leases end.
func (c *Controller) holderOf(shard int) (member string, token uint64, live bool) {
	member, token, live = c.membership.Holder(shard)
	if claim := c.peers.claims[shard]; claim != nil && claim.Token > token {
		return claim.Holder, claim.Token, claim.Holder != ""
	}
	return member, token, live
}

// Redirect sends a worker to its shard's lease holder.
func (c *Controller) Redirect(shard int, reply func(status int, body any)) {
	holder, _, live := c.holderOf(shard)
	if !live || holder == c.config.Member {
		holder = ""
	}
	reply(http.StatusMisdirectedRequest, wire.Redirect{Member: holder})
}

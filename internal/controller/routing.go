package controller

import (
	"net/http"
	"time"

	"juniperchute/internal/fleet"
	"juniperchute/internal/wire"
)

// shardOf returns the shard of a machine: the shard whose provisioning request names it, or else the
// first shard whose term knows it. An unknown machine belongs to shard 0. Two terms of this process may
// know a machine: shard 0 accepts its heartbeats until the response to the request of its own shard.
func (c *Controller) shardOf(machine string) int {
	if c.options.Shards == 1 {
		return 0
	}
	if shard, recorded := c.shardOfMachine[machine]; recorded {
		return shard
	}
	for t := range c.termsInOrder() {
		if t.Live() && t.Workers().Get(machine) != nil {
			return t.Shard
		}
	}
	return 0
}

// applyProvisionRequest updates the map from machines to shards after a change of a provisioning
// request's record.
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

// BelongsToOtherShard reports whether a provisioning request of a shard other than the given one names a
// machine.
func (c *Controller) BelongsToOtherShard(shard int, machine string) bool {
	recorded, ok := c.shardOfMachine[machine]
	return ok && recorded != shard
}

// MayBelongToOtherShard reports whether a machine that existed at existedAt belongs, or may
// belong, to a shard other than the given one. It returns true while the provisioning requests
// have not been read after existedAt, or while another shard has a request that names no machines
// yet: such a request may have created the machine.
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
	pending := false // another shard has a request that names no machines yet
	c.provisionRequests.Each(func(kv wire.KeyValue) {
		requester, machines := fleet.RecordedHosts(kv)
		pending = pending || requester != shard && len(machines) == 0
	})
	return pending
}

// leaseHolder returns a shard's lease holder and fencing token, from the control records or from
// the claim of a peer if that has a higher token. Without the claims, a controller that is
// partitioned from the state service would redirect workers to a former lease holder, and two
// such controllers would redirect workers to each other until the workers' leases expire.
func (c *Controller) leaseHolder(shard int) (member string, token uint64, live bool) {
	member, token, live = c.membership.Holder(shard)
	if claim := c.peers.claims[shard]; claim != nil && claim.Token > token {
		return claim.Holder, claim.Token, claim.Holder != ""
	}
	return member, token, live
}

// Redirect replies to a worker with the name of the shard's lease holder. The name is empty if there
// is no live lease holder other than this controller.
func (c *Controller) Redirect(shard int, reply func(status int, body any)) {
	holder, _, live := c.leaseHolder(shard)
	if !live || holder == c.config.Member {
		holder = ""
	}
	reply(http.StatusMisdirectedRequest, wire.Redirect{Member: holder})
}

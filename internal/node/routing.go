package node

import (
	"net/http"
	"time"

	"juniperchute/internal/fleet"
	"juniperchute/internal/wire"
)

// blockOf finds the block of a machine: the one whose rental records name it;
// machines that nobody expected go to the first block.
func (c *Core) blockOf(host string) int {
	if c.blocks == 1 {
		return 0
	}
	for b, t := range c.tenures {
		if t.state != tenureOver && t.reg.Get(host) != nil {
			return b
		}
	}
	return c.blockFor[host]
}

// rentalChanged takes note of a rental's record.
func (c *Core) rentalChanged(_ time.Time, _ string, it wire.Item, gone bool) {
	block, hosts := fleet.RecordedHosts(it)
	for _, h := range hosts {
		if gone {
			delete(c.blockFor, h)
		} else {
			c.blockFor[h] = block
		}
	}
}

// foreign tells whether a machine, which was there at some time, is, or may turn out to be,
// of another block than the given one. Records read before then say nothing: the rental
// that brought it may be younger.
func (c *Core) foreign(block int, host string, there time.Time) bool {
	if c.blocks == 1 {
		return false
	}
	if !c.rentals.Fresh().After(there) {
		return true
	}
	if b, ok := c.blockFor[host]; ok {
		return b != block
	}
	waiting := false
	c.rentals.Each(func(it wire.Item) {
		b, hosts := fleet.RecordedHosts(it)
		waiting = waiting || b != block && len(hosts) == 0
	})
	return waiting
}

// holder names a block's holder: as the records say, or a peer that has seen
// newer ones. A node cut off from the state service would otherwise send
// workers to a holder that is none any more, and two such nodes to each other,
// until their leases are over.
func (c *Core) holder(block int) (member string, token uint64, live bool) {
	member, token, live = c.leader.Holder(block)
	if h := c.claims[block]; h != nil && h.Token > token {
		return h.Holder, h.Token, h.Holder != ""
	}
	return member, token, live
}

// redirect sends a worker to its block's holder.
func (c *Core) redirect(block int, reply func(status int, body any)) {
	holder, _, live := c.holder(block)
	if !live || holder == c.cfg.Member {
		holder = ""
	}
	reply(http.StatusMisdirectedRequest, wire.Redirect{ReportsTo: holder})
}

package controller

import (
	"maps"
	"time"

	"juniperchute/internal/admin"
	"juniperchute/internal/peer/peerpb"
)

// Status returns the status of this controller and of the shards whose terms it runs. The
// latencies are added to the counters of each shard.
func (c *Controller) Status(now time.Time, latencies map[string]int64) *peerpb.StatusReply {
	members, leader := c.membership.Members()
	out := &peerpb.StatusReply{
		Member:   c.config.Member,
		Leader:   leader,
		Members:  members,
		Claims:   c.claims(),
		Versions: map[string]string{c.config.Member: admin.Version()},

		Membership: c.membershipStatus(now),
	}
	for name, peer := range c.peers.byName {
		if peer.live(now) {
			out.Versions[name] = peer.version
		}
	}
	for t := range c.termsInOrder() {
		status := t.Status(now)
		maps.Copy(status.Counters, latencies)
		out.Shards = append(out.Shards, status)
	}
	return out
}

func (c *Controller) membershipStatus(now time.Time) *peerpb.MembershipStatus {
	state, since := c.membership.State()
	status := &peerpb.MembershipStatus{
		State:             state,
		LeaseValid:        c.membership.LeaseValid(now),
		StateContactAgeMs: -1,
	}
	if !since.IsZero() {
		status.StateAgeMs = now.Sub(since).Milliseconds()
	}
	if contact := c.membership.LastContact(); !contact.IsZero() {
		status.StateContactAgeMs = now.Sub(contact).Milliseconds()
	}
	return status
}

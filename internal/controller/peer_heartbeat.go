package controller

import (
	"time"

	"juniperchute/internal/admin"
	"juniperchute/internal/config"
	"juniperchute/internal/peer/peerpb"
	"juniperchute/internal/term"
	"juniperchute/internal/tuning"
)

// peerGroup is what this controller knows of the others, and from them.
type peerGroup struct {
	byName       map[string]*peerStatus
	heartbeatAt  time.Time                  // when the next exchange begins
	claims       map[int]*peerpb.LeaseClaim // the highest token that peers know of each shard
	forwardingTo map[string]bool            // members that cancellations are being forwarded to
}

func newPeerGroup(peers []config.Peer) peerGroup {
	group := peerGroup{
		byName:       map[string]*peerStatus{},
		claims:       map[int]*peerpb.LeaseClaim{},
		forwardingTo: map[string]bool{},
	}
	for _, peer := range peers {
		group.byName[peer.Member] = &peerStatus{}
	}
	return group
}

// peerStatus is what this controller knows of another one.
type peerStatus struct {
	lastHeartbeat       time.Time     // when it arrived
	stateUnreachableFor time.Duration // by the peer's own account
	processID           uint64        // of the newest heartbeat
	clockNs             int64         // the peer's clock in that heartbeat
	version             string
	// unacknowledged are cancellations that the peer forwarded and that the next heartbeat to
	// it acknowledges.
	unacknowledged []string
}

// live reports whether the peer's heartbeats arrive.
func (p *peerStatus) live(now time.Time) bool {
	return now.Sub(p.lastHeartbeat) < 3*tuning.PeerHeartbeatInterval
}

// peerNames are the other members of the deployment.
func (c *Controller) peerNames() (names []string) {
	for _, peer := range c.config.Peers {
		names = append(names, peer.Member)
	}
	return names
}

// stateUnreachableFor is how long the state service has not answered this controller; never
// answered counts as a very long time.
func (c *Controller) stateUnreachableFor(now time.Time) time.Duration {
	if c.membership.LastContact().IsZero() {
		return time.Hour
	}
	return now.Sub(c.membership.LastContact())
}

// tokens are the highest fencing tokens known, by shard.
func (c *Controller) tokens() []uint64 {
	tokens := make([]uint64, c.options.Shards)
	for shard := range tokens {
		_, tokens[shard], _ = c.holderOf(shard)
	}
	return tokens
}

// claims lists the shards' lease holders, as far as this controller knows.
func (c *Controller) claims() (out []*peerpb.LeaseClaim) {
	for shard := range c.options.Shards {
		if holder, token, _ := c.holderOf(shard); token > 0 {
			out = append(out, &peerpb.LeaseClaim{Shard: int32(shard), Token: token, Holder: holder})
		}
	}
	return out
}

// newPeerHeartbeat makes the heartbeat for another controller.
func (c *Controller) newPeerHeartbeat(now time.Time, to string) *peerpb.PeerHeartbeat {
	heartbeat := &peerpb.PeerHeartbeat{
		Member:            c.config.Member,
		StateContactAgeMs: c.stateUnreachableFor(now).Milliseconds(),
		Process:           c.process.id,
		Version:           admin.Version(),
		Claims:            c.claims(),
	}
	if !c.process.startedAt.IsZero() {
		up := now.Sub(c.process.startedAt)
		heartbeat.UpMs, heartbeat.ClockNs = up.Milliseconds(), int64(up)
	}
	heartbeat.Cancelled, heartbeat.CancellationsComplete = c.cancellationLog.Pending(now, c.tokens())
	if peer := c.peers.byName[to]; peer != nil {
		heartbeat.EchoProcess, heartbeat.EchoNs = peer.processID, peer.clockNs
		heartbeat.AcknowledgedCancelled = peer.unacknowledged
		peer.unacknowledged = nil
	}
	return heartbeat
}

func (c *Controller) sendHeartbeats(now time.Time) {
	for _, peer := range c.config.Peers {
		if peer.Member < c.config.Member {
			continue // it asks: one exchange brings both all there is to know
		}
		c.exchange(now, peer.Member, func(time.Time) {})
	}
}

// exchange sends a heartbeat to another controller and applies its answer.
func (c *Controller) exchange(now time.Time, member string, then func(now time.Time)) {
	c.environment.Effects.SendHeartbeat(member, c.newPeerHeartbeat(now, member),
		func(now time.Time, answer *peerpb.PeerHeartbeat, err error) {
			if err == nil {
				c.applyPeerHeartbeat(now, member, answer)
			}
			then(now)
		})
}

// HandlePeerHeartbeat answers another controller's heartbeat.
func (c *Controller) HandlePeerHeartbeat(now time.Time, heartbeat *peerpb.PeerHeartbeat) *peerpb.PeerHeartbeat {
	c.applyPeerHeartbeat(now, heartbeat.Member, heartbeat)
	return c.newPeerHeartbeat(now, heartbeat.Member)
}

func (c *Controller) applyPeerHeartbeat(now time.Time, member string, heartbeat *peerpb.PeerHeartbeat) {
	if peer := c.peers.byName[member]; peer != nil {
		peer.apply(now, heartbeat)
	}
	for _, t := range c.terms {
		for _, id := range heartbeat.Cancelled {
			t.CancelJob(now, id)
		}
	}
	for _, claim := range heartbeat.Claims {
		c.applyLeaseClaim(now, member, claim, heartbeat)
	}
}

// apply takes note of what a peer says of itself, and of cancellations to acknowledge.
func (p *peerStatus) apply(now time.Time, heartbeat *peerpb.PeerHeartbeat) {
	p.lastHeartbeat = now
	p.stateUnreachableFor = time.Duration(heartbeat.StateContactAgeMs) * time.Millisecond
	p.version = heartbeat.Version
	if p.processID != heartbeat.Process || heartbeat.ClockNs > p.clockNs {
		p.processID, p.clockNs = heartbeat.Process, heartbeat.ClockNs
	}
	p.unacknowledged = append(p.unacknowledged, heartbeat.Cancelled...)
	p.unacknowledged = p.unacknowledged[max(0, len(p.unacknowledged)-tuning.MaxCancellationsPerMessage):]
}

// applyLeaseClaim takes note of who owns a shard by a peer's account. A higher token than this
// process's own ends its term.
func (c *Controller) applyLeaseClaim(now time.Time, member string, claim *peerpb.LeaseClaim,
	heartbeat *peerpb.PeerHeartbeat) {
	shard := int(claim.Shard)
	if claim.Holder == heartbeat.Member {
		c.cancellationLog.Acknowledge(heartbeat.AcknowledgedCancelled, shard, claim.Token)
	}
	if old := c.peers.claims[shard]; old == nil || claim.Token > old.Token {
		c.peers.claims[shard] = claim
	}
	t := c.liveTerm(shard)
	switch {
	case t == nil:
	case claim.Token > t.Token:
		t.End(now, "a peer knows a higher token")
	case claim.Token == t.Token:
		c.acknowledgeCancellations(now, t, member, heartbeat)
	}
}

// acknowledgeCancellations passes a peer's acknowledgement on to a term: that the term knows
// every cancellation that the peer has confirmed. A peer that knows of another lease holder
// forwards what that one lacks. One that echoes what this process sent has made its heartbeat
// after that was sent; any other heartbeat may have been held back.
func (c *Controller) acknowledgeCancellations(now time.Time, t *term.Term, member string,
	heartbeat *peerpb.PeerHeartbeat) {
	echoes := heartbeat.EchoProcess == c.process.id
	if c.peers.byName[member] == nil || !heartbeat.CancellationsComplete || !echoes {
		return
	}
	up := time.Duration(heartbeat.UpMs) * time.Millisecond
	drift := time.Duration(float64(up) * 2 * tuning.MaxClockDrift)
	until := c.process.startedAt.Add(time.Duration(heartbeat.EchoNs))
	t.AcknowledgeCancellations(member, heartbeat.Process, now.Add(-up+drift), until)
}

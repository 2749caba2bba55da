package controller

import (
	"time"

	"juniperchute/internal/admin"
	"juniperchute/internal/config"
	"juniperchute/internal/peer/peerpb"
	"juniperchute/internal/term"
	"juniperchute/internal/tuning"
)

// peerGroup holds the state of the other controllers and the lease claims that they report.
type peerGroup struct {
	byName          map[string]*peerStatus
	nextHeartbeatAt time.Time                  // time of the next heartbeats
	claims          map[int]*peerpb.LeaseClaim // by shard, the claim with the highest fencing token
	forwardingTo    map[string]bool            // members to which a forwarded cancellation is in flight
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

// peerStatus holds the state of one peer as of its last heartbeats.
type peerStatus struct {
	lastHeartbeat     time.Time     // time of arrival
	sinceStateContact time.Duration // time since the peer's last contact to the state service
	processID         uint64        // of the peer's newest heartbeat
	uptimeNs          int64         // the peer's uptime in its newest heartbeat
	version           string
	// toAcknowledge lists the cancellations received from the peer that this member's next
	// heartbeat to the peer acknowledges.
	toAcknowledge []string
}

// live reports whether a heartbeat of the peer has arrived within the last three intervals.
func (p *peerStatus) live(now time.Time) bool {
	return now.Sub(p.lastHeartbeat) < 3*tuning.PeerHeartbeatInterval
}

// peerNames returns the names of the other members of the deployment.
func (c *Controller) peerNames() (names []string) {
	for _, peer := range c.config.Peers {
		names = append(names, peer.Member)
	}
	return names
}

// sinceStateContact returns the time since the state service last responded to this
// controller. If it has never responded, the result is one hour, which exceeds all isolation
// timeouts.
func (c *Controller) sinceStateContact(now time.Time) time.Duration {
	if c.membership.LastContact().IsZero() {
		return time.Hour
	}
	return now.Sub(c.membership.LastContact())
}

// fencingTokens returns the highest known fencing token of each shard.
func (c *Controller) fencingTokens() []uint64 {
	tokens := make([]uint64, c.options.Shards)
	for shard := range tokens {
		_, tokens[shard], _ = c.leaseHolder(shard)
	}
	return tokens
}

// claims returns the lease claim with the highest known fencing token of each shard. It omits
// shards for which no lease is known.
func (c *Controller) claims() (out []*peerpb.LeaseClaim) {
	for shard := range c.options.Shards {
		if holder, token, _ := c.leaseHolder(shard); token > 0 {
			out = append(out, &peerpb.LeaseClaim{Shard: int32(shard), Token: token, Holder: holder})
		}
	}
	return out
}

// newPeerHeartbeat returns a heartbeat for another controller. It moves the acknowledgements that
// are due to that controller into the heartbeat.
func (c *Controller) newPeerHeartbeat(now time.Time, to string) *peerpb.PeerHeartbeat {
	heartbeat := &peerpb.PeerHeartbeat{
		Member:            c.config.Member,
		StateContactAgeMs: c.sinceStateContact(now).Milliseconds(),
		Process:           c.process.id,
		Version:           admin.Version(),
		Claims:            c.claims(),
	}
	if !c.process.startedAt.IsZero() {
		uptime := now.Sub(c.process.startedAt)
		heartbeat.UpMs, heartbeat.ClockNs = uptime.Milliseconds(), int64(uptime)
	}
	heartbeat.Cancelled, heartbeat.CancellationsComplete = c.cancellationLog.Pending(now, c.fencingTokens())
	if peer := c.peers.byName[to]; peer != nil {
		heartbeat.EchoProcess, heartbeat.EchoNs = peer.processID, peer.uptimeNs
		heartbeat.AcknowledgedCancelled = peer.toAcknowledge
		peer.toAcknowledge = nil
	}
	return heartbeat
}

func (c *Controller) sendPeerHeartbeats(now time.Time) {
	for _, peer := range c.config.Peers {
		if peer.Member < c.config.Member {
			continue // the peer initiates the exchange, which updates both sides
		}
		c.exchange(now, peer.Member, func(time.Time) {})
	}
}

// exchange sends a heartbeat to another controller and applies the reply. It calls done even if
// the call fails.
func (c *Controller) exchange(now time.Time, member string, done func(now time.Time)) {
	c.environment.Effects.SendPeerHeartbeat(member, c.newPeerHeartbeat(now, member),
		func(now time.Time, reply *peerpb.PeerHeartbeat, err error) {
			if err == nil {
				c.applyPeerHeartbeat(now, member, reply)
			}
			done(now)
		})
}

// HandlePeerHeartbeat applies a heartbeat of another controller and returns the reply.
func (c *Controller) HandlePeerHeartbeat(now time.Time, heartbeat *peerpb.PeerHeartbeat) *peerpb.PeerHeartbeat {
	c.applyPeerHeartbeat(now, heartbeat.Member, heartbeat)
	return c.newPeerHeartbeat(now, heartbeat.Member)
}

func (c *Controller) applyPeerHeartbeat(now time.Time, member string, heartbeat *peerpb.PeerHeartbeat) {
	if peer := c.peers.byName[member]; peer != nil {
		peer.apply(now, heartbeat)
	}
	for t := range c.termsInOrder() {
		for _, id := range heartbeat.Cancelled {
			t.CancelJob(now, id)
		}
	}
	for _, claim := range heartbeat.Claims {
		c.applyLeaseClaim(now, member, claim, heartbeat)
	}
}

// apply updates the status from a heartbeat and queues the acknowledgement of the cancellations
// in it.
func (p *peerStatus) apply(now time.Time, heartbeat *peerpb.PeerHeartbeat) {
	p.lastHeartbeat = now
	p.sinceStateContact = time.Duration(heartbeat.StateContactAgeMs) * time.Millisecond
	p.version = heartbeat.Version
	if p.processID != heartbeat.Process || heartbeat.ClockNs > p.uptimeNs {
		p.processID, p.uptimeNs = heartbeat.Process, heartbeat.ClockNs
	}
	p.toAcknowledge = append(p.toAcknowledge, heartbeat.Cancelled...)
	p.toAcknowledge = p.toAcknowledge[max(0, len(p.toAcknowledge)-tuning.MaxCancellationsPerMessage):]
}

// applyLeaseClaim records a lease claim from a peer's heartbeat. A claim with a higher fencing
// token than that of this process's term ends the term.
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

// acknowledgeCancellations tells a term that it knows every cancellation that the peer confirmed
// before it made the heartbeat. This holds only if the heartbeat names the term's fencing token:
// a peer that knows another lease holder forwards the cancellations unknown to that lease holder.
// The heartbeat must echo the clock of this process, which proves that it was made after the
// echoed time; any other heartbeat may have been delayed in the network.
func (c *Controller) acknowledgeCancellations(now time.Time, t *term.Term, member string,
	heartbeat *peerpb.PeerHeartbeat) {
	echoed := heartbeat.EchoProcess == c.process.id
	if c.peers.byName[member] == nil || !heartbeat.CancellationsComplete || !echoed {
		return
	}
	uptime := time.Duration(heartbeat.UpMs) * time.Millisecond
	drift := time.Duration(float64(uptime) * 2 * tuning.MaxClockDrift)
	until := c.process.startedAt.Add(time.Duration(heartbeat.EchoNs))
	t.AcknowledgeCancellations(member, heartbeat.Process, now.Add(-uptime+drift), until)
}

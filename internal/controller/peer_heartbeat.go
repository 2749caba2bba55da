package controller

import (
	"time"

	"juniperchute/internal/admin"
	"juniperchute/internal/peer/peerpb"
	"juniperchute/internal/tuning"
)

type peerStatus struct {
	lastHeartbeat       time.Time     // when it last said so
	stateUnreachableFor time.Duration // since the state service answered it
	processID           uint64        // of its newest message
	version             string        // as it told
	clockNs             int64         // its clock's in that message
	unacknowledged      []string      // cancellations that it passed on and has not been told of having
}

// stateUnreachableFor is how long the state service has not answered this node; never
// answered counts as a very long time.
func (c *Controller) stateUnreachableFor(now time.Time) time.Duration {
	if c.membership.LastContact().IsZero() {
		return time.Hour
	}
	return now.Sub(c.membership.LastContact())
}

// tokens are the highest fencing tokens known, by block.
func (c *Controller) tokens() []uint64 {
	out := make([]uint64, c.shards)
	for b := range out {
		_, out[b], _ = c.holderOf(b)
	}
	return out
}

// leaseClaimList tells who holds the blocks, as far as this node knows.
func (c *Controller) leaseClaimList() (out []*peerpb.LeaseClaim) {
	for b := range c.shards {
		if holder, token, _ := c.holderOf(b); token > 0 {
			out = append(out, &peerpb.LeaseClaim{Shard: int32(b), Token: token, Holder: holder})
		}
	}
	return out
}

// peerHeartbeat is what a peer is told.
func (c *Controller) peerHeartbeat(now time.Time, to string) *peerpb.PeerHeartbeat {
	m := &peerpb.PeerHeartbeat{Member: c.config.Member, StateUnreachableMs: c.stateUnreachableFor(now).Milliseconds(), Process: c.processID, Version: admin.Version()}
	if !c.startedAt.IsZero() {
		up := now.Sub(c.startedAt)
		m.UpMs, m.ClockNs = up.Milliseconds(), int64(up)
	}
	m.Claims = c.leaseClaimList()
	m.Cancelled, m.CancellationsComplete = c.cancellationLog.Pending(now, c.tokens())
	if p := c.peers[to]; p != nil {
		m.EchoProcess, m.EchoNs, m.AcknowledgedCancelled = p.processID, p.clockNs, p.unacknowledged
		p.unacknowledged = nil
	}
	return m
}

func (c *Controller) sendHeartbeats(now time.Time) {
	for _, k := range c.config.Peers {
		if k.Member < c.config.Member {
			continue // it asks: one exchange tells both all there is to tell
		}
		c.exchange(now, k.Member, func(time.Time) {})
	}
}

// exchange tells a peer what this node knows and hears the same of it.
func (c *Controller) exchange(now time.Time, member string, then func(now time.Time)) {
	c.effects.SendHeartbeat(member, c.peerHeartbeat(now, member), func(now time.Time, r *peerpb.PeerHeartbeat, err error) {
		if err == nil {
			c.applyPeerHeartbeat(now, member, r)
		}
		then(now)
	})
}

// recordCancellation takes note of a cancellation that a user is about to be told of, and passes it
// to the block's holder at once: one that cannot read it in the state service would go
// on renewing the leases of its tasks' machines. The user's answer does not wait.
func (c *Controller) recordCancellation(now time.Time, id string) {
	c.cancellationLog.Add(now, id)
	for b := range c.shards {
		if t := c.terms[b]; t != nil && t.state != termEnded {
			t.cancelJob(now, id)
			c.cancellationLog.Acknowledge([]string{id}, b, t.Token)
		}
		if holder, _, live := c.holderOf(b); live {
			c.forwardCancellations(now, holder)
		}
	}
}

// forwardCancellations sends a holder what it has not said it has. One message at a time: what comes
// up meanwhile goes with the next.
func (c *Controller) forwardCancellations(now time.Time, holder string) {
	if c.peers[holder] == nil || c.forwardingTo[holder] {
		return
	}
	before, _ := c.cancellationLog.Pending(now, c.tokens())
	if len(before) == 0 {
		return
	}
	c.forwardingTo[holder] = true
	c.exchange(now, holder, func(now time.Time) {
		c.forwardingTo[holder] = false
		if left, _ := c.cancellationLog.Pending(now, c.tokens()); len(left) > 0 && left[len(left)-1] != before[len(before)-1] {
			c.forwardCancellations(now, holder)
		}
	})
}

func (c *Controller) applyPeerHeartbeat(now time.Time, name string, m *peerpb.PeerHeartbeat) {
	p := c.peers[name]
	if p != nil {
		p.lastHeartbeat, p.stateUnreachableFor = now, time.Duration(m.StateUnreachableMs)*time.Millisecond
		p.version = m.Version
		if p.processID != m.Process || m.ClockNs > p.clockNs {
			p.processID, p.clockNs = m.Process, m.ClockNs
		}
		p.unacknowledged = append(p.unacknowledged, m.Cancelled...)
		p.unacknowledged = p.unacknowledged[max(0, len(p.unacknowledged)-tuning.MaxCancellationsPerMessage):]
	}
	for _, t := range c.terms {
		for _, id := range m.Cancelled {
			if t.state != termEnded {
				t.cancelJob(now, id)
			}
		}
	}
	for _, h := range m.Claims {
		if h.Holder == m.Member {
			c.cancellationLog.Acknowledge(m.AcknowledgedCancelled, int(h.Shard), h.Token)
		}
		if old := c.leaseClaims[int(h.Shard)]; old == nil || h.Token > old.Token {
			c.leaseClaims[int(h.Shard)] = h
		}
		t := c.terms[int(h.Shard)]
		if t == nil || t.state == termEnded {
			continue
		}
		if h.Token > t.Token {
			t.end(now, "a peer knows a higher token")
			continue
		}
		// A peer that knows of another holder passes on what that one lacks. One that
		// echoes what this process sent has made its message after that was sent;
		// any other message may have been held back.
		if p != nil && h.Token == t.Token && m.CancellationsComplete && m.EchoProcess == c.processID && t.state != termLoading {
			up := time.Duration(m.UpMs) * time.Millisecond
			t.cancellations.watermark.Acknowledge(name, m.Process, now.Add(-up+time.Duration(float64(up)*2*tuning.MaxClockDrift)), c.startedAt.Add(time.Duration(m.EchoNs)))
		}
	}
}

// HandlePeerHeartbeat answers a peer's pulse.
func (c *Controller) HandlePeerHeartbeat(now time.Time, m *peerpb.PeerHeartbeat) *peerpb.PeerHeartbeat {
	c.applyPeerHeartbeat(now, m.Member, m)
	return c.peerHeartbeat(now, m.Member)
}

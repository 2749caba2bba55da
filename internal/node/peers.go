package node

import (
	"time"

	"juniperchute/internal/admin"
	"juniperchute/internal/peer/peerpb"
	"juniperchute/internal/tuning"
)

type peerView struct {
	heard   time.Time     // when it last said so
	silent  time.Duration // since the state service answered it
	process uint64        // of its newest message
	version string        // as it told
	mark    int64         // its clock's in that message
	owed    []string      // cancellations that it passed on and has not been told of having
}

// silent is how long the state service has not answered this node; never
// answered counts as a very long time.
func (c *Core) silent(now time.Time) time.Duration {
	if c.leader.Heard().IsZero() {
		return time.Hour
	}
	return now.Sub(c.leader.Heard())
}

// tokens are the highest fencing tokens known, by block.
func (c *Core) tokens() []uint64 {
	out := make([]uint64, c.blocks)
	for b := range out {
		_, out[b], _ = c.holder(b)
	}
	return out
}

// holdings tells who holds the blocks, as far as this node knows.
func (c *Core) holdings() (out []*peerpb.Holding) {
	for b := range c.blocks {
		if holder, token, _ := c.holder(b); token > 0 {
			out = append(out, &peerpb.Holding{Block: int32(b), Token: token, Holder: holder})
		}
	}
	return out
}

// pulseMessage is what a peer is told.
func (c *Core) pulseMessage(now time.Time, to string) *peerpb.PulseMessage {
	m := &peerpb.PulseMessage{Member: c.cfg.Member, StateSilentMs: c.silent(now).Milliseconds(), Process: c.process, Version: admin.Version()}
	if !c.born.IsZero() {
		up := now.Sub(c.born)
		m.UpMs, m.MarkNs = up.Milliseconds(), int64(up)
	}
	m.Holdings = c.holdings()
	m.Withdrawn, m.Vouches = c.cancellationLog.Pending(now, c.tokens())
	if p := c.peers[to]; p != nil {
		m.EchoProcess, m.EchoNs, m.Have = p.process, p.mark, p.owed
		p.owed = nil
	}
	return m
}

func (c *Core) pulse(now time.Time) {
	for _, k := range c.cfg.Known {
		if k.Member < c.cfg.Member {
			continue // it asks: one exchange tells both all there is to tell
		}
		c.exchange(now, k.Member, func(time.Time) {})
	}
}

// exchange tells a peer what this node knows and hears the same of it.
func (c *Core) exchange(now time.Time, member string, then func(now time.Time)) {
	c.env.Pulse(member, c.pulseMessage(now, member), func(now time.Time, r *peerpb.PulseMessage, err error) {
		if err == nil {
			c.heardPeer(now, member, r)
		}
		then(now)
	})
}

// tell takes note of a cancellation that a user is about to be told of, and passes it
// to the block's holder at once: one that cannot read it in the state service would go
// on renewing the leases of its tasks' machines. The user's answer does not wait.
func (c *Core) tell(now time.Time, id string) {
	c.cancellationLog.Add(now, id)
	for b := range c.blocks {
		if t := c.tenures[b]; t != nil && t.state != tenureOver {
			t.jobCancelled(now, id)
			c.cancellationLog.Acknowledge([]string{id}, b, t.Token)
		}
		if holder, _, live := c.holder(b); live {
			c.pass(now, holder)
		}
	}
}

// pass sends a holder what it has not said it has. One message at a time: what comes
// up meanwhile goes with the next.
func (c *Core) pass(now time.Time, holder string) {
	if c.peers[holder] == nil || c.passing[holder] {
		return
	}
	before, _ := c.cancellationLog.Pending(now, c.tokens())
	if len(before) == 0 {
		return
	}
	c.passing[holder] = true
	c.exchange(now, holder, func(now time.Time) {
		c.passing[holder] = false
		if left, _ := c.cancellationLog.Pending(now, c.tokens()); len(left) > 0 && left[len(left)-1] != before[len(before)-1] {
			c.pass(now, holder)
		}
	})
}

func (c *Core) heardPeer(now time.Time, name string, m *peerpb.PulseMessage) {
	p := c.peers[name]
	if p != nil {
		p.heard, p.silent = now, time.Duration(m.StateSilentMs)*time.Millisecond
		p.version = m.Version
		if p.process != m.Process || m.MarkNs > p.mark {
			p.process, p.mark = m.Process, m.MarkNs
		}
		p.owed = append(p.owed, m.Withdrawn...)
		p.owed = p.owed[max(0, len(p.owed)-tuning.MaxCancellationsPerMessage):]
	}
	for _, t := range c.tenures {
		for _, id := range m.Withdrawn {
			if t.state != tenureOver {
				t.jobCancelled(now, id)
			}
		}
	}
	for _, h := range m.Holdings {
		if h.Holder == m.Member {
			c.cancellationLog.Acknowledge(m.Have, int(h.Block), h.Token)
		}
		if old := c.claims[int(h.Block)]; old == nil || h.Token > old.Token {
			c.claims[int(h.Block)] = h
		}
		t := c.tenures[int(h.Block)]
		if t == nil || t.state == tenureOver {
			continue
		}
		if h.Token > t.Token {
			t.end(now, "a peer knows a higher token")
			continue
		}
		// A peer that knows of another holder passes on what that one lacks. One that
		// echoes what this process sent has made its message after that was sent;
		// any other message may have been held back.
		if p != nil && h.Token == t.Token && m.Vouches && m.EchoProcess == c.process && t.state != tenureLoading {
			up := time.Duration(m.UpMs) * time.Millisecond
			t.cancelled.horizon.Vouch(name, m.Process, now.Add(-up+time.Duration(float64(up)*2*tuning.MaxClockDrift)), c.born.Add(time.Duration(m.EchoNs)))
		}
	}
}

// Pulse answers a peer's pulse.
func (c *Core) Pulse(now time.Time, m *peerpb.PulseMessage) *peerpb.PulseMessage {
	c.heardPeer(now, m.Member, m)
	return c.pulseMessage(now, m.Member)
}

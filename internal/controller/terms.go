package controller

import (
	"slices"
	"time"

	"juniperchute/internal/leader"
	"juniperchute/internal/term"
)

// liveTerm is this process's term of a shard, nil if it does not own the shard.
func (c *Controller) liveTerm(shard int) *term.Term {
	if t := c.terms[shard]; t != nil && t.Live() {
		return t
	}
	return nil
}

// ReconcileTerms starts and ends terms as the control records say.
func (c *Controller) ReconcileTerms(now time.Time) {
	assigned := c.membership.Terms()
	for shard := range c.options.Shards {
		if t := c.terms[shard]; t != nil {
			c.reconcileTerm(now, t, assigned)
		}
	}
	for _, assignment := range assigned {
		if c.terms[assignment.Shard] == nil && c.membership.LeaseValid(now) {
			c.terms[assignment.Shard] = c.startTerm(now, assignment)
		}
	}
}

// reconcileTerm ends a term that the records no longer support, and drops an ended one.
func (c *Controller) reconcileTerm(now time.Time, t *term.Term, assigned []leader.Term) {
	if t.Live() {
		c.endSupersededTerm(now, t)
	}
	if t.Live() {
		return
	}
	assignedStill := slices.ContainsFunc(assigned, func(a leader.Term) bool {
		return a.Shard == t.Shard && a.Token == t.Token
	})
	if assignedStill {
		// Ended for another reason while the records still name this process: left alone,
		// the shard would have no lease holder for good.
		c.membership.ReleaseShard(now, t.Term, t.WorkersUnreachable())
		return
	}
	delete(c.terms, t.Shard)
}

func (c *Controller) endSupersededTerm(now time.Time, t *term.Term) {
	incarnation := c.membership.Incarnation()
	_, token, known := c.membership.Holder(t.Shard)
	switch {
	case incarnation != 0 && incarnation != t.Incarnation():
		// a new lease: nothing of the old one's may be used beside it
		t.End(now, "this process has a new lease")
	case known && token > t.Token:
		t.End(now, "the shard was assigned anew")
	}
}

func (c *Controller) startTerm(now time.Time, assignment leader.Term) *term.Term {
	t := term.New(now, term.Options{
		Term:              assignment,
		Incarnation:       c.membership.Incarnation(),
		Shards:            c.options.Shards,
		Platform:          c.config.Platform,
		Peers:             c.peerNames(),
		Effects:           c.environment.Effects,
		Membership:        c.membership,
		Host:              c,
		OpenJobs:          c.openJobs,
		ProvisionRequests: c.provisionRequests,
		IntentLog:         c.options.Features.IntentLog,
		Tracer:            c.options.Tracer,
		Rand:              c.environment.Rand,
		WallClock:         c.environment.WallClock,
		Log:               c.environment.Log,
	})
	for name, machineType := range c.machines.byName {
		t.ApplyMachineType(machineType, c.machines.records[name])
	}
	t.ApplySettings(c.settings)
	t.Start(now)
	return t
}

// EndTermsAfterSuspension ends all terms after the clock was moved forward. This process's own
// lease may have ended by it, which is safe. That a worker's lease has ended must not be
// concluded from time that may not have passed: whoever owns the shards next waits for leases
// from the beginning of its own term.
func (c *Controller) EndTermsAfterSuspension(now time.Time) {
	for _, t := range c.terms {
		t.End(now, "the clock was moved forward")
	}
}

package controller

import (
	"iter"
	"maps"
	"slices"
	"time"

	"juniperchute/internal/leader"
	"juniperchute/internal/term"
)

// termsInOrder iterates over this process's terms by shard. The order of the effects of an event must not
// depend on the iteration order of a map.
func (c *Controller) termsInOrder() iter.Seq[*term.Term] {
	return func(yield func(*term.Term) bool) {
		for shard := range c.options.Shards {
			if t := c.terms[shard]; t != nil && !yield(t) {
				return
			}
		}
	}
}

// liveTerm returns this process's live term of a shard, or nil if there is none.
func (c *Controller) liveTerm(shard int) *term.Term {
	if t := c.terms[shard]; t != nil && t.Live() {
		return t
	}
	return nil
}

// ReconcileTerms starts and ends terms to match the shard assignments in the control records.
func (c *Controller) ReconcileTerms(now time.Time) {
	assigned := c.membership.Assignments()
	for t := range c.termsInOrder() {
		c.reconcileTerm(now, t, assigned)
	}
	for _, assignment := range assigned {
		if c.terms[assignment.Shard] == nil && c.membership.LeaseValid(now) {
			c.terms[assignment.Shard] = c.startTerm(now, assignment)
		}
	}
}

// reconcileTerm ends a superseded term and removes an ended one. It releases the shard if the
// control records still assign the ended term to this process.
func (c *Controller) reconcileTerm(now time.Time, t *term.Term, assigned []leader.Assignment) {
	if t.Live() {
		c.endSupersededTerm(now, t)
	}
	if t.Live() {
		return
	}
	stillAssigned := slices.ContainsFunc(assigned, func(a leader.Assignment) bool {
		return a.Shard == t.Shard && a.Token == t.Token
	})
	if stillAssigned {
		// Without the release the shard would never get another lease holder.
		c.membership.ReleaseShard(now, t.Assignment, t.Unreachable())
		return
	}
	delete(c.terms, t.Shard)
}

func (c *Controller) endSupersededTerm(now time.Time, t *term.Term) {
	incarnation := c.membership.Incarnation()
	_, token, known := c.membership.Holder(t.Shard)
	switch {
	case incarnation != 0 && incarnation != t.Incarnation():
		// Terms of an expired lease must not continue under a new one.
		t.End(now, "this process has a new lease")
	case known && token > t.Token:
		t.End(now, "the shard was assigned anew")
	}
}

func (c *Controller) startTerm(now time.Time, assignment leader.Assignment) *term.Term {
	t := term.New(now, term.Options{
		Assignment:        assignment,
		Incarnation:       c.membership.Incarnation(),
		Shards:            c.options.Shards,
		Platform:          c.config.Platform,
		Peers:             c.peerNames(),
		Effects:           c.environment.Effects,
		Membership:        c.membership,
		Controller:        c,
		OpenJobs:          c.openJobs,
		ProvisionRequests: c.provisionRequests,
		IntentLog:         c.options.Features.IntentLog,
		Tracer:            c.options.Tracer,
		Rand:              c.environment.Rand,
		WallClock:         c.environment.WallClock,
		Log:               c.environment.Log,
	})
	for _, name := range slices.Sorted(maps.Keys(c.machineTypes.byName)) {
		t.ApplyMachineType(c.machineTypes.byName[name], c.machineTypes.records[name])
	}
	t.ApplySettings(c.settings)
	t.Start(now)
	return t
}

// EndTermsAfterSuspension ends all terms after the clock has advanced for a suspension. The
// advance may exceed the time that has passed for the workers. Early expiry of this member's own
// lease is safe, early expiry of a worker's lease is not. The next lease holder of each shard
// waits for the workers' leases from the start of its own term.
func (c *Controller) EndTermsAfterSuspension(now time.Time) {
	for t := range c.termsInOrder() {
		t.End(now, "the clock was moved forward")
	}
}

package store

import (
	"slices"
	"time"

	"golang.org/x/time/rate"

	"juniperchute/internal/config"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// Budget is this node's share of the state service's rates. The nodes do not
// speak to each other about it: each keeps to a share that together stays
// near the limit, and the service's own 429 corrects the rest.
type Budget struct {
	calls  *rate.Limiter
	writes *rate.Limiter
	// kept back, in writes, from each class for the classes before it
	reserve [Classes]float64

	nodes   int
	coming  config.State
	lowered bool
	refused int       // since
	since   time.Time // the first refusal counted
}

// NewBudget makes the budget of one of n nodes.
func NewBudget(limits config.State, n int) *Budget {
	b := &Budget{nodes: max(1, n), coming: limits.Coming()}
	b.set(limits.RPS, limits.WriteRPS)
	return b
}

func (b *Budget) set(rps, writeRPS float64) {
	share := tuning.StateShare
	if b.nodes == 1 {
		share = 1
	}
	calls, writes := rps*share, writeRPS*share
	b.calls = rate.NewLimiter(rate.Limit(calls), max(1, int(calls)))
	b.writes = rate.NewLimiter(rate.Limit(writes), max(1, int(writes)))
	for c := range b.reserve {
		b.reserve[c] = writes * tuning.WriteReserve[c]
	}
}

// Note takes in what came of a call and tells whether it shows that the service has
// lowered its limits to the ones to come, which nobody announces: refusals for the rate
// beyond what the nodes' uneven shares explain, or one for a value's or transaction's
// size.
func (b *Budget) Note(now time.Time, c Call, status int) bool {
	writes := len(c.Multi.Writes) > 0
	switch {
	case b.lowered:
		return false
	case status == 400 && writes && !slices.ContainsFunc(c.Multi.Writes, func(w wire.Write) bool { return w.Lease != 0 }):
	case status == 429:
		if now.Sub(b.since) > tuning.LowerWithin {
			b.refused, b.since = 0, now
		}
		if b.refused++; b.refused < tuning.LowerAfter {
			return false
		}
	default:
		return false
	}
	b.lowered = true
	b.set(b.coming.RPS, b.coming.WriteRPS)
	return true
}

// Take spends the rate for a call, or tells how long to wait before asking
// again.
func (b *Budget) Take(now time.Time, c Call) (wait time.Duration, ok bool) {
	if b.calls.TokensAt(now) < 1 {
		return tuning.BudgetRetry, false
	}
	if n := len(c.Multi.Writes); n > 0 {
		need := float64(n)
		// a transaction larger than the bucket waits for a full bucket and
		// leaves a debt behind
		if most := float64(b.writes.Burst()); need+b.reserve[c.Class] > most {
			need = most - b.reserve[c.Class]
		}
		if b.writes.TokensAt(now) < need+b.reserve[c.Class] {
			return tuning.BudgetRetry, false
		}
		b.writes.AllowN(now, min(n, b.writes.Burst()))
	}
	b.calls.AllowN(now, 1)
	return 0, true
}

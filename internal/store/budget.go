package store

import (
	"time"

	"golang.org/x/time/rate"

	"juniperchute/internal/tuning"
)

// Budget is this node's share of the state service's rates. The nodes do not
// speak to each other about it: each keeps to a share that together stays
// near the limit, and the service's own 429 corrects the rest.
type Budget struct {
	calls  *rate.Limiter
	writes *rate.Limiter
	// kept back, in writes, from each class for the classes before it
	reserve [Classes]float64
}

// NewBudget makes the budget of one of n nodes.
func NewBudget(rps, writeRPS float64, n int) *Budget {
	if n < 1 {
		n = 1
	}
	share := tuning.StateShare
	if n == 1 {
		share = 1
	}
	calls, writes := rps*share, writeRPS*share
	b := &Budget{
		calls:  rate.NewLimiter(rate.Limit(calls), max(1, int(calls))),
		writes: rate.NewLimiter(rate.Limit(writes), max(1, int(writes))),
	}
	for c := range b.reserve {
		b.reserve[c] = writes * tuning.WriteReserve[c]
	}
	return b
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

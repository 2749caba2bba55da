package node

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"juniperchute/internal/duty"
	"juniperchute/internal/fleet"
	"juniperchute/internal/store"
	"juniperchute/internal/submission"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// records are what a tenure reads of its block before it begins to act.
type records struct {
	tallies, used, begun, duties []wire.KeyValue
	reading                      int // reads that are still under way
}

// load reads all that earlier tenures wrote down.
func (t *tenure) load(now time.Time) {
	t.syncMirror(now, t.c.open)
	t.syncMirror(now, t.c.rentals)
	t.list(now, tallyUnder(t.Shard), "", &t.records.tallies)
	t.list(now, fleet.UsedUnder(t.Shard), "", &t.records.used)
	t.list(now, begunUnder(t.Shard), "", &t.records.begun)
	t.list(now, duty.LogPrefix(t.Shard), "", &t.records.duties)
	t.records.reading = 6
}

func begunUnder(block int) string { return fmt.Sprintf("b/%d/", block) }

// syncMirror waits until a mirror holds all that was written before this tenure.
func (t *tenure) syncMirror(now time.Time, m *store.WatchCache) {
	m.WaitCurrent(now, 0, func(now time.Time, ok bool) {
		switch {
		case t.state == tenureOver:
		case ok:
			t.readOne(now)
		default:
			t.c.later(now, tuning.MirrorRetry, func(now time.Time) { t.syncMirror(now, m) })
		}
	})
}

// list reads all keys under a prefix.
func (t *tenure) list(now time.Time, under, after string, into *[]wire.KeyValue) {
	t.call(store.Call{Op: store.OpList, Priority: store.PriorityLease, Prefix: under, After: after, PageSize: tuning.ListPage}, func(now time.Time, r store.Result) {
		if !r.OK() {
			t.c.later(now, tuning.MirrorRetry, func(now time.Time) {
				if t.state != tenureOver {
					t.list(now, under, after, into)
				}
			})
			return
		}
		*into = append(*into, r.KeyValues...)
		if n := len(r.KeyValues); r.More && n > 0 {
			t.list(now, under, r.KeyValues[n-1].Key, into)
			return
		}
		t.readOne(now)
	})
}

// readOne notes that one of the reads is over.
func (t *tenure) readOne(now time.Time) {
	if t.records.reading--; t.records.reading == 0 {
		t.takeOver(now)
	}
}

// takeOver enters what earlier tenures wrote down and goes on to fencing.
func (t *tenure) takeOver(now time.Time) {
	t.c.open.Each(func(it wire.KeyValue) { t.jobChanged(now, it, false) })
	t.c.rentals.Each(func(it wire.KeyValue) {
		if strings.HasPrefix(it.Key, fleet.Rentals(t.Shard)) {
			t.fleet.Load(now, it)
		}
	})
	t.duties.Load(now, t.records.duties)
	t.fleet.LoadUsed(now, t.records.used)
	t.outcomes.tallies.load(t.records.tallies, t.board.Job)
	t.begun.Load(t.records.begun, func(id string, _ json.RawMessage) {
		if j := t.board.Job(id); j != nil {
			j.Before = true
			t.board.Begun(j)
		} else {
			t.begun.Delete(id)
		}
	})
	if t.begun.Unreadable() > 0 {
		t.assumeBegun()
	}
	t.records = records{}
	t.outcomes.adopt(now, t.board.Jobs())
	t.set(now, tenureFencing, "records read")
	for _, m := range slices.Clone(t.reg.All()) {
		if m.State == worker.Up {
			t.board.Reported(now, m, worker.Fresh, false)
		}
	}
	t.account() // a report may come, and a task be drawn, before the next tick
}

// assumeBegun takes all jobs for ones that may have tasks on machines: pages that name
// those that do cannot be read.
func (t *tenure) assumeBegun() {
	for _, j := range t.board.Jobs() {
		j.Before = true
	}
}

// jobChanged takes note of an open job's entry, or of its end.
func (t *tenure) jobChanged(now time.Time, it wire.KeyValue, gone bool) {
	id := strings.TrimPrefix(it.Key, submission.OpenUnder)
	if gone {
		t.board.SetUnreadable(id, false)
		if t.board.Job(id) != nil {
			t.jobOver(now, id)
		}
		return
	}
	off := t.cancelled.has(id)
	rec, err := submission.ReadOpen(it)
	t.board.SetUnreadable(id, err != nil && !off)
	if err != nil {
		t.log.Error("job entry cannot be read", "key", it.Key, "error", err)
		return
	}
	if off || rec.Block != t.Shard {
		return
	}
	// The predecessor started nothing after its lease ended, and that was
	// before the block's record changed: younger jobs are on no machine.
	at := time.UnixMilli(rec.At)
	j := t.board.AddJob(now, rec.Spec, at, it.Version, it.Version < t.Version)
	j.Since = now.Add(-max(0, t.c.wall().Sub(at)))
}

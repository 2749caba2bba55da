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
	tallies, used, begun, duties []wire.Item
	reading                      int // reads that are still under way
}

// load reads all that earlier tenures wrote down.
func (t *tenure) load(now time.Time) {
	t.syncMirror(now, t.c.open)
	t.syncMirror(now, t.c.rentals)
	t.list(now, tallyUnder(t.Block), "", &t.records.tallies)
	t.list(now, fleet.RegistrationPrefix(t.Block), "", &t.records.used)
	t.list(now, begunUnder(t.Block), "", &t.records.begun)
	t.list(now, duty.LogUnder(t.Block), "", &t.records.duties)
	t.records.reading = 6
}

func begunUnder(block int) string { return fmt.Sprintf("b/%d/", block) }

// syncMirror waits until a mirror holds all that was written before this tenure.
func (t *tenure) syncMirror(now time.Time, m *store.Mirror) {
	m.Sync(now, 0, func(now time.Time, ok bool) {
		switch {
		case t.state == tenureOver:
		case ok:
			t.readOne(now)
		default:
			t.c.later(now, tuning.WatchCacheRetry, func(now time.Time) { t.syncMirror(now, m) })
		}
	})
}

// list reads all keys under a prefix.
func (t *tenure) list(now time.Time, under, after string, into *[]wire.Item) {
	t.call(store.Call{Op: store.OpList, Class: store.ClassLease, Under: under, After: after, Page: tuning.ListPageSize}, func(now time.Time, r store.Result) {
		if !r.OK() {
			t.c.later(now, tuning.WatchCacheRetry, func(now time.Time) {
				if t.state != tenureOver {
					t.list(now, under, after, into)
				}
			})
			return
		}
		*into = append(*into, r.Items...)
		if n := len(r.Items); r.More && n > 0 {
			t.list(now, under, r.Items[n-1].Path, into)
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
	t.c.open.Each(func(it wire.Item) { t.jobChanged(now, it, false) })
	t.c.rentals.Each(func(it wire.Item) {
		if strings.HasPrefix(it.Path, fleet.ShardProvisioningPrefix(t.Block)) {
			t.fleet.LoadRequest(now, it)
		}
	})
	t.duties.Load(now, t.records.duties)
	t.fleet.LoadRegistrations(now, t.records.used)
	t.outcomes.tallies.load(t.records.tallies, t.board.OpenJob)
	t.begun.Load(t.records.begun, func(id string, _ json.RawMessage) {
		if j := t.board.OpenJob(id); j != nil {
			j.StartedInEarlierTerm = true
			t.board.StartMarkerWritten(j)
		} else {
			t.begun.Drop(id)
		}
	})
	if t.begun.Unread() > 0 {
		t.assumeBegun()
	}
	t.records = records{}
	t.outcomes.adopt(now, t.board.OpenJobs())
	t.set(now, tenureFencing, "records read")
	for _, m := range slices.Clone(t.reg.All()) {
		if m.State == worker.Up {
			t.board.ReconcileHeartbeat(now, m, worker.HeartbeatCurrent, false)
		}
	}
	t.account() // a report may come, and a task be drawn, before the next tick
}

// assumeBegun takes all jobs for ones that may have tasks on machines: pages that name
// those that do cannot be read.
func (t *tenure) assumeBegun() {
	for _, j := range t.board.OpenJobs() {
		j.StartedInEarlierTerm = true
	}
}

// jobChanged takes note of an open job's entry, or of its end.
func (t *tenure) jobChanged(now time.Time, it wire.Item, gone bool) {
	id := strings.TrimPrefix(it.Path, submission.OpenJobPrefix)
	if gone {
		t.board.SetJobUnreadable(id, false)
		if t.board.OpenJob(id) != nil {
			t.jobOver(now, id)
		}
		return
	}
	off := t.cancelled.has(id)
	rec, err := submission.ParseOpenJob(it)
	t.board.SetJobUnreadable(id, err != nil && !off)
	if err != nil {
		t.log.Error("job entry cannot be read", "key", it.Path, "error", err)
		return
	}
	if off || rec.Shard != t.Block {
		return
	}
	// The predecessor started nothing after its lease ended, and that was
	// before the block's record changed: younger jobs are on no machine.
	at := time.UnixMilli(rec.AcceptedAt)
	j := t.board.AddJob(now, rec.Spec, at, it.Version, it.Version < t.Version)
	j.KnownSince = now.Add(-max(0, t.c.wall().Sub(at)))
}

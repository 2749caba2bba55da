package controller

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"juniperchute/internal/fleet"
	"juniperchute/internal/intentlog"
	"juniperchute/internal/store"
	"juniperchute/internal/submission"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// predecessorRecords are what a tenure reads of its block before it begins to act.
type predecessorRecords struct {
	completions, usedMachines, startMarkers, intents []wire.KeyValue
	readsInFlight                                    int // reads that are still under way
}

// readRecords reads all that earlier tenures wrote down.
func (t *term) readRecords(now time.Time) {
	t.waitCurrent(now, t.controller.openJobs)
	t.waitCurrent(now, t.controller.provisionRequests)
	t.listKeys(now, completionPrefix(t.Shard), "", &t.predecessorRecords.completions)
	t.listKeys(now, fleet.RegistrationPrefix(t.Shard), "", &t.predecessorRecords.usedMachines)
	t.listKeys(now, startMarkerPrefix(t.Shard), "", &t.predecessorRecords.startMarkers)
	t.listKeys(now, intentlog.LogPrefix(t.Shard), "", &t.predecessorRecords.intents)
	t.predecessorRecords.readsInFlight = 6
}

func startMarkerPrefix(block int) string { return fmt.Sprintf("b/%d/", block) }

// waitCurrent waits until a mirror holds all that was written before this tenure.
func (t *term) waitCurrent(now time.Time, m *store.WatchCache) {
	m.WaitCurrent(now, 0, func(now time.Time, ok bool) {
		switch {
		case t.state == termEnded:
		case ok:
			t.finishRead(now)
		default:
			t.controller.schedule(now, tuning.WatchCacheRetry, func(now time.Time) { t.waitCurrent(now, m) })
		}
	})
}

// listKeys reads all keys under a prefix.
func (t *term) listKeys(now time.Time, under, after string, into *[]wire.KeyValue) {
	t.callState(store.Call{Op: store.OpList, Priority: store.PriorityLease, Prefix: under, After: after, PageSize: tuning.ListPageSize}, func(now time.Time, r store.Result) {
		if !r.OK() {
			t.controller.schedule(now, tuning.WatchCacheRetry, func(now time.Time) {
				if t.state != termEnded {
					t.listKeys(now, under, after, into)
				}
			})
			return
		}
		*into = append(*into, r.KeyValues...)
		if n := len(r.KeyValues); r.More && n > 0 {
			t.listKeys(now, under, r.KeyValues[n-1].Key, into)
			return
		}
		t.finishRead(now)
	})
}

// finishRead notes that one of the reads is over.
func (t *term) finishRead(now time.Time) {
	if t.predecessorRecords.readsInFlight--; t.predecessorRecords.readsInFlight == 0 {
		t.recoverRecords(now)
	}
}

// recoverRecords enters what earlier tenures wrote down and goes on to fencing.
func (t *term) recoverRecords(now time.Time) {
	t.controller.openJobs.Each(func(it wire.KeyValue) { t.applyOpenJob(now, it, false) })
	t.controller.provisionRequests.Each(func(it wire.KeyValue) {
		if strings.HasPrefix(it.Key, fleet.ShardProvisioningPrefix(t.Shard)) {
			t.autoscaler.LoadRequest(now, it)
		}
	})
	t.intents.Load(now, t.predecessorRecords.intents)
	t.autoscaler.LoadRegistrations(now, t.predecessorRecords.usedMachines)
	t.completions.bitmaps.load(t.predecessorRecords.completions, t.scheduler.OpenJob)
	t.startMarkers.Load(t.predecessorRecords.startMarkers, func(id string, _ json.RawMessage) {
		if j := t.scheduler.OpenJob(id); j != nil {
			j.StartedInEarlierTerm = true
			t.scheduler.StartMarkerWritten(j)
		} else {
			t.startMarkers.Delete(id)
		}
	})
	if t.startMarkers.Unreadable() > 0 {
		t.assumeStarted()
	}
	t.predecessorRecords = predecessorRecords{}
	t.completions.recoverCompleted(now, t.scheduler.OpenJobs())
	t.setState(now, termFencing, "records read")
	for _, m := range slices.Clone(t.workers.All()) {
		if m.State == worker.Up {
			t.scheduler.ReconcileHeartbeat(now, m, worker.HeartbeatCurrent, false)
		}
	}
	t.reserveUnknown() // a report may come, and a task be drawn, before the next tick
}

// assumeStarted takes all jobs for ones that may have tasks on machines: pages that name
// those that do cannot be read.
func (t *term) assumeStarted() {
	for _, j := range t.scheduler.OpenJobs() {
		j.StartedInEarlierTerm = true
	}
}

// applyOpenJob takes note of an open job's entry, or of its end.
func (t *term) applyOpenJob(now time.Time, it wire.KeyValue, gone bool) {
	id := strings.TrimPrefix(it.Key, submission.OpenJobPrefix)
	if gone {
		t.scheduler.SetJobUnreadable(id, false)
		if t.scheduler.OpenJob(id) != nil {
			t.closeJob(now, id)
		}
		return
	}
	off := t.cancellations.contains(id)
	rec, err := submission.ParseOpenJob(it)
	t.scheduler.SetJobUnreadable(id, err != nil && !off)
	if err != nil {
		t.log.Error("job entry cannot be read", "key", it.Key, "error", err)
		return
	}
	if off || rec.Shard != t.Shard {
		return
	}
	// The predecessor started nothing after its lease ended, and that was
	// before the block's record changed: younger jobs are on no machine.
	at := time.UnixMilli(rec.AcceptedAt)
	j := t.scheduler.AddJob(now, rec.Spec, at, it.Version, it.Version < t.Version)
	j.KnownSince = now.Add(-max(0, t.controller.wallClock().Sub(at)))
}

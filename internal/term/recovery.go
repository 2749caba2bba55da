package term

import (
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

// recovery is what a term reads of its shard before it begins to act.
type recovery struct {
	completions, registrations, startMarkers, intents []wire.KeyValue

	readsInFlight int
}

// readRecords reads all that earlier terms wrote down.
func (t *Term) readRecords(now time.Time) {
	caches := []*store.WatchCache{t.options.OpenJobs, t.options.ProvisionRequests}
	lists := []*listing{
		{term: t, prefix: completionPrefix(t.Shard), into: &t.recovery.completions},
		{term: t, prefix: fleet.RegistrationPrefix(t.Shard), into: &t.recovery.registrations},
		{term: t, prefix: startMarkerPrefix(t.Shard), into: &t.recovery.startMarkers},
		{term: t, prefix: intentlog.ShardPrefix(t.Shard), into: &t.recovery.intents},
	}
	t.recovery.readsInFlight = len(caches) + len(lists)
	for _, cache := range caches {
		t.waitCurrent(now, cache)
	}
	for _, list := range lists {
		list.send()
	}
}

// waitCurrent waits until a watch cache holds all that was written before this term.
func (t *Term) waitCurrent(now time.Time, cache *store.WatchCache) {
	retry := func(now time.Time) { t.waitCurrent(now, cache) }
	cache.WaitCurrent(now, 0, func(now time.Time, ok bool) {
		switch {
		case !t.Live():
		case ok:
			t.finishRead(now)
		default:
			t.options.Host.Schedule(now, tuning.WatchCacheRetry, retry)
		}
	})
}

// listing reads all keys under a prefix, page by page.
type listing struct {
	term   *Term
	prefix string
	after  string // the last key that has been read
	into   *[]wire.KeyValue
}

func (l *listing) send() {
	call := store.Call{
		Op:       store.OpList,
		Priority: store.PriorityLease,
		Prefix:   l.prefix,
		After:    l.after,
		PageSize: tuning.ListPageSize,
	}
	l.term.callState(call, l.handle)
}

func (l *listing) handle(now time.Time, result store.Result) {
	if !result.OK() {
		l.term.options.Host.Schedule(now, tuning.WatchCacheRetry, l.retry)
		return
	}
	*l.into = append(*l.into, result.KeyValues...)
	if n := len(result.KeyValues); result.More && n > 0 {
		l.after = result.KeyValues[n-1].Key
		l.send()
		return
	}
	l.term.finishRead(now)
}

func (l *listing) retry(time.Time) {
	if l.term.Live() {
		l.send()
	}
}

// finishRead notes that one of the reads is over; the last one completes the recovery.
func (t *Term) finishRead(now time.Time) {
	if t.recovery.readsInFlight--; t.recovery.readsInFlight == 0 {
		t.recoverRecords(now)
	}
}

// recoverRecords takes over what earlier terms wrote down and goes on to fencing.
func (t *Term) recoverRecords(now time.Time) {
	t.options.OpenJobs.Each(func(kv wire.KeyValue) { t.applyOpenJob(now, kv) })
	t.options.ProvisionRequests.Each(func(kv wire.KeyValue) {
		if strings.HasPrefix(kv.Key, fleet.ShardProvisioningPrefix(t.Shard)) {
			t.autoscaler.LoadRequest(now, kv)
		}
	})
	t.intents.Load(t.recovery.intents)
	t.autoscaler.LoadRegistrations(now, t.recovery.registrations)
	t.completions.bitmaps.load(t.recovery.completions, t.scheduler.OpenJob)
	t.recoverStartMarkers()
	t.recovery = recovery{}
	t.completions.recoverCompleted(now, t.scheduler.OpenJobs())
	t.setState(now, Fencing, "records read")
	for _, machine := range slices.Clone(t.workers.All()) {
		if machine.State == worker.Up {
			t.scheduler.ReconcileHeartbeat(now, machine, worker.HeartbeatCurrent, worker.FromCommandReply)
		}
	}
	// A heartbeat may come, and a task be scheduled, before the next tick.
	t.reserveUnknown()
}

// ApplyOpenJob takes note of a change of an open job's record. What comes before the term has
// recovered is left to the recovery, which reads it again.
func (t *Term) ApplyOpenJob(now time.Time, kv wire.KeyValue, deleted bool) {
	switch {
	case !t.Live() || t.recovery.readsInFlight > 0:
	case deleted:
		t.openJobDeleted(now, strings.TrimPrefix(kv.Key, submission.OpenJobPrefix))
	default:
		t.applyOpenJob(now, kv)
	}
}

func (t *Term) openJobDeleted(now time.Time, id string) {
	t.scheduler.SetJobUnreadable(id, false)
	if t.scheduler.OpenJob(id) != nil {
		t.closeJob(now, id)
	}
}

func (t *Term) applyOpenJob(now time.Time, kv wire.KeyValue) {
	id := strings.TrimPrefix(kv.Key, submission.OpenJobPrefix)
	cancelled := t.cancellations.contains(id)
	record, err := submission.ParseOpenJob(kv)
	t.scheduler.SetJobUnreadable(id, err != nil && !cancelled)
	if err != nil {
		t.log.Error("open job's record unreadable", "key", kv.Key, "error", err)
		return
	}
	if cancelled || record.Shard != t.Shard {
		return
	}
	// The predecessor started nothing after its lease ended, and that was before the shard's
	// record changed: younger jobs are on no machine.
	mayHaveStarted := kv.Version < t.Version
	acceptedAt := time.UnixMilli(record.AcceptedAt)
	job := t.scheduler.AddJob(now, record.Spec, acceptedAt, kv.Version, mayHaveStarted)
	job.KnownSince = now.Add(-max(0, t.options.WallClock().Sub(acceptedAt)))
}

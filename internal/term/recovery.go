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

// recovery holds what a term collects while loading: the records of its shard, and the contacts with workers
// whose machines those records may name.
type recovery struct {
	completions, registrations, startMarkers, intents []wire.KeyValue

	readsInFlight int
	// renewals holds, by host, the last renewal of each lease of a worker whose machine is unknown so far.
	renewals map[string]leaseRenewal
	// higherTokens holds the hosts whose heartbeats had a higher token than this term's.
	higherTokens map[string]bool
}

// leaseRenewal is a response that renewed a worker's lease and from whose heartbeat nothing was concluded.
type leaseRenewal struct {
	at        time.Time      // arrival of the heartbeat
	heartbeat wire.Heartbeat // without its tasks
}

// recordRenewal records that a response renews the lease of the worker of an unknown machine.
func (r *recovery) recordRenewal(now time.Time, heartbeat *wire.Heartbeat) {
	renewal := leaseRenewal{at: now, heartbeat: *heartbeat}
	renewal.heartbeat.Tasks = nil
	r.renewals[heartbeat.Host] = renewal
}

// readRecords starts the reads of the records that earlier terms wrote.
func (t *Term) readRecords(now time.Time) {
	caches := []*store.WatchCache{t.options.OpenJobs, t.options.ProvisionRequests}
	reads := []*rangeRead{
		{term: t, prefix: completionPrefix(t.Shard), results: &t.recovery.completions},
		{term: t, prefix: fleet.RegistrationPrefix(t.Shard), results: &t.recovery.registrations},
		{term: t, prefix: startMarkerPrefix(t.Shard), results: &t.recovery.startMarkers},
		{term: t, prefix: intentlog.ShardPrefix(t.Shard), results: &t.recovery.intents},
	}
	t.recovery.renewals, t.recovery.higherTokens = map[string]leaseRenewal{}, map[string]bool{}
	t.recovery.readsInFlight = len(caches) + len(reads)
	for _, cache := range caches {
		t.waitUntilCurrent(now, cache)
	}
	for _, read := range reads {
		read.send()
	}
}

// waitUntilCurrent retries until a watch cache contains every write made before this term.
func (t *Term) waitUntilCurrent(now time.Time, cache *store.WatchCache) {
	retry := func(now time.Time) { t.waitUntilCurrent(now, cache) }
	cache.CatchUp(now, 0, func(now time.Time, ok bool) {
		switch {
		case !t.Live():
		case ok:
			t.handleReadDone(now)
		default:
			t.options.Controller.RunAfter(now, tuning.WatchCacheBackoff, retry)
		}
	})
}

// rangeRead reads all keys with a prefix, page by page.
type rangeRead struct {
	term    *Term
	prefix  string
	after   string // last key read
	results *[]wire.KeyValue
}

func (r *rangeRead) send() {
	call := store.Call{
		Op:       store.OpList,
		Priority: store.PriorityLease,
		Prefix:   r.prefix,
		After:    r.after,
		PageSize: tuning.ListPageSize,
	}
	r.term.callState(call, r.handle)
}

func (r *rangeRead) handle(now time.Time, result store.Result) {
	if !result.OK() {
		r.term.options.Controller.RunAfter(now, tuning.WatchCacheBackoff, r.retry)
		return
	}
	*r.results = append(*r.results, result.KeyValues...)
	if n := len(result.KeyValues); result.More && n > 0 {
		r.after = result.KeyValues[n-1].Key
		r.send()
		return
	}
	r.term.handleReadDone(now)
}

func (r *rangeRead) retry(time.Time) {
	if r.term.Live() {
		r.send()
	}
}

// handleReadDone counts a completed read. After the last one the term recovers the records.
func (t *Term) handleReadDone(now time.Time) {
	if t.recovery.readsInFlight--; t.recovery.readsInFlight == 0 {
		t.recoverRecords(now)
	}
}

// recoverRecords restores the state that earlier terms wrote and moves the term to Fencing.
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
	t.completions.recoverCompletedJobs(now, t.scheduler.OpenJobs())
	t.setState(now, Fencing, "records read")
	t.recoverContacts(now)
	t.recovery = recovery{}
	// A heartbeat may trigger a scheduling pass before the next tick.
	t.reserveUnknownUsage()
}

// recoverContacts applies the contacts with workers during Loading to the machines that the records name. A
// worker that sent a status under this term's token executes no command of an earlier term, and this term has
// sent none yet. So only tasks of that status can run on the machine, also if the worker has become
// unresponsive since.
func (t *Term) recoverContacts(now time.Time) {
	for host := range t.recovery.higherTokens {
		t.observeHigherToken(now, host)
	}
	if !t.Live() {
		return
	}
	for _, machine := range slices.Clone(t.workers.All()) {
		if renewal, renewed := t.recovery.renewals[machine.Host]; renewed {
			t.observeStaleToken(renewal.at, machine, &renewal.heartbeat)
		}
		if machine.MayRunReportedTasks() {
			t.autoscaler.HandleHeartbeat(now, machine)
			t.scheduler.ReconcileHeartbeat(now, machine, worker.HeartbeatCurrent, worker.FromCommandReply)
		}
	}
}

// ApplyOpenJob applies a change of an open job's record. It ignores changes while the term is loading,
// because recoverRecords reads all open jobs.
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
		t.log.Error("failed to decode open job record", "key", kv.Key, "error", err)
		return
	}
	if cancelled || record.Shard != t.Shard {
		return
	}
	// The previous lease holder started nothing after its lease expired, which was before this
	// term's shard record was written. Jobs written later cannot have tasks on machines.
	fromEarlierTerm := kv.Version < t.Version
	acceptedAt := time.UnixMilli(record.AcceptedAt)
	job := t.scheduler.AddJob(now, record.Spec, acceptedAt, kv.Version, fromEarlierTerm)
	job.KnownSince = now.Add(-max(0, t.options.WallClock().Sub(acceptedAt)))
}

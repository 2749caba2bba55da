// Package term is one term of a shard: the time in which this process owns a part of the
// machines and jobs, under one fencing token. A term first recovers what earlier terms wrote
// down, then fences their workers, and only then schedules freely.
//
// A Term belongs to the goroutine that owns its controller. Everything that it writes is
// conditioned on the shard's record being as it was when the term began, so that a write of
// an ended term fails.
package term

import (
	"log/slog"
	"time"

	"juniperchute/internal/admin"
	"juniperchute/internal/cloud"
	"juniperchute/internal/featuregate"
	"juniperchute/internal/fleet"
	"juniperchute/internal/intentlog"
	"juniperchute/internal/leader"
	"juniperchute/internal/placement"
	"juniperchute/internal/quota"
	"juniperchute/internal/store"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

// State is how far a term is. It only moves forward: a term that has lost a state's
// conditions ends, and a new term, under a higher token, starts over.
type State int

const (
	// Loading: the records of earlier terms are being read. Nothing is started, and only
	// heartbeats without unknown jobs are answered.
	Loading State = iota
	// Fencing: workers that an earlier term may have used are being reconciled. Tasks that
	// may run somewhere unseen are not started.
	Fencing
	// Open: every machine that the shard may have is reconciled or surely terminated.
	Open
	// Ended: the shard is another's, or about to be. The term does nothing any more.
	Ended
)

// String is the state's name as the administration API and the logs have it.
func (s State) String() string {
	return [...]string{"loading", "fencing", "open", "over"}[s]
}

// Term is one term of a shard.
type Term struct {
	leader.Term
	options   Options
	state     State
	startedAt time.Time
	log       *slog.Logger

	workers    *worker.Registry
	ledger     *quota.Ledger
	scheduler  *placement.Scheduler
	autoscaler *fleet.Autoscaler
	intents    *intentlog.Log
	// guardedStateCall sends calls of the state service, with removals of records guarded by
	// the intent log.
	guardedStateCall store.Caller

	completions   *jobCompletions
	startMarkers  *store.Pages // jobs that may have tasks on machines
	recovery      recovery
	fencing       fencing
	isolation     isolation
	cancellations *cancellations
	countersLogAt time.Time // when the scheduler's counters are logged next
}

// New makes a term. It does nothing before Start.
func New(now time.Time, options Options) *Term {
	t := &Term{
		Term: options.Term, options: options, startedAt: now,
		log:           options.Log.With("shard", options.Term.Shard, "term", options.Term.Token),
		fencing:       newFencing(),
		cancellations: newCancellations(options.Peers, options.Platform.Workers),
	}
	platform := options.Platform
	t.workers = worker.NewRegistry(platform.Workers, t.log)
	t.ledger = quota.NewLedger(platform.Teams, options.Shards)
	t.scheduler = placement.NewScheduler(placement.Options{
		Platform:           platform,
		Token:              t.Token,
		Ledger:             t.ledger,
		Registry:           t.workers,
		Rand:               options.Rand,
		Log:                t.log,
		RequestStartMarker: t.writeStartMarker,
		OnTaskCompleted: func(now time.Time, job *placement.Job) {
			t.completions.taskCompleted(now, job)
		},
	})
	t.intents = t.newIntentLog()
	t.guardedStateCall = t.intents.GuardRemovals(t.callState,
		fleet.ShardProvisioningPrefix(t.Shard), fleet.RegistrationPrefix(t.Shard),
		startMarkerPrefix(t.Shard), completionPrefix(t.Shard))
	t.autoscaler = t.newAutoscaler(now)
	t.completions = newJobCompletions(t.completionOptions())
	t.startMarkers = t.newPages(startMarkerPrefix(t.Shard), tuning.StartMarkerInterval, store.PriorityTerm)
	return t
}

func (t *Term) newIntentLog() *intentlog.Log {
	return intentlog.NewLog(intentlog.Options{
		Shard:       t.Shard,
		Token:       t.Token,
		TermCompare: t.compare(),
		ValueKB:     t.options.Platform.State.StoredLimits().ValueKB,
		StateCall:   t.callState,
		WallClock:   t.options.WallClock,
		Log:         t.log,
		OnTermLost:  t.onTermLost,
		Tracer:      t.options.Tracer,
	})
}

func (t *Term) newAutoscaler(now time.Time) *fleet.Autoscaler {
	return fleet.New(now, fleet.Options{
		Shard:       t.Shard,
		Token:       t.Token,
		TermCompare: t.compare(),
		Config:      t.options.Platform,
		Cloud:       t.callCloud,
		Store:       t.guardedStateCall,
		Log:         t.log,
		Registry:    t.workers,
		Scheduler:   t.scheduler,
		Intents:     t.intents,
		OnTermLost:  t.onTermLost,
		OnDeleted:   t.scheduler.RemoveMachine,
		OwnedByOtherShard: func(machine string, existedAt time.Time) bool {
			return t.options.Host.MayBelongToOtherShard(t.Shard, machine, existedAt)
		},
	})
}

// newPages makes pages under a prefix that only this term may write.
func (t *Term) newPages(prefix string, interval time.Duration, priority store.Priority) *store.Pages {
	return store.NewPages(store.PagesOptions{
		Prefix:        prefix,
		ValueKB:       t.options.Platform.State.StoredLimits().ValueKB,
		WriteInterval: interval,
		Priority:      priority,
		TermCompare:   t.compare(),
		StateCall:     t.guardedStateCall,
		Log:           t.log,
		OnTermLost:    t.onTermLost,
	})
}

// Start begins the term: it reads what earlier terms wrote down.
func (t *Term) Start(now time.Time) {
	t.log.Info("term started", "predecessor_ended", t.PredecessorEnded)
	t.readRecords(now)
}

// State is how far the term is.
func (t *Term) State() State { return t.state }

// Live reports whether the term has not ended.
func (t *Term) Live() bool { return t.state != Ended }

// Incarnation is the process's membership under which the term began.
func (t *Term) Incarnation() uint64 { return t.options.Incarnation }

// Scheduler decides what runs where in the shard.
func (t *Term) Scheduler() *placement.Scheduler { return t.scheduler }

// Ledger is the account of what each team uses of the shard.
func (t *Term) Ledger() *quota.Ledger { return t.ledger }

// Workers are the shard's machines.
func (t *Term) Workers() *worker.Registry { return t.workers }

// compare is the condition of every write: the shard's record is as this term began.
func (t *Term) compare() wire.Compare {
	return store.VersionEquals(leader.ShardKey(t.Shard), t.Version)
}

// callState sends a call of the state service and drops its result once the term has ended.
func (t *Term) callState(call store.Call, then func(time.Time, store.Result)) {
	t.options.Effects.CallState(call, func(now time.Time, result store.Result) {
		if t.Live() {
			then(now, result)
			t.options.Host.ReconcileTerms(now)
		}
	})
}

// callCloud sends a call of the cloud, to be made only while this process surely owns the
// shard.
func (t *Term) callCloud(call cloud.Call, then func(now time.Time, result cloud.Result)) {
	call.Deadline = t.options.Membership.LeaseDeadline()
	t.options.Effects.CallCloud(call, then)
}

// setState is the one place that changes the term's state.
func (t *Term) setState(now time.Time, state State, reason string) {
	if t.state == state {
		return
	}
	t.log.Info("term state changed", "from", t.state, "to", state, "reason", reason, "after", now.Sub(t.startedAt))
	t.state = state
}

// End ends the term.
func (t *Term) End(now time.Time, reason string) { t.setState(now, Ended, reason) }

// onTermLost is called when a write finds the shard's record changed.
func (t *Term) onTermLost(now time.Time) { t.End(now, "the shard's record has changed") }

// ApplySettings puts the operators' settings into force.
func (t *Term) ApplySettings(s admin.Settings) {
	t.scheduler.Settings = placement.Settings{DropThreshold: s.BackupWithdrawThreshold}
	t.autoscaler.Settings = fleet.Settings{
		MaxMachines: s.MaxMachines,
		Paused:      s.ScaleOutPaused,
		IdleTimeout: s.IdleTimeout,
	}
}

// ApplyMachineType takes note of a machine type; record is its stored form.
func (t *Term) ApplyMachineType(machineType wire.MachineType, record string) {
	t.autoscaler.ApplyMachineType(machineType, record)
}

// enableIntentLog has intents recorded durably from now on if that is switched on here and in
// force. It stays so to the term's end, as it does no harm beside members that keep no log.
func (t *Term) enableIntentLog() {
	inForce := t.options.IntentLog && t.options.Membership.FeatureInForce(featuregate.IntentLogFeature)
	if inForce && !t.intents.Durable() {
		t.log.Info("intent log enabled")
		t.intents.EnableDurability()
	}
}

// Tick starts what is due.
func (t *Term) Tick(now time.Time) {
	if !t.Live() {
		return
	}
	if t.scheduler.AttemptNumbersExhausted {
		t.End(now, "the attempt numbers of its token are used up")
		return
	}
	for _, machine := range t.workers.ExpireLeases(now, t.unreconciledLeaseEnd()) {
		t.scheduler.ReleaseMachine(now, machine, "lease surely over")
	}
	if t.state == Loading || !t.options.Membership.LeaseValid(now) {
		return
	}
	t.enableIntentLog()
	t.fenceWorkers(now)
	t.detectIsolation(now)
	t.completions.flush(now)
	t.startMarkers.Tick(now)
	t.autoscaler.WorkersUnreachable = t.isolation.unreachable
	t.autoscaler.Tick(now)
	t.schedule(now)
	t.logCounters(now)
}

// logCounters logs now and then what became of primary and backup copies.
func (t *Term) logCounters(now time.Time) {
	if now.Before(t.countersLogAt) {
		return
	}
	t.countersLogAt = now.Add(tuning.CounterLogInterval)
	n := t.scheduler.Counters
	t.log.Info("scheduler counters",
		"primaries_started", n.PrimariesStarted, "backups_started", n.BackupsStarted,
		"backups_completed", n.BackupsCompleted, "backups_preempted", n.BackupsPreempted,
		"backups_withdrawn", n.BackupsWithdrawn, "rescheduled", n.Rescheduled, "gangs_placed", n.GangsPlaced,
		"preempted", n.Preempted, "relocated", n.Relocated, "failed", n.Failed)
}

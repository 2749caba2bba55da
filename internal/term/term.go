// Package term implements a term of a shard: the period in which this process holds the shard's lease
// under one fencing token, and manages the shard's machines and jobs. A term first recovers the records of
// earlier terms, then fences their workers, and only then schedules without restrictions.
//
// A Term is not safe for concurrent use: only the goroutine that owns its controller may call it. Every
// write of a term is conditional on the version of the shard record, so writes of a superseded term fail.
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

// State is the state of a term. It only advances. A term that can no longer satisfy the conditions of its
// state ends, and a new term starts under a higher token.
type State int

const (
	// Loading means that the records of earlier terms are being read. No task is started, and
	// heartbeats with tasks of unknown jobs are rejected.
	Loading State = iota
	// Fencing means that workers of earlier terms are being reconciled. Tasks that may still run on
	// an unreconciled worker are not started.
	Fencing
	// Open means that every machine of the shard is reconciled or confirmed as terminated.
	Open
	// Ended means that the term is superseded or its shard is being released. The term is inactive.
	Ended
)

// String returns the state's name in the administration API and the logs.
func (s State) String() string {
	return [...]string{"loading", "fencing", "open", "over"}[s]
}

// Term manages the machines and jobs of a shard during one term. See leader.Assignment for its invariants.
type Term struct {
	leader.Assignment
	options   Options
	state     State
	startedAt time.Time
	// stateSince is the time at which the term entered its state.
	stateSince time.Time
	log        *slog.Logger

	workers    *worker.Registry
	ledger     *quota.Ledger
	scheduler  *placement.Scheduler
	autoscaler *fleet.Autoscaler
	intents    *intentlog.Log
	// guardedStateCall sends calls to the state service; the intent log guards deletions of records.
	guardedStateCall store.Caller

	completions    *jobCompletions
	startMarkers   *store.Pages // marks jobs that may have tasks on machines
	recovery       recovery
	fencing        fencing
	isolation      isolation
	cloudIsolation cloudIsolation
	cancellations  *cancellations
	nextCounterLog time.Time // earliest time of the next log of the scheduler's counters
}

// New returns a term in state Loading. It is inactive before Start.
func New(now time.Time, options Options) *Term {
	t := &Term{
		Assignment: options.Assignment, options: options, startedAt: now, stateSince: now,
		log:           options.Log.With("shard", options.Assignment.Shard, "term", options.Assignment.Token),
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
			t.completions.recordCompletion(now, job)
		},
	})
	t.intents = t.newIntentLog()
	t.guardedStateCall = t.intents.GuardDeletions(t.callState,
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
		ValueKB:     t.options.Platform.State.RecordLimits().ValueKB,
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
		MayBelongToOtherShard: func(machine string, existedAt time.Time) bool {
			return t.options.Controller.MayBelongToOtherShard(t.Shard, machine, existedAt)
		},
		BelongsToOtherShard: func(machine string) bool {
			return t.options.Controller.BelongsToOtherShard(t.Shard, machine)
		},
	})
}

// newPages returns pages under a key prefix. Their writes are conditional on this term.
func (t *Term) newPages(prefix string, interval time.Duration, priority store.Priority) *store.Pages {
	return store.NewPages(store.PagesOptions{
		Prefix:        prefix,
		ValueKB:       t.options.Platform.State.RecordLimits().ValueKB,
		WriteInterval: interval,
		Priority:      priority,
		TermCompare:   t.compare(),
		StateCall:     t.guardedStateCall,
		Log:           t.log,
		OnTermLost:    t.onTermLost,
	})
}

// Start starts reading the records of earlier terms.
func (t *Term) Start(now time.Time) {
	t.log.Info("term started", "earlier_terms_ended", t.EarlierTermsEnded)
	t.readRecords(now)
}

// State returns the current state.
func (t *Term) State() State { return t.state }

// Live reports whether the term has not ended.
func (t *Term) Live() bool { return t.state != Ended }

// Incarnation returns the incarnation of this process under which the term started.
func (t *Term) Incarnation() uint64 { return t.options.Incarnation }

// Scheduler returns the scheduler of the shard's jobs.
func (t *Term) Scheduler() *placement.Scheduler { return t.scheduler }

// Ledger returns the quota usage of each team in the shard.
func (t *Term) Ledger() *quota.Ledger { return t.ledger }

// Workers returns the registry of the shard's machines.
func (t *Term) Workers() *worker.Registry { return t.workers }

// compare returns the condition of every write of this term: the shard record is unchanged since its start.
func (t *Term) compare() wire.Compare {
	return store.VersionEquals(leader.ShardKey(t.Shard), t.Version)
}

// callState sends a call to the state service. It discards the result if the term has ended meanwhile.
func (t *Term) callState(call store.Call, done func(time.Time, store.Result)) {
	t.options.Effects.CallState(call, func(now time.Time, result store.Result) {
		if t.Live() {
			done(now, result)
			t.options.Controller.ReconcileTerms(now)
		}
	})
}

// callCloud sends a call to the cloud API with the lease deadline, after which the call must not be made.
func (t *Term) callCloud(call cloud.Call, done func(now time.Time, result cloud.Result)) {
	call.Deadline = t.options.Membership.LeaseDeadline()
	t.options.Effects.CallCloud(call, done)
}

// setState changes the state and logs the transition. All state changes after New go through it.
func (t *Term) setState(now time.Time, state State, reason string) {
	if t.state == state {
		return
	}
	t.log.Info("term state changed", "from", t.state, "to", state, "reason", reason, "duration", now.Sub(t.startedAt))
	t.state, t.stateSince = state, now
}

// End makes the term inactive. reason is logged.
func (t *Term) End(now time.Time, reason string) { t.setState(now, Ended, reason) }

// onTermLost ends the term after a write conflicted with a change of the shard record.
func (t *Term) onTermLost(now time.Time) { t.End(now, "the shard's record has changed") }

// ApplySettings applies the operators' settings to the scheduler and the autoscaler.
func (t *Term) ApplySettings(s admin.Settings) {
	t.scheduler.Settings = placement.Settings{BackupWithdrawThreshold: s.BackupWithdrawThreshold}
	t.autoscaler.Settings = fleet.Settings{
		MaxMachines: s.MaxMachines,
		Paused:      s.ScaleOutPaused,
		IdleTimeout: s.IdleTimeout,
	}
}

// ApplyMachineType adds or updates a machine type. record is its stored form.
func (t *Term) ApplyMachineType(machineType wire.MachineType, record string) {
	t.autoscaler.ApplyMachineType(machineType, record)
}

// enableIntentLog makes the intent log durable if this process enables it and its feature gate is in force.
// It stays durable until the term ends, which is safe even if a member without an intent log joins.
func (t *Term) enableIntentLog() {
	inForce := t.options.IntentLog && t.options.Membership.FeatureInForce(featuregate.IntentLogFeature)
	if inForce && !t.intents.Durable() {
		t.log.Info("intent log enabled")
		t.intents.EnableDurability()
	}
}

// Tick starts the periodic work that is due. The controller calls it at regular intervals.
func (t *Term) Tick(now time.Time) {
	if !t.Live() {
		return
	}
	if t.scheduler.AttemptNumbersExhausted {
		t.End(now, "the attempt numbers of its token are used up")
		return
	}
	for _, machine := range t.workers.ExpireLeases(now, t.unreconciledLeaseExpiry()) {
		t.scheduler.ReleaseMachine(now, machine, "lease surely over")
	}
	if !t.options.Membership.LeaseValid(now) {
		t.autoscaler.ForgetCloudFailures()
		return
	}
	if t.state == Loading {
		return
	}
	t.enableIntentLog()
	t.queryWorkers(now)
	t.openIfReconciled(now)
	t.recordEarlierTermsEnded(now)
	t.detectIsolation(now)
	t.detectCloudIsolation(now)
	t.completions.flush(now)
	t.startMarkers.Tick(now)
	t.autoscaler.WorkersUnreachable = t.isolation.unreachable
	t.autoscaler.Tick(now)
	t.schedule(now)
	t.logCounters(now)
}

// logCounters periodically logs the scheduler's counters of primary and backup copies.
func (t *Term) logCounters(now time.Time) {
	if now.Before(t.nextCounterLog) {
		return
	}
	t.nextCounterLog = now.Add(tuning.CounterLogInterval)
	n := t.scheduler.Counters
	t.log.Info("scheduler counters",
		"primaries_started", n.PrimariesStarted, "backups_started", n.BackupsStarted,
		"backups_completed", n.BackupsCompleted, "backups_preempted", n.BackupsPreempted,
		"backups_withdrawn", n.BackupsWithdrawn, "rescheduled", n.Rescheduled, "gangs_placed", n.GangsPlaced,
		"preempted", n.Preempted, "relocated", n.Relocated, "failed", n.Failed)
}

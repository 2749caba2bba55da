package controller

import (
	"log/slog"
	"time"

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

type termState int

const (
	// termLoading: jobs, tallies and rentals are being read.
	termLoading termState = iota
	// termFencing: machines that an earlier tenure used are being heard.
	termFencing
	// termOpen: every machine the block may have is heard or surely gone.
	termOpen
	// termEnded: the block is another's, or about to be.
	termEnded
)

func (s termState) String() string {
	return [...]string{"loading", "fencing", "open", "over"}[s]
}

// term is the time in which this process holds one block.
type term struct {
	leader.Term
	controller  *Controller
	incarnation uint64
	state       termState
	startedAt   time.Time
	log         *slog.Logger
	workers     *worker.Registry
	ledger      *quota.Ledger
	scheduler   *placement.Scheduler
	autoscaler  *fleet.Autoscaler
	// intents is the log of what is asked of the cloud; clean is call, with removals of
	// records looked after by the same.
	intents          *intentlog.Log
	guardedStateCall store.Caller

	completions        *jobCompletions
	startMarkers       *store.Pages // jobs that may have tasks on machines
	predecessorRecords predecessorRecords
	fencing            fencing
	cancellations      *cancellations
	countersAt         time.Time // when the counters of copies are logged
}

func newTerm(now time.Time, c *Controller, l leader.Term, inc uint64) *term {
	t := &term{Term: l, controller: c, incarnation: inc, startedAt: now, log: c.log.With("block", l.Shard, "token", l.Token),
		fencing:       fencing{askAt: map[string]time.Time{}, incarnations: map[string]uint64{}},
		cancellations: newCancellations(c.config)}
	t.workers = worker.NewRegistry(c.config.Platform.Workers, t.log)
	t.ledger = quota.NewLedger(c.config.Platform.Teams, l.Shard, c.shards)
	t.scheduler = placement.NewScheduler(c.config.Platform, l.Token, t.ledger, t.workers, c.rng, t.log,
		func(now time.Time, j *placement.Job) { t.completions.taskCompleted(now, j) })
	t.intents = intentlog.NewLog(intentlog.Options{Shard: l.Shard, Token: l.Token, TermCompare: t.termCompare(), ValueKB: c.config.Platform.State.StoredLimits().ValueKB,
		StateCall: t.callState, WallClock: c.wallClock, Log: t.log, OnTermLost: t.onTermLost, Tracer: c.options.Tracer})
	t.guardedStateCall = t.intents.GuardRemovals(t.callState, fleet.ShardProvisioningPrefix(l.Shard), fleet.RegistrationPrefix(l.Shard), startMarkerPrefix(l.Shard), completionPrefix(l.Shard))
	t.autoscaler = fleet.New(now, fleet.Options{Shard: l.Shard, Token: l.Token, TermCompare: t.termCompare(), Config: c.config.Platform, Cloud: t.callCloud, Store: t.guardedStateCall,
		Log: t.log, Registry: t.workers, Scheduler: t.scheduler, Intents: t.intents, OnTermLost: t.onTermLost, OnDeleted: t.scheduler.RemoveMachine,
		OwnedByOtherShard: func(host string, there time.Time) bool { return c.mayBelongToOtherShard(l.Shard, host, there) }})
	t.completions = newJobCompletions(t, newCompletionBitmaps(t.pages(completionPrefix(l.Shard), tuning.CompletionWriteInterval, store.PriorityCompletion), c.config.Platform.State.ValueKB))
	t.startMarkers = t.pages(startMarkerPrefix(l.Shard), tuning.StartMarkerInterval, store.PriorityTerm)
	t.scheduler.RequestStartMarker = t.writeStartMarker
	t.log.Info("tenure begins", "ended", l.PredecessorEnded)
	for name, f := range c.machineTypes {
		t.autoscaler.ApplyMachineType(f, c.machineTypeRecords[name])
	}
	t.applySettings()
	t.readRecords(now)
	return t
}

// pages makes pages under a prefix that only this tenure may write.
func (t *term) pages(under string, every time.Duration, class store.Priority) *store.Pages {
	valueKB := t.controller.config.Platform.State.StoredLimits().ValueKB
	return store.NewPages(under, valueKB, every, class, t.termCompare(), t.guardedStateCall, t.log, t.onTermLost)
}

// writeStartMarker enters a job as one that may have tasks on machines, and lets them start once
// that is durable.
func (t *term) writeStartMarker(now time.Time, j *placement.Job) {
	t.startMarkers.Put(j.Spec.ID, 1, func(now time.Time) {
		t.scheduler.StartMarkerWritten(j)
		t.scheduleNow(now)
	})
	t.startMarkers.Tick(now)
}

// termCompare is the condition of every write: the block's record is as this tenure began.
func (t *term) termCompare() wire.Compare {
	return store.VersionEquals(leader.ShardKey(t.Shard), t.Version)
}

// callState passes a call on and drops its answer once the tenure is over.
func (t *term) callState(c store.Call, then func(time.Time, store.Result)) {
	t.controller.effects.CallState(c, func(now time.Time, r store.Result) {
		if t.state != termEnded {
			then(now, r)
			t.controller.reconcileTerms(now)
		}
	})
}

// callCloud passes a call on, to be made only while this process surely holds the block.
func (t *term) callCloud(c fleet.CloudCall, then func(now time.Time, r fleet.CloudResult)) {
	c.Deadline = t.controller.membership.LeaseDeadline()
	t.controller.effects.CallCloud(c, then)
}

func (t *term) setState(now time.Time, s termState, why string) {
	if t.state == s {
		return
	}
	t.log.Info("tenure", "from", t.state.String(), "to", s.String(), "why", why, "after", now.Sub(t.startedAt))
	t.state = s
}

func (t *term) end(now time.Time, why string) {
	t.setState(now, termEnded, why)
}

// onTermLost is told when a write finds the block's record changed.
func (t *term) onTermLost(now time.Time) { t.end(now, "the block's record has changed") }

func (t *term) applySettings() {
	s := t.controller.settings
	t.scheduler.Settings = placement.Settings{DropThreshold: s.DropThreshold}
	t.autoscaler.Settings = fleet.Settings{MaxMachines: s.MaxMachines, Paused: s.ScaleOutPaused, IdleTimeout: s.IdleTimeout}
}

// enableIntentLog has the log of duties kept from now on if that is switched on here and in
// force. It goes on to the tenure's end, as it does no harm beside members that keep none.
func (t *term) enableIntentLog() {
	if t.controller.options.Switches.IntentLog && t.controller.membership.FeatureInForce(featuregate.IntentLogFeature) && !t.intents.Durable() {
		t.log.Info("duties are entered in the log from now on")
		t.intents.EnableDurability()
	}
}

// Tick starts what is due.
func (t *term) Tick(now time.Time) {
	if t.state == termEnded {
		return
	}
	if t.scheduler.AttemptNumbersExhausted {
		t.end(now, "the attempt numbers of its token are used up")
		return
	}
	for _, m := range t.workers.ExpireLeases(now, t.unreconciledLeaseEnd()) {
		t.scheduler.ReleaseMachine(now, m, "lease surely over")
	}
	if t.state == termLoading || !t.controller.membership.LeaseValid(now) {
		return
	}
	t.enableIntentLog()
	t.fenceWorkers(now)
	t.detectIsolation(now)
	t.completions.flush(now)
	t.startMarkers.Tick(now)
	t.autoscaler.WorkersUnreachable = t.fencing.unreachable
	t.autoscaler.Tick(now)
	t.scheduleNow(now)
	t.logCounters(now)
}

// logCounters tells now and then what became of the copies.
func (t *term) logCounters(now time.Time) {
	if now.Before(t.countersAt) {
		return
	}
	t.countersAt = now.Add(tuning.CounterLogInterval)
	n := t.scheduler.Counters
	t.log.Info("copies so far", "mains", n.PrimariesStarted, "spares", n.BackupsStarted, "spares_finished", n.BackupsCompleted,
		"spares_yielded", n.BackupsPreempted, "spares_dropped", n.BackupsWithdrawn, "redrawn", n.Rescheduled, "gangs", n.GangsPlaced,
		"preempted", n.Preempted, "moved", n.Relocated, "failed", n.Failed)
}

package node

import (
	"log/slog"
	"time"

	"juniperchute/internal/duty"
	"juniperchute/internal/fleet"
	"juniperchute/internal/leader"
	"juniperchute/internal/placement"
	"juniperchute/internal/quota"
	"juniperchute/internal/store"
	"juniperchute/internal/switches"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

type tenureState int

const (
	// tenureLoading: jobs, tallies and rentals are being read.
	tenureLoading tenureState = iota
	// tenureFencing: machines that an earlier tenure used are being heard.
	tenureFencing
	// tenureOpen: every machine the block may have is heard or surely gone.
	tenureOpen
	// tenureOver: the block is another's, or about to be.
	tenureOver
)

func (s tenureState) String() string {
	return [...]string{"loading", "fencing", "open", "over"}[s]
}

// tenure is the time in which this process holds one block.
type tenure struct {
	leader.Tenure
	c     *Core
	inc   uint64
	state tenureState
	since time.Time
	log   *slog.Logger
	reg   *worker.Registry
	book  *quota.Ledger
	board *placement.Scheduler
	fleet *fleet.Autoscaler
	// duties is the log of what is asked of the cloud; clean is call, with removals of
	// records looked after by the same.
	duties *duty.Log
	clean  store.Caller

	outcomes  *outcomes
	begun     *store.Pages // jobs that may have tasks on machines
	records   records
	fencing   fencing
	cancelled *cancellations
	countDue  time.Time // when the counters of copies are logged
}

func newTenure(now time.Time, c *Core, l leader.Tenure, inc uint64) *tenure {
	t := &tenure{Tenure: l, c: c, inc: inc, since: now, log: c.log.With("block", l.Block, "token", l.Token),
		fencing:   fencing{due: map[string]time.Time{}, sessions: map[string]uint64{}},
		cancelled: newCancellations(c.cfg)}
	t.reg = worker.NewRegistry(c.cfg.Facts.Workers, t.log)
	t.book = quota.NewLedger(c.cfg.Facts.Teams, l.Block, c.blocks)
	t.board = placement.NewScheduler(c.cfg.Facts, l.Token, t.book, t.reg, c.rng, t.log,
		func(now time.Time, j *placement.Job) { t.outcomes.taskCompleted(now, j) })
	t.duties = duty.NewLog(duty.Options{Block: l.Block, Token: l.Token, Tenure: t.cond(), ValueKB: c.cfg.Facts.State.Stored().ValueKB,
		Call: t.call, Wall: c.wall, Log: t.log, Lost: t.lost, Tracer: c.opt.Tracer})
	t.clean = t.duties.CleanUp(t.call, fleet.ShardProvisioningPrefix(l.Block), fleet.RegistrationPrefix(l.Block), begunUnder(l.Block), tallyUnder(l.Block))
	t.fleet = fleet.New(now, fleet.Options{Shard: l.Block, Token: l.Token, TermCompare: t.cond(), Config: c.cfg.Facts, Cloud: t.cloud, Store: t.clean,
		Log: t.log, Registry: t.reg, Scheduler: t.board, Intents: t.duties, OnTermLost: t.lost, OnDeleted: t.board.RemoveMachine,
		OwnedByOtherShard: func(host string, there time.Time) bool { return c.foreign(l.Block, host, there) }})
	t.outcomes = newOutcomes(t, newTallies(t.pages(tallyUnder(l.Block), tuning.CompletionWriteInterval, store.ClassTally), c.cfg.Facts.State.ValueKB))
	t.begun = t.pages(begunUnder(l.Block), tuning.StartMarkerInterval, store.ClassTenure)
	t.board.RequestStartMarker = t.markBegun
	t.log.Info("tenure begins", "ended", l.Ended)
	for name, f := range c.machineTypes {
		t.fleet.ApplyMachineType(f, c.machineTypeRaw[name])
	}
	t.configure()
	t.load(now)
	return t
}

// pages makes pages under a prefix that only this tenure may write.
func (t *tenure) pages(under string, every time.Duration, class store.Class) *store.Pages {
	valueKB := t.c.cfg.Facts.State.Stored().ValueKB
	return store.NewPages(under, valueKB, every, class, t.cond(), t.clean, t.log, t.lost)
}

// markBegun enters a job as one that may have tasks on machines, and lets them start once
// that is durable.
func (t *tenure) markBegun(now time.Time, j *placement.Job) {
	t.begun.Put(j.Spec.ID, 1, func(now time.Time) {
		t.board.StartMarkerWritten(j)
		t.settle(now)
	})
	t.begun.Tick(now)
}

// cond is the condition of every write: the block's record is as this tenure began.
func (t *tenure) cond() wire.Cond { return store.Is(leader.BlockKey(t.Block), t.Version) }

// call passes a call on and drops its answer once the tenure is over.
func (t *tenure) call(c store.Call, then func(time.Time, store.Result)) {
	t.c.env.State(c, func(now time.Time, r store.Result) {
		if t.state != tenureOver {
			then(now, r)
			t.c.after(now)
		}
	})
}

// cloud passes a call on, to be made only while this process surely holds the block.
func (t *tenure) cloud(c fleet.CloudCall, then func(now time.Time, r fleet.CloudResult)) {
	c.Deadline = t.c.leader.Deadline()
	t.c.env.Cloud(c, then)
}

func (t *tenure) set(now time.Time, s tenureState, why string) {
	if t.state == s {
		return
	}
	t.log.Info("tenure", "from", t.state.String(), "to", s.String(), "why", why, "after", now.Sub(t.since))
	t.state = s
}

func (t *tenure) end(now time.Time, why string) {
	t.set(now, tenureOver, why)
}

// lost is told when a write finds the block's record changed.
func (t *tenure) lost(now time.Time) { t.end(now, "the block's record has changed") }

func (t *tenure) configure() {
	s := t.c.settings
	t.board.Settings = placement.Settings{DropThreshold: s.DropThreshold}
	t.fleet.Settings = fleet.Settings{MaxMachines: s.MaxMachines, Paused: s.RentalPaused, IdleTimeout: s.IdleReturn}
}

// switchOn has the log of duties kept from now on if that is switched on here and in
// force. It goes on to the tenure's end, as it does no harm beside members that keep none.
func (t *tenure) switchOn() {
	if t.c.opt.Switches.Duties && t.c.leader.InForce(switches.Duties) && !t.duties.Durable() {
		t.log.Info("duties are entered in the log from now on")
		t.duties.SwitchOn()
	}
}

// Tick starts what is due.
func (t *tenure) Tick(now time.Time) {
	if t.state == tenureOver {
		return
	}
	if t.board.AttemptNumbersExhausted {
		t.end(now, "the attempt numbers of its token are used up")
		return
	}
	for _, m := range t.reg.ExpireLeases(now, t.unheardUntil()) {
		t.board.ReleaseMachine(now, m, "lease surely over")
	}
	if t.state == tenureLoading || !t.c.leader.Entitled(now) {
		return
	}
	t.switchOn()
	t.fence(now)
	t.listen(now)
	t.outcomes.save(now)
	t.begun.Tick(now)
	t.fleet.WorkersUnreachable = t.fencing.unreachable
	t.fleet.Tick(now)
	t.settle(now)
	t.logCounters(now)
}

// logCounters tells now and then what became of the copies.
func (t *tenure) logCounters(now time.Time) {
	if now.Before(t.countDue) {
		return
	}
	t.countDue = now.Add(tuning.CounterLogInterval)
	n := t.board.Counters
	t.log.Info("copies so far", "mains", n.PrimariesStarted, "spares", n.BackupsStarted, "spares_finished", n.BackupsCompleted,
		"spares_yielded", n.BackupsPreempted, "spares_dropped", n.BackupsWithdrawn, "redrawn", n.Rescheduled, "gangs", n.GangsPlaced,
		"preempted", n.Preempted, "moved", n.Relocated, "failed", n.Failed)
}

package controller

import (
	"time"

	"juniperchute/internal/intentlog"
	"juniperchute/internal/standin"
	"juniperchute/internal/term"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// longestWait is how long a job may wait while there is room for it.
const longestWait = 90 * time.Second

// checkHorizons checks, as only a stand-in can, that each holder knows what it says it
// does: every cancellation that a user was told of before its horizon.
func (sim *simulation) checkHorizons() {
	for _, n := range sim.nodes {
		if !n.alive {
			continue
		}
		for _, t := range n.controller.terms {
			if t.State() != term.Loading && t.State() != term.Ended {
				sim.checkHorizon(n, t)
			}
		}
	}
}

func (sim *simulation) checkHorizon(n *simulatedNode, t *term.Term) {
	now := sim.clk.Now()
	at := t.CancellationsKnownUntil(now)
	if at.After(now) {
		sim.fail("%s: horizon %v ahead of its clock", n.name, at.Sub(now))
	}
	for _, j := range sim.cluster.Submitted {
		if j.KnownState == wire.JobCancelled && j.CancelledAt.Before(at) && t.Scheduler().OpenJob(j.Spec.ID) != nil {
			sim.fail("%s does not know that %s was cancelled at %v, with its horizon at %v",
				n.name, j.Spec.ID, j.CancelledAt.Sub(standin.Epoch), at.Sub(standin.Epoch))
		}
	}
}

// checkWaits checks that once faults are over no job waits for long while there are
// machines that fit with room for it and its team is under its limit.
func (sim *simulation) checkWaits() {
	if sim.faultsOver.IsZero() {
		return
	}
	now := sim.clk.Now()
	used, onMachines := sim.cluster.Usage()
	usable := func(w *standin.Worker) bool {
		m := sim.machines[w.Host.ID]
		return !m.partitioned && !m.inboundCut && !m.outboundCut
	}
	for _, j := range sim.cluster.Submitted {
		open := j.Accepted && !j.CancelRequested && !j.Faulty && j.KnownState != wire.JobDone
		if !open || onMachines[j] > 0 || !sim.cluster.Fits(j, used[j.Spec.Team], usable) {
			delete(sim.idleSince, j)
			continue
		}
		if sim.idleSince[j].IsZero() {
			sim.idleSince[j] = now
		}
		if now.Sub(sim.idleSince[j]) > longestWait {
			sim.fail("%s has waited for %v while there was room for it", j.Spec.ID, longestWait)
		}
	}
}

// checkCommands checks the commands that a controller gives: none may start a task of a
// job whose user was told of its cancellation longer ago than a holder may be without
// news.
func (sim *simulation) checkCommands(n *simulatedNode, commands []wire.Command) {
	const mostWithoutNews = tuning.MemberLease + tuning.WatchTimeout + tuning.StoreTimeout
	for _, o := range commands {
		id, _, _ := wire.ParseTask(o.Task)
		j := sim.cluster.Jobs[id]
		if o.Verb != wire.VerbRun || j == nil || j.KnownState != wire.JobCancelled {
			continue
		}
		if since := sim.clk.Now().Sub(j.CancelledAt); since > mostWithoutNews {
			sim.fail("%s orders a start of %s, cancelled %v ago", n.name, o.Task, since)
		}
	}
}

// finish lets all faults pass, waits for every job's end and checks that none is
// forgotten. Jobs that never end by themselves are cancelled.
func (sim *simulation) finish() {
	const rounds, round = 40, 15 * time.Second
	sim.chaos, sim.rates, sim.zoneCut = false, faultRates{}, ""
	sim.runFor(30 * time.Second) // the last faults pass
	sim.faultsOver = sim.clk.Now()
	for _, j := range sim.cluster.Submitted {
		if j.Faulty || j.Spec.Shape == wire.ShapeService {
			sim.cancel(j)
		}
	}
	for i := range rounds {
		sim.runFor(round)
		if time.Duration(i)*round >= standin.JobForgottenAfter {
			sim.cluster.CheckJobsForgotten()
		}
		if len(sim.unended()) == 0 || len(sim.broken()) > 0 {
			return
		}
	}
	for _, j := range sim.unended() {
		sim.t.Logf("told %q: %+v", j.KnownState, j.Spec)
	}
	sim.fail("some accepted jobs never ended")
}

func (sim *simulation) unended() []*standin.Job {
	var out []*standin.Job
	for _, j := range sim.cluster.Submitted {
		if !j.Ended() {
			out = append(out, j)
		}
	}
	return out
}

// requireActions fails the test if no duty but clean-up was carried out through the log.
func (sim *simulation) requireActions() {
	sim.t.Helper()
	sim.t.Logf("carried out: %v, %d writes of the log", sim.actions.Effects, sim.actions.PageWrites)
	for _, d := range []intentlog.Operation{intentlog.Provision, intentlog.Deprovision} {
		if sim.actions.Effects[d] == 0 {
			sim.t.Errorf("nothing was carried out for %s: this tests nothing", d)
		}
	}
}

// requireUnbroken fails the test if a rule was broken.
func (sim *simulation) requireUnbroken() {
	sim.t.Helper()
	if broken := sim.broken(); len(broken) > 0 {
		sim.t.Fatal(broken[0])
	}
}

// settle waits until every job has ended, with no fault left, and fails the test if one
// has not, or if a rule was broken.
func (sim *simulation) settle() {
	sim.t.Helper()
	for range 20 {
		sim.runFor(15 * time.Second)
		for _, j := range sim.cluster.Submitted {
			if sim.clk.Now().Sub(j.AnsweredAt) > standin.JobForgottenAfter {
				sim.cluster.AddViolation(standin.JobForgotten, "%s", j.Spec.ID)
			}
		}
		if len(sim.unended()) == 0 || len(sim.broken()) > 0 {
			break
		}
	}
	for _, j := range sim.unended() {
		sim.fail("%s never ended", j.Spec.ID)
	}
	sim.requireUnbroken()
}

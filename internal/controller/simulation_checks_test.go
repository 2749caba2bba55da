package controller

import (
	"time"

	"juniperchute/internal/fakes"
	"juniperchute/internal/intentlog"
	"juniperchute/internal/term"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// maxWait is how long a job may wait while there are resources for it.
const maxWait = 90 * time.Second

// checkCancellationWatermarks checks that each lease holder knows what it says it does:
// every cancellation that was acknowledged to a user before the holder's watermark.
func (sim *simulation) checkCancellationWatermarks() {
	for _, n := range sim.nodes {
		if !n.alive {
			continue
		}
		for _, t := range n.controller.terms {
			if t.State() != term.Loading && t.State() != term.Ended {
				sim.checkCancellationWatermark(n, t)
			}
		}
	}
}

func (sim *simulation) checkCancellationWatermark(n *simulatedNode, t *term.Term) {
	now := sim.clock.Now()
	at := t.CancellationWatermark(now)
	if at.After(now) {
		sim.addViolation("%s: cancellation watermark %v ahead of its clock", n.name, at.Sub(now))
	}
	for _, j := range sim.cluster.Submitted {
		if j.KnownState == wire.JobCancelled && j.CancelledAt.Before(at) && t.Scheduler().OpenJob(j.Spec.ID) != nil {
			sim.addViolation("%s does not know that %s was cancelled at %v, with its watermark at %v",
				n.name, j.Spec.ID, j.CancelledAt.Sub(fakes.Epoch), at.Sub(fakes.Epoch))
		}
	}
}

// checkWaitingJobs checks that once faults are over no job waits for long while there are
// machines that fit with room for it and its team is under its limit.
func (sim *simulation) checkWaitingJobs() {
	if sim.checks.faultsOver.IsZero() {
		return
	}
	now := sim.clock.Now()
	used, onMachines := sim.cluster.Usage()
	usable := func(w *fakes.Worker) bool {
		m := sim.machines[w.Host.ID]
		return !m.partitioned && !m.inboundCut && !m.outboundCut
	}
	for _, j := range sim.cluster.Submitted {
		open := j.Accepted && !j.CancelRequested && !j.Faulty && j.KnownState != wire.JobDone
		if !open || onMachines[j] > 0 || !sim.cluster.Fits(j, used[j.Spec.Team], usable) {
			delete(sim.checks.idleSince, j)
			continue
		}
		if sim.checks.idleSince[j].IsZero() {
			sim.checks.idleSince[j] = now
		}
		if now.Sub(sim.checks.idleSince[j]) > maxWait {
			sim.addViolation("%s has waited for %v while there was room for it", j.Spec.ID, maxWait)
		}
	}
}

// checkCommands checks the commands that a controller gives: none may start a task of a
// job whose cancellation was acknowledged longer ago than a lease holder may be without
// contact to the state service.
func (sim *simulation) checkCommands(n *simulatedNode, commands []wire.Command) {
	const mostWithoutNews = tuning.MemberLease + tuning.WatchTimeout + tuning.StoreTimeout
	for _, o := range commands {
		id, _, _ := wire.ParseTask(o.Task)
		j := sim.cluster.Jobs[id]
		if o.Verb != wire.VerbRun || j == nil || j.KnownState != wire.JobCancelled {
			continue
		}
		if since := sim.clock.Now().Sub(j.CancelledAt); since > mostWithoutNews {
			sim.addViolation("%s orders a start of %s, cancelled %v ago", n.name, o.Task, since)
		}
	}
}

// finish lets all faults pass, waits for every job's end and checks that none is
// forgotten. Jobs that never end by themselves are cancelled.
func (sim *simulation) finish() {
	const rounds, round = 40, 15 * time.Second
	sim.randomMessageFaults, sim.rates, sim.isolatedZone = false, faultRates{}, ""
	sim.runFor(30 * time.Second) // the last faults pass
	sim.checks.faultsOver = sim.clock.Now()
	for _, j := range sim.cluster.Submitted {
		if j.Faulty || j.Spec.Shape == wire.ShapeService {
			sim.cancel(j)
		}
	}
	for i := range rounds {
		sim.runFor(round)
		if time.Duration(i)*round >= fakes.LostJobTimeout {
			sim.cluster.CheckLostJobs()
		}
		if len(sim.unfinishedJobs()) == 0 || len(sim.violations()) > 0 {
			return
		}
	}
	for _, j := range sim.unfinishedJobs() {
		sim.t.Logf("last reported as %q: %+v", j.KnownState, j.Spec)
	}
	sim.addViolation("some accepted jobs never ended")
}

func (sim *simulation) unfinishedJobs() []*fakes.Job {
	var out []*fakes.Job
	for _, j := range sim.cluster.Submitted {
		if !j.Ended() {
			out = append(out, j)
		}
	}
	return out
}

// requireIntentsCarriedOut fails the test if no machine was provisioned or none
// deprovisioned through the intent log.
func (sim *simulation) requireIntentsCarriedOut() {
	sim.t.Helper()
	sim.t.Logf("carried out: %v, %d writes of the log", sim.intentChecker.Executed, sim.intentChecker.PageWrites)
	for _, d := range []intentlog.Operation{intentlog.Provision, intentlog.Deprovision} {
		if sim.intentChecker.Executed[d] == 0 {
			sim.t.Errorf("nothing was carried out for %s: this tests nothing", d)
		}
	}
}

// requireNoViolations fails the test if a rule was broken.
func (sim *simulation) requireNoViolations() {
	sim.t.Helper()
	if broken := sim.violations(); len(broken) > 0 {
		sim.t.Fatal(broken[0])
	}
}

// requireAllJobsEnd waits until every job has ended, with no fault left, and fails the test if one
// has not, or if a rule was broken.
func (sim *simulation) requireAllJobsEnd() {
	sim.t.Helper()
	for range 20 {
		sim.runFor(15 * time.Second)
		for _, j := range sim.cluster.Submitted {
			if sim.clock.Now().Sub(j.LastResponseAt) > fakes.LostJobTimeout {
				sim.cluster.AddViolation(fakes.JobLost, "%s", j.Spec.ID)
			}
		}
		if len(sim.unfinishedJobs()) == 0 || len(sim.violations()) > 0 {
			break
		}
	}
	for _, j := range sim.unfinishedJobs() {
		sim.addViolation("%s never ended", j.Spec.ID)
	}
	sim.requireNoViolations()
}

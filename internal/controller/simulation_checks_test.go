package controller

import (
	"time"

	"juniperchute/internal/fakes"
	"juniperchute/internal/intentlog"
	"juniperchute/internal/term"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
)

// maxJobWait bounds the time for which an open job may have no task on a machine although it could
// start, once all faults have ended.
const maxJobWait = 90 * time.Second

// checkCancellationWatermarks checks that each lease holder knows every cancellation that was
// acknowledged to a user before the lease holder's watermark.
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

// checkCancellationWatermark checks the watermark of one term.
func (sim *simulation) checkCancellationWatermark(n *simulatedNode, t *term.Term) {
	now := sim.clock.Now()
	watermark := t.CancellationWatermark(now)
	if watermark.After(now) {
		sim.addViolation("%s: cancellation watermark %v ahead of its clock", n.name, watermark.Sub(now))
	}
	for _, j := range sim.cluster.Submitted {
		cancelled := j.KnownState == wire.JobCancelled && j.CancelledAt.Before(watermark)
		if cancelled && t.Scheduler().OpenJob(j.Spec.ID) != nil {
			sim.addViolation("%s does not know that %s was cancelled at %v, with its watermark at %v",
				n.name, j.Spec.ID, j.CancelledAt.Sub(fakes.Epoch), watermark.Sub(fakes.Epoch))
		}
	}
}

// checkWaitingJobs checks that no open job waits for longer than maxJobWait while it fits on the
// reachable machines and within its team's limit. It checks nothing before all faults have ended.
func (sim *simulation) checkWaitingJobs() {
	if sim.checks.faultsEndedAt.IsZero() {
		return
	}
	now := sim.clock.Now()
	used, onMachines := sim.cluster.Usage()
	usable := func(w *fakes.Worker) bool {
		m := sim.machines[w.Host.ID]
		return !m.partitioned && !m.inboundBlocked && !m.outboundBlocked
	}
	for _, j := range sim.cluster.Submitted {
		open := j.Accepted && !j.CancelRequested && !j.Faulty && j.KnownState != wire.JobDone
		if !open || onMachines[j] > 0 || !sim.cluster.Fits(j, used[j.Spec.Team], usable) {
			delete(sim.checks.startableSince, j)
			continue
		}
		if sim.checks.startableSince[j].IsZero() {
			sim.checks.startableSince[j] = now
		}
		if now.Sub(sim.checks.startableSince[j]) > maxJobWait {
			sim.addViolation("%s has waited for more than %v although it could start", j.Spec.ID, maxJobWait)
		}
	}
}

// checkCommands checks that none of a controller's commands starts a task of a job whose cancellation
// was acknowledged longer ago than a lease holder can be without contact to the state service.
func (sim *simulation) checkCommands(n *simulatedNode, commands []wire.Command) {
	const maxContactAge = tuning.MemberLease + tuning.WatchTimeout + tuning.StoreTimeout
	for _, command := range commands {
		id, _, _ := wire.ParseTaskName(command.Task)
		j := sim.cluster.Jobs[id]
		if command.Verb != wire.VerbRun || j == nil || j.KnownState != wire.JobCancelled {
			continue
		}
		if age := sim.clock.Now().Sub(j.CancelledAt); age > maxContactAge {
			sim.addViolation("%s commands a start of %s, cancelled %v ago", n.name, command.Task, age)
		}
	}
}

// endFaultsAndAwaitJobs ends all faults, cancels the jobs that never end by themselves, and waits up
// to ten minutes until every job has ended. It adds a violation if a job is lost or does not end.
func (sim *simulation) endFaultsAndAwaitJobs() {
	const rounds, round = 40, 15 * time.Second
	sim.randomMessageFaults, sim.rates, sim.isolatedZone = false, faultRates{}, ""
	sim.cluster.CommandCopyShare = 0
	sim.runFor(30 * time.Second) // faults in progress end
	sim.checks.faultsEndedAt = sim.clock.Now()
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
		sim.t.Logf("not ended, last known state %q: %+v", j.KnownState, j.Spec)
	}
	sim.addViolation("%d jobs have not ended", len(sim.unfinishedJobs()))
}

// unfinishedJobs returns the submitted jobs whose users have not been told of a final state.
func (sim *simulation) unfinishedJobs() []*fakes.Job {
	var out []*fakes.Job
	for _, j := range sim.cluster.Submitted {
		if !j.Ended() {
			out = append(out, j)
		}
	}
	return out
}

// requireIntentsExecuted fails the test if no machine was provisioned or none deprovisioned
// through the intent log.
func (sim *simulation) requireIntentsExecuted() {
	sim.t.Helper()
	sim.t.Logf("executed intents: %v, intent log page writes: %d",
		sim.intentChecker.Executed, sim.intentChecker.PageWrites)
	for _, operation := range []intentlog.Operation{intentlog.Provision, intentlog.Deprovision} {
		if sim.intentChecker.Executed[operation] == 0 {
			sim.t.Errorf("no %s intent was executed, so the test proves nothing", operation)
		}
	}
}

// requireNoViolations fails the test with the first violation, if there is one.
func (sim *simulation) requireNoViolations() {
	sim.t.Helper()
	if violations := sim.violations(); len(violations) > 0 {
		sim.t.Fatal(violations[0])
	}
}

// requireAllJobsEnd waits up to five minutes until every job has ended. It fails the test if a job has
// not ended or was lost, or if there is any other violation. The caller must have ended all faults.
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
		sim.addViolation("%s has not ended", j.Spec.ID)
	}
	sim.requireNoViolations()
}

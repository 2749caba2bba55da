package term

import (
	"fmt"
	"time"

	"juniperchute/internal/intentlog"
	"juniperchute/internal/peer/peerpb"
	"juniperchute/internal/submission"
	"juniperchute/internal/tuning"
)

// JobProgress returns the numbers of completed and running tasks of an open job. Known is false if the term cannot
// tell whether a task of the job runs: it has not read the jobs yet, it may have been superseded, the job has ended,
// or a task may run that no machine has reported.
func (t *Term) JobProgress(now time.Time, id string) submission.Progress {
	if t.state == Loading || !t.options.Membership.LeaseValid(now) || t.cancellations.contains(id) {
		return submission.Progress{}
	}
	progress := submission.Progress{Known: !t.scheduler.MayRunUnreported(id)}
	if job := t.scheduler.OpenJob(id); job != nil {
		progress.CompletedTasks, progress.Running = job.CompletedTasks(), job.RunningTasks()
		progress.Known = progress.Known || progress.Running > 0
	}
	return progress
}

// Operations returns the status of the incomplete cloud operations by kind. known is false while the term
// is loading the intent log.
func (t *Term) Operations() (statuses []intentlog.OperationStatus, known bool) {
	if t.state == Loading {
		return nil, false
	}
	return t.intents.Status(), true
}

// Status returns the shard's status for the administration API, with at most tuning.MaxStatusJobs jobs. The
// names of the counters are part of that API.
func (t *Term) Status(now time.Time) *peerpb.ShardStatus {
	out := &peerpb.ShardStatus{
		Shard:      int32(t.Shard),
		State:      t.state.String(),
		StateAgeMs: now.Sub(t.stateSince).Milliseconds(),
		Waits:      t.waits(now),
		Counters:   t.counters(),
	}
	for _, machine := range t.workers.All() {
		out.Machines = append(out.Machines, &peerpb.Machine{
			Host: machine.Host, Type: machine.Type, Zone: machine.Zone, Spot: machine.Spot,
			State: machine.State.ListingName(), Tasks: int32(machine.AssignedCopies),
			Quarantined: machine.Quarantined, PreemptionNotice: !machine.PreemptionTime.IsZero(),
		})
	}
	for _, usage := range t.ledger.TeamUsages() {
		out.Teams = append(out.Teams, &peerpb.Team{
			Name:     usage.Team,
			CpusUsed: usage.Used.CPUs, GpusUsed: usage.Used.GPUs,
			CpusMax: usage.Limit.CPUs, GpusMax: usage.Limit.GPUs,
		})
	}
	for i, job := range t.scheduler.OpenJobs() {
		if i == tuning.MaxStatusJobs {
			break
		}
		out.Jobs = append(out.Jobs, &peerpb.Job{
			Id: job.Spec.ID, Class: job.Spec.Class, Team: job.Spec.Team,
			Priority: job.Spec.Priority, Shape: job.Spec.Shape,
			Tasks: int32(job.Spec.Tasks), Done: int32(job.CompletedTasks()), Running: int32(job.RunningTasks()),
			OnMachines: int32(job.AssignedTasks()), WaitsFor: job.PendingReason(),
		})
	}
	return out
}

// waits returns what keeps the term from acting.
func (t *Term) waits(now time.Time) (waits []*peerpb.Wait) {
	add := func(since time.Time, format string, args ...any) {
		waits = append(waits, &peerpb.Wait{
			Reason: fmt.Sprintf(format, args...),
			AgeMs:  now.Sub(since).Milliseconds(),
		})
	}
	if !t.options.Membership.LeaseValid(now) {
		since := t.options.Membership.LeaseDeadline()
		if since.IsZero() {
			since = now // the lease has expired, and the term ends at the next event
		}
		add(since, "a renewal of this member's lease")
	}
	switch t.state {
	case Loading:
		add(t.stateSince, "%d reads of the shard's records", t.recovery.readsInFlight)
	case Fencing:
		add(t.stateSince, "%d machines that have not answered this term", t.unreconciledMachines())
	case Ended:
		add(t.stateSince, "the release of the shard")
	}
	for _, wait := range t.autoscaler.Waits() {
		add(wait.Since, "%s", wait.Reason)
	}
	return waits
}

func (t *Term) unreconciledMachines() (count int) {
	for _, machine := range t.workers.All() {
		if t.unreconciled(machine) {
			count++
		}
	}
	return count
}

func (t *Term) counters() map[string]int64 {
	n := t.scheduler.Counters
	return map[string]int64{
		"mains_started":   int64(n.PrimariesStarted),
		"spares_started":  int64(n.BackupsStarted),
		"spares_finished": int64(n.BackupsCompleted),
		"spares_yielded":  int64(n.BackupsPreempted),
		"spares_dropped":  int64(n.BackupsWithdrawn),
		"redrawn":         int64(n.Rescheduled),
		"preempted":       int64(n.Preempted),
		"failed":          int64(n.Failed),
		"gangs_placed":    int64(n.GangsPlaced),
		"moved":           int64(n.Relocated),
	}
}

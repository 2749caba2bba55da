package term

import (
	"juniperchute/internal/intentlog"
	"juniperchute/internal/peer/peerpb"
	"juniperchute/internal/submission"
	"juniperchute/internal/tuning"
)

// JobProgress returns the numbers of completed and running tasks of a job; Known is false if it is not open.
func (t *Term) JobProgress(id string) submission.Progress {
	job := t.scheduler.OpenJob(id)
	if job == nil {
		return submission.Progress{}
	}
	return submission.Progress{Known: true, CompletedTasks: job.CompletedTasks(), Running: job.RunningTasks()}
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
func (t *Term) Status() *peerpb.ShardStatus {
	out := &peerpb.ShardStatus{Shard: int32(t.Shard), State: t.state.String(), Counters: t.counters()}
	for _, machine := range t.workers.All() {
		out.Machines = append(out.Machines, &peerpb.Machine{
			Host: machine.Host, Type: machine.Type, Zone: machine.Zone, Spot: machine.Spot,
			State: machine.State.ListingName(), Tasks: int32(machine.ActiveCopies),
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

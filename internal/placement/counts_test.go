package placement

import (
	"maps"
	"slices"

	"juniperchute/internal/wire"
)

// checkCounts compares the counts of all jobs and machines with the tasks that they count.
func (h *testHarness) checkCounts() {
	h.t.Helper()
	for id, job := range h.scheduler.jobs.byID {
		want, stoppable, running := newZoneCounts(), 0, 0
		for _, task := range job.tasks {
			if task.phase.stoppable() {
				stoppable++
			}
			if task.phase == Stopping || task.phase == Active && task.lastReportedState != wire.TaskFetching {
				running++
			}
			if task.phase.onMachine() {
				want.assigned[task.machine.Zone]++
			} else if task.primary != nil {
				want.queued[task.primary.Zone]++
			}
		}
		if got := job.zones; !maps.Equal(got.assigned, want.assigned) || !maps.Equal(got.queued, want.queued) {
			h.t.Fatalf("%s: tasks by zone %+v, want %+v", id, got, want)
		}
		if job.stoppable != stoppable || job.RunningTasks() != running {
			h.t.Fatalf("%s: %d stoppable and %d running tasks counted, want %d and %d",
				id, job.stoppable, job.RunningTasks(), stoppable, running)
		}
	}
	for machine, info := range h.scheduler.capacity.machines {
		want := workloadCounts{byJob: map[*Job]int{}, byImage: map[string]int{}}
		for _, task := range slices.Concat(info.assigned.snapshot(), info.primaryQueue.snapshot()) {
			want.byJob[task.Job]++
			want.byImage[task.Job.Spec.Image]++
		}
		got := info.workload
		if !maps.Equal(got.byJob, want.byJob) || !maps.Equal(got.byImage, want.byImage) {
			h.t.Fatalf("%s: tasks by job %v and by image %v, want %v and %v",
				machine.Host, got.byJob, got.byImage, want.byJob, want.byImage)
		}
	}
}

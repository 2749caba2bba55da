package placement

import (
	"testing"

	"juniperchute/internal/wire"
)

var preemptionCases = []struct {
	name           string
	team, priority string // of the array that runs on both machines
	tasks          int    // of the array; 0: as many as fit
	gangTeam       string
	gangPriority   string
	preempted      bool
}{
	{
		name: "lower priority is preempted",
		team: "blue", priority: "low", gangTeam: "blue", gangPriority: "normal",
		preempted: true,
	},
	{
		name: "equal priority is not preempted",
		team: "blue", priority: "normal", gangTeam: "blue", gangPriority: "normal",
	},
	{
		name: "higher priority is not preempted",
		team: "blue", priority: "high", gangTeam: "blue", gangPriority: "normal",
	},
	{
		name: "a team within its guarantee is not preempted for higher priority over a guarantee",
		team: "red", priority: "low", tasks: 2, gangTeam: "blue", gangPriority: "critical",
	},
	{
		name: "a team over its guarantee is preempted for work within a guarantee",
		team: "blue", priority: "high", gangTeam: "red", gangPriority: "low",
		preempted: true,
	},
}

// A gang preempts exactly the work that preemptionRules allows, by priority and
// guarantee.
func TestPreemption(t *testing.T) {
	for _, c := range preemptionCases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 2)
			tasks := 4
			if c.tasks > 0 {
				tasks = c.tasks
				h.addJob("blue", wire.ShapeBatch, "critical", 2, 1)
			}
			h.addJob(c.team, wire.ShapeBatch, c.priority, tasks, 1)
			h.scheduler.Schedule(h.now)
			h.heartbeatAll(2)
			gang := h.addJob(c.gangTeam, wire.ShapeGang, c.gangPriority, 1, 2)
			h.scheduler.Schedule(h.now)
			if got := len(gang.tasks) == 1; got != c.preempted {
				t.Fatalf("placed: %t, want %t (%s)", got, c.preempted, gang.pendingReason)
			}
			if c.preempted {
				h.checkStartsOnceFree(gang)
			}
		})
	}
}

// checkStartsOnceFree checks that a placed gang of one task starts once the two preempted
// tasks have exited, and not before.
func (h *testHarness) checkStartsOnceFree(gang *Job) {
	h.t.Helper()
	machine := gang.tasks[0].primary
	if got := describe(h.heartbeat(machine)); gang.assigned != 0 || len(h.assigned(machine)) != 2 {
		h.t.Fatalf("gang started before the preempted tasks exited: %s", got)
	}
	statuses := exitedAll(h.assigned(machine), wire.ExitStopped)
	if got := describe(h.heartbeat(machine, statuses...)); gang.assigned != 1 {
		h.t.Errorf("gang did not start after the preempted tasks exited: %s", got)
	}
}

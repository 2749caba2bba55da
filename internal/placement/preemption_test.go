package placement

import (
	"testing"

	"juniperchute/internal/wire"
)

var preemptionCases = []struct {
	name           string
	team, priority string // of what runs on both of two machines
	tasks          int    // of it; 0: as many as fit
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
		name: "the same priority is not",
		team: "blue", priority: "normal", gangTeam: "blue", gangPriority: "normal",
	},
	{
		name: "higher priority is not",
		team: "blue", priority: "high", gangTeam: "blue", gangPriority: "normal",
	},
	{
		name: "a guarantee is kept against a higher priority over its own",
		team: "red", priority: "low", tasks: 2, gangTeam: "blue", gangPriority: "critical",
	},
	{
		name: "a team over its guarantee is preempted for a guarantee",
		team: "blue", priority: "high", gangTeam: "red", gangPriority: "low",
		preempted: true,
	},
}

// What may be preempted for a gang, by the protocol's rules on preemption.
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

// checkStartsOnceFree checks that a placed gang of one task starts when the two
// tasks in its way have exited, and not before.
func (h *testHarness) checkStartsOnceFree(gang *Job) {
	h.t.Helper()
	machine := gang.tasks[0].primary
	if got := describe(h.heartbeat(machine)); gang.assigned != 0 || len(h.assigned(machine)) != 2 {
		h.t.Fatalf("started beside what it preempts: %s", got)
	}
	statuses := exitedAll(h.assigned(machine), wire.ExitStopped)
	if got := describe(h.heartbeat(machine, statuses...)); gang.assigned != 1 {
		h.t.Errorf("did not start once the room was free: %s", got)
	}
}

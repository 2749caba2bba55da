package placement

import (
	"testing"
	"time"

	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

func TestArrayDispatch(t *testing.T) {
	h := newHarness(t, 2)
	job := h.addJob("blue", wire.ShapeBatch, "normal", 6, 1)
	h.scheduler.Schedule(h.now)
	// mains only into room that is not promised, spares at the other worker
	for n := range 4 {
		task := job.tasks[n]
		if task == nil || task.primary == nil || task.backup == nil || task.backup == task.primary || task.phase != Unassigned {
			t.Fatalf("task %d: %+v", n, task)
		}
	}
	if len(job.tasks) != 4 || job.pendingTasks() != 2 {
		t.Fatalf("%d drawn, %d held", len(job.tasks), job.pendingTasks())
	}
	for _, machine := range h.registry.All() {
		if got := len(h.heartbeat(machine)); got != 2 {
			t.Errorf("%d orders to %s, want its two mains", got, machine.Host)
		}
		h.heartbeat(machine)
	}
	for n := range 4 {
		if task := job.tasks[n]; task.phase != Active || task.backup != nil || task.attempt>>tuning.AttemptBits != 7 {
			t.Errorf("task %d: phase %v, spare %v, try %d", n, task.phase, task.backup, task.attempt)
		}
	}
}

// The pair of copies: see DESIGN 2 to 4. A spare runs while its main is stuck;
// the main at its head stops it and waits for its reported exit; a spare that
// was stopped too often is dropped; either's end removes the other.
func TestPrimaryAndBackupCopy(t *testing.T) {
	for _, c := range []struct {
		name  string
		stops int // before this one
		after func(h *testHarness, task *Task, home, away *worker.Machine)
		check func(h *testHarness, task *Task, home, away *worker.Machine) string
	}{
		{"the spare finishes first", 0, func(h *testHarness, task *Task, _, away *worker.Machine) {
			h.heartbeat(away, wire.TaskStatus{Name: task.Name(), State: wire.TaskExited, ExitReason: wire.ExitDone})
		}, func(h *testHarness, task *Task, home, _ *worker.Machine) string {
			if len(h.completed) != 1 || len(h.scheduler.capacity.info(home).primaryQueue) != 0 || task.primary != nil {
				return "the main is still there"
			}
			return ""
		}},
		{"the main reaches its head", 0, func(h *testHarness, _ *Task, home, _ *worker.Machine) {
			home.Allocated = quota.Resources{} // what was in its way has gone
			h.heartbeat(home)
		}, func(h *testHarness, task *Task, home, away *worker.Machine) string {
			if task.phase != Stopping || task.machine != away {
				return "its spare was not stopped"
			}
			if o := h.describe(h.heartbeat(home)); o != "" {
				return "started before the spare's exit was reported: " + o
			}
			h.heartbeat(away, wire.TaskStatus{Name: task.Name(), State: wire.TaskExited, ExitReason: wire.ExitStopped})
			if task.backupStops != 1 || task.backup != away {
				return "the spare does not wait again"
			}
			if o := h.describe(h.heartbeat(home)); o != "run "+task.Name()+";" {
				return "the main did not start: " + o
			}
			return ""
		}},
		{"stopped too often", tuning.BackupWithdrawThreshold - 1, func(h *testHarness, task *Task, home, away *worker.Machine) {
			home.Allocated = quota.Resources{}
			h.heartbeat(home)
			h.heartbeat(away, wire.TaskStatus{Name: task.Name(), State: wire.TaskExited, ExitReason: wire.ExitStopped})
		}, func(h *testHarness, task *Task, home, away *worker.Machine) string {
			if task.backup != nil || task.primary != home {
				return "the spare was not dropped, or the main was"
			}
			return ""
		}},
		{"another's main needs the room", 0, func(h *testHarness, task *Task, _, away *worker.Machine) {
			job := h.addJob("red", wire.ShapeBatch, "high", 1, 2)
			o := &Task{Job: job}
			job.tasks[0] = o
			h.scheduler.queues.queuePrimary(h.now, o, away)
			h.heartbeat(away)
		}, func(h *testHarness, task *Task, _, away *worker.Machine) string {
			if task.phase != Stopping || task.backupStops != 1 {
				return "the spare does not give way"
			}
			return ""
		}},
		{"the spare's machine is lost", 0, func(h *testHarness, task *Task, _, away *worker.Machine) {
			h.scheduler.ReleaseMachine(h.now, away, "test")
		}, func(h *testHarness, task *Task, home, _ *worker.Machine) string {
			if task.Job.assigned != 0 || task.Job.pendingTasks()+len(task.Job.tasks) != 1 {
				return "the task is lost or counted twice"
			}
			return ""
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 2)
			home, away := h.registry.All()[0], h.registry.All()[1]
			job := h.addJob("blue", wire.ShapeBatch, "low", 1, 1)
			task := &Task{Job: job, queuedCopies: queuedCopies{backupStops: c.stops}}
			job.tasks[0] = task
			h.scheduler.queues.queuePrimary(h.now, task, home)
			h.scheduler.queues.queueBackup(task, away)
			home.Allocated = home.Capacity // stuck behind something
			if o := h.describe(h.heartbeat(away)); o != "" {
				t.Fatalf("the spare starts while its main has only just been queued: %s", o)
			}
			away.PreemptionTime = h.now.Add(time.Hour) // keeps the main from being redrawn there
			h.now = h.now.Add(3 * time.Second)
			away.PreemptionTime = time.Time{}
			h.scheduler.dispatcher.dispatchQueueHeads(h.now, away)
			if task.phase != Dispatched || !task.isBackup {
				t.Fatalf("the spare does not start: %v", task.phase)
			}
			h.scheduler.Commands(h.now, away, HeartbeatReply)
			h.registry.ApplyHeartbeat(h.now, away, &wire.Heartbeat{Host: away.Host, Type: "g2", Zone: "a", Incarnation: 1, Sequence: away.Sequence + 1,
				Tasks: []wire.TaskStatus{{Name: task.Name(), Attempt: task.attempt, State: wire.TaskRunning}}}, true)
			h.scheduler.ReconcileHeartbeat(h.now, away, worker.HeartbeatCurrent, true)
			c.after(h, task, home, away)
			if problem := c.check(h, task, home, away); problem != "" {
				t.Error(problem)
			}
		})
	}
}

// What may be stopped for a gang, by the protocol's rules on preemption.
func TestPreemption(t *testing.T) {
	for _, c := range []struct {
		name                   string
		team, priority         string // of what runs, on both of two machines
		tasks                  int    // of it; 0: as many as fit
		gangTeam, gangPriority string
		gives                  bool
	}{
		{name: "lower rank gives way", team: "blue", priority: "low", gangTeam: "blue", gangPriority: "normal", gives: true},
		{name: "the same rank does not", team: "blue", priority: "normal", gangTeam: "blue", gangPriority: "normal"},
		{name: "higher rank does not", team: "blue", priority: "high", gangTeam: "blue", gangPriority: "normal"},
		{name: "a guarantee is kept against a higher rank beyond its own", team: "red", priority: "low", tasks: 2, gangTeam: "blue", gangPriority: "critical"},
		{name: "beyond its guarantee gives way to a guarantee", team: "blue", priority: "high", gangTeam: "red", gangPriority: "low", gives: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 2)
			n := 4
			if c.tasks > 0 {
				n = c.tasks
				h.addJob("blue", wire.ShapeBatch, "critical", 2, 1)
			}
			h.addJob(c.team, wire.ShapeBatch, c.priority, n, 1)
			h.scheduler.Schedule(h.now)
			for range 2 {
				for _, machine := range h.registry.All() {
					h.heartbeat(machine)
				}
			}
			g := h.addJob(c.gangTeam, wire.ShapeGang, c.gangPriority, 1, 2)
			h.scheduler.Schedule(h.now)
			if got := len(g.tasks) == 1; got != c.gives {
				t.Fatalf("placed: %t, want %t (%s)", got, c.gives, g.pendingReason)
			}
			if !c.gives {
				return
			}
			machine := g.tasks[0].primary
			if o := h.describe(h.heartbeat(machine)); g.assigned != 0 || len(h.scheduler.capacity.info(machine).assigned) != 2 {
				t.Fatalf("started beside what it stops: %s", o)
			}
			var exited []wire.TaskStatus
			for _, other := range h.scheduler.capacity.info(machine).assigned {
				exited = append(exited, wire.TaskStatus{Name: other.Name(), State: wire.TaskExited, ExitReason: wire.ExitStopped})
			}
			if o := h.describe(h.heartbeat(machine, exited...)); g.assigned != 1 {
				t.Errorf("did not start once the room was free: %s", o)
			}
		})
	}
}

// A gang of several tasks starts as a whole under one attempt, ends as a whole,
// and does not start again while anything of it is left.
func TestGang(t *testing.T) {
	h := newHarness(t, 3)
	g := h.addJob("blue", wire.ShapeGang, "high", 3, 2)
	h.scheduler.Schedule(h.now)
	if g.assigned != 3 || g.tasks[0].attempt != g.tasks[2].attempt {
		t.Fatalf("%d tasks handed out", g.assigned)
	}
	if urgent := h.scheduler.UrgentMachines(h.now); len(urgent) != 3 {
		t.Fatalf("%d machines told at once, want all", len(urgent))
	}
	for _, machine := range h.registry.All() {
		h.heartbeat(machine)
		h.heartbeat(machine)
	}
	first := g.attempt
	h.scheduler.ReleaseMachine(h.now, g.tasks[1].machine, "test")
	h.scheduler.Schedule(h.now)
	if g.assigned != 2 || !g.aborting {
		t.Fatalf("%d left, broken %t", g.assigned, g.aborting)
	}
	for _, machine := range h.registry.All() {
		for _, other := range h.scheduler.capacity.info(machine).assigned {
			if other.phase != Stopping {
				t.Errorf("%s is %v", other.Name(), other.phase)
			}
		}
		if len(h.scheduler.capacity.info(machine).assigned) > 0 {
			h.heartbeat(machine, wire.TaskStatus{Name: h.scheduler.capacity.info(machine).assigned[0].Name(), State: wire.TaskExited, ExitReason: wire.ExitGangMemberLost})
		}
	}
	h.scheduler.Schedule(h.now)
	if g.assigned != 3 || g.attempt == first {
		t.Fatalf("second attempt: %d tasks, try %d", g.assigned, g.attempt)
	}
	for _, machine := range h.registry.All() {
		h.heartbeat(machine)
	}
	// one is done, so all are; a machine lost now must not bring one back
	h.heartbeat(g.tasks[0].machine, wire.TaskStatus{Name: g.tasks[0].Name(), State: wire.TaskExited, ExitReason: wire.ExitDone})
	if !g.IsComplete() {
		t.Fatal("one task is done, the gang is not")
	}
	h.scheduler.ReleaseMachine(h.now, g.tasks[1].machine, "test")
	h.scheduler.Schedule(h.now)
	if len(h.scheduler.UrgentMachines(h.now)) != 0 || g.pendingTasks() > 0 {
		t.Error("a finished gang starts again")
	}
}

// An order that was never reported: only a report after the one whose answer
// carried it shows that it was not executed.
func TestUnreportedCommand(t *testing.T) {
	for _, c := range []struct {
		name    string
		by      Channel // by which the order went out
		settled bool    // which was answered
		checkin bool    // the task is missing in a report, not in another answer
		gone    bool
	}{
		{"a later report", HeartbeatReply, false, true, true},
		{"only another command's answer", HeartbeatReply, false, false, false},
		{"an unanswered direct command", DirectCommand, false, true, false},
		{"an answered direct command", DirectCommand, true, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 1)
			machine := h.registry.All()[0]
			job := h.addJob("blue", wire.ShapeBatch, "low", 1, 1)
			h.scheduler.Schedule(h.now)
			commands := h.scheduler.Commands(h.now, machine, c.by)
			if c.settled {
				h.scheduler.SettleDirectCommands(machine, commands)
			}
			h.scheduler.CloseJob(h.now, job.Spec.ID, h.now.Add(time.Minute))
			heartbeat := &wire.Heartbeat{Host: machine.Host, Type: "g2", Zone: "a", Incarnation: 1, Sequence: machine.Sequence + 1}
			h.scheduler.ReconcileHeartbeat(h.now, machine, h.registry.ApplyHeartbeat(h.now, machine, heartbeat, worker.StatusSource(c.checkin)), c.checkin)
			if got := machine.ActiveCopies == 0; got != c.gone {
				t.Errorf("gone: %t, want %t", got, c.gone)
			}
			// what is not settled so is settled by the machine's return
			if !h.scheduler.OnlyUnconfirmedStops(machine) {
				t.Error("the machine is thought to have work")
			}
		})
	}
}

// A completion stays in its machine's reports until it is kept elsewhere.
func TestReapOnlyDurable(t *testing.T) {
	h := newHarness(t, 1)
	machine := h.registry.All()[0]
	job := h.addJob("blue", wire.ShapeBatch, "low", 2, 1)
	h.scheduler.Schedule(h.now)
	h.heartbeat(machine)
	end := wire.TaskStatus{Name: job.tasks[0].Name(), State: wire.TaskExited, ExitReason: wire.ExitDone}
	for _, o := range h.heartbeat(machine, end) {
		if o.Verb == wire.VerbReap {
			t.Error("reaped before the outcome is durable")
		}
	}
	job.MarkDurable(0)
	if o := h.scheduler.Commands(h.now, machine, HeartbeatReply); h.describe(o) != "reap job-1/0;" {
		t.Errorf("orders %s, want the reap", h.describe(o))
	}
}

package placement

import (
	"testing"
	"time"

	"juniperchute/internal/quota"
	"juniperchute/internal/tuning"
	"juniperchute/internal/wire"
	"juniperchute/internal/worker"
)

func TestArrayGoesOut(t *testing.T) {
	x := newBench(t, 2)
	j := x.job("blue", wire.ShapeBatch, "normal", 6, 1)
	x.b.Draw(x.now)
	// mains only into room that is not promised, spares at the other worker
	for n := range 4 {
		task := j.tasks[n]
		if task == nil || task.main == nil || task.low == nil || task.low == task.main || task.phase != Idle {
			t.Fatalf("task %d: %+v", n, task)
		}
	}
	if len(j.tasks) != 4 || j.held() != 2 {
		t.Fatalf("%d drawn, %d held", len(j.tasks), j.held())
	}
	for _, m := range x.reg.All() {
		if got := len(x.report(m)); got != 2 {
			t.Errorf("%d orders to %s, want its two mains", got, m.Host)
		}
		x.report(m)
	}
	for n := range 4 {
		if task := j.tasks[n]; task.phase != Live || task.low != nil || task.attempt>>tuning.AttemptBits != 7 {
			t.Errorf("task %d: phase %v, spare %v, try %d", n, task.phase, task.low, task.attempt)
		}
	}
}

// The pair of copies: see DESIGN 2 to 4. A spare runs while its main is stuck;
// the main at its head stops it and waits for its reported exit; a spare that
// was stopped too often is dropped; either's end removes the other.
func TestPair(t *testing.T) {
	for _, c := range []struct {
		name  string
		stops int // before this one
		after func(x *bench, task *Task, home, away *worker.Machine)
		check func(x *bench, task *Task, home, away *worker.Machine) string
	}{
		{"the spare finishes first", 0, func(x *bench, task *Task, _, away *worker.Machine) {
			x.report(away, wire.TaskStatus{Name: task.Name(), State: wire.TaskExited, ExitReason: wire.ExitDone})
		}, func(x *bench, task *Task, home, _ *worker.Machine) string {
			if len(x.done) != 1 || len(x.b.host(home).high) != 0 || task.main != nil {
				return "the main is still there"
			}
			return ""
		}},
		{"the main reaches its head", 0, func(x *bench, _ *Task, home, _ *worker.Machine) {
			home.Taken = quota.Room{} // what was in its way has gone
			x.report(home)
		}, func(x *bench, task *Task, home, away *worker.Machine) string {
			if task.phase != Stopping || task.at != away {
				return "its spare was not stopped"
			}
			if o := x.verbs(x.report(home)); o != "" {
				return "started before the spare's exit was reported: " + o
			}
			x.report(away, wire.TaskStatus{Name: task.Name(), State: wire.TaskExited, ExitReason: wire.ExitStopped})
			if task.stops != 1 || task.low != away {
				return "the spare does not wait again"
			}
			if o := x.verbs(x.report(home)); o != "run "+task.Name()+";" {
				return "the main did not start: " + o
			}
			return ""
		}},
		{"stopped too often", tuning.DropThreshold - 1, func(x *bench, task *Task, home, away *worker.Machine) {
			home.Taken = quota.Room{}
			x.report(home)
			x.report(away, wire.TaskStatus{Name: task.Name(), State: wire.TaskExited, ExitReason: wire.ExitStopped})
		}, func(x *bench, task *Task, home, away *worker.Machine) string {
			if task.low != nil || task.main != home {
				return "the spare was not dropped, or the main was"
			}
			return ""
		}},
		{"another's main needs the room", 0, func(x *bench, task *Task, _, away *worker.Machine) {
			j := x.job("red", wire.ShapeBatch, "high", 1, 2)
			o := &Task{Job: j}
			j.tasks[0] = o
			x.b.queueMain(x.now, o, away)
			x.report(away)
		}, func(x *bench, task *Task, _, away *worker.Machine) string {
			if task.phase != Stopping || task.stops != 1 {
				return "the spare does not give way"
			}
			return ""
		}},
		{"the spare's machine is lost", 0, func(x *bench, task *Task, _, away *worker.Machine) {
			x.b.Lost(x.now, away, "test")
		}, func(x *bench, task *Task, home, _ *worker.Machine) string {
			if task.Job.located != 0 || task.Job.held()+len(task.Job.tasks) != 1 {
				return "the task is lost or counted twice"
			}
			return ""
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newBench(t, 2)
			home, away := x.reg.All()[0], x.reg.All()[1]
			j := x.job("blue", wire.ShapeBatch, "low", 1, 1)
			task := &Task{Job: j, stops: c.stops}
			j.tasks[0] = task
			x.b.queueMain(x.now, task, home)
			x.b.queueLow(task, away)
			home.Taken = home.Cap // stuck behind something
			if o := x.verbs(x.report(away)); o != "" {
				t.Fatalf("the spare starts while its main has only just been queued: %s", o)
			}
			away.Recall = x.now.Add(time.Hour) // keeps the main from being redrawn there
			x.now = x.now.Add(3 * time.Second)
			away.Recall = time.Time{}
			x.b.heads(x.now, away)
			if task.phase != Sent || !task.spare {
				t.Fatalf("the spare does not start: %v", task.phase)
			}
			x.b.Commands(x.now, away, InAnswer)
			x.reg.Absorb(x.now, away, &wire.Heartbeat{Host: away.Host, Type: "g2", Zone: "a", Incarnation: 1, Sequence: away.Seq + 1,
				Tasks: []wire.TaskStatus{{Name: task.Name(), Attempt: task.attempt, State: wire.TaskRunning}}}, true)
			x.b.Reported(x.now, away, worker.Fresh, true)
			c.after(x, task, home, away)
			if bad := c.check(x, task, home, away); bad != "" {
				t.Error(bad)
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
			x := newBench(t, 2)
			n := 4
			if c.tasks > 0 {
				n = c.tasks
				x.job("blue", wire.ShapeBatch, "critical", 2, 1)
			}
			x.job(c.team, wire.ShapeBatch, c.priority, n, 1)
			x.b.Draw(x.now)
			for range 2 {
				for _, m := range x.reg.All() {
					x.report(m)
				}
			}
			g := x.job(c.gangTeam, wire.ShapeGang, c.gangPriority, 1, 2)
			x.b.Draw(x.now)
			if got := len(g.tasks) == 1; got != c.gives {
				t.Fatalf("placed: %t, want %t (%s)", got, c.gives, g.why)
			}
			if !c.gives {
				return
			}
			m := g.tasks[0].main
			if o := x.verbs(x.report(m)); g.located != 0 || len(x.b.host(m).on) != 2 {
				t.Fatalf("started beside what it stops: %s", o)
			}
			var gone []wire.TaskStatus
			for _, v := range x.b.host(m).on {
				gone = append(gone, wire.TaskStatus{Name: v.Name(), State: wire.TaskExited, ExitReason: wire.ExitStopped})
			}
			if o := x.verbs(x.report(m, gone...)); g.located != 1 {
				t.Errorf("did not start once the room was free: %s", o)
			}
		})
	}
}

// A gang of several tasks starts as a whole under one attempt, ends as a whole,
// and does not start again while anything of it is left.
func TestGang(t *testing.T) {
	x := newBench(t, 3)
	g := x.job("blue", wire.ShapeGang, "high", 3, 2)
	x.b.Draw(x.now)
	if g.located != 3 || g.tasks[0].attempt != g.tasks[2].attempt {
		t.Fatalf("%d tasks handed out", g.located)
	}
	if kicks := x.b.Urgent(x.now); len(kicks) != 3 {
		t.Fatalf("%d machines told at once, want all", len(kicks))
	}
	for _, m := range x.reg.All() {
		x.report(m)
		x.report(m)
	}
	first := g.attempt
	x.b.Lost(x.now, g.tasks[1].at, "test")
	x.b.Draw(x.now)
	if g.located != 2 || !g.broken {
		t.Fatalf("%d left, broken %t", g.located, g.broken)
	}
	for _, m := range x.reg.All() {
		for _, v := range x.b.host(m).on {
			if v.phase != Stopping {
				t.Errorf("%s is %v", v.Name(), v.phase)
			}
		}
		if len(x.b.host(m).on) > 0 {
			x.report(m, wire.TaskStatus{Name: x.b.host(m).on[0].Name(), State: wire.TaskExited, ExitReason: wire.ExitGangMemberLost})
		}
	}
	x.b.Draw(x.now)
	if g.located != 3 || g.attempt == first {
		t.Fatalf("second attempt: %d tasks, try %d", g.located, g.attempt)
	}
	for _, m := range x.reg.All() {
		x.report(m)
	}
	// one is done, so all are; a machine lost now must not bring one back
	x.report(g.tasks[0].at, wire.TaskStatus{Name: g.tasks[0].Name(), State: wire.TaskExited, ExitReason: wire.ExitDone})
	if !g.Complete() {
		t.Fatal("one task is done, the gang is not")
	}
	x.b.Lost(x.now, g.tasks[1].at, "test")
	x.b.Draw(x.now)
	if len(x.b.Urgent(x.now)) != 0 || g.held() > 0 {
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
		{"a later report", InAnswer, false, true, true},
		{"only another command's answer", InAnswer, false, false, false},
		{"an unanswered direct command", Direct, false, true, false},
		{"an answered direct command", Direct, true, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newBench(t, 1)
			m := x.reg.All()[0]
			j := x.job("blue", wire.ShapeBatch, "low", 1, 1)
			x.b.Draw(x.now)
			commands := x.b.Commands(x.now, m, c.by)
			if c.settled {
				x.b.Answered(m, commands)
			}
			x.b.CloseJob(x.now, j.Spec.ID, x.now.Add(time.Minute))
			rep := &wire.Heartbeat{Host: m.Host, Type: "g2", Zone: "a", Incarnation: 1, Sequence: m.Seq + 1}
			x.b.Reported(x.now, m, x.reg.Absorb(x.now, m, rep, c.checkin), c.checkin)
			if got := m.Busy == 0; got != c.gone {
				t.Errorf("gone: %t, want %t", got, c.gone)
			}
			// what is not settled so is settled by the machine's return
			if !x.b.InDoubt(m) {
				t.Error("the machine is thought to have work")
			}
		})
	}
}

// A completion stays in its machine's reports until it is kept elsewhere.
func TestReapOnlyDurable(t *testing.T) {
	x := newBench(t, 1)
	m := x.reg.All()[0]
	j := x.job("blue", wire.ShapeBatch, "low", 2, 1)
	x.b.Draw(x.now)
	x.report(m)
	end := wire.TaskStatus{Name: j.tasks[0].Name(), State: wire.TaskExited, ExitReason: wire.ExitDone}
	for _, o := range x.report(m, end) {
		if o.Verb == wire.VerbReap {
			t.Error("reaped before the outcome is durable")
		}
	}
	j.Durable(0)
	if o := x.b.Commands(x.now, m, InAnswer); x.verbs(o) != "reap job-1/0;" {
		t.Errorf("orders %s, want the reap", x.verbs(o))
	}
}
